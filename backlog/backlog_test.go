package backlog

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// 24,591 attempts of a day were refused as full and told to return after 1 s, whatever the load: the callers waited for
// a third of their time, and 13,787 were refused again.
func TestReturnsAreSpreadBehindTheBacklog(t *testing.T) {
	for name, c := range map[string]struct {
		drain, min, max time.Duration
	}{
		"nothing waits":                     {0, 0, 0},
		"4 of 140 ms wait for 7 slots":      {100 * ms, 100 * ms, 200 * ms},
		"16 of 300 ms wait for 12 slots":    {425 * ms, 425 * ms, 850 * ms},
		"longer than callers wait":          {5 * time.Second, MaxDelay, MaxDelay},
		"clock stepped back, negative time": {-ms, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var schedule Schedule
			var told []time.Duration
			for range 100 {
				told = append(told, schedule.Delay(c.drain))
			}
			is.True(slices.Min(told) >= c.min)
			is.True(slices.Max(told) <= c.max)
		})
	}
}

// However many requests are rejected together, no tenth of the span gets more than twice its share of their returns.
func TestRequestsThatAreRejectedTogetherDoNotReturnTogether(t *testing.T) {
	const parts = 10
	for count := 2 * parts; count < 2000; count += 37 {
		var schedule Schedule
		var returns [parts]int
		for range count {
			delay := schedule.Delay(100 * ms)
			returns[min(parts-1, (delay-100*ms)*parts/(100*ms))]++
		}
		for part, got := range returns {
			if limit := 2 * count / parts; got > limit {
				t.Errorf("%d of %d requests return in part %d, at most %d expected", got, count, part, limit)
			}
		}
	}
}
