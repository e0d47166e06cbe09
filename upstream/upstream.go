// Package upstream pools connections to other HTTP servers. It never sends or retries anything by
// itself, so that its callers know what was sent.
package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"limehold/clock"
)

const (
	dialTimeout = 500 * time.Millisecond
	bufferSize  = 16 << 10
	// proxyHeaderBytes exceeds the header fields that a proxy adds to a response.
	proxyHeaderBytes = 8 << 10
	// SweepInterval is the interval at which Pool.Sweep must be called.
	SweepInterval = time.Second
	// DefaultIdleTimeout is how long an idle connection is kept unless its peer announces a
	// shorter limit.
	DefaultIdleTimeout = 4 * time.Second
)

// Pool keeps idle connections by address.
type Pool struct {
	idleTimeout time.Duration
	// bufferSize is the size in bytes of a connection's reader, and thereby of the largest response header that does
	// not repeat a long ID.
	bufferSize int
	dial       dialFunc
	mutex      sync.Mutex
	idle       map[string][]*Conn
}

// dialFunc connects to an address; timeout bounds that.
type dialFunc func(address string, timeout time.Duration) (net.Conn, error)

// Conn is a connection to an HTTP server, with its buffers.
type Conn struct {
	Raw    net.Conn
	Writer *bufio.Writer
	// reader is read by ReadResponse and IsAskedForBody only, which check what they read.
	reader *bufio.Reader
	// readerSize is the size in bytes of reader without room for a long ID.
	readerSize int
	// Written counts the bytes written to Raw.
	Written CountingWriter
	Address string
	// Reused is set if the connection has carried a request before.
	Reused bool
	// PeerIdleTimeout is how long the peer keeps the connection idle, as it announced. If it is 0,
	// only the pool's limit applies.
	PeerIdleTimeout time.Duration
	idleSince       time.Duration
	// sent holds the requests that were sent over the connection; see Pool.GetFor.
	sent sentIDs
	// deadline is set while a request uses the connection.
	deadline atomic.Pointer[clock.Deadline]
}

// CountingWriter counts the bytes that its inner writer accepted.
type CountingWriter struct {
	Inner   io.Writer
	Written int64
}

// Write implements io.Writer.
func (w *CountingWriter) Write(data []byte) (int, error) {
	count, err := w.Inner.Write(data)
	w.Written += int64(count)
	return count, err
}

// NewPool returns a pool that keeps connections idle for up to idleTimeout.
func NewPool(idleTimeout time.Duration) *Pool {
	return &Pool{idleTimeout: idleTimeout, bufferSize: bufferSize, dial: dialTCP, idle: map[string][]*Conn{}}
}

// NewProxyPool is NewPool for connections to proxies, which add header fields to the responses that they receive over
// connections of a pool of their own. A response that a proxy has room for has room here, too.
func NewProxyPool(idleTimeout time.Duration) *Pool {
	pool := NewPool(idleTimeout)
	pool.bufferSize += proxyHeaderBytes
	return pool
}

// Get returns an idle connection that is usable, or dials; timeout bounds only the dial.
func (p *Pool) Get(address string, timeout time.Duration) (*Conn, error) {
	return p.get(address, timeout, func(*Conn) bool { return true })
}

// get returns an idle connection that is usable and accepted, or dials.
func (p *Pool) get(address string, timeout time.Duration, accepts func(*Conn) bool) (*Conn, error) {
	for {
		conn := p.takeIdle(address, accepts)
		if conn == nil {
			break
		}
		if !p.isExpired(conn) && conn.isUsable() {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
	raw, err := p.dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, p.bufferSize), nil
}

// Dial opens a connection that does not belong to a pool yet.
func Dial(address string, timeout time.Duration) (*Conn, error) {
	raw, err := dialTCP(address, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address, bufferSize), nil
}

func dialTCP(address string, timeout time.Duration) (net.Conn, error) {
	raw, err := net.DialTimeout("tcp", address, min(timeout, dialTimeout))
	return raw, eris.Wrapf(err, "dial %s", address)
}

func newConn(raw net.Conn, address string, readerSize int) *Conn {
	conn := &Conn{Raw: raw, Address: address, reader: bufio.NewReaderSize(raw, readerSize), readerSize: readerSize}
	conn.Written.Inner = raw
	conn.Writer = bufio.NewWriterSize(&conn.Written, bufferSize)
	return conn
}

// usualIDLength is the length of a request ID up to which the reader has room for a response header that repeats it.
const usualIDLength = 1 << 10

// ReserveForID makes room in the reader for a response header that repeats the ID of its request, which may take up the
// whole header of a request. It has to be called before the request is sent.
func (c *Conn) ReserveForID(id string) {
	wanted := c.readerSize + len(id)
	if len(id) <= usualIDLength || c.reader.Size() >= wanted || c.reader.Buffered() > 0 {
		return
	}
	c.reader = bufio.NewReaderSize(c.Raw, wanted)
}

// takeIdle returns the connection used last among those that are accepted, so that surplus connections expire.
func (p *Pool) takeIdle(address string, accepts func(*Conn) bool) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for at := len(list) - 1; at >= 0; at-- {
		if conn := list[at]; accepts(conn) {
			p.idle[address] = slices.Delete(list, at, at+1)
			return conn
		}
	}
	return nil
}

