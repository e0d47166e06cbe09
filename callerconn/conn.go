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

	"limehold/goaway"
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
	goaway.Lifecycle
	// idle is set while the server's next read waits for a request. It ends sooner than the server reports if the server
	// reads the connection by itself.
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
	// err is the error that ended reading or writing.
	err error
	// abandoned is set once no further answer will be written.
	abandoned bool
	// parsed is used by readAhead.
	parsed fasthttp.RequestHeader
}

// errUnexpectedRead is returned if the server reads beyond the end of a request.
var errUnexpectedRead = errors.New("read beyond the end of the request")

// Disconnected reports whether the caller has closed the connection, or no answer will be written to it.
func (c *Conn) Disconnected() bool {
	c.mutex.Lock()
	ended := c.abandoned || c.err != nil
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
	if c.Closed() {
		return nil // it keeps its own deadline
	}
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
		case c.Closed():
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

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	c.Written()
	closed := c.Closed()
	c.mutex.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	count, err := c.Conn.Write(data)
	if err != nil {
		c.fail(err) // no notice may follow
	}
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

// awaitHead waits for the next request and makes it the current one. The mutex is held.
func (c *Conn) awaitHead() error {
	c.direct = false
	c.changed.Broadcast()
	for {
		switch {
		case c.Closed():
			return net.ErrClosed
		case len(c.heads) > 0:
			c.handOver(c.heads[0])
			c.heads = append(c.heads[:0], c.heads[1:]...)
			return nil
		case c.handover:
			c.handover, c.direct, c.idle = false, true, false
			return c.Conn.SetReadDeadline(c.deadline)
		case c.err != nil:
			return c.err
		case c.timedOut, c.listener.stopping.Load():
			// The server would answer a timeout with a response of its own.
			return io.EOF
		}
		if err := c.armRead(); err != nil {
			return err
		}
		c.waiting = true
		c.changed.Wait()
		c.waiting = false
	}
}

// handOver hands a request to the server. The mutex is held.
func (c *Conn) handOver(next *head) {
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
