package ingress

import (
	"math"
	"sync"
	"time"
)

// success is the share of the instance's runs that ended well: with an answer that is no
// failure. An instance that says it is well and fails all answers sooner than any other:
// each router would have to find out by itself that it is the wrong choice.
type success struct {
	mutex sync.Mutex
	// failed is the smoothed share of failures at the time changed.
	failed  float64
	changed time.Duration
}

const (
	// failedKeep is how much of the share of failures a run leaves: some twenty runs, less
	// than half a second of a busy instance, show one that fails all.
	failedKeep = 0.93
	// forgiveTime is how long it takes until an instance that runs nothing is believed to
	// have become better: two thirds of the failures are forgotten after it.
	forgiveTime = 4 * time.Second
)

// ended takes how a run ended.
func (s *success) ended(well bool, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed = s.failedAt(now) * failedKeep
	if !well {
		s.failed += 1 - failedKeep
	}
	s.changed = now
}

// share is the share of runs that are expected to end well.
func (s *success) share(now time.Duration) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return 1 - s.failedAt(now)
}

func (s *success) failedAt(now time.Duration) float64 {
	return s.failed * math.Exp(-float64(now-s.changed)/float64(forgiveTime))
}

// forget is for another start of the instance.
func (s *success) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed = 0
}
