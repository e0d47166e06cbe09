package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
)

// viewLookEvery is how often the age of the view is looked at: a quarter of a second tells
// when it grew old to a fifth of unmatchedBound.
const viewLookEvery = 250 * time.Millisecond

// viewWatch turns looks at the age of the view into what operators are to be told: once
// that it is old, and once that it is current again.
type viewWatch struct {
	old bool
	// since is when the view was last known to be current.
	since time.Duration
	// revision is what was in force when the view was found old.
	revision uint64
}

// viewNews is what a look at the view has shown.
type viewNews uint8

const (
	viewUnchanged viewNews = iota
	viewGrewOld
	viewIsCurrent
)

// look takes the age of the view at now.
func (w *viewWatch) look(now, age time.Duration, revision uint64) viewNews {
	switch {
	case !w.old && age > unmatchedBound:
		*w = viewWatch{old: true, since: now - age, revision: revision}
		return viewGrewOld
	case w.old && age <= unmatchedBound:
		w.old = false
		return viewIsCurrent
	}
	return viewUnchanged
}

// watchView tells of a view that has grown old until ctx ends.
func (r *Router) watchView(ctx context.Context) error {
	ticker := time.NewTicker(viewLookEvery)
	defer ticker.Stop()
	var watch viewWatch
	began := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := clock.Now()
		// A view that was never confirmed is as old as the router.
		age := min(r.freshness.age(now), now-began)
		r.tellView(&watch, watch.look(now, age, r.table.inForce()), now)
	}
}

func (r *Router) tellView(watch *viewWatch, news viewNews, now time.Duration) {
	switch news {
	case viewGrewOld:
		r.metrics.oldViews.Inc()
		r.logger.Warn("view_old", zap.String("members", r.follower.where()), zap.Duration("age", now-watch.since),
			zap.Uint64("revision", watch.revision), zap.Uint64("version", r.table.routeVersion()))
	case viewIsCurrent:
		r.logger.Info("view_current", zap.String("members", r.follower.where()), zap.Duration("lasted", now-watch.since),
			zap.Uint64("from", watch.revision), zap.Uint64("revision", r.table.inForce()), zap.Uint64("version", r.table.routeVersion()))
	}
}

// routeVersion is the version of the route table in force; zero: none.
func (t *table) routeVersion() uint64 {
	version, _ := t.routesInForce()
	return version
}
