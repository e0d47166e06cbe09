package router

import (
	"testing"

	"github.com/matryer/is"

	"limehold/loadview"
)

// A backend that sheds while most of its slots are free may be tried again; one that is nearly
// full, or whose ingress rejected the request, is not.
func TestBackEndThatShedsWithRoomMayBeAskedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		reached   bool
		load      loadview.Report
		retryable bool
	}{
		"nearly idle":            {true, loadview.Report{Running: 2, Slots: 18}, true},
		"four fifths taken":      {true, loadview.Report{Running: 15, Slots: 18}, false},
		"full":                   {true, loadview.Report{Running: 18, Slots: 18}, false},
		"refused in front of it": {false, loadview.Report{Running: 2, Slots: 18}, false},
		"does not tell its load": {true, loadview.Report{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := &attempt{state: attemptNotRun, reachedBackend: c.reached, load: c.load}
			is.Equal(result.shedsBelowCapacity(), c.retryable)
		})
	}
}
