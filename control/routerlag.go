package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
	"limehold/wire"
)

const (
	// routerLagThreshold is the lag from which a router is logged as behind: half of
	// the time within which a change is to be in force everywhere.
	routerLagThreshold = 1500 * time.Millisecond
	// routerLagInterval is the interval at which the lags are checked.
	routerLagInterval = 500 * time.Millisecond
)

// routerLag describes how far a router connected to this member is behind.
type routerLag struct {
	name string
	// lag is the time since the router last had this member's newest revision.
	lag time.Duration
	// silence is the time since the router's last request.
	silence  time.Duration
	revision uint64
	// loggedBehind is set if the router was last logged as behind.
	loggedBehind bool
}

// recordRevision records the revision that the router reports; newest is this
// member's newest revision at that time.
func (e *routerEntry) recordRevision(now time.Duration, revision, newest uint64) {
	switch {
	case e.lastContact == 0, revision >= newest:
		e.currentAt = now
	case revision >= e.newest:
		// The router has the revision that was newest at its previous request.
		e.currentAt = e.lastContact
	}
	e.revision, e.newest, e.lastContact = revision, newest, now
}

// isConnected reports whether the router's connection is up.
func (e *routerEntry) isConnected() bool {
	if e.conn == nil {
		return false
	}
	select {
	case <-e.conn.Done():
		return false
	default:
		return true
	}
}

// lags lists the routers connected to this member, in no particular order.
func (t *routerTable) lags(now time.Duration) []routerLag {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []routerLag
	for name, entry := range t.routers {
		if entry.isConnected() {
			list = append(list, routerLag{name: name, lag: now - entry.currentAt, silence: now - entry.lastContact, revision: entry.revision, loggedBehind: entry.loggedBehind})
		}
	}
	return list
}

// setLoggedBehind records whether a router was last logged as behind.
func (t *routerTable) setLoggedBehind(name string, behind bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.routers[name]; entry != nil {
		entry.loggedBehind = behind
	}
}

// watchRouters logs each router that falls behind once, and once more when it is
// current again.
func (m *Member) watchRouters(ctx context.Context) error {
	ticker := time.NewTicker(routerLagInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, router := range m.routers.lags(clock.Now()) {
			m.logLag(router)
		}
	}
}

func (m *Member) logLag(router routerLag) {
	behind := router.lag > routerLagThreshold
	if behind == router.loggedBehind {
		return
	}
	m.routers.setLoggedBehind(router.name, behind)
	event := "router_current"
	if behind {
		event = "router_behind"
	}
	m.logger.Info(event, zap.String("peer", router.name), zap.Duration("lag", router.lag), zap.Duration("silent", router.silence),
		zap.Uint64("revision", router.revision), zap.Uint64("newest", m.hub.lastRevision()))
}

// registerRouterMetrics registers the metrics of the routers connected to this member.
func (m *Member) registerRouterMetrics() {
	registry := m.options.Metrics
	registry.Gauge("control", "routers", "Routers that follow this member.", func() float64 { return float64(len(m.routers.lags(clock.Now()))) })
	registry.Gauge("control", "router_lag_seconds", "Longest time for which a router that follows this member has not had its newest revision.", func() float64 {
		longest := time.Duration(0)
		for _, router := range m.routers.lags(clock.Now()) {
			longest = max(longest, router.lag)
		}
		return longest.Seconds()
	})
	m.failedConfirmations = registry.CounterVec("control", "confirmations_failed_total", "Questions of routers whether their view is current that this member could not answer, by step.", "step")
}

// Steps at which a confirmation fails. They are values of a metric's label.
const (
	stepReadIndex = "confirm a read"
	stepApply     = "wait until applied"
)

// recordFailedConfirmation counts a router's confirmation request that failed, and
// logs it unless the step was logged within failureLogInterval.
func (m *Member) recordFailedConfirmation(step string, request *wire.Confirm, err error) {
	m.failedConfirmations.WithLabelValues(step).Inc()
	if suppressed, logged := m.confirmationFailures.record(step, clock.Now()); logged {
		m.logger.Info("confirmation_failed", append(logging.ErrorFields(step, request.Router, err), zap.Int("others", suppressed))...)
	}
}

// failureLogInterval is the minimum time between two log lines of one failing step. While
// there is no leader all routers retry continuously, and a line for each failure would make
// those that show the cause hard to find.
const failureLogInterval = time.Second

// failureLimiter limits the log lines of failures to one per step and interval, and
// counts the suppressed ones.
type failureLimiter struct {
	mutex sync.Mutex
	steps map[string]*stepFailures
}

type stepFailures struct {
	loggedAt   time.Duration
	suppressed int
}

// record counts a failure. It reports whether the failure is to be logged, and how
// many failures of the step were suppressed since its previous log line.
func (l *failureLimiter) record(step string, now time.Duration) (suppressed int, logged bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.steps[step]
	if known == nil {
		if l.steps == nil {
			l.steps = map[string]*stepFailures{}
		}
		l.steps[step] = &stepFailures{loggedAt: now}
		return 0, true
	}
	if now-known.loggedAt < failureLogInterval {
		known.suppressed++
		return 0, false
	}
	suppressed, known.suppressed, known.loggedAt = known.suppressed, 0, now
	return suppressed, true
}
