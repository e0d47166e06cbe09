package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/ingress"
	"limehold/logging"
	"limehold/metrics"
	"limehold/settings"
)

// Guards against a sidecar that stays ready and accepts requests after one of its parts
// has failed.
func TestPartThatEndsStopsTheOthers(t *testing.T) {
	for name, c := range map[string]struct {
		listener func(*Process) io.Closer
		part     string
	}{
		"operators' listener": {func(p *Process) io.Closer { return p.admin }, "admin"},
		"readiness":           {func(p *Process) io.Closer { return p.readiness }, "readiness"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			logger, err := logging.NewTo(&log, "info", "sidecar", "s-1")
			is.NoErr(err)
			process, err := New(Options{Settings: testSettings(), Logger: logger, Metrics: metrics.New()})
			is.NoErr(err)
			ended := make(chan error, 1)
			go func() { ended <- process.Run(t.Context()) }()
			is.NoErr(c.listener(process).Close())
			select {
			case <-ended:
			case <-time.After(30 * time.Second):
				t.Fatal("the other parts go on")
			}
			is.True(process.ready() != nil)
			is.True(strings.Contains(log.String(), "event=part_ended name=s-1 role=sidecar step=run peer="+c.part))
		})
	}
}

// A planned stop must not be logged as the end of a part.
func TestStopThatWasAskedForNamesNoPart(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger, err := logging.NewTo(&log, "info", "sidecar", "s-1")
	is.NoErr(err)
	process, err := New(Options{Settings: testSettings(), Logger: logger, Metrics: metrics.New()})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	is.NoErr(process.Run(ctx))
	is.Equal(strings.Contains(log.String(), "part_ended"), false)
}

// Guards against a stop that takes longer than a platform waits for the process: an operator's request that does not end
// must not add to the time in which requests of callers end.
func TestOperatorsRequestDoesNotDelayTheEnd(t *testing.T) {
	// busyTime is what a busy machine may add.
	const busyTime = time.Second
	for name, sent := range map[string]string{
		"a request that is not sent to its end": "GET /metrics HTTP/1.1\r\nHost: a",
		"a heartbeat that waits for keys":       "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := testSettings()
			config.Router.DrainTimeout, config.Ingress.StopTime = 100*time.Millisecond, 50*time.Millisecond
			proceed, arrived := make(chan struct{}), make(chan struct{}, 1)
			defer close(proceed)
			process, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), NewAdminHandler: func(*ingress.Instance) func(*fasthttp.RequestCtx) bool {
				return func(request *fasthttp.RequestCtx) bool {
					arrived <- struct{}{}
					if string(request.Path()) == "/wait" {
						<-proceed
					}
					return true
				}
			}})
			is.NoErr(err)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- process.Run(ctx) }()
			// The answer to a first request shows that the connection is served.
			conn, err := net.Dial("tcp", process.admin.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			is.NoErr(err)
			<-arrived
			_, err = io.WriteString(conn, sent)
			is.NoErr(err)
			if strings.HasSuffix(sent, "\r\n\r\n") {
				<-arrived
			}
			began := time.Now()
			stop()
			is.NoErr(<-ended)
			is.True(time.Since(began) < config.Router.DrainTimeout+supportStopTime+busyTime)
		})
	}
}

// testSettings returns the settings of a sidecar that cannot reach a control member.
func testSettings() settings.Settings {
	config := settings.Default()
	config.Name, config.Zone = "s-1", "a"
	config.Router.Listen, config.Admin.Listen = "127.0.0.1:0", "127.0.0.1:0"
	config.Ingress.Listen, config.Ingress.Readiness, config.Ingress.Instance = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	config.Router.Control, config.Agent.Control = []string{"127.0.0.1:1"}, []string{"127.0.0.1:1"}
	config.Agent.Pool = "orders"
	config.Router.CloseNotice, config.Router.DrainTimeout = 0, time.Second
	config.Ingress.StopNotice, config.Ingress.StopTime = 0, time.Second
	return config
}
