// Package goaway closes kept HTTP/1.1 connections in such a way that a request which crosses the close is known not
// to have run. HTTP/1.1 has no message for that: a client that sends a request on a connection which the server is
// closing reads the end of the connection and cannot tell whether the request ran.
//
// A Listener's connections write a notice when the server closes them while it waits for the next request, and stay
// readable for a while, so that a request which was under way does not reset the connection before the client has
// read the notice. The client takes the notice for the response to that request.
package goaway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/accept"
)

// Listener wraps the connections that it accepts. Its ConnState method has to be the hook of the server that serves
// them.
type Listener struct {
	net.Listener
	notice       []byte
	notices      atomic.Int64
	reportsStart atomic.Bool
	stopping     atomic.Bool
	// open counts the connections that are not closed.
	open  sync.WaitGroup
	mutex sync.Mutex
	conns map[*conn]struct{}
}

// New returns a listener whose connections write the notice, a complete response, when they are closed while idle.
func New(inner net.Listener, notice []byte) *Listener {
	return &Listener{Listener: inner, notice: notice, conns: map[*conn]struct{}{}}
}

// Handler returns the handler for the server. With it, a connection that is closed before its request begins to run gets
// the notice too.
func (l *Listener) Handler(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	l.reportsStart.Store(true)
	return func(request *fasthttp.RequestCtx) {
		if c, ok := unwrap(request.Conn()).(*conn); ok {
			c.started()
		}
		handle(request)
	}
}

// unwrap returns the innermost connection.
func unwrap(outer net.Conn) net.Conn {
	for {
		wrapper, ok := outer.(interface{ NetConn() net.Conn })
		if !ok {
			return outer
		}
		outer = wrapper.NetConn()
	}
}

// Accept implements net.Listener. A connection that is not a TCP connection is returned as it is.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	return l.wrap(tcp), nil
}

func (l *Listener) wrap(accepted *net.TCPConn) *conn {
	c := &conn{TCPConn: accepted, listener: l, Lifecycle: Lifecycle{ReportsStart: l.reportsStart.Load()}}
	l.open.Add(1)
	l.mutex.Lock()
	l.conns[c] = struct{}{}
	l.mutex.Unlock()
	return c
}

// Close implements net.Listener. Connections that are idle then, or later, are closed with the notice, whether or not
// the server's shutdown waits for them, and so are those that have not been accepted yet.
func (l *Listener) Close() error {
	l.stopping.Store(true)
	if tcp, ok := l.Listener.(*net.TCPListener); ok {
		for pending := accept.Pending(tcp); pending != nil; pending = accept.Pending(tcp) {
			_ = l.wrap(pending).Close() // its end is not awaited
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for c := range l.conns {
		c.wake()
	}
	return l.Listener.Close()
}

// ConnState is the server's hook for changes of the state of a connection.
func (l *Listener) ConnState(changed net.Conn, state fasthttp.ConnState) {
	if c, ok := changed.(*conn); ok {
		c.report(state)
	}
}

// Notices returns how many connections were closed with the notice.
func (l *Listener) Notices() int64 { return l.notices.Load() }

// Wait waits until all connections are closed, also those that are kept readable. The server has to be shut down first:
// its shutdown returns before it has closed the last connections.
func (l *Listener) Wait() { l.open.Wait() }

// WaitContext is Wait for as long as the context lasts. It returns the context's error if connections are still open.
func (l *Listener) WaitContext(ctx context.Context) error { return Wait(ctx, &l.open) }

// remove records that a connection is closed, or is its hijacker's.
func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	_, found := l.conns[c]
	delete(l.conns, c)
	l.mutex.Unlock()
	if found {
		l.open.Done()
	}
}

// PastDeadline is a deadline that has passed, which ends reads and writes at once.
var PastDeadline = time.Unix(1, 0)
