package router

import (
	"time"

	"limehold/clock"
	"limehold/wire"
)

// zone is what a router knows of a zone that was ever drained.
type zone struct {
	draining bool
	// since is when this router learned it, on this machine's clock; zero: it has never
	// known otherwise.
	since time.Duration
}

// applyZones takes which zones are drained. A zone stays drained here for as long as no
// member says otherwise: also while none can be reached.
func (t *table) applyZones(update *wire.Update, touched map[string]bool) {
	for _, view := range update.Zones {
		if t.zones[view.Name].draining == view.Draining {
			continue
		}
		t.zones[view.Name] = zone{draining: view.Draining, since: clock.Now()}
		for name := range t.pools {
			touched[name] = true
		}
	}
}

// Zone reports whether a zone is drained, and since when this router has known; zero: it
// has never known otherwise.
func (r *Router) Zone(name string) (draining bool, since time.Duration) {
	r.table.mutex.RLock()
	defer r.table.mutex.RUnlock()
	known := r.table.zones[name]
	return known.draining, known.since
}
