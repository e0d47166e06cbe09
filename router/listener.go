package router

import (
	"context"
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
//
// Before it is closed it takes no more SYNs, where the system lets it: callers that came
// between the last look at the queue and the close were reset otherwise, in one of five
// stops under four callers that opened one connection after the other. Whoever comes then
// has not connected, and is refused when its SYN is sent again.
type drainListener struct {
	*net.TCPListener
	stopping atomic.Bool
	// until is when the handshakes that had begun before the stop are over.
	until atomic.Int64
	// drained is closed once what was waiting has been accepted.
	drained chan struct{}
	once    sync.Once
}

// drainPatience bounds the wait for connections to be accepted that are waiting: some
// microseconds each, where anybody accepts at all.
const drainPatience = time.Second

// handshakeTime is how long handshakes may take that had begun before the stop: the longest
// round trip to callers that deployments have is 16 ms.
const handshakeTime = 20 * time.Millisecond

// listenDraining listens on an address. Packet filters are for plain TCP, not for multipath
// TCP, which Go's listeners take where they can.
func listenDraining(address string) (*drainListener, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	opened, err := plain.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newDrainListener(opened.(*net.TCPListener)), nil
}

func newDrainListener(listener *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: listener, drained: make(chan struct{})}
}

// stop has what is waiting accepted, and returns once the listener is closed: the server
// closes it as well when it is shut down, and must not do so before. Accept returns io.EOF
// after the last connection.
func (l *drainListener) stop() {
	if l.takeNoSYN() == nil {
		l.until.Store(time.Now().Add(handshakeTime).UnixNano())
	}
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
	for {
		if conn := l.takeWaiting(); conn != nil {
			return conn, nil
		}
		if time.Now().UnixNano() >= l.until.Load() {
			break
		}
		time.Sleep(time.Millisecond)
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

// Parts of a filter of packets: it sees a TCP header, whose byte 13 has the flags.
const (
	tcpFlagsAt  = 13
	tcpFlagSYN  = 0x02
	dropPacket  = 0
	wholePacket = 0xffffffff
)

// takeNoSYN has the system drop the packets that open connections; those that complete a
// handshake still pass. Systems without packet filters return an error.
func (l *drainListener) takeNoSYN() error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsAt},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholePacket},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var attached error
	err = raw.Control(func(listening uintptr) {
		program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		attached = unix.SetsockoptSockFprog(int(listening), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	return errors.Join(err, attached)
}
