package router

import (
	"errors"
	"io"
	"net"
	"os"
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
}

// stop accepts what is waiting and then closes the listener. Accept returns
// io.EOF after the last connection.
func (l *drainListener) stop() {
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Now())
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
