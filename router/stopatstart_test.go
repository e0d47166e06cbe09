package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// Guards against a router that is stopped before it has a configuration and ends without having read what callers have
// sent: its listener holds their connections, and they cannot know that nothing ran.
func TestRouterThatStopsAtItsStartAnswersCallers(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	config.Router.Control = []string{"127.0.0.1:1"}
	config.Router.CloseNotice, config.Router.DrainTimeout = maxStartWait/2, 5*time.Second
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
	is.NoErr(err)
	conn, err := net.Dial("tcp", router.Address())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(conn, "DELETE /moved/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- router.Run(ctx) }()
	begun := time.Now()
	stop()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.True(time.Since(begun) < config.Router.CloseNotice) // or the process would end with the answer
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeNotRun)
	is.True(response.Close)
	is.NoErr(<-ended)
}
