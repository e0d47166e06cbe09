package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Operators are notified once when a view becomes stale, and once when it is current again.
func TestOldViewIsToldOnce(t *testing.T) {
	type observation struct {
		age  time.Duration
		want viewTransition
	}
	for name, observations := range map[string][]observation{
		"never old":         {{0, viewUnchanged}, {unmatchedBound, viewUnchanged}},
		"old, then not":     {{2 * time.Second, viewBecameStale}, {3 * time.Second, viewUnchanged}, {0, viewBecameCurrent}, {0, viewUnchanged}},
		"old a second time": {{2 * time.Second, viewBecameStale}, {0, viewBecameCurrent}, {2 * time.Second, viewBecameStale}},
		"never confirmed":   {{time.Hour, viewBecameStale}, {time.Hour, viewUnchanged}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var monitor viewMonitor
			now := time.Minute
			for _, next := range observations {
				now += viewCheckInterval
				is.Equal(monitor.check(now, next.age, 7), next.want)
			}
		})
	}
}
