package ingress

import (
	"math/bits"
	"time"

	"limehold/clock"
	"limehold/slotorder"
)

// This file estimates, from the observed run times of the routes, how long a request may wait for
// a slot and how long its wait is likely to be.

// routeLoad is the load of one route on the instance.
type routeLoad struct {
	// runTime is the smoothed time for which a request occupies a slot.
	runTime time.Duration
	// first is the share of the slots for requests that are sent for the first time, rejectedBefore the
	// share for requests that return after a rejection.
	first, rejectedBefore slotUse
}

// slotUse is the share of the instance's slots that a group of requests occupies.
type slotUse struct {
	// occupied is the smoothed share of the slots, and counted the slot time since it was last
	// updated.
	occupied float64
	counted  time.Duration
}

func (u *slotUse) update(slotTime float64) {
	u.occupied = u.occupied*loadDecay + float64(u.counted)/slotTime*(1-loadDecay)
	u.counted = 0
}

// slotTime returns for how long a request occupies a slot. It is longer for an instance that takes
// fewer requests than its slots could run.
func (g *slotGate) slotTime(now time.Duration) time.Duration {
	return max(g.runTime, g.minSlotTime(now))
}

// minSlotTime returns how long a request occupies a slot at least, however short it is, because the
// request rate is limited.
func (g *slotGate) minSlotTime(now time.Duration) time.Duration {
	return time.Duration(g.slots) * max(g.cold.interval(now), g.limit.interval())
}

// rateWait returns how long it takes until the request rate allows another request; 0 if it allows one
// now.
func (g *slotGate) rateWait(now time.Duration) time.Duration {
	return max(g.cold.wait(now), g.limit.wait(now))
}

// maxWaitLocked returns how long a request may wait for a slot: as long as it can still be served
// within its target latency, or for the configured share of that latency if that is longer. A short
// request may wait longer: it takes little of the instance, and is mostly a call from another
// instance, which holds a slot meanwhile and whose work is wasted if the call is rejected. No request
// may wait beyond its deadline. The mutex is held.
func (g *slotGate) maxWaitLocked(request slotRequest) time.Duration {
	maxWait := g.baseMaxWait(request)
	if shortRunFactor*g.routeRunTimeLocked(request.route) < g.runTime {
		maxWait = max(maxWait, time.Duration(float64(request.remaining)*shortWaitShare))
	}
	return min(maxWait, request.remaining)
}

// startWithin returns the time within which a request has to begin so that it most likely ends before its deadline.
// isVain is set if it would not even if it began at once. The mutex is held.
func (g *slotGate) startWithin(request slotRequest, now time.Duration) (within time.Duration, isVain bool) {
	if !g.plansRuns {
		return request.remaining, false
	}
	return g.runs.MaxWait(request.route, request.remaining, now)
}

// recordRunTime records how long a run of a route took. wasCut is set if it had not ended at its deadline.
func (g *slotGate) recordRunTime(route string, ran time.Duration, wasCut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if wasCut {
		g.runs.RecordCut(route, ran, clock.Now())
		return
	}
	g.runs.Record(route, ran, clock.Now())
}

// forgetRunTimes discards what recordRunTime has recorded, for another incarnation of the instance.
func (g *slotGate) forgetRunTimes() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.runs.Forget()
}

// baseMaxWait is maxWaitLocked without the extra time for short requests and the bound of the deadline.
func (g *slotGate) baseMaxWait(request slotRequest) time.Duration {
	share := time.Duration(float64(request.target) * g.queueTime)
	inTime := request.target - reservedRunsNumerator*g.routeRunTimeLocked(request.route)/reservedRunsDenominator
	return max(share, inTime)
}

// maxLinkWait returns how long the response to a request may wait for the link after the request
// has run. Short requests get no extra time here, as their responses may be large.
func (g *slotGate) maxLinkWait(request slotRequest) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return min(g.baseMaxWait(request)+g.routeRunTimeLocked(request.route), request.remaining)
}

// maxWait is maxWaitLocked for callers that do not hold the mutex.
func (g *slotGate) maxWait(request slotRequest) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.maxWaitLocked(request)
}

// routeRunTime is routeRunTimeLocked for callers that do not hold the mutex.
func (g *slotGate) routeRunTime(route string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.routeRunTimeLocked(route)
}

// routeRunTimeLocked returns the smoothed time for which a route's requests occupy a slot. The mutex is
// held.
func (g *slotGate) routeRunTimeLocked(route string) time.Duration {
	if known := g.byRoute[route]; known != nil {
		return known.runTime
	}
	return g.runTime
}

