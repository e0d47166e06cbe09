package ingress

import (
	"slices"
	"sync"
	"time"

	"limehold/clock"
)

// slotGate shares the instance's slots among requests. Those that find none free wait
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
type slotGate struct {
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
	thaw *clock.Timer
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
	// runTimeKeep is how much of a smoothed run time one run leaves: twenty count.
	runTimeKeep = 0.95
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 1024
	// loadEvery is the interval after which the routes' parts of the slots are taken
	// in anew, loadKeep how much of the old ones stays.
	loadEvery = 250 * time.Millisecond
	loadKeep  = 0.6
	// mostOccupied bounds the part of the slots that counts as taken by others.
	mostOccupied = 0.95
)

func newSlotGate(queueTime float64) *slotGate {
	return &slotGate{queueTime: queueTime, runTime: firstRunTime, byRoute: map[string]*routeLoad{}}
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

func (g *slotGate) load() loadFigures {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return loadFigures{g.running, len(g.waiting), g.slots, g.slotTime(clock.Now())}
}

// capacity is the share of its usual requests that the instance bears now.
func (g *slotGate) capacity() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return float64(g.runTime) / float64(g.slotTime(clock.Now()))
}

// changeCold changes what is known of the instance's cold start, and lets in what may be.
func (g *slotGate) changeCold(change func(*coldStart)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	change(&g.cold)
	g.admitNext()
}

// coldBound is how many requests a second the instance is sent while it is cold; zero: it
// is not bounded.
func (g *slotGate) coldBound() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.perSecond
}

// mayBeCold reports whether the instance has to be asked whether it is cold.
func (g *slotGate) mayBeCold() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.perSecond > 0 && g.cold.doubtful()
}

// isCold reports whether the instance is cold, or may be.
func (g *slotGate) isCold() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.cold.cold(clock.Now())
}

// resize takes how many requests the instance runs at once.
func (g *slotGate) resize(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.slots = slots
	g.admitNext()
}

// close refuses everything that is new, and what waits.
func (g *slotGate) close() {
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
func (g *slotGate) enter(request asked, cancelled <-chan struct{}) entry {
	mine, patience, answer := g.queueUp(request)
	if mine == nil {
		return answer
	}
	return g.await(mine, patience, cancelled)
}

// queueUp answers a request at once, or has it wait: with the ticket it returns for how long.
func (g *slotGate) queueUp(request asked) (mine *ticket, patience time.Duration, answer entry) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	patience = g.patience(request)
	place := rank{
		priority: request.priority, length: lengthStep(g.routeTime(request.route)),
		returning: request.returning, due: clock.Now() + patience,
	}
	if g.closed {
		return nil, 0, entryClosed
	}
	if now := clock.Now(); g.running < g.slots && len(g.waiting) == 0 && g.cold.wait(now) == 0 {
		g.take(now)
		return nil, 0, entryAdmitted
	}
	if g.foreseen(place) > patience {
		return nil, 0, entryFull
	}
	mine = &ticket{rank: place, run: g.routeTime(request.route), admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, place, func(other *ticket, place rank) int {
		if place.before(other.rank) {
			return 1
		}
		return -1
	})
	g.waiting = slices.Insert(g.waiting, at, mine)
	g.admitNext()
	return mine, patience, entryAdmitted
}

// awaitLooks is how often, of its patience, a waiting request looks again whether it is
// worth it: one that is overtaken by others is refused while its caller can still be served
// elsewhere or later. Of the requests refused at their first try at a full instance a third
// fewer have waited for more than 250 ms.
const awaitLooks = 5

// await waits for a slot, for as long as the wait that is foreseen is worth it.
func (g *slotGate) await(mine *ticket, patience time.Duration, cancelled <-chan struct{}) entry {
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

// leave gives a slot back; ran is how long the request occupied it, zero when it
// did not run.
func (g *slotGate) leave(route string, returning bool, ran time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if ran > 0 {
		g.runTime = smoothed(g.runTime, ran)
		g.learn(route, returning, ran)
	}
	g.admitNext()
}

// take lets a request through.
func (g *slotGate) take(now time.Duration) {
	g.running++
	g.cold.note(now)
}

// admitNext lets in as many of the waiting requests as may be. The next one that a cold
// instance does not bear yet is let in by a timer.
func (g *slotGate) admitNext() {
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
func (g *slotGate) thawAfter(wait time.Duration) {
	if g.thaw != nil {
		return
	}
	g.thaw = clock.AfterFunc(wait, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.thaw = nil
		g.admitNext()
	})
}
