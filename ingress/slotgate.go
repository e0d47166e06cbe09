package ingress

import (
	"slices"
	"sync"
	"time"

	"limehold/backlog"
	"limehold/clock"
	"limehold/runplan"
	"limehold/slotorder"
)

// slotGate shares the instance's slots among requests. Requests that find no free slot wait in
// the order of their rank, for as long as the expected wait is within their limit.
//
// Invariants:
//   - running never exceeds slots, except right after slots was lowered.
//   - A waiting request is admitted at most once.
//   - The request rate is limited; see coldStart and rateLimit.
//   - Waiting requests are admitted in the order of slotorder.Compare, except that a call lets more
//     urgent requests pass that would otherwise begin too late.
type slotGate struct {
	// queueTime is the share of its target latency that a request may wait.
	queueTime float64
	mutex     sync.Mutex
	slots     int
	running   int
	waiting   []*waiter
	closed    bool
	// runTime is the smoothed time for which a request occupies a slot.
	runTime       time.Duration
	loadUpdatedAt time.Duration
	// byRoute holds the run time and the occupied share of the slots for each route.
	byRoute map[string]*routeLoad
	// plansRuns is set if requests are rejected that most likely outlast their deadline, by runs.
	plansRuns bool
	runs      runplan.Routes
	// spreadsReturns is set if rejected requests are told to return at different times, by returns.
	spreadsReturns bool
	returns        backlog.Schedule

	cold  coldStart
	limit rateLimit
	// rateTimer admits waiting requests once a cold or limited instance takes another one; nil if no
	// request waits for that.
	rateTimer *clock.Timer
}

// waiter is a request that waits for a slot.
type waiter struct {
	rank
	route string
	// deadline is that of the request, by clock.Now.
	deadline time.Duration
	// runTime is the smoothed run time of its route.
	runTime time.Duration
	decided chan struct{}
	hasSlot bool
	// isVain is set instead of hasSlot if the request would most likely outlast its deadline.
	isVain bool
}

// rank orders the waiting requests.
type rank struct {
	// priority 0 is the highest.
	priority int
	// runTimeStep is the step of the route's run time; see runTimeStep.
	runTimeStep int
	// rejectedBefore is set for a request that was rejected before.
	rejectedBefore bool
	// isCall is set for a call of another instance; see slotorder.
	isCall bool
	// due is when the request has to begin, by clock.Now.
	due time.Duration
}

// before reports whether a request of this rank is admitted before one of the other rank.
func (r rank) before(other rank) bool { return slotorder.Compare(r.request(0), other.request(0)) < 0 }

// request describes a request of this rank and run time.
func (r rank) request(runTime time.Duration) slotorder.Request {
	return slotorder.Request{
		Priority: r.priority, IsCall: r.isCall, RunTimeStep: r.runTimeStep, RejectedBefore: r.rejectedBefore, Due: r.due, RunTime: runTime,
	}
}

const (
	// initialRunTime is the assumed run time before any request has ended.
	initialRunTime = 50 * time.Millisecond
	// runTimeDecay is the weight of the previous value in a smoothed run time.
	runTimeDecay = 0.95
	// maxRoutes bounds the routes whose run times are kept.
	maxRoutes = 1024
	// loadInterval is the interval at which the routes' shares of the slots are updated, and
	// loadDecay the weight of the previous share.
	loadInterval = 250 * time.Millisecond
	loadDecay    = 0.6
	// maxOccupied bounds the share of the slots that counts as occupied by other requests.
	maxOccupied = 0.95
)

func newSlotGate(queueTime float64) *slotGate {
	return &slotGate{queueTime: queueTime, runTime: initialRunTime, byRoute: map[string]*routeLoad{}}
}

// decision is how the gate decides on a request.
type decision uint8

const (
	decisionAdmitted decision = iota
	decisionFull
	decisionClosed
	decisionCancelled
	// decisionVain: the request's run would most likely outlast its deadline.
	decisionVain
)

// gateLoad is how busy the gate is.
type gateLoad struct {
	running, waiting, slots int
	runTime                 time.Duration
	// limitWait is how long it takes until the instance's limit allows another request, after those that wait.
	limitWait time.Duration
}

func (g *slotGate) load() gateLoad {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	return gateLoad{
		running: g.running, waiting: len(g.waiting), slots: g.slots, runTime: max(g.runTime, time.Duration(g.slots)*g.cold.interval(now)),
		limitWait: g.limit.wait(now) + time.Duration(len(g.waiting))*g.limit.interval(),
	}
}

// capacity returns the share of its usual load that the instance can handle now; it is less than
// 1 while the instance is cold or names a limit.
func (g *slotGate) capacity() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return float64(g.runTime) / float64(g.slotTime(clock.Now()))
}

// updateCold changes the state of the cold start, and admits the requests that may run then.
func (g *slotGate) updateCold(change func(*coldStart)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.cold)
	g.admitNext()
}

// setLimit sets the request rate that the instance takes, in requests a second; 0 removes the limit.
func (g *slotGate) setLimit(perSecond float64, now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.limit.set(perSecond, now)
	g.admitNext()
}

// namedLimit returns the request rate that the instance takes, in requests a second; 0 if there is no limit.
func (g *slotGate) namedLimit() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.limit.perSecond
}

// coldLimit returns the request rate per second of a cold instance; 0 if it is not limited.
func (g *slotGate) coldLimit() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.perSecond
}

// isColdUncertain reports whether the instance has to be probed for its cold start.
func (g *slotGate) isColdUncertain() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.perSecond > 0 && g.cold.isUncertain()
}