const (
	// reservedRunsNumerator / reservedRunsDenominator is the number of run times that a waiting
	// request reserves, so that it can still be served within its target latency.
	reservedRunsNumerator   = 3
	reservedRunsDenominator = 2
	// shortRunFactor times a short request's run time is less than the mean run time at the instance.
	shortRunFactor = 2
	// shortWaitShare is the share of the time until its deadline that a short request may wait. With it,
	// 28 in 100 runs of a service that makes such calls failed instead of 31.
	shortWaitShare = 0.6
)

// canStillAdmit reports whether a waiting request is still expected to be admitted before until.
func (g *slotGate) canStillAdmit(w *waiter, until time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	return !w.hasSlot && !g.closed && now < until && g.expectedWait(w.rank) <= until-now
}

// expectedWait returns the expected wait of a request of a rank: those before it occupy slots for the run
// times of their routes, and the request needs one that becomes free. The mutex is held.
func (g *slotGate) expectedWait(place rank) time.Duration {
	if g.slots == 0 {
		return time.Hour
	}
	now := clock.Now()
	minRunTime := g.minSlotTime(now)
	ahead := g.slotTime(now)
	pressed := g.isPressed(place, now)
	for _, other := range g.waiting {
		if g.goesFirst(other.rank, place, pressed) {
			ahead += max(other.runTime, minRunTime)
		}
	}
	wait := float64(ahead) / float64(g.slots)
	return max(time.Duration(wait/(1-g.occupiedBefore(place))), g.rateWait(now))
}

// goesFirst reports whether a waiting request is expected to be admitted before one of a rank. Calls are not counted
// before more urgent requests, which they let pass in time; pressed is set if such requests now pass a call of the rank.
func (g *slotGate) goesFirst(other, place rank, pressed bool) bool {
	switch {
	case other.isCall && !place.isCall:
		return other.priority <= place.priority
	case place.isCall && !other.isCall:
		return pressed && other.priority < place.priority
	}
	return other.before(place)
}

// isPressed reports whether more urgent requests now pass a call of a rank. The mutex is held.
func (g *slotGate) isPressed(place rank, now time.Duration) bool {
	return place.isCall && slotorder.Pressed(g.order(), place.request(g.runTime), g.slots, now) >= 0
}

// occupiedBefore returns the share of the slots for requests that arrive later and are nevertheless
// admitted before one of the rank. It does not consider priorities. The mutex is held.
func (g *slotGate) occupiedBefore(place rank) float64 {
	occupied := 0.0
	for _, known := range g.byRoute {
		step := runTimeStep(known.runTime)
		if step < place.runTimeStep || step == place.runTimeStep && place.rejectedBefore {
			occupied += known.first.occupied
		}
		if step < place.runTimeStep {
			occupied += known.rejectedBefore.occupied
		}
	}
	return min(occupied, maxOccupied)
}

// runTimeStep returns a step for a run time; steps differ by a factor of two.
func runTimeStep(runTime time.Duration) int { return bits.Len64(uint64(runTime / time.Millisecond)) }

// updateLoad updates the routes' shares of the slots.
func (g *slotGate) updateLoad(now time.Duration) {
	passed := now - g.loadUpdatedAt
	if passed < loadInterval || g.slots == 0 {
		return
	}
	g.loadUpdatedAt = now
	slotTime := float64(passed) * float64(g.slots)
	for _, known := range g.byRoute {
		known.first.update(slotTime)
		known.rejectedBefore.update(slotTime)
	}
}

// retryAfter returns the time after which a rejected request is likely to find a slot.
func (g *slotGate) retryAfter() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.slots == 0 {
		return time.Second
	}
	now := clock.Now()
	drain := max(g.rateWait(now), time.Duration(len(g.waiting)+1)*g.slotTime(now)/time.Duration(g.slots))
	if g.spreadsReturns {
		return g.returns.Delay(drain)
	}
	return drain
}

// retryAfterRefusal returns the time after which a request that the instance itself had no room for should return: one
// of its runs has likely ended then. 0 if such requests are given no time.
func (g *slotGate) retryAfterRefusal() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.spreadsReturns {
		return 0
	}
	return g.returns.Delay(g.runTime)
}

func (g *slotGate) recordRun(route string, rejectedBefore bool, ran time.Duration) {
	known := g.byRoute[route]
	if known == nil {
		if len(g.byRoute) >= maxRoutes {
			return
		}
		known = &routeLoad{runTime: ran}
		g.byRoute[route] = known
	}
	known.runTime = smoothed(known.runTime, ran)
	if rejectedBefore {
		known.rejectedBefore.counted += ran
	} else {
		known.first.counted += ran
	}
	g.updateLoad(clock.Now())
}

func smoothed(before, ran time.Duration) time.Duration {
	return time.Duration(float64(before)*runTimeDecay + float64(ran)*(1-runTimeDecay))
}
