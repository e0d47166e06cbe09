package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// plannedGate returns a gate with one slot, at which runs of route "r" take a time.
func plannedGate(plansRuns bool, runTime time.Duration) *slotGate {
	g := newSlotGate(0.2)
	g.resize(1)
	g.plansRuns = plansRuns
	for range 20 {
		g.recordRunTime("r", runTime, false)
	}
	return g
}

// A burst of requests with a timeout of 1.2 s and a target latency of 1.5 s fills the instance: 2,429 of 18,059 runs
// began so late that they outlasted the timeout.
func TestNoRunBeginsThatOutlastsItsDeadline(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		plansRuns bool
		runTime   time.Duration
		route     string
		left      time.Duration
		decision  decision
	}{
		"time enough":                        {true, 300 * ms, "r", 1200 * ms, decisionAdmitted},
		"returns with too little time":       {true, 300 * ms, "r", 200 * ms, decisionVain},
		"instance is too slow":               {true, 2000 * ms, "r", 1200 * ms, decisionVain},
		"new route":                          {true, 2000 * ms, "new", 100 * ms, decisionAdmitted},
		"not set: begins with too little":    {false, 300 * ms, "r", 200 * ms, decisionAdmitted},
		"not set: begins at a slow instance": {false, 2000 * ms, "r", 1200 * ms, decisionAdmitted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := plannedGate(c.plansRuns, c.runTime)
			// A request with all its time came before, so that this one is no probe.
			g.runs.MaxWait("r", 1200*ms, clock.Now())
			g.runs.Begin("r", clock.Now())
			is.Equal(g.enter(slotRequest{route: c.route, target: 1500 * ms, remaining: c.left}, nil), c.decision)
		})
	}
}

// The wait limit leaves a request the time of its run, also where its target latency is longer than its timeout.
func TestWaitLimitLeavesTheTimeOfTheRun(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		plansRuns bool
		min, max  time.Duration
	}{
		"set":     {true, 840 * ms, 960 * ms},
		"not set": {false, 1150 * ms, 1200 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := plannedGate(c.plansRuns, 300*ms)
			g.byRoute["r"] = &routeLoad{runTime: 200 * ms}
			is.Equal(g.enter(slotRequest{route: "r", target: 1500 * ms, remaining: 1200 * ms}, nil), decisionAdmitted)
			_, maxWait, decided := g.enqueue(slotRequest{route: "r", target: 1500 * ms, remaining: 1200 * ms})
			is.Equal(decided, decisionAdmitted)
			is.True(maxWait >= c.min && maxWait <= c.max)
		})
	}
}

// Runs may turn out to be longer while a request waits. It then gives its turn to the next one.
func TestWaitingRequestThatCannotEndAnyMoreGivesItsTurnAway(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	g := plannedGate(true, 300*ms)
	is.Equal(g.enter(slotRequest{route: "r", target: second, remaining: time.Hour}, nil), decisionAdmitted)
	hopeless := make(chan decision, 1)
	go func() {
		hopeless <- g.enter(slotRequest{route: "r", target: 50 * second, remaining: 40 * second}, nil)
	}()
	for g.load().waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	next := startWaiting(t, g, 1, 200*second)
	for range 500 {
		g.recordRunTime("r", 50*second, true)
	}
	g.leave("r", false, 0)
	is.Equal(<-hopeless, decisionVain)
	is.Equal(<-next, decisionAdmitted)
	is.Equal(g.load().running, 1)
}
