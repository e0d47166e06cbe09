package ingress

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/wire"
)

// reportingConn is a router's connection that reports whether the router has closed it.
type reportingConn struct {
	net.Conn
	gone atomic.Bool
}

// Disconnected is read by package disconnect.
func (c *reportingConn) Disconnected() bool { return c.gone.Load() }

func (c *reportingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against requests that are sent to the instance although their router has closed the connection, between two
// checks of it: the body has arrived, and the close came behind it.
func TestNothingIsSentForARouterThatHasGone(t *testing.T) {
	for name, c := range map[string]struct {
		gone bool
		// waited is how long ago the body was announced, with a deadline of 20 s.
		waited   time.Duration
		outcome  string
		reason   string
		received int64
	}{
		"the router is there":               {false, 0, wire.OutcomeOK, "", 1},
		"the deadline has passed meanwhile": {false, time.Minute, wire.OutcomeNotRun, wire.BackendReasonDeadline, 0},
		"the router has gone":               {true, 0, wire.OutcomeNotRun, reasonCallerGone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			instance := startInstance(t, okResponse, false)
			i := startIngress(t, instance)
			body := make([]byte, announcedBody)
			conn := &reportingConn{}
			conn.gone.Store(c.gone)
			request := announcedRequest(conn)
			request.Request.SetBody(body)
			accepted, _ := i.inbound.announce(len(body), time.Minute)
			accepted.arrived = clock.Now() - c.waited
			request.SetUserValue(uploadKey, accepted)
			i.handle(request)
			is.Equal(string(request.Response.Header.Peek(wire.HeaderOutcome)), c.outcome)
			is.Equal(string(request.Response.Header.Peek(wire.HeaderReason)), c.reason)
			is.Equal(instance.received.Load(), c.received)
			is.Equal(i.inbound.memory(), 0.0)
			is.Equal(i.gate.load().running, 0)
		})
	}
}

// announcedRequest returns a request with an announced body, which has not been read.
func announcedRequest(conn net.Conn) *fasthttp.RequestCtx {
	request := &fasthttp.RequestCtx{}
	request.Init2(conn, nil, false)
	request.Request.Header.SetMethod(fasthttp.MethodPost)
	request.Request.SetRequestURI("/orders/1")
	request.Request.Header.SetHost("x")
	request.Request.Header.SetContentLength(announcedBody)
	for name, value := range map[string]string{
		wire.HeaderAttempt: "a.1", wire.HeaderService: "orders", wire.HeaderDeadline: "20000", wire.HeaderTarget: "10000", "X-Request-Id": "r-1",
	} {
		request.Request.Header.Set(name, value)
	}
	return request
}

// Guards against bodies that are asked for after their routers have gone.
func TestNoBodyIsAskedForOfARouterThatHasGone(t *testing.T) {
	for name, c := range map[string]struct {
		gone   bool
		status int
		held   float64
	}{
		"the router is there": {false, fasthttp.StatusContinue, announcedBody},
		"the router has gone": {true, fasthttp.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := startIngress(t, startInstance(t, okResponse, false))
			conn := &reportingConn{}
			conn.gone.Store(c.gone)
			is.Equal(i.handleAnnounced(announcedRequest(conn)), c.status)
			is.Equal(i.inbound.memory(), c.held)
		})
	}
}
