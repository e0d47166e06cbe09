// Package accept keeps listeners accepting after temporary errors. Otherwise a shortage of file
// descriptors would end the server and its process, and abort all requests in progress, although
// new connections can wait in the kernel's accept queue.
package accept

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold/logging"
	"limehold/metrics"
)

const (
	// initialBackoff and maxBackoff bound the exponential backoff between attempts. A descriptor
	// becomes free with every connection that closes, and callers give up on a connection after a few
	// hundred milliseconds.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 80 * time.Millisecond
)

// temporaryErrors are the errors after which a listener can go on accepting: temporary shortages of the
// process or the system, and errors that affect one connection only (accept(2), Linux).
var temporaryErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// listener is the net.Listener that RetryTemporary returns.
type listener struct {
	net.Listener
	logger   *zap.Logger
	failures prometheus.Counter
	closed   chan struct{}
	once     sync.Once
}

// RetryTemporary returns a listener whose Accept retries after temporary errors. Accept fails only if the
// listener has been closed, or with an error that is not temporary. name identifies the listener in
// logs and metrics and must be unique in the process.
func RetryTemporary(inner net.Listener, name string, logger *zap.Logger, registry *metrics.Registry) net.Listener {
	return &listener{
		Listener: inner, logger: logger.With(zap.String("listener", name)),
		failures: registry.Counter(name, "accept_failures_total", "Connections that could not be accepted at once, mostly for want of descriptors."),
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	backoff := initialBackoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			return conn, err
		}
		l.failures.Inc()
		l.logger.Warn("accept_failed", append(logging.ErrorFields("accept", l.Addr().String(), err), zap.Duration("again_after", backoff))...)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(backoff):
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isTemporary reports whether a listener can go on accepting after err.
func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
