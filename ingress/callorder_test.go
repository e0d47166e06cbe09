package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

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
			g.byRoute["check"] = &routeLoad{runTime: 400 * time.Millisecond}
			g.runTime = 200 * time.Millisecond
			is.Equal(g.enter(slotRequest{route: "urgent", target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
			urgent, _, _ := g.enqueue(slotRequest{route: "urgent", priority: 0, target: c.target, remaining: time.Hour})
			call, _, _ := g.enqueue(slotRequest{route: "check", priority: 1, isCall: c.isCall, target: time.Hour, remaining: time.Hour})
			is.Equal(g.load().waiting, 2)
			g.leave("urgent", false, 0)
			is.Equal(urgent.hasSlot, c.urgentFirst)
			is.Equal(call.hasSlot, !c.urgentFirst)
			g.leave("urgent", false, 0)
			is.True(urgent.hasSlot && call.hasSlot)
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
