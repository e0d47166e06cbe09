package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
)

// viewCheckInterval is how often the age of the view is checked. A stale view is thus detected
// within a sixth of unmatchedBound.
const viewCheckInterval = 250 * time.Millisecond

// viewMonitor detects when the view becomes stale and when it becomes current again.
type viewMonitor struct {
	stale bool
	// since is when the view was last known to be current.
	since time.Duration
	// revision is the revision of the table when the view was found stale.
	revision uint64
}

// viewTransition is the result of checking the view.
type viewTransition uint8

const (
	viewUnchanged viewTransition = iota
	viewBecameStale
	viewBecameCurrent
)

// check updates the monitor with the age of the view at now.
func (m *viewMonitor) check(now, age time.Duration, revision uint64) viewTransition {
	switch {
	case !m.stale && age > unmatchedBound:
		*m = viewMonitor{stale: true, since: now - age, revision: revision}
		return viewBecameStale
	case m.stale && age <= unmatchedBound:
		m.stale = false
		return viewBecameCurrent
	}
	return viewUnchanged
}

// monitorView reports when the view becomes stale or current again, until ctx ends.
func (r *Router) monitorView(ctx context.Context) error {
	ticker := time.NewTicker(viewCheckInterval)
	defer ticker.Stop()
	var monitor viewMonitor
	started := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := clock.Now()
		// A view that was never confirmed counts as old as the router.
		age := min(r.freshness.age(now), now-started)
		r.reportView(&monitor, monitor.check(now, age, r.table.currentRevision()), now)
	}
}

func (r *Router) reportView(monitor *viewMonitor, transition viewTransition, now time.Duration) {
	switch transition {
	case viewBecameStale:
		r.metrics.staleViews.Inc()
		r.logger.Warn("view_old", zap.String("members", r.follower.describe()), zap.Duration("age", now-monitor.since),
			zap.Uint64("revision", monitor.revision), zap.Uint64("version", r.table.routeVersion()))
	case viewBecameCurrent:
		r.logger.Info("view_current", zap.String("members", r.follower.describe()), zap.Duration("lasted", now-monitor.since),
			zap.Uint64("from", monitor.revision), zap.Uint64("revision", r.table.currentRevision()), zap.Uint64("version", r.table.routeVersion()))
	}
}

// routeVersion returns the version of the route table, 0 if there is none.
func (t *table) routeVersion() uint64 {
	version, _ := t.routeTableVersion()
	return version
}
