package ingress

import (
	"math/bits"
	"slices"
	"sync"
	"time"

	"limehold/clock"
)

// gate shares the instance's slots among requests. Those that find none free wait
// by rank, as long as the wait that is foreseen is worth it.
//
// Invariants:
//   - running never exceeds slots, except while slots have just been lowered.
//   - A waiting request is let in at most once.
//   - The bound of a cold instance is kept; see coldStart.
//   - Among waiting requests, one of a higher rank is let in first; among equals
//     the shorter one: an instance's own calls, for which other slots are held, are
//     much shorter than what callers ask for. Among equals, one that is made for the
//     first time: it can still be served in full time, one that returns after a refusal
//     cannot. Among equals, the one that has to begin first to be served within its
//     target latency.
type gate struct {
	// queueTime is the share of a request's target latency that it may wait.
	queueTime float64
	mutex     sync.Mutex
	slots     int
	running   int
	waiting   []*ticket
	closed    bool
	// runTime is the smoothed time that a request occupies a slot.
	runTime   time.Duration
	loadTaken time.Duration
	// byRoute are the same times of single routes: an instance's own calls are much
	// shorter than what its callers ask for.
	byRoute map[string]*routeLoad

	cold coldStart
	// thaw lets waiting requests in once a cold instance bears a further one; nil while
	// none is due.
	thaw *time.Timer
}

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

// ticket is one request that waits.
type ticket struct {
	rank
	// run is what a request of its route takes.
	run      time.Duration
	admitted chan struct{}
	granted  bool
}

// rank orders requests that wait.
type rank struct {
	// priority 0 is the highest.
	priority int
	// length is the run time of the route, in coarse steps.
	length int
	// returning is set for one that was refused before.
	returning bool
	// due is when the request has to begin, on the gate's clock.
	due time.Duration
}

// before reports whether a request of this rank goes before one of the other.
func (r rank) before(other rank) bool {
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	if r.length != other.length {
		return r.length < other.length
	}
	if r.returning != other.returning {
		return other.returning
	}
	return r.due < other.due
}

const (
	// firstRunTime stands for the run time before anything has been measured.
	firstRunTime = 50 * time.Millisecond
	runTimeKeep  = 0.95
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 1024
	// loadEvery is the interval after which the routes' parts of the slots are taken
	// in anew, loadKeep how much of the old ones stays.
	loadEvery = 250 * time.Millisecond
	loadKeep  = 0.6
	// mostOccupied bounds the part of the slots that counts as taken by others.
	mostOccupied = 0.95
)

func newGate(queueTime float64) *gate {
	return &gate{queueTime: queueTime, runTime: firstRunTime, byRoute: map[string]*routeLoad{}}
}

// entry is the gate's answer to a request.
type entry uint8

const (
	entryAdmitted entry = iota
	entryFull
	entryClosed
	entryCancelled
)

// loadFigures is how busy the gate is.
type loadFigures struct {
	running, waiting, slots int
	runTime                 time.Duration
}

func (g *gate) load() loadFigures {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return loadFigures{g.running, len(g.waiting), g.slots, g.slotTime(clock.Now())}
}

// slotTime is how long one of the slots is taken up by a request: a cold instance bears
// fewer requests than its slots could run.
func (g *gate) slotTime(now time.Duration) time.Duration {
	return max(g.runTime, time.Duration(g.slots)*g.cold.pace(now))
}

// capacity is the share of its usual requests that the instance bears now.
func (g *gate) capacity() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return float64(g.runTime) / float64(g.slotTime(clock.Now()))
}

// changeCold changes what is known of the instance's cold start, and lets in what may be.
func (g *gate) changeCold(change func(*coldStart)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.cold)
	g.admitNext()
}

// coldBound is how many requests a second the instance is sent while it is cold; zero: it
// is not bounded.
func (g *gate) coldBound() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.perSecond
}

// mayBeCold reports whether the instance has to be asked whether it is cold.
func (g *gate) mayBeCold() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.perSecond > 0 && g.cold.doubtful()
}

// isCold reports whether the instance is cold, or may be.
func (g *gate) isCold() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.cold(clock.Now())
}

// resize takes how many requests the instance runs at once.
func (g *gate) resize(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	g.admitNext()
}

// close refuses everything that is new, and what waits.
func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
	for _, waiting := range g.waiting {
		close(waiting.admitted)
	}
	g.waiting = nil
}

// asked is what the gate has to know of a request.
type asked struct {
	route     string
	priority  int
	returning bool
	// target is what is left of the request's target latency, left the time until
	// its deadline.
	target time.Duration
	left   time.Duration
}

