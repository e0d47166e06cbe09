package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Four slots and 7 waiting requests with runs of 100 ms: the backlog drains in 200 ms.
func TestRejectedRequestsReturnBehindTheBacklog(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		spreads  bool
		slots    int
		min, max time.Duration
		distinct int
	}{
		"not set":  {false, 4, 200 * ms, 200 * ms, 1},
		"set":      {true, 4, 200 * ms, 400 * ms, 20},
		"no slots": {true, 0, time.Second, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newSlotGate(0.2)
			g.slots, g.runTime, g.spreadsReturns = c.slots, 100*ms, c.spreads
			for range 7 {
				g.waiting = append(g.waiting, &waiter{runTime: 100 * ms})
			}
			told := map[time.Duration]bool{}
			for range 20 {
				after := g.retryAfter()
				is.True(after >= c.min && after <= c.max)
				told[after] = true
			}
			is.Equal(len(told), c.distinct)
		})
	}
}
