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

// conn is a connection that the server closes with a notice while it is idle.
type conn struct {
	*net.TCPConn
	listener *Listener

	mutex sync.Mutex
	Lifecycle
	// broken is set once a write has failed, or a read other than by a timeout.
	broken bool
	// deadline is the server's for reads. It is restored when a part of a request arrives on a connection that has been
	// woken.
	deadline time.Time
	woken    bool
}

// report records a state that the server has reported, and carries out a close that waits for it.
func (c *conn) report(state fasthttp.ConnState) {
	c.mutex.Lock()
	mode := c.Report(state)
	c.mutex.Unlock()
	if mode != CloseLater {
		_ = c.end(mode) // the server has been told of the close already
	}
	if state == fasthttp.StateHijacked {
		c.listener.remove(c)
	}
}

// started records that a request runs.
func (c *conn) started() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.Started()
}

// wake ends a read that waits for a request.
func (c *conn) wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.Waiting() && !c.Closed() {
		c.woken = true
		_ = c.TCPConn.SetReadDeadline(PastDeadline) // fails only on a closed connection
	}
}

// isOver reports whether the server has to close the connection instead of waiting for a request.
func (c *conn) isOver() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.listener.stopping.Load() && c.Waiting()
}

// Read implements net.Conn. A timeout without a part of a request counts as the end of the connection: the server would
// answer it with a response of its own.
func (c *conn) Read(data []byte) (int, error) {
	if c.isOver() {
		return 0, io.EOF
	}
	count, err := c.TCPConn.Read(data)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.Received()
		c.restoreDeadline()
	}
	switch {
	case err == nil:
		return count, nil
	case c.Closed():
		return count, net.ErrClosed
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.broken = true
		return count, err
	case c.Waiting():
		return count, io.EOF
	}
	return count, err
}

// SetReadDeadline implements net.Conn. A closed connection keeps its own deadline.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.Closed() {
		return nil
	}
	c.deadline, c.woken = at, false
	return c.TCPConn.SetReadDeadline(at)
}

// restoreDeadline undoes wake. The mutex is held.
func (c *conn) restoreDeadline() {
	if c.woken && !c.Closed() {
		c.woken = false
		_ = c.TCPConn.SetReadDeadline(c.deadline) // fails only on a closed connection
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	c.Written()
	closed := c.Closed()
	c.mutex.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	count, err := c.TCPConn.Write(data)
	if err != nil {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.broken = true
	}
	return count, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.Closed() {
		c.mutex.Unlock()
		return net.ErrClosed
	}
	mode := c.Lifecycle.Close()
	c.mutex.Unlock()
	if mode == CloseLater {
		// Ends a read or a write that the server waits in.
		return c.TCPConn.SetDeadline(PastDeadline)
	}
	return c.end(mode)
}

// end closes the connection, behind the notice if it is idle.
func (c *conn) end(mode CloseMode) error {
	c.mutex.Lock()
	broken := c.broken
	c.mutex.Unlock()
	if broken || mode == CloseHijacked {
		defer c.listener.remove(c)
		return c.TCPConn.Close()
	}
	go c.linger(mode == CloseIdle)
	return nil
}

// endRead ends a read that the server waits in, and returns once it has ended: a deadline that is set sooner would
// prolong it.
func (c *conn) endRead() {
	if err := c.TCPConn.SetReadDeadline(PastDeadline); err != nil {
		return // the connection is closed
	}
	_, _ = c.TCPConn.Read(make([]byte, 1)) // waits for the other read, and fails by the deadline
}

// linger closes the connection once the client has closed it, or some time later.
func (c *conn) linger(withNotice bool) {
	defer c.listener.remove(c)
	defer c.TCPConn.Close()
	c.endRead()
	if withNotice {
		if err := WriteNotice(c.TCPConn, c.listener.notice); err != nil {
			return // the client does not read, or has closed the connection
		}
		c.listener.notices.Add(1)
	}
	_ = Linger(c.TCPConn, lingerTime) // the connection is closed in any case
}
