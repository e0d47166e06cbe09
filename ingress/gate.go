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
)

func newGate(queueTime float64) *gate {
	return &gate{queueTime: queueTime, runTime: firstRunTime}
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

// enter waits for a slot. target is the request's target latency, left the time
// until its deadline. After entryAdmitted, leave must follow.
func (g *gate) enter(priority int, target, left time.Duration, cancelled <-chan struct{}) entry {
	g.mutex.Lock()
	patience := g.patience(target, left)
	asked := rank{priority: priority, due: clock.Now() + patience}
	if g.closed {
		g.mutex.Unlock()
		return entryClosed
	}
	if g.running < g.slots && len(g.waiting) == 0 {
		g.running++
		g.mutex.Unlock()
		return entryAdmitted
	}
	if g.foreseen(asked) > patience {
		g.mutex.Unlock()
		return entryFull
	}
	mine := &ticket{rank: asked, admitted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(g.waiting, asked, func(other *ticket, asked rank) int {
		if asked.before(other.rank) {
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
func (g *gate) patience(target, left time.Duration) time.Duration {
	share := time.Duration(float64(target) * g.queueTime)
	inTime := target - runsReserved*g.runTime/runsWhole
	return min(max(share, inTime), left)
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
func (g *gate) foreseen(asked rank) time.Duration {
	ahead := 1
	for _, other := range g.waiting {
		if !asked.before(other.rank) {
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
func (g *gate) leave(ran time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if ran > 0 {
		g.runTime = time.Duration(float64(g.runTime)*runTimeKeep + float64(ran)*(1-runTimeKeep))
	}
	g.admitNext()
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