// enter waits for a slot. After entryAdmitted, leave must follow.
func (g *gate) enter(request asked, cancelled <-chan struct{}) entry {
	g.mutex.Lock()
	patience := g.patience(request)
	place := rank{
		priority: request.priority, length: lengthStep(g.routeTime(request.route)),
		returning: request.returning, due: clock.Now() + patience,
	}
	if g.closed {
		g.mutex.Unlock()
		return entryClosed
	}
	if now := clock.Now(); g.running < g.slots && len(g.waiting) == 0 && g.cold.wait(now) == 0 {
		g.take(now)
		g.mutex.Unlock()
		return entryAdmitted
	}
	if g.foreseen(place) > patience {
		g.mutex.Unlock()
		return entryFull
	}
	mine := &ticket{rank: place, run: g.routeTime(request.route), admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, place, func(other *ticket, place rank) int {
		if place.before(other.rank) {
			return 1
		}
		return -1
	})
	g.waiting = slices.Insert(g.waiting, at, mine)
	g.admitNext()
	g.mutex.Unlock()
	return g.await(mine, patience, cancelled)
}

// patience is how long a request may wait for a slot: as long as it can be served
// within its target latency, or else for the share of the settings. One that is short may
// wait longer: it takes little of the instance, and mostly is the call of another instance,
// which keeps a slot meanwhile and has worked for nothing if it is refused.
func (g *gate) patience(request asked) time.Duration {
	share := time.Duration(float64(request.target) * g.queueTime)
	inTime := request.target - runsReserved*g.routeTime(request.route)/runsWhole
	patience := max(share, inTime)
	if shortRuns*g.routeTime(request.route) < g.runTime {
		patience = max(patience, time.Duration(float64(request.left)*shortPatience))
	}
	return min(patience, request.left)
}

// patienceOf is patience, for callers that do not hold the gate's mutex.
func (g *gate) patienceOf(request asked) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.patience(request)
}

// routeTimeOf is routeTime, for callers that do not hold the gate's mutex.
func (g *gate) routeTimeOf(route string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.routeTime(route)
}

// routeTime is the smoothed time that a route's requests occupy a slot.
func (g *gate) routeTime(route string) time.Duration {
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
	// shortPatience is the share of the time left until its deadline that it may wait.
	shortPatience = 0.6
)

// awaitLooks is how often, of its patience, a waiting request looks again whether it is
// worth it: one that is overtaken by others is refused while its caller can still be served
// elsewhere or later.
const awaitLooks = 5

// await waits for a slot, for as long as the wait that is foreseen is worth it.
func (g *gate) await(mine *ticket, patience time.Duration, cancelled <-chan struct{}) entry {
	until := clock.Now() + patience
	ticker := time.NewTicker(max(time.Millisecond, patience/awaitLooks))
	defer ticker.Stop()
	outcome := entryFull
	for looking := true; looking; {
		select {
		case <-mine.admitted:
			looking = false
		case <-ticker.C:
			looking = g.worthWaiting(mine, until)
		case <-cancelled:
			outcome, looking = entryCancelled, false
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if mine.granted {
		if outcome == entryCancelled {
			g.running--
			g.admitNext()
			return entryCancelled
		}
		return entryAdmitted
	}
	if at := slices.Index(g.waiting, mine); at >= 0 {
		g.waiting = slices.Delete(g.waiting, at, at+1)
	} else if outcome == entryFull && g.closed {
		return entryClosed
	}
	return outcome
}

// worthWaiting reports whether a request that waits may still be let in by a time.
func (g *gate) worthWaiting(mine *ticket, until time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := clock.Now()
	return !mine.granted && !g.closed && now < until && g.foreseen(mine.rank) <= until-now
}

// foreseen is the wait that a request of a rank is to expect: those before it need slots
// for as long as requests of their routes take, and it needs one that becomes free.
func (g *gate) foreseen(place rank) time.Duration {
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
func (g *gate) occupiedBefore(place rank) float64 {
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
func (g *gate) takeLoad(now time.Duration) {
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
func (g *gate) retryAfter() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.slots == 0 {
		return time.Second
	}
	now := clock.Now()
	return max(g.cold.wait(now), time.Duration(len(g.waiting)+1)*g.slotTime(now)/time.Duration(g.slots))
}

// leave gives a slot back; ran is how long the request occupied it, zero when it
// did not run.
func (g *gate) leave(route string, returning bool, ran time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if ran > 0 {
		g.runTime = smoothed(g.runTime, ran)
		g.learn(route, returning, ran)
	}
	g.admitNext()
}

func (g *gate) learn(route string, returning bool, ran time.Duration) {
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

// take lets a request through.
func (g *gate) take(now time.Duration) {
	g.running++
	g.cold.note(now)
}

// admitNext lets in as many of the waiting requests as may be. The next one that a cold
// instance does not bear yet is let in by a timer.
func (g *gate) admitNext() {
	now := clock.Now()
	for g.running < g.slots && len(g.waiting) > 0 {
		if wait := g.cold.wait(now); wait > 0 {
			g.thawAfter(wait)
			return
		}
		next := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		g.take(now)
		next.granted = true
		close(next.admitted)
	}
}

// thawAfter runs admitNext again after a while, unless that is due already.
func (g *gate) thawAfter(wait time.Duration) {
	if g.thaw != nil {
		return
	}
	g.thaw = time.AfterFunc(wait, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.thaw = nil
		g.admitNext()
	})
}
