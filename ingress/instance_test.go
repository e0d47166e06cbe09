package ingress

import (
	"testing"

	"github.com/matryer/is"

	"limehold/clock"
)

// Announcements may be seconds late. One of an earlier start would end the session of the
// running one, and free keys that it still holds.
func TestEarlierStartIsNotTakenBack(t *testing.T) {
	type announced struct {
		id       string
		sequence uint64
		taken    bool
	}
	for name, list := range map[string][]announced{
		"a late one of the start before": {{"i-1", 1, true}, {"i-2", 1, true}, {"i-1", 2, false}},
		"a late one of two starts ago":   {{"i-1", 1, true}, {"i-2", 1, true}, {"i-3", 1, true}, {"i-1", 9, false}, {"i-2", 9, false}},
		"an older one of the same start": {{"i-1", 2, true}, {"i-1", 1, false}},
		"the same start goes on":         {{"i-1", 1, true}, {"i-2", 1, true}, {"i-2", 2, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newBeaten(t, 0)
			current := ""
			for _, item := range list {
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