// Put returns a connection to the pool after its response was read to its end. It closes the
// connection if further bytes have been received, its deadline cannot be cleared, or it has no room for further IDs.
func (p *Pool) Put(conn *Conn) {
	if conn.reader.Buffered() > 0 || conn.sent.isFull() {
		conn.Close()
		return
	}
	if err := conn.ClearDeadline(); err != nil {
		conn.Close()
		return
	}
	conn.idleSince = clock.Now()
	p.mutex.Lock()
	p.idle[conn.Address] = append(p.idle[conn.Address], conn)
	p.mutex.Unlock()
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	p.mutex.Lock()
	var expired []*Conn
	for address, list := range p.idle {
		expiredCount := 0
		for expiredCount < len(list) && p.isExpired(list[expiredCount]) {
			expiredCount++
		}
		expired = append(expired, list[:expiredCount]...)
		if expiredCount == len(list) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = append([]*Conn(nil), list[expiredCount:]...)
	}
	p.mutex.Unlock()
	for _, conn := range expired {
		conn.Close()
	}
}

// isExpired reports whether a connection has been idle for the pool's limit or the peer's.
func (p *Pool) isExpired(conn *Conn) bool {
	limit := p.idleTimeout
	if conn.PeerIdleTimeout > 0 {
		limit = min(limit, conn.PeerIdleTimeout)
	}
	return clock.Now()-conn.idleSince >= limit
}

// IdleCount returns the number of idle connections to an address.
func (p *Pool) IdleCount(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[address])
}

// HasCarried reports whether the connection has carried a request or a call before.
func (c *Conn) HasCarried() bool { return c.Reused }

// SetDeadline sets the time after which I/O on the connection fails, on the clock that
// continues while the machine is suspended; now is a reading of that clock.
func (c *Conn) SetDeadline(now, at time.Duration) error {
	deadline, err := clock.NewDeadline(c.Raw.SetDeadline, now, at)
	if err != nil {
		return err
	}
	if previous := c.deadline.Swap(deadline); previous != nil {
		previous.Detach()
	}
	return nil
}

// ClearDeadline removes the deadline.
func (c *Conn) ClearDeadline() error {
	if deadline := c.deadline.Swap(nil); deadline != nil {
		return deadline.Clear()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() {
	if deadline := c.deadline.Swap(nil); deadline != nil {
		deadline.Detach()
	}
	c.Raw.Close()
}

// Abort closes the connection and discards what the peer has not received, so that the close does not wait behind it on
// a slow link. The peer sees a reset.
func (c *Conn) Abort() {
	if tcp, ok := c.Raw.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// IsBroken reports whether an error of a write means that the connection broke before the end of what its peer sent. The
// kernel reports that once, to whoever reads or writes next; further reads return io.EOF as if the peer had ended its side.
// A connection that breaks after the peer has ended its side is reported as EPIPE.
func IsBroken(err error) bool {
	if err == nil {
		return false
	}
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// isUsable reports whether an idle connection is open and has nothing to read: a late
// or second response, or a close by the peer, makes it unusable.
func (c *Conn) isUsable() bool {
	return Peek(c.Raw) == PeekIdle
}

// PeekState is the result of Peek.
type PeekState uint8

// Values of PeekState.
const (
	// PeekIdle means that the connection is open and has nothing to read.
	PeekIdle PeekState = iota
	// PeekData means that data can be read, and the peer has not closed the connection behind it.
	PeekData
	// PeekClosed means that the peer has closed or reset the connection, also if data can still be read.
	PeekClosed
)

// Peek checks a TCP connection without blocking and without consuming data. A
// connection of another kind counts as having nothing to read.
func Peek(conn net.Conn) PeekState {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return PeekIdle
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return PeekClosed
	}
	state := PeekIdle
	// Not raw.Read, which would wait for a read that is under way in another goroutine.
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		count, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case receiveErr == syscall.EAGAIN || receiveErr == syscall.EINTR:
			state = PeekIdle
		case receiveErr != nil || count == 0:
			state = PeekClosed
		case isClosedBehindData(descriptor):
			state = PeekClosed
		default:
			state = PeekData
		}
	})
	if err != nil {
		return PeekClosed
	}
	return state
}

// isClosedBehindData reports whether the peer has closed or reset a connection of which data can still be read.
func isClosedBehindData(descriptor uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	count, err := unix.Poll(polled, 0)
	return err == nil && count > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
