// Package upstream keeps connections to other HTTP servers: it dials, lends and
// takes back. It never sends anything by itself and repeats nothing, so that
// whoever uses it always knows what was sent.
package upstream

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"limehold/clock"
)

const (
	dialTimeout = 500 * time.Millisecond
	bufferSize  = 16 << 10
	// SweepEvery is how often Pool.Sweep is to be called.
	SweepEvery = time.Second
	// DefaultIdleLimit is how long a connection is kept without use when its peer
	// does not say how long it keeps it.
	DefaultIdleLimit = 4 * time.Second
)

// Pool keeps idle connections by address.
type Pool struct {
	idleLimit time.Duration
	mutex     sync.Mutex
	idle      map[string][]*Conn
}

// Conn is one connection.
type Conn struct {
	Raw    net.Conn
	Reader *bufio.Reader
	Writer *bufio.Writer
	// Counted counts what has been written to Raw.
	Counted CountingWriter
	Address string
	// Reused is set on a connection that has carried a request before.
	Reused bool
	// KeepFor is how long the peer keeps the connection without use, once it has
	// said so. Zero: the pool's limit.
	KeepFor time.Duration
	since   time.Duration
	// deadline is set while a request is on the connection.
	deadline atomic.Pointer[clock.Deadline]
}

// CountingWriter counts the bytes that its inner writer took.
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

// NewPool returns a pool that keeps idle connections up to a limit.
func NewPool(idleLimit time.Duration) *Pool {
	return &Pool{idleLimit: idleLimit, idle: map[string][]*Conn{}}
}

// Get returns an idle connection that is still clean, or dials.
func (p *Pool) Get(address string, timeout time.Duration) (*Conn, error) {
	for {
		conn := p.takeIdle(address)
		if conn == nil {
			break
		}
		if !p.tooOld(conn) && conn.clean() {
			conn.Reused = true
			return conn, nil
		}
		conn.Close()
	}
	return Dial(address, timeout)
}

// Dial opens a connection that no pool knows yet.
func Dial(address string, timeout time.Duration) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", address, min(timeout, dialTimeout))
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", address)
	}
	conn := &Conn{Raw: raw, Address: address, Reader: bufio.NewReaderSize(raw, bufferSize)}
	conn.Counted.Inner = raw
	conn.Writer = bufio.NewWriterSize(&conn.Counted, bufferSize)
	return conn, nil
}

// takeIdle returns the connection used last: the others may then grow old.
func (p *Pool) takeIdle(address string) *Conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return last
}

// Put takes a connection back whose answer has been read to its end. Bytes that
// follow the answer belong to nobody: such a connection is closed.
func (p *Pool) Put(conn *Conn) {
	if conn.Reader.Buffered() > 0 {
		conn.Close()
		return
	}
	if err := conn.ClearDeadline(); err != nil {
		conn.Close()
		return
	}
	conn.since = clock.Now()
	p.mutex.Lock()
	p.idle[conn.Address] = append(p.idle[conn.Address], conn)
	p.mutex.Unlock()
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	p.mutex.Lock()
	var old []*Conn
	for address, list := range p.idle {
		fresh := 0
		for fresh < len(list) && p.tooOld(list[fresh]) {
			fresh++
		}
		old = append(old, list[:fresh]...)
		if fresh == len(list) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = append([]*Conn(nil), list[fresh:]...)
	}
	p.mutex.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}

// tooOld reports whether the peer may be about to close an idle connection.
func (p *Pool) tooOld(conn *Conn) bool {
	limit := p.idleLimit
	if conn.KeepFor > 0 {
		limit = min(limit, conn.KeepFor)
	}
	return clock.Now()-conn.since >= limit
}

// Idle is how many connections to an address are kept without use.
func (p *Pool) Idle(address string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[address])
}

// SetDeadline has everything on the connection fail from a time on, by the clock that goes on
// while the machine is suspended; now is a reading of it.
func (c *Conn) SetDeadline(now, at time.Duration) error {
	deadline, err := clock.NewDeadline(c.Raw.SetDeadline, now, at)
	if err != nil {
		return err
	}
	if before := c.deadline.Swap(deadline); before != nil {
		before.Forget()
	}
	return nil
}

// ClearDeadline ends the deadline.
func (c *Conn) ClearDeadline() error {
	if deadline := c.deadline.Swap(nil); deadline != nil {
		return deadline.End()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() {
	if deadline := c.deadline.Swap(nil); deadline != nil {
		deadline.Forget()
	}
	c.Raw.Close()
}

// clean reports whether an idle connection is open and has nothing to read: a
// late or second answer, or the other side's close, makes it unusable.
func (c *Conn) clean() bool {
	return Peek(c.Raw) == PeekNothing
}

// PeekState is what Peek has found.
type PeekState uint8

// Findings of Peek.
const (
	// PeekNothing: the connection is open and has nothing to read.
	PeekNothing PeekState = iota
	// PeekData: bytes are waiting.
	PeekData
	// PeekClosed: the other side has closed or reset the connection.
	PeekClosed
)

// Peek looks at a TCP connection without waiting and without taking bytes. A
// connection that cannot be looked at counts as having nothing to read.
func Peek(conn net.Conn) PeekState {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return PeekNothing
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return PeekClosed
	}
	state := PeekNothing
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case receiveErr == syscall.EAGAIN || receiveErr == syscall.EINTR:
			state = PeekNothing
		case receiveErr != nil || count == 0:
			state = PeekClosed
		default:
			state = PeekData
		}
		return true
	})
	if err != nil {
		return PeekClosed
	}
	return state
}
