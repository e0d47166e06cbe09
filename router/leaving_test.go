package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"limehold/admission"
	"limehold/catalog"
	"limehold/clock"
	"limehold/disconnect"
	"limehold/membership"
	"limehold/routing"
	"limehold/upstream"
	"limehold/wire"
)

// leavingNode is a node that accepts requests. It asks for announced bodies if asks is set, reads no body until read is
// closed, and responds to none.
type leavingNode struct {
	address string
	asks    bool
	// begun receives one value for each request of which the head has been read.
	begun chan struct{}
	read  chan struct{}
	// ended receives for each connection how many bytes of bodies it carried, and the error that ended it.
	ended chan bodyEnd
}

type bodyEnd struct {
	length int64
	err    error
}

func startLeavingNode(t *testing.T, asks bool) *leavingNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &leavingNode{address: listener.Addr().String(), asks: asks, begun: make(chan struct{}, 8), read: make(chan struct{}), ended: make(chan bodyEnd, 8)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The window is small, so that most of a body waits at the router.
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			go n.serve(conn)
		}
	}()
	return n
}

func (n *leavingNode) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 1<<10)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if n.asks && request.Header.Get("Expect") != "" {
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	n.begun <- struct{}{}
	<-n.read
	length, err := io.Copy(io.Discard, reader)
	n.ended <- bodyEnd{length, err}
}

// startLeaving starts a router in front of a node.
func startLeaving(t *testing.T, kind routing.Kind, node *leavingNode) *Router {
	t.Helper()
	router, _ := startRouter(t, kind, 0, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = router.disconnects.Run(ctx) }()
	update := &wire.Update{From: 1, Revision: 2, Routes: routesFor(kind, time.Minute), Nodes: []wire.NodeView{{
		Session: membership.SessionID(1), Name: "node", Zone: "a", Address: node.address, Pool: "orders", Slots: 10, Connections: 10, SelfLimited: true,
	}}}
	update.Routes.Version = 2
	if !router.table.apply(update) {
		t.Fatal("the update was not applied")
	}
	return router
}

// awaitNoRequests waits until the router has given up all requests.
func awaitNoRequests(t *testing.T, router *Router) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); router.disconnects.Count() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the router has not noticed that the caller has gone")
		}
	}
}

// Guards against requests of callers that have gone which go on because the close lies behind bytes that the router
// has not read.
func TestCallerThatLeavesIsNoticed(t *testing.T) {
	get := "GET /moved/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n"
	post := func(length, sent int) string {
		return fmt.Sprintf("POST /moved/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
	}
	for name, c := range map[string]struct {
		kind routing.Kind
		asks bool
		sent string
	}{
		"no body":                                {routing.KindSafe, false, get},
		"pipelined behind another one":           {routing.KindSafe, false, get + get},
		"behind one that is not safe":            {routing.KindUnsafe, false, post(2, 2) + get},
		"download":                               {routing.KindDownload, false, get},
		"short body":                             {routing.KindUpload, false, post(100, 100)},
		"announced body, in memory":              {routing.KindUpload, false, post(announcedBody, announcedBody)},
		"announced body, not read":               {routing.KindUpload, false, post(2*bufferedBody, 2*bufferedBody)},
		"announced body, not read and not whole": {routing.KindUpload, false, post(4*bufferedBody, 2*bufferedBody)},
		"body that was asked for":                {routing.KindUpload, true, post(announcedBody, announcedBody)},
		"large body that was asked for":          {routing.KindUpload, true, post(2*bufferedBody, 2*bufferedBody)},
	} {
		for leaving, leave := range map[string]func(*net.TCPConn){
			"closes": func(conn *net.TCPConn) { conn.Close() },
			"resets": func(conn *net.TCPConn) { _ = conn.SetLinger(0); conn.Close() },
		} {
			t.Run(name+", "+leaving, func(t *testing.T) {
				is := is.New(t)
				node := startLeavingNode(t, c.asks)
				router := startLeaving(t, c.kind, node)
				caller, err := net.Dial("tcp", router.Address())
				is.NoErr(err)
				defer caller.Close()
				_, err = io.WriteString(caller, c.sent)
				is.NoErr(err)
				<-node.begun
				leave(caller.(*net.TCPConn))
				awaitNoRequests(t, router)
				close(node.read)
				<-node.ended
			})
		}
	}
}

// Guards against bodies which reach a node after their caller has gone because a slow link still carries them: the
// close lies behind them.
func TestBodyOnASlowLinkDoesNotHideTheClose(t *testing.T) {
	is := is.New(t)
	const length = bufferedBody
	node := startLeavingNode(t, true)
	router := startLeaving(t, routing.KindUpload, node)
	caller, err := net.Dial("tcp", router.Address())
	is.NoErr(err)
	defer caller.Close()
	_, err = fmt.Fprintf(caller, "POST /moved/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	is.NoErr(err)
	<-node.begun
	caller.Close()
	awaitNoRequests(t, router)
	close(node.read)
	end := <-node.ended
	is.True(end.length < length)
	is.True(end.err != nil) // the node sees a reset, not an end
}

// Guards against requests that are sent between two checks of their callers' connections.
func TestNothingIsSentForACallerThatHasGone(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		gone   bool
		sent   bool
	}{
		"the caller is there":                      {time.Second, false, true},
		"the caller has gone":                      {time.Second, true, false},
		"a request that has not waited is sent on": {0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller := &reportingConn{}
			caller.gone.Store(c.gone)
			p := &proxiedRequest{tracker: upstream.NewTracker(), caller: caller, started: clock.Now() - c.waited}
			if c.waited == 0 {
				p.started += time.Hour // of the future: no time passes before the check
			}
			// No watcher runs.
			p.disconnect = disconnect.NewWatcher().Add(caller, p.tracker.Cancel)
			is.Equal(p.isAbandoned(), !c.sent)
			is.Equal(p.tracker.IsCancelled(), !c.sent)
		})
	}
}

