package ingress

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
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"limehold/clock"
	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// Guards against a shutdown that gives up although nothing runs: the HTTP library looks for open connections only once
// if its deadline is closer than its poll.
func TestShutdownHasTimeForTheLibrarysPoll(t *testing.T) {
	for name, c := range map[string]struct {
		// stopTime is the configured stop time, left what is left of it when the test no longer waits.
		stopTime, left time.Duration
		// running is whether a request runs then; it ends once the shutdown has begun.
		running bool
	}{
		"an idle connection, no stop time":                   {},
		"a request runs until shortly before the end":        {stopTime: time.Hour, left: lastChunkMargin, running: true},
		"a request runs until the process is woken too late": {stopTime: time.Hour, left: -time.Second, running: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			release := make(chan struct{})
			instance := startInstance(t, func(id string) string {
				<-release
				return okResponse(id)
			}, false)
			config := settings.Default()
			config.Ingress.Listen, config.Ingress.Instance = "127.0.0.1:0", instance.listener.Addr().String()
			config.Ingress.StopTime, config.Ingress.StopNotice = c.stopTime, 0
			core, logged := observer.New(zapcore.InfoLevel)
			i, err := New(Options{Settings: config, Logger: zap.New(core), Metrics: metrics.New()})
			is.NoErr(err)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- i.Run(ctx) }()
			i.Instance().Announce(Announcement{ID: "i-1", Service: "orders", Slots: 2, Sequence: 1})
			router, reader := sendRequest(t, i)
			for instance.received.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			read := func() {
				_ = router.SetReadDeadline(time.Now().Add(sendTimeout))
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeOK)
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
			}
			if !c.running {
				close(release)
				read()
				for i.disconnects.Count() > 0 {
					time.Sleep(time.Millisecond)
				}
			}
			stop()
			if c.running {
				for !i.stopping.Load() {
					time.Sleep(time.Millisecond)
				}
				clock.SimulateSuspension(c.stopTime - c.left)
				for isListening(i.Address()) { // until the shutdown has begun
					time.Sleep(time.Millisecond)
				}
				close(release)
				read()
			}
			_, _ = io.Copy(io.Discard, reader) // until the end of the connection, like a router
			router.Close()
			is.NoErr(<-ended)
			is.Equal(logged.FilterMessage("ingress_drain_incomplete").Len(), 0)
		})
	}
}

// Guards against requests that end without an answer or the notice when a process ends: connections that are busy at
// the end of the stop time are idle afterwards, and are in use again until the process has ended.
func TestConnectionThatIsBusyAtTheEndOfTheStopTimeIsClosedWithTheNotice(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	instance := startInstance(t, func(id string) string {
		<-release
		return okResponse(id)
	}, false)
	config := settings.Default()
	config.Ingress.Listen, config.Ingress.Instance = "127.0.0.1:0", instance.listener.Addr().String()
	config.Ingress.StopTime, config.Ingress.StopNotice = 0, 0
	// The instance answers once the ingress has given up waiting for the request.
	logger := zap.NewNop().WithOptions(zap.WrapCore(func(zapcore.Core) zapcore.Core {
		return zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zapcore.WarnLevel)
	}), zap.Hooks(func(entry zapcore.Entry) error {
		if entry.Message == "ingress_drain_incomplete" {
			close(release)
		}
		return nil
	}))
	i, err := New(Options{Settings: config, Logger: logger, Metrics: metrics.New()})
	is.NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	i.Instance().Announce(Announcement{ID: "i-1", Service: "orders", Slots: 2, Sequence: 1})
	router, reader := sendRequest(t, i)
	is.NoErr(router.SetDeadline(time.Now().Add(5 * time.Second)))
	for instance.received.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeOK)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	if !response.Close {
		response, err = http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.Header.Get(wire.HeaderReason), wire.BackendReasonClosed)
	}
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(<-ended)
}

// sendRequest sends a request on a connection that is kept.
func sendRequest(t *testing.T, i *Ingress) (net.Conn, *bufio.Reader) {
	t.Helper()
	router, err := net.Dial("tcp", i.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { router.Close() })
	_, err = io.WriteString(router, "GET /orders/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-1\r\n"+wire.HeaderAttempt+": a.1\r\n"+
		wire.HeaderService+": orders\r\n"+wire.HeaderDeadline+": 36000000\r\n"+wire.HeaderTarget+": 36000000\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	return router, bufio.NewReader(router)
}

// isListening reports whether connections to an address are accepted.
func isListening(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err == nil {
		connection.Close()
	}
	return err == nil
}
