package ingress

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/quarantine"
)

// ends knows what an instance was running when it ended.
type ends struct {
	mutex sync.Mutex
	// broken are the runs whose connections broke lately, oldest first.
	broken []brokenRun
}

// brokenRun is a request that was sent to an instance, and whose connection broke before
// the whole answer was there.
type brokenRun struct {
	instance string
	request  string
	identity quarantine.Identity
	at       time.Duration
}

const (
	// endWindow is how long before an instance is found to have ended its runs break: all at
	// once where the process ends, and the finding takes three refused connections.
	endWindow = time.Second
	// maxBroken bounds what is kept: an instance runs some twenty requests and queues as many.
	maxBroken = 64
)

// broke takes a run whose connection broke.
func (e *ends) broke(run brokenRun) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.broken) >= maxBroken {
		e.broken = append(e.broken[:0], e.broken[1:]...)
	}
	e.broken = append(e.broken, run)
}

// take returns the runs that broke when an instance ended, and forgets all.
func (e *ends) take(instance string, now time.Duration) []brokenRun {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var taken []brokenRun
	for _, run := range e.broken {
		if run.instance == instance && now-run.at <= endWindow {
			taken = append(taken, run)
		}
	}
	e.broken = nil
	return taken
}

// noteEnded notes that an instance has ended without having said that it would.
func (i *Instance) noteEnded(id, cause string) {
	runs := i.ends.take(id, clock.Now())
	identities := make([]string, 0, len(runs))
	for _, run := range runs {
		identities = append(identities, run.identity.String())
	}
	i.endings.WithLabelValues(cause).Inc()
	i.logger.Warn("instance_ended", zap.String("instance", id), zap.String("cause", cause), zap.Int("runs", len(runs)), zap.String("identities", strings.Join(identities, ",")))
}

// Causes by which an instance is known to have ended.
const (
	causeNobodyListens = "nobody listens at its address"
	causeAnotherStart  = "another start"
)
