package router

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// Callers are notified of a planned stop with a delay: during the close notice their requests are answered,
// also on connections that they open after the stop has begun.
func TestStoppingRouterAnswersThroughItsNotice(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	config.Router.CloseNotice = 3 * time.Second
	config.Router.Control = []string{"127.0.0.1:1"}
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- router.Run(ctx) }()
	// The listener is open before Run, so the request is answered once Run serves.
	ask := func() *fasthttp.Response {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + router.Address() + "/x")
		is.NoErr((&fasthttp.Client{}).DoTimeout(request, response, 10*time.Second))
		return response
	}
	ask()
	cancel()
	for !router.draining.Load() {
		runtime.Gosched()
	}
	for range 20 {
		is.Equal(string(ask().Header.Peek(wire.HeaderOutcome)), wire.OutcomeNotRun)
	}
	is.True(router.responsesDue.Load() > 0) // responsesDue is sent with requests meanwhile
	is.NoErr(<-ended)
}
