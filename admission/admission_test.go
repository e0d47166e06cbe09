package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestGate(options Options, instances ...Instance) *Gate {
	next := 0
	options.Random = func(bound int) int { next++; return next % bound }
	g := NewGate(options)
	g.Update(0, instances)
	return g
}

func newInstance(id InstanceID, zone string, slots int) Instance {
	return Instance{ID: id, Zone: zone, Slots: slots}
}

func acquire(g *Gate, requirements Requirements) (*Waiter, Verdict) {
	if requirements.GroupLimit == 0 {
		requirements.GroupLimit = 10
	}
	waiter := &Waiter{Requirements: requirements, Notify: func() {}}
	return waiter, g.Acquire(0, waiter)
}

func TestNoMoreInFlightThanSlots(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 2))
	for range 2 {
		_, verdict := acquire(g, Requirements{})
		is.Equal(verdict, Admitted)
	}
	waiting, verdict := acquire(g, Requirements{})
	is.Equal(verdict, Queued)
	granted := g.Release(0, 1, OutcomeSuccess, time.Millisecond)
	is.Equal(len(granted), 1)
	is.Equal(granted[0], waiting)
}

func TestQueueIsBoundedForEachService(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 1))
	acquire(g, Requirements{})
	_, verdict := acquire(g, Requirements{Group: "x", GroupLimit: 1})
	is.Equal(verdict, Queued)
	_, verdict = acquire(g, Requirements{Group: "x", GroupLimit: 1})
	is.Equal(verdict, QueueFull)
	_, verdict = acquire(g, Requirements{Group: "y", GroupLimit: 1})
	is.Equal(verdict, Queued) // one service's queue does not shut out another
}

func TestRequestUnderWayGoesBeforeNewOnes(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 1))
	acquire(g, Requirements{})
	acquire(g, Requirements{})
	ahead, _ := acquire(g, Requirements{Prioritized: true})
	is.Equal(g.Release(0, 1, OutcomeSuccess, 0)[0], ahead)
}

func TestWaiterPastItsDeadlineIsNotGranted(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 1))
	acquire(g, Requirements{})
	late, _ := acquire(g, Requirements{Deadline: time.Second})
	is.Equal(len(g.Release(2*time.Second, 1, OutcomeSuccess, 0)), 0)
	is.True(g.Cancel(late))
	is.Equal(g.Cancel(late), false)
}

func TestShedAnswersLowerTheLimitAndGoodOnesRaiseIt(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 10))
	shed := func(outcome Outcome) float64 {
		acquire(g, Requirements{})
		g.Release(0, 1, outcome, time.Millisecond)
		_, limit := g.InFlight(1)
		return limit
	}
	lowered := shed(OutcomeShed)
	is.True(lowered < 10)
	for range 200 {
		shed(OutcomeSuccess)
	}
	_, limit := g.InFlight(1)
	is.Equal(limit, 10.0)
}

func TestBadInstanceIsEjectedButNeverHalfOfThem(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 10), newInstance(2, "a", 10), newInstance(3, "a", 10), newInstance(4, "a", 10))
	fail := func(id InstanceID) {
		for range 2 * ejectAfter {
			_, _ = acquire(g, Requirements{Instance: id})
			g.Release(0, id, OutcomeFailed, 0)
		}
	}
	for id := InstanceID(1); id <= 4; id++ {
		fail(id)
	}
	ejected := 0
	for id := InstanceID(1); id <= 4; id++ {
		if g.Ejected(id, time.Millisecond) {
			ejected++
		}
	}
	is.Equal(ejected, 2)
	is.Equal(g.Ejected(1, time.Minute), false) // the ejection has expired
}

func TestOwnZoneFirstThenSpillOver(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 1), newInstance(2, "b", 5))
	first, _ := acquire(g, Requirements{Zone: "a"})
	is.Equal(first.Granted, InstanceID(1))
	second, _ := acquire(g, Requirements{Zone: "a"})
	is.Equal(second.Granted, InstanceID(2))
}

func TestKeyGoesToItsOwnerOnly(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 1), newInstance(2, "a", 5))
	acquire(g, Requirements{Instance: 1})
	_, verdict := acquire(g, Requirements{Instance: 1})
	is.Equal(verdict, Queued)
	_, verdict = acquire(g, Requirements{Instance: 9})
	is.Equal(verdict, NoInstance)
}

func TestLeavingInstanceGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, newInstance(1, "a", 5), newInstance(2, "a", 5))
	g.Update(0, []Instance{{ID: 1, Zone: "a", Slots: 5, Draining: true}, newInstance(2, "a", 5)})
	for range 5 {
		waiter, _ := acquire(g, Requirements{})
		is.Equal(waiter.Granted, InstanceID(2))
	}
}

