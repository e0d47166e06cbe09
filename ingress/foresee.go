package ingress

import (
	"math/bits"
	"time"

	"limehold/clock"
)

// What a gate has learned of its routes, and what follows from it: how long a request may
// wait, and how long it would.

// routeLoad is what one route asks of the instance.
type routeLoad struct {
	// runTime is the smoothed time that a request occupies a slot.
	runTime time.Duration
	// first and again are the slots that its requests take, those that are made for the
	// first time and those that return after a refusal.
	first, again slotUse
}

// slotUse is how much of the instance's slots some requests take.
type slotUse struct {
	// occupied is the smoothed part of the slots, and counted the slot time since it
	// was last taken in.
	occupied float64
	counted  time.Duration
}

func (u *slotUse) takeIn(slotTime float64) {
	u.occupied = u.occupied*loadKeep + float64(u.counted)/slotTime*(1-loadKeep)
	u.counted = 0
}

// slotTime is how long one of the slots is taken up by a request: a cold instance bears
// fewer requests than its slots could run.
func (g *slotGate) slotTime(now time.Duration) time.Duration {
	return max(g.runTime, time.Duration(g.slots)*g.cold.pace(now))
}

// patience is how long a request may wait for a slot: as long as it can be served
// within its target latency, or else for the share of the settings. One that is short may
// wait longer: it takes little of the instance, and mostly is the call of another instance,
// which keeps a slot meanwhile and has worked for nothing if it is refused.
func (g *slotGate) patience(request asked) time.Duration {
	patience := g.ownPatience(request)
	if shortRuns*g.routeTime(request.route) < g.runTime {
		patience = max(patience, time.Duration(float64(request.left)*shortPatience))
	}
	return min(patience, request.left)
}

// ownPatience is patience without regard to how short the request runs.
func (g *slotGate) ownPatience(request asked) time.Duration {
	share := time.Duration(float64(request.target) * g.queueTime)
	inTime := request.target - runsReserved*g.routeTime(request.route)/runsWhole
	return max(share, inTime)
}

// linkPatience is how long the answer to a request may wait for the link after it has run.
// That it runs for a short time makes its answer no shorter: with the patience of such
// requests 3.6 s of answers were let in at a link for 1 s of them.
func (g *slotGate) linkPatience(request asked) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return min(g.ownPatience(request)+g.routeTime(request.route), request.left)
}

// patienceOf is patience, for callers that do not hold the gate's mutex.
func (g *slotGate) patienceOf(request asked) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.patience(request)
}

// routeTimeOf is routeTime, for callers that do not hold the gate's mutex.
func (g *slotGate) routeTimeOf(route string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.routeTime(route)
}

// routeTime is the smoothed time that a route's requests occupy a slot.
func (g *slotGate) routeTime(route string) time.Duration {
	if known := g.byRoute[route]; known != nil {
		return known.runTime
	}
	return g.runTime
}

const (
	// runsReserved of runsWhole is how many run times a request that waits keeps in
	// hand so that it can still be served within its target latency.
	runsReserved = 3
	runsWhole    = 2
	// shortRuns of a short request's run time are less than the mean of all that the
	// instance runs.
	shortRuns = 2
	// shortPatience is the share of the time left until its deadline that it may wait. Of
	// the runs of a service that makes such calls 28 in 100 ended badly with it and 31 without
	// it, and 1.5 in 100 more of all requests were served in time.
	shortPatience = 0.6
)

// worthWaiting reports whether a request that waits may still be let in by a time.
func (g *slotGate) worthWaiting(mine *ticket, until time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	return !mine.granted && !g.closed && now < until && g.foreseen(mine.rank) <= until-now
}

// foreseen is the wait that a request of a rank is to expect: those before it need slots
// for as long as requests of their routes take, and it needs one that becomes free.
func (g *slotGate) foreseen(place rank) time.Duration {
	if g.slots == 0 {
		return time.Hour
	}
	now := clock.Now()
	// A cold instance bears so many requests, however short they are.
	least := time.Duration(g.slots) * g.cold.pace(now)
	ahead := g.slotTime(now)
	for _, other := range g.waiting {
		if other.rank.before(place) {
			ahead += max(other.run, least)
		}
	}
	wait := float64(ahead) / float64(g.slots)
	return max(time.Duration(wait/(1-g.occupiedBefore(place))), g.cold.wait(now))
}

// occupiedBefore is the part of the slots that go to requests which come later and
// are let in before one of the place all the same.
func (g *slotGate) occupiedBefore(place rank) float64 {
	occupied := 0.0
	for _, known := range g.byRoute {
		length := lengthStep(known.runTime)
		if length < place.length || length == place.length && place.returning {
			occupied += known.first.occupied
		}
		if length < place.length {
			occupied += known.again.occupied
		}
	}
	return min(occupied, mostOccupied)
}

// lengthStep sorts run times into steps that differ by a factor of two.
func lengthStep(runTime time.Duration) int { return bits.Len64(uint64(runTime / time.Millisecond)) }

// takeLoad takes in what the routes have occupied since the last time.
func (g *slotGate) takeLoad(now time.Duration) {
	passed := now - g.loadTaken
	if passed < loadEvery || g.slots == 0 {
		return
	}
	g.loadTaken = now
	slotTime := float64(passed) * float64(g.slots)
	for _, known := range g.byRoute {
		known.first.takeIn(slotTime)
		known.again.takeIn(slotTime)
	}
}

// retryAfter is when a refused request is likely to find a slot.
func (g *slotGate) retryAfter() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.slots == 0 {
		return time.Second
	}
	now := clock.Now()
	return max(g.cold.wait(now), time.Duration(len(g.waiting)+1)*g.slotTime(now)/time.Duration(g.slots))
}

func (g *slotGate) learn(route string, returning bool, ran time.Duration) {
	known := g.byRoute[route]
	if known == nil {
		if len(g.byRoute) >= maxRoutes {
			return
		}
		known = &routeLoad{runTime: ran}
		g.byRoute[route] = known
	}
	known.runTime = smoothed(known.runTime, ran)
	if returning {
		known.again.counted += ran
	} else {
		known.first.counted += ran
	}
	g.takeLoad(clock.Now())
}

func smoothed(before, ran time.Duration) time.Duration {
	return time.Duration(float64(before)*runTimeKeep + float64(ran)*(1-runTimeKeep))
}
