package ingress

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"limehold/clock"
	"limehold/loadview"
	"limehold/pace"
)

// loadMeter measures what the load reports of the instance say and its other parts do not know: its pace, and how many
// requests it has no room for. It requests an early renewal when the pace becomes known or turns.
type loadMeter struct {
	// process identifies this process in reports.
	process uint32

	mutex sync.Mutex
	pace  pace.Meter
	// version is that of the newest report, and reported the pace in it.
	version  uint64
	reported float64
	// refused is the smoothed number of rejected requests a second at refusedAt.
	refused   float64
	refusedAt time.Duration
	// requestedAt is when an early renewal was requested last.
	requestedAt   time.Duration
	renewRequests chan struct{}
}

const (
	// renewDeviation is the factor by which the pace has to differ from the reported one for an early renewal.
	renewDeviation = 1.25
	// minRenewInterval bounds the rate of early renewals of one instance.
	minRenewInterval = 400 * time.Millisecond
	// refusedTimeConstant is the time constant of the smoothed number of rejected requests.
	refusedTimeConstant = time.Second
)

func newLoadMeter() loadMeter {
	return loadMeter{process: rand.Uint32(), renewRequests: make(chan struct{}, 1)}
}

// recordRun adds a run; isWhole is false for one that was given up.
func (m *loadMeter) recordRun(usual, ran, now time.Duration, isWhole bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if isWhole {
		m.pace.Record(usual, ran, now)
	} else {
		m.pace.RecordAtLeast(usual, ran, now)
	}
	if m.isRenewalDue(now) {
		m.requestedAt = now
		select {
		case m.renewRequests <- struct{}{}:
		default:
		}
	}
}

// isRenewalDue reports whether the pace differs from the reported one by so much that control has to know before the
// next renewal.
func (m *loadMeter) isRenewalDue(now time.Duration) bool {
	current := m.pace.Pace(now)
	if current == 0 || m.requestedAt > 0 && now-m.requestedAt < minRenewInterval {
		return false
	}
	return m.reported == 0 || math.Abs(math.Log(current/m.reported)) > math.Log(renewDeviation)
}

// recordRefusal adds a request that was rejected for want of room.
func (m *loadMeter) recordRefusal(now time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refused = m.refusedRate(now) + 1/refusedTimeConstant.Seconds()
	m.refusedAt = now
}

func (m *loadMeter) refusedRate(now time.Duration) float64 {
	return m.refused * math.Exp(-float64(now-m.refusedAt)/float64(refusedTimeConstant))
}

// report fills in what the meter knows, under the next version.
func (m *loadMeter) report(report *loadview.Report, now time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.version++
	m.reported = m.pace.Pace(now)
	report.Process, report.Version, report.Pace, report.Refused = m.process, m.version, m.reported, m.refusedRate(now)
}

// currentPace returns the pace of the instance; 0 if it is not known.
func (m *loadMeter) currentPace(now time.Duration) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.pace.Pace(now)
}

// reset forgets the pace, for another incarnation of the instance.
func (m *loadMeter) reset() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pace.Reset()
	m.reported = 0
}

// currentLoad returns the load of the instance, without what numbers a report and without that of the link.
func (i *Instance) currentLoad(now time.Duration) loadview.Report {
	gate := i.gate.load()
	return loadview.Report{
		Slots: gate.slots, Running: gate.running, Waiting: gate.waiting, RunTime: gate.runTime,
		SuccessShare: i.success.share(now), LimitWait: gate.limitWait,
	}
}

// LoadReport implements agent.Backend.
func (i *Instance) LoadReport() loadview.Report {
	now := clock.Now()
	report := i.currentLoad(now)
	i.load.report(&report, now)
	return report
}

// showsPace reports whether the run of an exchange shows how fast the instance works. A failed run may have ended
// early, and one with a large body waits for the link.
func (e *exchange) showsPace(p *proxyRequest) bool {
	return e.state == exchangeResponded && p.upload == nil && e.response.StatusCode() < http.StatusInternalServerError
}

// recordPace records what a run shows of the instance's pace.
func (i *Ingress) recordPace(p *proxyRequest, result *exchange, ran time.Duration) {
	now := p.sent + ran
	switch {
	case result.state == exchangeResponded && result.showsPace(p):
		i.instance.load.recordRun(p.usualRun, ran, now, true)
	case result.state == exchangeUnknown && result.reason == reasonLateAnswer:
		i.instance.load.recordRun(p.usualRun, ran, now, false)
	}
}
