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

	"limehold/accept"
)

// drainListener is a TCP listener that can be closed without resetting connections
// that callers have opened but the server has not accepted yet.
//
// Before it closes, it drops SYNs where the system supports it. Otherwise connections that
// are established between the last accept and the close are reset, which happened in one of five
// stops under four callers that opened one connection after the other. A caller whose SYN is
// dropped has not connected, and is refused when it retransmits the SYN.
type drainListener struct {
	*net.TCPListener
	stopping atomic.Bool
	// handshakesUntil is when handshakes that had begun before the stop are complete,
	// as Unix time in nanoseconds.
	handshakesUntil atomic.Int64
	// drained is closed once all pending connections have been accepted.
	drained chan struct{}
	once    sync.Once
}

// drainTimeout bounds the wait until the server has accepted the pending connections,
// which takes some microseconds each.
const drainTimeout = time.Second

// handshakeTimeout is how long handshakes that had begun before the stop may take. The longest
// round trip to callers in supported deployments is 16 ms.
const handshakeTimeout = 20 * time.Millisecond

// listenDraining listens on an address. It disables multipath TCP, which Go's listeners use
// where available, because packet filters require plain TCP.
func listenDraining(address string) (*drainListener, error) {
	var plain net.ListenConfig
	plain.SetMultipathTCP(false)
	listener, err := plain.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return newDrainListener(listener.(*net.TCPListener)), nil
}

func newDrainListener(listener *net.TCPListener) *drainListener {
	return &drainListener{TCPListener: listener, drained: make(chan struct{})}
}

// stop makes Accept return the pending connections and then io.EOF. It returns once the listener
// is closed, or after drainTimeout. The caller must not shut down the server earlier, because the
// shutdown closes the listener too.
func (l *drainListener) stop() {
	if l.dropSYNs() == nil {
		l.handshakesUntil.Store(time.Now().Add(handshakeTimeout).UnixNano())
	}
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Now())
	select {
	case <-l.drained:
	case <-time.After(drainTimeout):
	}
}

// Close implements net.Listener. A second close after stop is no error: the server's shutdown
// would return it at once instead of waiting for requests.
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
		if conn := accept.Pending(l.TCPListener); conn != nil {
			return conn, nil
		}
		if time.Now().UnixNano() >= l.handshakesUntil.Load() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	l.Close()
	l.once.Do(func() { close(l.drained) })
	return nil, io.EOF
}

// Constants of the packet filter, which sees the TCP header: byte 13 holds the flags.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	dropPacket     = 0
	acceptPacket   = 0xffffffff
)

// dropSYNs makes the system drop the packets that open connections; packets that complete a
// handshake still pass. It returns an error on systems without packet filters.
func (l *drainListener) dropSYNs() error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var attachErr error
	err = raw.Control(func(listening uintptr) {
		program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		attachErr = unix.SetsockoptSockFprog(int(listening), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	return errors.Join(err, attachErr)
}
