package ingress

import (
	"sync"
	"time"
)

// logThrottle limits the rate of the log lines of one kind. It is safe for concurrent use.
type logThrottle struct {
	mutex sync.Mutex
	// loggedAt is when a line was last logged, and suppressed how many have been suppressed since.
	loggedAt   time.Duration
	hasLogged  bool
	suppressed int
}

// logInterval is the shortest interval between two lines.
const logInterval = time.Second

// allow reports whether a line should be logged, and how many have been suppressed before it.
func (t *logThrottle) allow(now time.Duration) (suppressed int, due bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.hasLogged && now-t.loggedAt < logInterval {
		t.suppressed++
		return 0, false
	}
	suppressed = t.suppressed
	t.loggedAt, t.hasLogged, t.suppressed = now, true, 0
	return suppressed, true
}
