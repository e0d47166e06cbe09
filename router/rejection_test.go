package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// 34,479 of 35,140 refusals of a day told callers to return after 1 s, although the backlogs of the instances drain in
// a fraction of that.
func TestRefusalPassesOnTheAdvisedDelay(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		reason     string
		retryAfter time.Duration
		advised    bool
		want       time.Duration
	}{
		"not set, short backlog":       {wire.BackendReasonFull, 120 * ms, false, time.Second},
		"not set, long backlog":        {wire.BackendReasonFull, 1500 * ms, false, 1500 * ms},
		"short backlog":                {wire.BackendReasonFull, 120 * ms, true, 120 * ms},
		"long backlog":                 {wire.BackendReasonFull, 1500 * ms, true, 1500 * ms},
		"nothing advised":              {wire.BackendReasonFull, 0, true, time.Second},
		"key is granted soon, not set": {wire.BackendReasonNotOwner, 300 * ms, false, 300 * ms},
		"key is granted soon":          {wire.BackendReasonNotOwner, 300 * ms, true, 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result := &attempt{state: attemptNotRun, reason: c.reason, retryAfter: c.retryAfter}
			is.Equal(rejectionFor(result, c.advised).retryAfter, c.want)
		})
	}
}
