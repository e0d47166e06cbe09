package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// startCall starts a request that waits at a full gate, and returns once it waits.
func startCall(t *testing.T, g *slotGate, request slotRequest) <-chan decision {
	t.Helper()
	before := g.load().waiting
	decided := make(chan decision, 1)
	go func() { decided <- g.enter(request, nil) }()
	for g.load().waiting == before {
		time.Sleep(time.Millisecond)
	}
	return decided
}

// The load: a service that is slightly over its room is called by instances that hold a slot for each call. Behind all
// urgent requests the calls waited for 50 ms on average, and the instances that made them ran a third fewer requests.
func TestCallsGoFirstWhileUrgentRequestsCanWait(t *testing.T) {
	for name, c := range map[string]struct {
		isCall bool
		// target is the target latency of the urgent request.
		target time.Duration
		// urgentFirst is set if the urgent request gets the slot first.
		urgentFirst bool
	}{
		"a call before an urgent request with time": {true, time.Hour, false},
		"an urgent request that must begin":         {true, 600 * time.Millisecond, true},
		"a caller's request":                        {false, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newSlotGate(0.2)
			g.resize(1)
			g.byRoute["urgent"] = &routeLoad{runTime: 200 * time.Millisecond}
			g.byRoute["check"] = &routeLoad{runTime: 200 * time.Millisecond}
			g.runTime = 200 * time.Millisecond
			is.Equal(g.enter(slotRequest{route: "urgent", target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
			urgent := startCall(t, g, slotRequest{route: "urgent", priority: 0, target: c.target, remaining: time.Hour})
			call := startCall(t, g, slotRequest{route: "check", priority: 1, isCall: c.isCall, target: time.Hour, remaining: time.Hour})
			first, second := call, urgent
			if c.urgentFirst {
				first, second = urgent, call
			}
			g.leave("urgent", false, 0)
			is.Equal(<-first, decisionAdmitted)
			is.Equal(g.load().waiting, 1)
			g.leave("urgent", false, 0)
			is.Equal(<-second, decisionAdmitted)
		})
	}
}

// More urgent requests don't count calls that let them pass, and are not rejected for them.
func TestCallsAreNoReasonToRejectUrgentRequests(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	g.runTime = 100 * time.Millisecond
	for range 20 {
		g.waiting = append(g.waiting, &waiter{rank: rank{priority: 1, isCall: true, due: clock.Now() + time.Hour}, runTime: 100 * time.Millisecond})
	}
	is.Equal(g.expectedWait(rank{priority: 0}), 100*time.Millisecond)
	is.Equal(g.expectedWait(rank{priority: 1}), 2100*time.Millisecond)
	is.True(g.expectedWait(rank{priority: 1, isCall: true, due: clock.Now()}) <= 2100*time.Millisecond)
}
