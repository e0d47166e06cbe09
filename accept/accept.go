// Package accept keeps listeners accepting through shortages that pass. A server whose
// listener fails ends, and its process with it: when descriptors run out, the requests under way
// would be cut for the sake of callers that can wait in the system's queue.
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
	// firstPause and longestPause bound the wait before the next try. A descriptor comes free
	// with any connection that ends; callers give up a connection after some hundreds of
	// milliseconds.
	firstPause   = 5 * time.Millisecond
	longestPause = 80 * time.Millisecond
)

// passing are the errors after which accepting can go on: what the process or the system is
// short of for the moment, and what concerns one connection only (accept(2), Linux).
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.EINTR, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// listener is one that Lasting returns.
type listener struct {
	net.Listener
	logger *zap.Logger
	failed prometheus.Counter
	closed chan struct{}
	once   sync.Once
}

// Lasting returns a listener that fails only where accepting cannot go on: because it has been
// closed, or for an error that does not pass. whose names it in logs and metrics;
// each name once in a process.
func Lasting(inner net.Listener, whose string, logger *zap.Logger, registry *metrics.Registry) net.Listener {
	return &listener{
		Listener: inner, logger: logger.With(zap.String("listener", whose)),
		failed: registry.Counter(whose, "accept_failures_total", "Connections that could not be accepted at once, mostly for want of descriptors."),
		closed: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	pause := firstPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		l.failed.Inc()
		l.logger.Warn("accept_failed", append(logging.Step("accept", l.Addr().String(), err), zap.Duration("again_after", pause))...)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
		pause = min(longestPause, 2*pause)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func passes(err error) bool {
	for _, one := range passing {
		if errors.Is(err, one) {
			return true
		}
	}
	return false
}
