package ingress

import (
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
//   - Among waiting requests, one of a higher rank is let in first; among equals
//     the one that has to begin first to be served within its target latency.
type gate struct {
	// queueTime is the share of a request's target latency that it may wait.
	queueTime float64
	mutex     sync.Mutex
	slots     int
	running   int
	waiting   []*ticket
	closed    bool
	// runTime is the smoothed time that a request occupies a slot.
	runTime time.Duration
	// byRoute are the same times of single routes: an instance's own calls are much
	// shorter than what its callers ask for.
	byRoute map[string]time.Duration
}

// ticket is one request that waits.
type ticket struct {
	rank
	admitted chan struct{}
	granted  bool
}

// rank orders requests that wait.
type rank struct {
	// priority 0 is the highest.
	priority int
	// due is when the request has to begin, on the gate's clock.
	due time.Duration
}

// before reports whether a request of this rank goes before one of the other.
func (r rank) before(other rank) bool {
	if r.priority != other.priority {
		return r.priority < other.priority
	}
	return r.due < other.due
}

const (
	// firstRunTime stands for the run time before anything has been measured.
	firstRunTime = 50 * time.Millisecond
	runTimeKeep  = 0.95
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 1024
)

func newGate(queueTime float64) *gate {
	return &gate{queueTime: queueTime, runTime: firstRunTime, byRoute: map[string]time.Duration{}}
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
	return loadFigures{g.running, len(g.waiting), g.slots, g.runTime}
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
	route    string
	priority int
	// target is what is left of the request's target latency, left the time until
	// its deadline.
	target time.Duration
	left   time.Duration
}

// enter waits for a slot. After entryAdmitted, leave must follow.
func (g *gate) enter(request asked, cancelled <-chan struct{}) entry {
	g.mutex.Lock()
	patience := g.patience(request)
	place := rank{priority: request.priority, due: clock.Now() + patience}
	if g.closed {
		g.mutex.Unlock()
		return entryClosed
	}
	if g.running < g.slots && len(g.waiting) == 0 {
		g.running++
		g.mutex.Unlock()
		return entryAdmitted
	}
	if g.foreseen(place) > patience {
		g.mutex.Unlock()
		return entryFull
	}
	mine := &ticket{rank: place, admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, place, func(other *ticket, place rank) int {
		if place.before(other.rank) {
			return 1
		}
		return -1
	})
	g.waiting = slices.Insert(g.waiting, at, mine)
	g.mutex.Unlock()
	return g.await(mine, patience, cancelled)
}

// patience is how long a request may wait for a slot: as long as it can be served
// within its target latency, or else for the share of the settings.
func (g *gate) patience(request asked) time.Duration {
	share := time.Duration(float64(request.target) * g.queueTime)
	inTime := request.target - runsReserved*g.routeTime(request.route)/runsWhole
	return min(max(share, inTime), request.left)
}

// routeTime is the smoothed time that a route's requests occupy a slot.
func (g *gate) routeTime(route string) time.Duration {
	if known, measured := g.byRoute[route]; measured {
		return known
	}
	return g.runTime
}

const (
	// runsReserved of runsWhole is how many run times a request that waits keeps in
	// hand so that it can still be served within its target latency.
	runsReserved = 3
	runsWhole    = 2
)

func (g *gate) await(mine *ticket, patience time.Duration, cancelled <-chan struct{}) entry {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	outcome := entryFull
	select {
	case <-mine.admitted:
	case <-timer.C:
	case <-cancelled:
		outcome = entryCancelled
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

// foreseen is the wait that a request of a rank is to expect: those before it, and
// itself, need slots that become free at the measured rate.
func (g *gate) foreseen(place rank) time.Duration {
	ahead := 1
	for _, other := range g.waiting {
		if !place.before(other.rank) {
			ahead++
		}
	}
	if g.slots == 0 {
		return time.Hour
	}
	return time.Duration(ahead) * g.runTime / time.Duration(g.slots)
}

// retryAfter is when a refused request is likely to find a slot.
func (g *gate) retryAfter() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.slots == 0 {
		return time.Second
	}
	return time.Duration(len(g.waiting)+1) * g.runTime / time.Duration(g.slots)
}

// leave gives a slot back; ran is how long the request occupied it, zero when it
// did not run.
func (g *gate) leave(route string, ran time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if ran > 0 {
		g.runTime = smoothed(g.runTime, ran)
		if _, known := g.byRoute[route]; known || len(g.byRoute) < maxRoutes {
			g.byRoute[route] = smoothed(g.routeTime(route), ran)
		}
	}
	g.admitNext()
}

func smoothed(before, ran time.Duration) time.Duration {
	return time.Duration(float64(before)*runTimeKeep + float64(ran)*(1-runTimeKeep))
}

func (g *gate) admitNext() {
	for g.running < g.slots && len(g.waiting) > 0 {
		next := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		g.running++
		next.granted = true
		close(next.admitted)
	}
}
