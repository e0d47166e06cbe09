package callerconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/pipeline"
	"limehold/upstream"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	listener *Listener

	mutex sync.Mutex
	// changed is signalled when the fields below change.
	changed sync.Cond
	queue   pipeline.Queue
	// idle is set while the server waits for a request.
	idle bool
	// buffer holds what was read and does not belong to a request in heads yet.
	buffer []byte
	// heads holds the requests that were read and not handed to the server, in order.
	heads []*head
	// current is the request that the server handles; nil if it was not read by readAhead.
	current *head
	// unread is the rest of the current request's head, which the server has not read, and bodyLeft the number of
	// bytes of its body that it has not read.
	unread   []byte
	bodyLeft int64
	// direct is set while the server reads the connection by itself, until it waits for a request the next time:
	// for bodies of unknown length and for heads that arrive in parts or are malformed.
	direct bool
	// handover is set if such a head is next in the buffer.
	handover bool
	// waiting is set while the server waits for a request in Read, until deadline.
	waiting  bool
	deadline time.Time
	timedOut bool
	// reading is set while readAhead reads from the connection.
	reading bool
	// err is the error that ended reading.
	err    error
	closed bool
	// parsed is used by readAhead.
	parsed fasthttp.RequestHeader
}

// errUnexpectedRead is returned if the server reads beyond the end of a request.
var errUnexpectedRead = errors.New("read beyond the end of the request")

// Disconnected reports whether the caller has closed the connection, or this process has.
func (c *Conn) Disconnected() bool {
	c.mutex.Lock()
	ended := c.closed || c.err != nil
	c.mutex.Unlock()
	return ended || upstream.Peek(c.Conn) == upstream.PeekClosed
}

// SyscallConn implements syscall.Conn, for connections that have a descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetReadDeadline implements net.Conn. The deadline applies to the server's reads only.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = at
	if c.reading {
		return nil // readAhead has none while the server does not wait
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Read implements net.Conn for the server. It returns bytes of one request at a time.
func (c *Conn) Read(data []byte) (int, error) {
	c.mutex.Lock()
	for {
		switch {
		case c.closed:
			c.mutex.Unlock()
			return 0, net.ErrClosed
		case len(c.unread) > 0:
			count := copy(data, c.unread)
			c.unread = c.unread[count:]
			c.mutex.Unlock()
			return count, nil
		case c.bodyLeft > 0:
			return c.readBody(data[:min(int64(len(data)), c.bodyLeft)])
		case c.direct && !c.idle:
			return c.readDirect(data)
		case !c.idle:
			c.mutex.Unlock()
			return 0, errUnexpectedRead
		}
		if err := c.awaitHead(); err != nil {
			c.mutex.Unlock()
			return 0, err
		}
	}
}

// readBody reads a part of the current request's body. It is called with the mutex and releases it.
func (c *Conn) readBody(data []byte) (int, error) {
	count, err := c.readDirect(data)
	c.mutex.Lock()
	c.bodyLeft -= int64(count)
	if c.bodyLeft == 0 {
		c.changed.Broadcast()
	}
	c.mutex.Unlock()
	return count, err
}

// readDirect reads from the buffer or else from the connection, under the server's deadline. It is called with the
// mutex and releases it.
func (c *Conn) readDirect(data []byte) (int, error) {
	if len(c.buffer) > 0 {
		count := copy(data, c.buffer)
		c.buffer = append(c.buffer[:0], c.buffer[count:]...)
		c.mutex.Unlock()
		return count, nil
	}
	c.mutex.Unlock()
	count, err := c.Conn.Read(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.fail(err)
	}
	return count, err
}

// awaitHead waits for the next request and makes it the current one. The mutex is held. The server has read the
// previous request to its end and has written its answer.
func (c *Conn) awaitHead() error {
	if c.current != nil {
		c.queue.Answered()
		c.forget(c.current)
		c.current = nil
	}
	c.direct = false
	c.changed.Broadcast()
	for {
		switch {
		case c.closed:
			return net.ErrClosed
		case len(c.heads) > 0:
			c.begin(c.heads[0])
			c.heads = append(c.heads[:0], c.heads[1:]...)
			return nil
		case c.handover:
			c.handover, c.direct, c.idle = false, true, false
			return c.Conn.SetReadDeadline(c.deadline)
		case c.err != nil:
			return c.err
		case c.timedOut:
			c.timedOut = false
			return os.ErrDeadlineExceeded
		}
		if err := c.armRead(); err != nil {
			return err
		}
		c.waiting = true
		c.changed.Wait()
		c.waiting = false
	}
}

// begin hands a request to the server. The mutex is held.
func (c *Conn) begin(next *head) {
	c.current = next
	c.unread, c.bodyLeft, c.direct = next.raw, next.body, next.unframed
	deadline := c.deadline
	if c.reading {
		deadline = time.Time{}
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil && c.err == nil {
		c.err = err
	}
}

// forget releases the place of a request that ran ahead. The mutex is held.
func (c *Conn) forget(answered *head) {
	if answered.ahead != nil && !answered.forgotten {
		answered.forgotten = true
		c.listener.ahead.Add(-1)
	}
}

// Close implements net.Conn. Requests that run ahead are abandoned.
func (c *Conn) Close() error {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	pending := len(c.heads) > 0 || len(c.buffer) > 0
	if c.current != nil {
		c.forget(c.current)
	}
	for _, abandoned := range c.heads {
		c.forget(abandoned)
		if abandoned.ahead != nil {
			go abandoned.ahead.discard()
		}
	}
	c.heads = nil
	c.queue.Close()
	ended := c.err != nil
	c.changed.Broadcast()
	c.mutex.Unlock()
	if !ended && (pending || upstream.Peek(c.Conn) == upstream.PeekData) {
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			go c.linger(half)
			return nil
		}
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	defer c.listener.open.Done()
	return c.Conn.Close()
}

// linger closes the connection once the caller has closed it, or after lingerTime.
func (c *Conn) linger(half interface{ CloseWrite() error }) {
	defer c.closeNow()
	if err := half.CloseWrite(); err != nil {
		return
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // ends by the deadline or by the caller's close
}