// isCold reports whether the instance is cold, or may be.
func (g *slotGate) isCold() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.isCold(clock.Now())
}

// resize sets how many requests the instance runs at once.
func (g *slotGate) resize(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	g.admitNext()
}

// close rejects all new and all waiting requests.
func (g *slotGate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	for _, waiting := range g.waiting {
		close(waiting.decided)
	}
	g.waiting = nil
}

// slotRequest describes a request to the gate.
type slotRequest struct {
	route          string
	priority       int
	rejectedBefore bool
	// isCall is set for a call of another instance.
	isCall bool
	// target is what remained of the request's target latency on its arrival, remaining the time until
	// its deadline.
	target    time.Duration
	remaining time.Duration
}

// enter waits for a slot. If it returns decisionAdmitted, a call of leave must follow.
func (g *slotGate) enter(request slotRequest, cancelled <-chan struct{}) decision {
	w, maxWait, result := g.enqueue(request)
	if w == nil {
		return result
	}
	return g.await(w, maxWait, cancelled)
}

// enqueue decides on a request at once, or queues it and returns its waiter and wait limit.
func (g *slotGate) enqueue(request slotRequest) (w *waiter, maxWait time.Duration, result decision) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	startWithin, isVain := g.startWithin(request, now)
	maxWait = min(g.maxWaitLocked(request), startWithin)
	place := rank{
		priority: request.priority, runTimeStep: runTimeStep(g.routeRunTimeLocked(request.route)),
		rejectedBefore: request.rejectedBefore, isCall: request.isCall, due: now + maxWait,
	}
	if g.closed {
		return nil, 0, decisionClosed
	}
	if isVain {
		return nil, 0, decisionVain
	}
	if g.running < g.slots && len(g.waiting) == 0 && g.rateWait(now) == 0 {
		g.admit(request.route, now)
		return nil, 0, decisionAdmitted
	}
	if g.expectedWait(place) > maxWait {
		return nil, 0, decisionFull
	}
	w = &waiter{rank: place, route: request.route, deadline: now + request.remaining, runTime: g.routeRunTimeLocked(request.route), decided: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, place, func(other *waiter, place rank) int {
		if place.before(other.rank) {
			return 1
		}
		return -1
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	g.admitNext()
	return w, maxWait, decisionAdmitted
}

// waitChecks is how often within its wait limit a waiting request checks whether it may still be
// admitted. One that is overtaken by others is rejected while its caller can still be served elsewhere
// or later: of the requests that a full instance rejected, a third fewer had waited for more than 250 ms.
const waitChecks = 5

// await waits for a slot for as long as the expected wait is within the limit.
func (g *slotGate) await(w *waiter, maxWait time.Duration, cancelled <-chan struct{}) decision {
	until := clock.Now() + maxWait
	ticker := time.NewTicker(max(time.Millisecond, maxWait/waitChecks))
	defer ticker.Stop()
	outcome := decisionFull
	for waiting := true; waiting; {
		select {
		case <-w.decided:
			waiting = false
		case <-ticker.C:
			waiting = g.canStillAdmit(w, until)
		case <-cancelled:
			outcome, waiting = decisionCancelled, false
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if w.hasSlot {
		if outcome == decisionCancelled {
			g.running--
			g.admitNext()
			return decisionCancelled
		}
		return decisionAdmitted
	}
	if w.isVain && outcome != decisionCancelled {
		return decisionVain
	}
	if at := slices.Index(g.waiting, w); at >= 0 {
		g.waiting = slices.Delete(g.waiting, at, at+1)
	} else if outcome == decisionFull && g.closed {
		return decisionClosed
	}
	return outcome
}

// leave releases a slot. ran is how long the request occupied it; 0 if the request did not
// run.
func (g *slotGate) leave(route string, rejectedBefore bool, ran time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if ran > 0 {
		g.runTime = smoothed(g.runTime, ran)
		g.recordRun(route, rejectedBefore, ran)
	}
	g.admitNext()
}

// admit counts an admitted request.
func (g *slotGate) admit(route string, now time.Duration) {
	g.running++
	g.runs.Begin(route, now)
	g.cold.record(now)
	g.limit.record(now)
}

// admitNext admits the waiting requests that may run now. If the request rate does not allow the next one
// yet, a timer admits it later. The mutex is held.
func (g *slotGate) admitNext() {
	now := clock.Now()
	for g.running < g.slots && len(g.waiting) > 0 {
		if wait := g.rateWait(now); wait > 0 {
			g.scheduleAdmission(wait)
			return
		}
		at := g.next(now)
		next := g.waiting[at]
		g.waiting = slices.Delete(g.waiting, at, at+1)
		if next.isVain = g.plansRuns && g.runs.IsVain(next.route, next.deadline-now); !next.isVain {
			g.admit(next.route, now)
			next.hasSlot = true
		}
		close(next.decided)
	}
}

// next returns the index of the waiting request that gets the next slot. The mutex is held.
func (g *slotGate) next(now time.Duration) int {
	if !g.waiting[0].isCall {
		return 0
	}
	return slotorder.Next(g.order(), g.slots, now)
}

// order describes the waiting requests in their order. The mutex is held.
func (g *slotGate) order() []slotorder.Request {
	list := make([]slotorder.Request, 0, len(g.waiting))
	for _, w := range g.waiting {
		list = append(list, w.request(w.runTime))
	}
	return list
}

// scheduleAdmission schedules admitNext, unless that is already scheduled.
func (g *slotGate) scheduleAdmission(wait time.Duration) {
	if g.rateTimer != nil {
		return
	}
	g.rateTimer = clock.AfterFunc(wait, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.rateTimer = nil
		g.admitNext()
	})
}
