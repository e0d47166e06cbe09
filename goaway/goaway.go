// Package goaway closes kept HTTP/1.1 connections in such a way that a request which crosses the close is known not
// to have run. HTTP/1.1 has no message for that: a client that sends a request on a connection which the server is
// closing reads the end of the connection and cannot tell whether the request ran.
//
// A Listener's connections write a notice when the server closes them while it waits for the next request, and stay
// readable for a while, so that a request which was under way does not reset the connection before the client has
// read the notice. The client takes the notice for the response to that request.
package goaway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTime is how long a closed connection stays readable. Requests cross a close only within the time that
	// the close takes to reach the client.
	lingerTime = 300 * time.Millisecond
	// noticeTimeout bounds the writing of the notice.
	noticeTimeout = 50 * time.Millisecond
)

// Listener wraps the connections that it accepts. Its ConnState method has to be the hook of the server that serves
// them.
type Listener struct {
	net.Listener
	notice    []byte
	lingering sync.WaitGroup
}

// New returns a listener whose connections write the notice, a complete response, when they are closed while idle.
func New(inner net.Listener, notice []byte) *Listener {
	return &Listener{Listener: inner, notice: notice}
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
	return &conn{TCPConn: tcp, listener: l, idle: true}, nil
}

// ConnState is the server's hook for changes of the state of a connection.
func (l *Listener) ConnState(changed net.Conn, state fasthttp.ConnState) {
	if c, ok := changed.(*conn); ok {
		c.setState(state)
	}
}

// Wait waits until no closed connection is kept readable any more, for a fraction of a second.
func (l *Listener) Wait() { l.lingering.Wait() }

// conn is a connection that the server closes with a notice while it is idle.
type conn struct {
	*net.TCPConn
	listener *Listener

	mutex sync.Mutex
	// idle is set while the server waits for a request. What it reads then is either handled, after it has set the
	// state to active, or dropped because of a close.
	idle bool
	// peerClosed is set once a read has failed other than by a timeout.
	peerClosed bool
	closed     bool
	// undecided is set when the connection was closed before the server reported whether it is idle. A shutdown
	// closes connections that the server regards as idle, but has not reported as such yet.
	undecided bool
}

// setState records a state that the server has reported, and carries out a close that waits for it.
func (c *conn) setState(state fasthttp.ConnState) {
	c.mutex.Lock()
	c.idle = state == fasthttp.StateNew || state == fasthttp.StateIdle
	undecided := c.undecided
	c.undecided = false
	graceful := c.idle && !c.peerClosed
	c.mutex.Unlock()
	if undecided {
		_ = c.closeNow(graceful) // the server has been told of the close already
	}
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	count, err := c.TCPConn.Read(data)
	if err == nil {
		return count, nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return count, net.ErrClosed
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed = true
	}
	return count, err
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	closed := c.closed
	c.mutex.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(data)
}

// Close implements net.Conn. The server reports a state after each close of a connection that it has reported as
// active: that it is idle, or that it is closed.
func (c *conn) Close() error {
	c.mutex.Lock()
	first, idle, graceful := !c.closed, c.idle, c.idle && !c.peerClosed
	c.closed = true
	c.undecided = first && !idle
	c.mutex.Unlock()
	switch {
	case !first:
		return net.ErrClosed
	case !idle:
		// Ends a read that the server waits in.
		return c.SetReadDeadline(time.Now())
	}
	return c.closeNow(graceful)
}

// closeNow closes the connection, with the notice if the close is graceful.
func (c *conn) closeNow(graceful bool) error {
	if !graceful {
		return c.TCPConn.Close()
	}
	c.listener.lingering.Go(c.closeGracefully)
	return nil
}

// closeGracefully writes the notice and closes the connection once the client has closed it, or after lingerTime.
func (c *conn) closeGracefully() {
	defer c.TCPConn.Close()
	if err := c.SetWriteDeadline(time.Now().Add(noticeTimeout)); err != nil {
		return
	}
	if _, err := c.TCPConn.Write(c.listener.notice); err != nil {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.TCPConn) // ends by the deadline or by the client's close
}
