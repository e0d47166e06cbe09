package ingress

import (
	"math"
	"sync"
	"time"
)

// success tracks the share of the instance's requests that succeed. An instance may report itself healthy
// and fail every request, faster than others respond. The share is reported to all routers, so that
// none has to detect this on its own.
type success struct {
	mutex sync.Mutex
	// failures is the smoothed share of failures at the time changed.
	failures float64
	changed  time.Duration
}

const (
	// failureDecay is the weight of the previous share of failures at each request: some twenty failures in
	// a row, less than half a second at a busy instance, show that it fails everything.
	failureDecay = 0.93
	// recoveryTimeConstant is the time constant with which the share of failures decays while nothing runs.
	recoveryTimeConstant = 4 * time.Second
)

// record adds the result of one request.
func (s *success) record(succeeded bool, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = s.failuresAt(now) * failureDecay
	if !succeeded {
		s.failures += 1 - failureDecay
	}
	s.changed = now
}

// share returns the share of requests that are expected to succeed.
func (s *success) share(now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return 1 - s.failuresAt(now)
}

func (s *success) failuresAt(now time.Duration) float64 {
	return s.failures * math.Exp(-float64(now-s.changed)/float64(recoveryTimeConstant))
}

// reset resets the share for another incarnation of the instance.
func (s *success) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failures = 0
}
