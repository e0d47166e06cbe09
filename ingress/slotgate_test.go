package ingress

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const second = time.Second

// startWaiting starts a request that has to wait, and returns the channel for its decision once the request is
// queued.
func startWaiting(t *testing.T, g *slotGate, p int, target time.Duration) <-chan decision {
	t.Helper()
	before := g.load().waiting
	got := make(chan decision, 1)
	go func() { got <- g.enter(slotRequest{route: "", priority: p, target: target, remaining: time.Hour}, nil) }()
	for g.load().waiting == before {
		time.Sleep(time.Millisecond)
	}
	return got
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(1)
	g.resize(3)
	var mutex sync.Mutex
	running, most := 0, 0
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			if g.enter(slotRequest{route: "", priority: 1, target: time.Hour, remaining: time.Hour}, nil) != decisionAdmitted {
				return
			}
			mutex.Lock()
			running++
			most = max(most, running)
			mutex.Unlock()
			time.Sleep(time.Millisecond)
			mutex.Lock()
			running--
			mutex.Unlock()
			g.leave("", false, time.Millisecond)
		})
	}
	all.Wait()
	is.Equal(most, 3)
	is.Equal(g.load().running, 0)
}

func TestHigherPriorityThenEarlierDueGoesFirst(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: second, remaining: time.Minute}, nil), decisionAdmitted)
	low := startWaiting(t, g, 2, 100*second)
	long := startWaiting(t, g, 1, 200*second)
	short := startWaiting(t, g, 1, 100*second)
	for _, next := range []<-chan decision{short, long, low} {
		g.leave("", false, 0)
		is.Equal(<-next, decisionAdmitted)
	}
}

// A waiting request must not be overtaken forever by shorter ones: the order is by when requests have to
// begin.
func TestLongRequestIsNotOvertakenOnceItIsDue(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: second, remaining: time.Minute}, nil), decisionAdmitted)
	old := startWaiting(t, g, 1, 2*second)
	time.Sleep(20 * time.Millisecond)
	young := startWaiting(t, g, 1, 2*second-10*time.Millisecond)
	g.leave("", false, 0)
	is.Equal(<-old, decisionAdmitted)
	g.leave("", false, 0)
	is.Equal(<-young, decisionAdmitted)
}

func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	g.runTime = second
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: second, remaining: time.Minute}, nil), decisionAdmitted)
	began := time.Now()
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: 2 * second, remaining: time.Minute}, nil), decisionFull)
	is.True(time.Since(began) < second/2)
	is.True(g.retryAfter() > 0)
}

func TestCancelledRequestGivesItsPlaceBack(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(1)
	g.resize(1)
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
	cancelled := make(chan struct{})
	answer := make(chan decision, 1)
	go func() {
		answer <- g.enter(slotRequest{route: "", priority: 1, target: time.Hour, remaining: time.Hour}, cancelled)
	}()
	for g.load().waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	close(cancelled)
	is.Equal(<-answer, decisionCancelled)
	g.leave("", false, 0)
	is.Equal(g.load(), gateLoad{running: 0, waiting: 0, slots: 1, runTime: initialRunTime})
}

func TestClosedGateRefusesWhatWaits(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(1)
	g.resize(1)
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
	waits := startWaiting(t, g, 1, time.Hour)
	g.close()
	is.Equal(<-waits, decisionClosed)
	is.Equal(g.enter(slotRequest{route: "", priority: 1, target: time.Hour, remaining: time.Hour}, nil), decisionClosed)
}

