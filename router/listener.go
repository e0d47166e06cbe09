package router

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// drainListener is a TCP listener that can be closed without losing the
// connections that callers have opened and nobody has accepted yet: closing a
// listener resets those.
type drainListener struct {
	*net.TCPListener
	stopping atomic.Bool
	// drained is closed once what was waiting has been accepted.
	drained chan struct{}
	once    sync.Once
}

// drainPatience bounds the wait for connections to be accepted that are waiting: some
// microseconds each, where anybody accepts at all.
const drainPatience = time.Second

func newDrainListener(listener *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: listener, drained: make(chan struct{})}
}

// stop has what is waiting accepted, and returns once the listener is closed: the server
// closes it as well when it is shut down, and must not do so before. Accept returns io.EOF
// after the last connection.
func (l *drainListener) stop() {
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Now())
	select {
	case <-l.drained:
	case <-time.After(drainPatience):
	}
}

// Close implements net.Listener. Closing again what has been closed is no failure: a server
// that is shut down would return with it, and wait for none of its requests.
func (l *drainListener) Close() error {
	err := l.TCPListener.Close()
	if l.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	if !l.stopping.Load() {
		conn, err := l.TCPListener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	if conn := l.takeWaiting(); conn != nil {
		return conn, nil
	}
	l.Close()
	l.once.Do(func() { close(l.drained) })
	return nil, io.EOF
}

// takeWaiting accepts without waiting; nil when nothing is there.
func (l *drainListener) takeWaiting() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	accepted := -1
	err = raw.Control(func(listening uintptr) {
		descriptor, _, acceptErr := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if acceptErr == nil {
			accepted = descriptor
		}
	})
	if err != nil || accepted < 0 {
		return nil
	}
	file := os.NewFile(uintptr(accepted), "caller")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}
