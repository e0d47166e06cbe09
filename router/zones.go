package router

import (
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/wire"
)

// zone is the state of a zone that was ever drained.
type zone struct {
	draining bool
	// since is when this router learned of the last change, on this machine's clock; 0 if
	// it has seen no change.
	since time.Duration
}

// applyZones applies which zones are drained. A zone keeps its state until a member
// reports another one, also while no member is reachable.
func (t *table) applyZones(update *wire.Update, changedPools map[string]bool) {
	for _, view := range update.Zones {
		if t.zones[view.Name].draining == view.Draining {
			continue
		}
		t.zones[view.Name] = zone{draining: view.Draining, since: clock.Now()}
		if t.onZoneChanged != nil {
			t.onZoneChanged(view)
		}
		for name := range t.pools {
			changedPools[name] = true
		}
	}
}

// logZone logs that this router has learned of a drained or reopened zone.
func (r *Router) logZone(view wire.ZoneView) {
	r.logger.Info("zone_learned", zap.String("zone", view.Name), zap.Bool("draining", view.Draining), zap.Uint64("revision", view.Revision))
}

// ZoneDraining reports whether a zone is drained, and when this router learned of the last change;
// since is 0 if this router has seen no change.
func (r *Router) ZoneDraining(name string) (draining bool, since time.Duration) {
	r.table.mutex.RLock()
	defer r.table.mutex.RUnlock()
	state := r.table.zones[name]
	return state.draining, state.since
}