func TestNewInstanceIsRampedUp(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{SlowStart: 10 * time.Second}, newInstance(1, "a", 20))
	g.Update(time.Minute, []Instance{newInstance(1, "a", 20), newInstance(2, "a", 20)})
	admitted := func(now time.Duration) int {
		count := 0
		for range 60 {
			waiter := &Waiter{Requirements: Requirements{GroupLimit: 100}, Notify: func() {}}
			if g.Acquire(now, waiter) == Admitted && waiter.Granted == 2 {
				count++
			}
		}
		return count
	}
	is.True(admitted(time.Minute) <= 3)
}

func TestRetryBudgetBoundsTheAddedLoad(t *testing.T) {
	is := is.New(t)
	budget := NewRetryBudget(10)
	retries := 0
	for range 1000 {
		budget.Deposit()
		for range 3 {
			if budget.Withdraw() {
				retries++
			}
		}
	}
	is.True(retries >= 100 && retries <= 105)
	none := NewRetryBudget(0)
	none.Deposit()
	is.Equal(none.Withdraw(), false)
}

func BenchmarkAcquireRelease(b *testing.B) {
	g := newTestGate(Options{SlowStart: time.Second}, newInstance(1, "a", 18), newInstance(2, "a", 18), newInstance(3, "b", 18), newInstance(4, "b", 18))
	for b.Loop() {
		waiter := &Waiter{Requirements: Requirements{Zone: "a", GroupLimit: 64}}
		if g.Acquire(time.Minute, waiter) == Admitted {
			g.Release(time.Minute, waiter.Granted, OutcomeSuccess, time.Millisecond)
		}
	}
}

// capped returns an instance that enforces its own limits.
func capped(id InstanceID) Instance { return Instance{ID: id, Zone: "a", Slots: 18, SelfLimited: true} }

func TestGatedInstanceIsChosenByWhatItSays(t *testing.T) {
	usual := Load{Slots: 18, RunTime: 300 * time.Millisecond, SuccessShare: 1}
	with := func(change func(*Load)) Load {
		load := usual
		change(&load)
		return load
	}
	for name, c := range map[string]struct {
		// first and second are the load reports of two instances; without slots nothing is reported.
		first, second Load
		avoid         []InstanceID
		// refused counts the rejections by the gate of the second instance, in a row.
		refused int
		// least and most bound how many of a hundred requests the second instance gets.
		least, most int
	}{
		"alike":                            {usual, usual, nil, 0, 30, 70},
		"one fails all":                    {usual, with(func(l *Load) { l.SuccessShare = 0; l.RunTime = 10 * time.Millisecond }), nil, 0, 0, 0},
		"one fails a tenth, as others may": {with(func(l *Load) { l.SuccessShare = 0.9 }), with(func(l *Load) { l.SuccessShare = 0.9 }), nil, 0, 30, 70},
		"one has said nothing yet":         {usual, Load{}, nil, 0, 0, 70},
		"one is four times slower":         {usual, with(func(l *Load) { l.RunTime *= 4 }), nil, 0, 0, 20},
		"one has refused the request":      {usual, with(func(l *Load) { l.RunTime /= 4 }), []InstanceID{2}, 0, 0, 0},
		"both have refused it":             {with(func(l *Load) { l.RunTime *= 8 }), usual, []InstanceID{1, 2}, 0, 80, 100},
		"the limit of one is used up":      {usual, with(func(l *Load) { l.FreeAt = time.Second }), nil, 0, 0, 0},
		"the limit of one was used up":     {with(func(l *Load) { l.RunTime *= 8 }), with(func(l *Load) { l.FreeAt = 0 }), nil, 0, 80, 100},
		"one lets nothing through":         {usual, with(func(l *Load) { l.RunTime /= 4 }), nil, 2, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGate(Options{}, capped(1), capped(2))
			g.options.Random = rand.New(rand.NewPCG(1, 2)).IntN
			g.SetLoad(1, c.first)
			g.SetLoad(2, c.second)
			for range c.refused {
				acquire(g, Requirements{Instance: 2})
				g.Release(0, 2, OutcomeRejected, 0)
			}
			chosen := 0
			for range 100 {
				waiter, _ := acquire(g, Requirements{Avoid: c.avoid})
				if waiter.Granted == 2 {
					chosen++
				}
				g.Release(0, waiter.Granted, OutcomeNeutral, 0)
				g.SetLoad(1, c.first)
				g.SetLoad(2, c.second)
			}
			is.True(chosen >= c.least && chosen <= c.most)
		})
	}
}

