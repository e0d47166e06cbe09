package adminserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// Guards against a stop that waits for connections on which no request runs: a sidecar's admin listener stops last, and
// the time that its process is given is nearly over by then.
func TestStopWaitsForRunningRequestsOnly(t *testing.T) {
	for name, c := range map[string]struct {
		// sent is what the client has sent when the listener is stopped.
		sent    string
		running bool
	}{
		"a request running": {"GET /x HTTP/1.1\r\nHost: x\r\n\r\n", true},
		"nothing sent":      {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			started, proceed := make(chan struct{}), make(chan struct{})
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() {
				ended <- Run(ctx, Options{Listener: listener, Metrics: metrics.New(), Logger: zap.NewNop(), Fallback: func(request *fasthttp.RequestCtx) {
					close(started)
					<-proceed
					request.SetBodyString("answered")
				}})
			}()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.WriteString(conn, c.sent)
			is.NoErr(err)
			if c.running {
				<-started
				time.AfterFunc(shutdownTimeout/4, func() { close(proceed) })
			} else {
				// The server has accepted the connection once it answers another one.
				_, _, err := fasthttp.Get(nil, "http://"+listener.Addr().String()+"/healthz")
				is.NoErr(err)
			}
			begun := time.Now()
			cancel()
			is.NoErr(<-ended)
			is.True(time.Since(begun) < shutdownTimeout/2)
			if c.running {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), "answered")
			}
		})
	}
}

// Guards against requests of operators and instances that cross the close of a kept connection and end without an answer,
// and against a stop before the listener is served that never ends.
func TestStopAnswersRequestsOnKeptConnections(t *testing.T) {
	for name, served := range map[string]bool{"served": true, "stopped at once": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			reader := bufio.NewReader(conn)
			if !served {
				cancel()
			}
			ended := make(chan error, 1)
			go func() { ended <- Run(ctx, Options{Listener: listener, Metrics: metrics.New(), Logger: zap.NewNop()}) }()
			if served {
				_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
				is.NoErr(err)
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				cancel()
			}
			_, err = reader.Peek(1) // the listener has closed the connection
			is.NoErr(err)
			_, err = io.WriteString(conn, "PUT /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.NoErr(<-ended)
		})
	}
}
