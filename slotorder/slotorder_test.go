package slotorder

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// The load: a service whose slots are all taken by urgent requests of callers is called by instances that run less
// urgent requests, and hold a slot for each call.
func TestNextOfCallsAndCallers(t *testing.T) {
	call := Request{Priority: 1, IsCall: true, RunTimeStep: 5, Due: 240 * ms, RunTime: 30 * ms}
	urgent := Request{Priority: 0, RunTimeStep: 7, Due: 180 * ms, RunTime: 80 * ms}
	alike := Request{Priority: 1, RunTimeStep: 4, Due: 10 * ms, RunTime: 10 * ms}
	for name, c := range map[string]struct {
		waiting []Request
		slots   int
		now     time.Duration
		want    int
	}{
		"nobody waits":                            {nil, 7, 0, -1},
		"a call alone":                            {[]Request{call}, 7, 0, 0},
		"an urgent request that can wait":         {[]Request{call, urgent}, 7, 0, 0},
		"an urgent request that cannot wait":      {[]Request{call, urgent}, 7, 177 * ms, 1},
		"one past the end of its wait":            {[]Request{call, urgent}, 7, 300 * ms, 1},
		"many urgent requests, the last is late":  {append([]Request{call}, slices.Repeat([]Request{urgent}, 20)...), 7, 0, 1},
		"many urgent requests and room for all":   {append([]Request{call}, slices.Repeat([]Request{urgent}, 10)...), 7, 0, 0},
		"requests as urgent as the call":          {[]Request{call, alike}, 7, 9 * ms, 0},
		"an urgent request behind a less urgent":  {[]Request{call, call, urgent, alike}, 1, 160 * ms, 2},
		"no call":                                 {[]Request{urgent, alike}, 7, 0, 0},
		"an urgent call before an urgent request": {[]Request{{IsCall: true, RunTime: 30 * ms}, urgent}, 7, 179 * ms, 0},
		"slots are not known":                     {[]Request{call, urgent}, 0, 177 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Next(c.waiting, c.slots, c.now); got != c.want {
				t.Errorf("Next is %d, want %d", got, c.want)
			}
		})
	}
}

func TestCompareOrdersRequests(t *testing.T) {
	ordered := []Request{
		{IsCall: true, Priority: 0, RunTimeStep: 9},
		{IsCall: true, Priority: 2},
		{Priority: 0, RunTimeStep: 3, Due: 5 * ms},
		{Priority: 0, RunTimeStep: 3, Due: 6 * ms},
		{Priority: 0, RunTimeStep: 3, Due: 1 * ms, RejectedBefore: true},
		{Priority: 0, RunTimeStep: 4},
		{Priority: 1},
	}
	for i := range ordered {
		for j := range ordered {
			want := 0
			switch {
			case i < j:
				want = -1
			case i > j:
				want = 1
			}
			if got := Compare(ordered[i], ordered[j]); got != want {
				t.Errorf("Compare of %d and %d is %d, want %d", i, j, got, want)
			}
		}
	}
}

// The load: calls that never end, and urgent requests that the instance has room for. One slot at a time is freed by
// runs that all take the same time; each urgent request begins by its due time, whatever number of calls waits.
func TestCallsDelayNoUrgentRequestBeyondItsTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		const runTime = 80 * ms
		slots := 1 + random.IntN(12)
		waiting := slices.Repeat([]Request{{Priority: 1, IsCall: true, RunTime: runTime}}, 3)
		interval := runTime / time.Duration(slots)
		for i := range random.IntN(20) {
			// Feasible: the request can begin in time if no call is admitted any more.
			slack := time.Duration(random.IntN(300)) * ms
			waiting = append(waiting, Request{Due: time.Duration(i+1)*interval + slack, RunTime: runTime})
		}
		slices.SortStableFunc(waiting, Compare)
		calls := 0
		for now := time.Duration(0); len(waiting) > 3; now += interval {
			at := Next(waiting, slots, now)
			chosen := waiting[at]
			if chosen.IsCall {
				if calls++; calls > 1000 {
					t.Fatalf("%d slots: %d urgent requests wait behind %d calls", slots, len(waiting)-3, calls)
				}
				continue // another call takes its place
			}
			if chosen.Due < now {
				t.Fatalf("%d slots: a request that had to begin by %v begins at %v behind %d calls", slots, chosen.Due, now, calls)
			}
			waiting = slices.Delete(waiting, at, at+1)
		}
	}
}
