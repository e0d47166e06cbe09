package ingress

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/crashreport"
	"limehold/quarantine"
	"limehold/wire"
)

// isolation runs requests that are quarantined or were in flight in several crashes one at a time, so that
// the next crash shows which of them is the cause, and decides which trials may run.
type isolation struct {
	semaphore chan struct{}

	mutex sync.Mutex
	// lastTrial is the highest number of a trial that has run here.
	lastTrial uint64
}

func newIsolation() *isolation { return &isolation{semaphore: make(chan struct{}, 1)} }

// acquire waits until no other isolated request runs. It reports false on a timeout or a cancellation. If
// it reports true, release must follow.
func (s *isolation) acquire(maxWait time.Duration, cancelled <-chan struct{}) bool {
	timer := clock.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case s.semaphore <- struct{}{}:
		return true
	case <-timer.C:
	case <-cancelled:
	}
	return false
}

func (s *isolation) release() { <-s.semaphore }

// allowsTrial reports whether a quarantined request may run as its trial.
func (s *isolation) allowsTrial(trial quarantine.Trial, number uint64, version string) bool {
	if !trial.Offered() || trial.Number != number || trial.Version != "" && trial.Version != version {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastTrial < number
}

// useTrial records that a trial runs here; it reports false if that trial or a later one has
// already run.
func (s *isolation) useTrial(number uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lastTrial >= number {
		return false
	}
	s.lastTrial = number
	return true
}

// acquireIsolation waits until the request may run isolated, for at most as long as it could wait
// for a slot.
func (i *Ingress) acquireIsolation(p *proxyRequest) bool {
	p.isolated = i.isolation.acquire(i.gate.maxWait(p.slotRequest()), p.tracker.Cancelled())
	return p.isolated
}

// releaseIsolation lets the next isolated request run, if this request was isolated.
func (i *Ingress) releaseIsolation(p *proxyRequest) {
	if p.isolated {
		p.isolated = false
		i.isolation.release()
	}
}

// recheckQuarantine returns why a request that has waited may not run after all; empty if it may. If it
// may run as a trial, the trial counts as used.
func (i *Ingress) recheckQuarantine(p *proxyRequest) string {
	history, quarantined := i.quarantineStatus(p)
	if quarantined || history.Quarantined && !i.isolation.useTrial(p.trial) {
		return wire.BackendReasonQuarantined
	}
	return ""
}

// recordSuccess records that the instance has run a request to its end and did not crash. An error
// response does not show that the request was run.
func (i *Ingress) recordSuccess(p *proxyRequest, status int) {
	if status < fasthttp.StatusBadRequest {
		i.crashReports.RecordSuccess(p.identity)
	}
}

// quarantineStatus returns the crash history of a request, and whether the request may not run because
// of it.
func (i *Ingress) quarantineStatus(p *proxyRequest) (history crashreport.CrashHistory, quarantined bool) {
	history = i.crashReports.CrashHistory(p.identity)
	if !history.Quarantined {
		return history, false
	}
	return history, !i.isolation.allowsTrial(history.Trial, p.trial, i.instance.state(clock.Now()).version)
}
