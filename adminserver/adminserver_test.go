package adminserver

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/metrics"
)

func TestMetricsHealthAndTheRest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	registry := metrics.New()
	registry.Counter("test", "things_total", "Things.").Inc()
	var healthError error
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, Options{
			Listener: listener, Metrics: registry, Logger: zap.NewNop(), Healthy: func() error { return healthError },
			Fallback: func(request *fasthttp.RequestCtx) { request.SetBodyString("other") },
		})
	}()
	ask := func(path string) (int, string) {
		status, body, err := fasthttp.Get(nil, "http://"+listener.Addr().String()+path)
		is.NoErr(err)
		return status, string(body)
	}
	_, text := ask("/metrics")
	is.True(strings.Contains(text, "# HELP limehold_test_things_total Things."))
	is.True(strings.Contains(text, "limehold_test_things_total 1"))
	status, _ := ask("/healthz")
	is.Equal(status, 200)
	healthError = errors.New("no lease")
	status, text = ask("/healthz")
	is.Equal(status, 503)
	is.Equal(text, "no lease\n")
	_, text = ask("/v1/x")
	is.Equal(text, "other")
	cancel()
	is.NoErr(<-ended)
}
