package router

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleLimit      = 4 * time.Second
	upstreamBuffer = 16 << 10
	sweepEvery     = time.Second
)

// upstreams keeps idle connections to back ends. It dials, lends and takes
// back; it never sends anything by itself and repeats nothing.
type upstreams struct {
	mutex sync.Mutex
	idle  map[string][]*upstream
}

// upstream is one connection to a back end.
type upstream struct {
	raw     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	counted countingWriter
	address string
	since   time.Time
	reused  bool
}

func newUpstreams() *upstreams { return &upstreams{idle: map[string][]*upstream{}} }

// get returns an idle connection that is still clean, or dials.
func (u *upstreams) get(address string, timeout time.Duration) (*upstream, error) {
	for {
		conn := u.takeIdle(address)
		if conn == nil {
			break
		}
		if time.Since(conn.since) < idleLimit && conn.clean() {
			conn.reused = true
			return conn, nil
		}
		conn.close()
	}
	raw, err := net.DialTimeout("tcp", address, min(timeout, dialTimeout))
	if err != nil {
		return nil, eris.Wrapf(err, "dial back end %s", address)
	}
	conn := &upstream{raw: raw, address: address, reader: bufio.NewReaderSize(raw, upstreamBuffer)}
	conn.counted.inner = raw
	conn.writer = bufio.NewWriterSize(&conn.counted, upstreamBuffer)
	return conn, nil
}

// takeIdle returns the connection used last: the others may then grow old.
func (u *upstreams) takeIdle(address string) *upstream {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	list := u.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	u.idle[address] = list[:len(list)-1]
	return last
}

// put takes a connection back whose answer has been read to its end. Bytes that
// follow the answer belong to nobody: such a connection is closed.
func (u *upstreams) put(conn *upstream) {
	if conn.reader.Buffered() > 0 {
		conn.close()
		return
	}
	if err := conn.raw.SetDeadline(time.Time{}); err != nil {
		conn.close()
		return
	}
	conn.since = time.Now()
	u.mutex.Lock()
	u.idle[conn.address] = append(u.idle[conn.address], conn)
	u.mutex.Unlock()
}

// sweep closes connections that have been idle for too long.
func (u *upstreams) sweep() {
	u.mutex.Lock()
	var old []*upstream
	for address, list := range u.idle {
		fresh := 0
		for fresh < len(list) && time.Since(list[fresh].since) >= idleLimit {
			fresh++
		}
		old = append(old, list[:fresh]...)
		if fresh == len(list) {
			delete(u.idle, address)
			continue
		}
		u.idle[address] = append([]*upstream(nil), list[fresh:]...)
	}
	u.mutex.Unlock()
	for _, conn := range old {
		conn.close()
	}
}

func (c *upstream) close() { c.raw.Close() }

// clean reports whether an idle connection is open and has nothing to read: a
// late or second answer, or the other side's close, makes it unusable.
func (c *upstream) clean() bool {
	state := peek(c.raw)
	return state == peekNothing
}

type peekState uint8

const (
	peekNothing peekState = iota
	peekData
	peekClosed
)

// peek looks at a TCP connection without waiting and without taking bytes. A
// connection that cannot be looked at counts as having nothing to read.
func peek(conn net.Conn) peekState {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return peekNothing
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return peekClosed
	}
	state := peekNothing
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case receiveErr == syscall.EAGAIN || receiveErr == syscall.EINTR:
			state = peekNothing
		case receiveErr != nil || count == 0:
			state = peekClosed
		default:
			state = peekData
		}
		return true
	})
	if err != nil {
		return peekClosed
	}
	return state
}