// reportingConn is a connection that reports whether its caller has gone.
type reportingConn struct {
	net.Conn
	gone atomic.Bool
}

// Disconnected is read by package disconnect.
func (c *reportingConn) Disconnected() bool { return c.gone.Load() }

// Guards against requests and bodies that are sent for a caller that is gone by then, and against an instance, a
// connection or a retry that pays for it.
func TestAttemptForACallerThatHasGone(t *testing.T) {
	for name, c := range map[string]struct {
		// The caller goes before the request is sent, or before the node asks for the body.
		goneBefore, goneAtAsk bool
		state                 attemptState
		reason                string
		idle                  int
	}{
		"it is there":                     {false, false, attemptAnswered, "", 1},
		"it has gone before":              {true, false, attemptNotSent, rejectCallerGone.reason, 1},
		"it goes before the body is sent": {false, true, attemptNotSent, rejectCallerGone.reason, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router, _ := startRouter(t, routing.KindUpload, 0, nil)
			caller := &reportingConn{}
			caller.gone.Store(c.goneBefore)
			node := startAskingNode(t, func() { caller.gone.Store(c.goneBefore || c.goneAtAsk) })
			p := &proxiedRequest{
				id: "r", tracker: upstream.NewTracker(), caller: caller, started: clock.Now() - time.Second, deadline: clock.Now() + time.Minute,
				outbound: fasthttp.AcquireRequest(), route: &catalog.Route{MaxAttempts: 3}, service: router.table.services["orders"],
			}
			p.outbound.Header.SetMethod(fasthttp.MethodPost)
			p.outbound.Header.SetHost("shop.example")
			p.outbound.Header.SetRequestURI("/moved/1")
			p.outbound.SetBodyRaw(make([]byte, announcedBody))
			p.disconnect = disconnect.NewWatcher().Add(caller, p.tracker.Cancel)
			result := router.send(p, &wire.NodeView{Name: "node", Address: node, SelfLimited: true})
			is.Equal(result.state, c.state)
			is.Equal(result.reason, c.reason)
			is.Equal(router.upstreams.IdleCount(node), c.idle)
			if c.state != attemptAnswered {
				is.Equal(instanceOutcome(p, result), admission.OutcomeNeutral)
				is.Equal(router.mayRetry(p, newOwnerWait(p), result, 1), false)
			}
		})
	}
}

// startAskingNode starts a node that calls a function, asks for the body of each request, and answers it once it has
// read that. It returns its address.
func startAskingNode(t *testing.T, beforeAsk func()) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		beforeAsk()
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
		writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