// Calls from other instances hold slots there while they wait, and are short: they go first and are
// included in the expected wait of longer requests, so that these are rejected while they can still be
// served elsewhere or later.
func TestShorterRoutesGoFirstAndAreCountedIn(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	g.byRoute["short"] = &routeLoad{runTime: 20 * time.Millisecond, first: slotUse{occupied: 0.75}}
	g.byRoute["long"] = &routeLoad{runTime: 200 * time.Millisecond}
	is.Equal(g.enter(slotRequest{route: "long", priority: 1, target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
	answers := make(chan string, 2)
	for count, route := range []string{"long", "short"} {
		go func() {
			if g.enter(slotRequest{route: route, priority: 1, target: time.Hour, remaining: time.Hour}, nil) == decisionAdmitted {
				answers <- route
			}
		}()
		for g.load().waiting == count {
			time.Sleep(time.Millisecond)
		}
	}
	g.leave("", false, 0)
	is.Equal(<-answers, "short")
	g.leave("", false, 0)
	is.Equal(<-answers, "long")
	g.runTime = 100 * time.Millisecond
	place := func(r string) rank { return rank{priority: 1, runTimeStep: runTimeStep(g.routeRunTimeLocked(r))} }
	is.Equal(g.expectedWait(place("short")), 100*time.Millisecond)
	is.Equal(g.expectedWait(place("long")), 400*time.Millisecond)
}

// While the instance is overloaded, a request that is sent for the first time can still be served within
// its whole target latency; one that returns after a rejection waits behind it.
func TestRequestMadeForTheFirstTimeGoesBeforeOneThatReturns(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	enter := func(rejectedBefore bool) <-chan decision {
		before := g.load().waiting
		answer := make(chan decision, 1)
		go func() {
			answer <- g.enter(slotRequest{priority: 1, rejectedBefore: rejectedBefore, target: time.Hour, remaining: time.Hour}, nil)
		}()
		for g.load().waiting == before {
			time.Sleep(time.Millisecond)
		}
		return answer
	}
	is.Equal(g.enter(slotRequest{priority: 1, target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
	again := enter(true)
	first := enter(false)
	g.leave("", false, 0)
	select {
	case answer := <-first:
		is.Equal(answer, decisionAdmitted)
	case <-again:
		t.Fatal("the returning request was admitted before the first one")
	}
	g.leave("", false, 0)
	is.Equal(<-again, decisionAdmitted)
}

// The slots used by first requests are included in the expected wait of a request that was rejected before.
func TestReturningRequestForeseesWhatFirstOnesTake(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(0.2)
	g.resize(1)
	g.runTime = 100 * time.Millisecond
	g.byRoute["a"] = &routeLoad{runTime: 100 * time.Millisecond, first: slotUse{occupied: 0.75}}
	length := runTimeStep(100 * time.Millisecond)
	is.Equal(g.expectedWait(rank{runTimeStep: length}), 100*time.Millisecond)
	is.Equal(g.expectedWait(rank{runTimeStep: length, rejectedBefore: true}), 400*time.Millisecond)
}

// The expected wait depends on the run times of the requests ahead, not on their number.
func TestWaitIsWhatThoseAheadTake(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		ahead []time.Duration
		slots int
		wait  time.Duration
	}{
		"nobody":            {nil, 1, 100 * ms},
		"two short ones":    {[]time.Duration{20 * ms, 20 * ms}, 1, 140 * ms},
		"two long ones":     {[]time.Duration{600 * ms, 600 * ms}, 1, 1300 * ms},
		"long ones, slots":  {[]time.Duration{600 * ms, 600 * ms, 600 * ms, 600 * ms}, 5, 500 * ms},
		"no slots any more": {nil, 0, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newSlotGate(0.2)
			g.slots, g.runTime = c.slots, 100*ms
			for _, run := range c.ahead {
				g.waiting = append(g.waiting, &waiter{rank: rank{priority: 1}, runTime: run})
			}
			is.Equal(g.expectedWait(rank{priority: 2}), c.wait)
		})
	}
}

// A waiting request that is overtaken and cannot be admitted any more is rejected before its wait limit.
func TestOvertakenRequestIsRefusedBeforeItsPatienceIsOver(t *testing.T) {
	is := is.New(t)
	g := newSlotGate(1)
	g.resize(1)
	is.Equal(g.enter(slotRequest{priority: 1, target: time.Hour, remaining: time.Hour}, nil), decisionAdmitted)
	const patience = 20 * second
	mine := &waiter{rank: rank{priority: 2}, decided: make(chan struct{})}
	g.mutex.Lock()
	g.waiting = []*waiter{{rank: rank{priority: 1}, runTime: time.Hour, decided: make(chan struct{})}, mine}
	g.mutex.Unlock()
	began := time.Now()
	is.Equal(g.await(mine, patience/10, nil), decisionFull)
	is.True(time.Since(began) < patience/20)
	is.Equal(g.load().waiting, 1)
}
