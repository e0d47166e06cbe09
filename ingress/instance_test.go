package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// Announcements may be seconds late. One of an earlier start would end the session of the
// running one, and free keys that it still holds.
func TestEarlierStartIsNotTakenBack(t *testing.T) {
	const always, never = time.Nanosecond, time.Hour // when the follower counts as silent
	type announced struct {
		id       string
		sequence uint64
		taken    bool
	}
	for name, c := range map[string]struct {
		every time.Duration
		list  []announced
	}{
		"a late one of the start before": {never, []announced{{"i-1", 1, true}, {"i-2", 1, true}, {"i-1", 2, false}}},
		"a late one of two starts ago":   {never, []announced{{"i-1", 1, true}, {"i-2", 1, true}, {"i-3", 1, true}, {"i-1", 9, false}, {"i-2", 9, false}}},
		"an older one of the same start": {never, []announced{{"i-1", 2, true}, {"i-1", 1, false}}},
		"the same start goes on":         {never, []announced{{"i-1", 1, true}, {"i-2", 1, true}, {"i-2", 2, true}}},
		// A process that has just started hears of the running start first, then a late
		// one of the start before; the running one goes on.
		"the running one goes on after a late one": {always, []announced{{"i-2", 5, true}, {"i-1", 90, true}, {"i-2", 6, true}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newBeaten(t, 0)
			i.options.Settings.Ingress.AnnounceEvery = c.every
			current := ""
			for _, item := range c.list {
				is.Equal(i.Announce(Announcement{ID: item.id, Service: "numbers", Slots: 2, Sequence: item.sequence}), item.taken)
				if item.taken {
					current = item.id
				}
				id, _ := i.Alive(clock.Now())
				is.Equal(id, current)
			}
		})
	}
}
