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
	// routerLagTold is the lag from which a router is told of as behind: half of the
	// seconds within which a change is in force everywhere.
	routerLagTold = 1500 * time.Millisecond
	// routerLagEvery is how often the lags are looked at.
	routerLagEvery = 500 * time.Millisecond
)

// routerLag is how far a router that follows this member is behind.
type routerLag struct {
	name string
	// lag is how long ago the router had everything that this member had.
	lag time.Duration
	// silent is how long ago it was heard of.
	silent   time.Duration
	revision uint64
	// told is set while the log has it as behind.
	told bool
}

// heardAt takes a router's word on its revision, while this member's newest is newest.
func (e *routerEntry) heardAt(now time.Duration, revision, newest uint64) {
	switch {
	case e.heard == 0, revision >= newest:
		e.current = now
	case revision >= e.newest:
		// It has what was the newest when it was last heard.
		e.current = e.heard
	}
	e.revision, e.newest, e.heard = revision, newest, now
}

// following reports whether the router's connection is up.
func (e *routerEntry) following() bool {
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

// lags lists the routers that follow this member; their order is not fixed.
func (t *routerTable) lags(now time.Duration) []routerLag {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var list []routerLag
	for name, entry := range t.routers {
		if entry.following() {
			list = append(list, routerLag{name: name, lag: now - entry.current, silent: now - entry.heard, revision: entry.revision, told: entry.told})
		}
	}
	return list
}

// setTold notes whether the log has a router as behind.
func (t *routerTable) setTold(name string, told bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.routers[name]; entry != nil {
		entry.told = told
	}
}

// watchRouters tells once of each router that falls behind, and once that it is current.
func (m *Member) watchRouters(ctx context.Context) error {
	ticker := time.NewTicker(routerLagEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, router := range m.routers.lags(clock.Now()) {
			m.tellLag(router)
		}
	}
}

func (m *Member) tellLag(router routerLag) {
	behind := router.lag > routerLagTold
	if behind == router.told {
		return
	}
	m.routers.setTold(router.name, behind)
	event := "router_current"
	if behind {
		event = "router_behind"
	}
	m.logger.Info(event, zap.String("peer", router.name), zap.Duration("lag", router.lag), zap.Duration("silent", router.silent),
		zap.Uint64("revision", router.revision), zap.Uint64("newest", m.hub.lastRevision()))
}

// registerRouterMetrics adds what this member knows of the routers that follow it.
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
	m.unconfirmed = registry.CounterVec("control", "confirmations_failed_total", "Questions of routers whether their view is current that this member could not answer, by step.", "step")
}

// Steps at which a confirmation fails.
const (
	stepReadIndex = "confirm a read"
	stepApply     = "wait until applied"
)

// noteUnconfirmed counts a router's question that could not be answered, and tells some of them.
func (m *Member) noteUnconfirmed(step string, request *wire.Confirm, err error) {
	m.unconfirmed.WithLabelValues(step).Inc()
	if others, tell := m.refusals.take(step, clock.Now()); tell {
		m.logger.Info("confirmation_failed", append(logging.Step(step, request.Router, err), zap.Int("others", others))...)
	}
}

// refusalEvery is how often a step that fails is told: while there is no leader all routers ask again and
// again, and what tells why must not drown among their lines.
const refusalEvery = time.Second

// refusals counts what is left out between two lines, by step.
type refusals struct {
	mutex sync.Mutex
	steps map[string]*refused
}

type refused struct {
	told   time.Duration
	others int
}

// take counts a failure. It reports whether it is to be told, and beside how many others.
func (r *refusals) take(step string, now time.Duration) (others int, tell bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.steps[step]
	if known == nil {
		if r.steps == nil {
			r.steps = map[string]*refused{}
		}
		r.steps[step] = &refused{told: now}
		return 0, true
	}
	if now-known.told < refusalEvery {
		known.others++
		return 0, false
	}
	others, known.others, known.told = known.others, 0, now
	return others, true
}
