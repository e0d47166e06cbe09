package ingress

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
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

// A third of the refusals of a day were of the instances themselves, and told callers to return after 1 s.
func TestRequestThatTheInstanceRefusesIsToldWhenToReturn(t *testing.T) {
	for name, c := range map[string]struct {
		spreads  bool
		min, max float64
	}{
		"not set": {false, 0, 0},
		"set":     {true, initialRunTime.Seconds(), 2 * initialRunTime.Seconds()},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := startIngress(t, startInstance(t, func(id string) string {
				return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
			}, false))
			i.gate.mutex.Lock()
			i.gate.spreadsReturns = c.spreads
			i.gate.mutex.Unlock()
			response := ask(t, i, nil)
			is.Equal(response.Header.Get(wire.HeaderReason), wire.BackendReasonFull)
			var after float64
			if text := response.Header.Get("Retry-After"); text != "" {
				var err error
				after, err = strconv.ParseFloat(text, 64)
				is.NoErr(err)
			}
			is.True(after >= c.min && after <= c.max)
		})
	}
}