// An instance whose gate rejects everything must get single requests, after growing pauses,
// and its share again once one has been answered.
func TestInstanceThatLetNothingThroughIsAskedByOneRequest(t *testing.T) {
	is := is.New(t)
	g := newTestGate(Options{}, capped(1), capped(2))
	fast := Load{Slots: 18, RunTime: 10 * time.Millisecond, SuccessShare: 1}
	slow := Load{Slots: 18, RunTime: 300 * time.Millisecond, SuccessShare: 1}
	g.SetLoad(1, slow)
	g.SetLoad(2, fast)
	probes := 0
	for now := time.Duration(0); now < 4*time.Second; now += 10 * time.Millisecond {
		waiter := &Waiter{Requirements: Requirements{GroupLimit: 10}, Notify: func() {}}
		is.Equal(g.Acquire(now, waiter), Admitted)
		outcome := OutcomeSuccess
		if waiter.Granted == 2 {
			probes++
			outcome = OutcomeRejected
		}
		g.Release(now, waiter.Granted, outcome, 0)
		g.SetLoad(1, slow)
	}
	is.True(probes >= 4 && probes <= 7)
	// While that one request is unanswered, the others go to the other instance.
	at := 8 * time.Second
	for number := range 4 {
		waiter := &Waiter{Requirements: Requirements{GroupLimit: 10}, Notify: func() {}}
		is.Equal(g.Acquire(at, waiter), Admitted)
		is.Equal(waiter.Granted == 2, number == 0)
	}
	for range 3 {
		g.Release(at, 1, OutcomeNeutral, 0)
	}
	g.Release(at, 2, OutcomeNeutral, 0)
	g.Release(9*time.Second, 2, OutcomeSuccess, 0)
	waiter := &Waiter{Requirements: Requirements{GroupLimit: 10}, Notify: func() {}}
	is.Equal(g.Acquire(9*time.Second, waiter), Admitted)
	is.Equal(waiter.Granted, InstanceID(2))
}

// Guards against retries that grow with the number of routers instead of the number of requests: after a quiet time
// all routers of a fleet have to retry at once.
func TestRetriesDoNotGrowWithTheRouters(t *testing.T) {
	const percent, ratio, requestsInWindow = 17, 0.2, 40_000
	for _, routers := range []int{1, 100, 1_000, 19_000} {
		for _, slack := range []float64{58, 1_040} {
			t.Run(fmt.Sprint(routers, " routers, slack ", slack), func(t *testing.T) {
				random := rand.New(rand.NewPCG(uint64(routers), 1))
				budgets := make([]*RetryBudget, routers)
				for i := range budgets {
					budgets[i] = NewRetryBudget(percent)
					recent := float64(requestsInWindow) / float64(routers)
					budgets[i].SetReserve(RetryLimit{Ratio: ratio, Slack: slack}.Reserve(routers, recent, percent, random.Float64()), random.Float64())
				}
				retries := 0
				for request := range 4 * requestsInWindow {
					budget := budgets[random.IntN(routers)]
					budget.Deposit()
					if request >= 3*requestsInWindow && budget.Withdraw() {
						retries++
					}
				}
				bound := ratio*requestsInWindow + slack
				if float64(retries) > bound {
					t.Errorf("%d retries of %d requests, %.0f are allowed", retries, requestsInWindow, bound)
				}
				// What the requests earn is not lost.
				if float64(retries) < 0.9*percent/percentScale*requestsInWindow {
					t.Errorf("only %d retries of %d requests", retries, requestsInWindow)
				}
			})
		}
	}
}

// Guards against a service with little traffic whose one failed request is not sent again.
func TestReserveLetsTheFirstRetryThrough(t *testing.T) {
	for name, c := range map[string]struct {
		slack   float64
		routers int
		want    int
	}{
		"few routers":    {58, 16, 2},
		"as many":        {206, 83, 1},
		"a fleet":        {1_040, 987, 0},
		"a larger fleet": {1_040, 19_000, 0},
		"nothing known":  {100, 0, 80},
	} {
		t.Run(name, func(t *testing.T) {
			reserve := RetryLimit{Ratio: 0.2, Slack: c.slack}.Reserve(c.routers, 0, 17, 0)
			if reserve != c.want {
				t.Errorf("reserve is %d, want %d", reserve, c.want)
			}
			budget := NewRetryBudget(17)
			budget.SetReserve(reserve, 0)
			for range 100 {
				budget.Deposit()
			}
			if reserve > 0 && !budget.Withdraw() {
				t.Error("no retry is left after a quiet time")
			}
		})
	}
}

// Guards against a debt that outlives the window in which its repeats count, and against retries in spite of a debt.
func TestChargeLeavesABoundedDebt(t *testing.T) {
	const percent, recent = 10, 100
	for name, c := range map[string]struct {
		charges int
		// deposits is how many requests it takes until the next retry.
		deposits int
	}{
		"none":                    {0, 0},
		"paid from the credit":    {1, 10},
		"a debt":                  {5, 50},
		"as large a debt as ever": {1000, 110},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := NewRetryBudget(percent)
			for range c.charges {
				budget.Charge(recent)
			}
			deposits := 0
			for !budget.Withdraw() {
				budget.Deposit()
				deposits++
			}
			is.True(deposits >= c.deposits && deposits <= c.deposits+1) // the sum of tenths is not exact
		})
	}
}
