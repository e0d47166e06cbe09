// Package admission decides which request may be sent to which instance now:
// limits, queueing, choice among instances, ejection of bad ones, and the retry
// budget. It is pure: time comes in as a value, and nothing blocks.
package admission

import (
	"math"
	"time"
)

// InstanceID names an instance: the session of its node.
type InstanceID uint64

// Policy chooses among instances.
type Policy uint8

// Policies. The last one is a baseline.
const (
	// PolicyOwnObservation compares two random instances by what this router
	// has seen itself: requests in flight and answer times.
	PolicyOwnObservation Policy = iota
	PolicyRoundRobin
)

// Options configures a gate.
type Options struct {
	Policy Policy
	// SlowStart is how long a new instance gets less than its share.
	SlowStart time.Duration
	// FixedLimits leaves every limit at the instance's slots; a baseline.
	FixedLimits bool
	// Random returns a value in [0, bound).
	Random func(bound int) int
}

// Gate holds the requests to one pool of instances at one router.
//
// Invariants:
//   - inFlight of an instance never exceeds its limit, and its limit never
//     exceeds its slots.
//   - A waiting request is granted at most once.
//   - At most ejectFloor of the instances are ejected at any time.
type Gate struct {
	options   Options
	instances map[InstanceID]*instance
	order     []*instance
	queue     []*Waiter
	// waiting counts the queue by group.
	waiting map[string]int
	turn    int
}

type instance struct {
	id       InstanceID
	zone     string
	draining bool
	slots    int
	inFlight int
	// limit is adapted: a shed answer lowers it, good answers raise it.
	limit   float64
	since   time.Duration
	latency float64 // smoothed, milliseconds
	// gated instances keep their own limits; load is their newest word on it, and
	// sentSince how many requests this router has sent them since.
	gated       bool
	load        Load
	sentSince   int
	failures    int
	ejectedTill time.Duration
	ejections   int
	// refusals counts those in a row that were not for want of room, and refusedTill is
	// until when the instance is not asked again.
	refusals    int
	refusedTill time.Duration
}

const (
	// shedFactor is what a limit is multiplied by when an instance sheds, growStep the requests
	// by which it grows once as many as it allows at a time have ended well: additive increase,
	// multiplicative decrease.
	shedFactor = 0.7
	growStep   = 1.0
	// latencyKeep is how much of the smoothed latency an answer leaves: five answers count.
	latencyKeep = 0.8
	// An instance is left out after ejectAfter failures in a row, for ejectBase at first and up to
	// ejectMax, as long as ejectFloorShare of the instances stay in: where most of them fail, the
	// cause is not theirs. Chosen, not measured.
	ejectAfter      = 5
	ejectBase       = 500 * time.Millisecond
	ejectMax        = 10 * time.Second
	ejectFloorShare = 0.5
	// slowStartFloor is the share of its limit that an instance begins with.
	slowStartFloor = 0.15
	// refusedBase is how long a gate that lets nothing through is left alone at first; it
	// doubles up to refusedMax, about as long as an instance takes to come up.
	refusedBase = 100 * time.Millisecond
	refusedMax  = 2 * time.Second
	// refusedDoublings of refusedBase exceed refusedMax.
	refusedDoublings = 5
)

// NewGate returns a gate without instances.
func NewGate(options Options) *Gate {
	return &Gate{options: options, instances: map[InstanceID]*instance{}, waiting: map[string]int{}}
}

// Instance is what the routing table says of one.
type Instance struct {
	ID       InstanceID
	Zone     string
	Draining bool
	// Slots is how many requests the instance runs at once.
	Slots int
	// Gated instances keep their own limits exactly, and refuse what exceeds them
	// at no cost: nothing is counted, and nothing waits, on their behalf here.
	Gated bool
}

// Load is a gated instance's own word on how busy it is.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// RunTime is the smoothed time that a request takes.
	RunTime time.Duration
	// Well is the share of runs that end well.
	Well float64
	// Link is for how long the link is taken by large answers.
	Link time.Duration
}

// Observe takes a gated instance's word on its load.
func (g *Gate) Observe(id InstanceID, load Load) {
	if known := g.instances[id]; known != nil {
		known.load, known.sentSince = load, 0
	}
}

// Update takes the current instances. It returns the waiters granted by it.
func (g *Gate) Update(now time.Duration, list []Instance) []*Waiter {
	first := len(g.instances) == 0
	seen := map[InstanceID]bool{}
	for _, item := range list {
		seen[item.ID] = true
		known := g.instances[item.ID]
		if known == nil {
			known = &instance{id: item.ID, limit: float64(item.Slots), since: now}
			if first {
				// All are new to a router that has just started: none of them
				// is known to be cold.
				known.since = now - g.options.SlowStart
			}
			g.instances[item.ID] = known
			g.order = append(g.order, known)
		}
		known.zone, known.draining, known.slots = item.Zone, item.Draining, max(1, item.Slots)
		known.gated = item.Gated
		known.limit = math.Min(known.limit, float64(known.slots))
	}
	kept := g.order[:0]
	for _, known := range g.order {
		if seen[known.id] {
			kept = append(kept, known)
			continue
		}
		delete(g.instances, known.id)
	}
	g.order = kept
	return g.grant(now)
}

// Want says what a request may be given.
type Want struct {
	// Instance that owns the request's key; zero: any.
	Instance InstanceID
	// Zone of the router; instances there are preferred while they have room.
	Zone string
	// Avoid are the instances that have failed or refused the request.
	Avoid []InstanceID
	// Deadline after which the request need not be sent any more.
	Deadline time.Duration
	// Ahead puts the request before new ones: it has been under way already.
	Ahead bool
	// RemoteCost is the factor by which a gated instance of another zone must be
	// expected to be quicker than one of the router's own. Zero: zones are alike.
	RemoteCost float64
	// Large is set for requests with large answers: they wait for the instance's link.
	Large bool
	// Group and GroupLimit bound how many requests of one service wait.
	Group      string
	GroupLimit int
}

// Waiter is a queued request.
type Waiter struct {
	Want Want
	// Granted is the instance, once there is one.
	Granted InstanceID
	// Notify is called once, when the waiter is granted. It must not block.
	Notify func()
	queued bool
}

// take counts a request that is sent to the instance. One that has refused is asked by a
// single request first.
func (i *instance) take(now time.Duration) {
	i.inFlight++
	i.sentSince++
	if i.refusals > 0 {
		i.refusedTill = now + i.refusedPause()
	}
}

// refusedPause is how long an instance is left alone whose gate lets nothing through.
func (i *instance) refusedPause() time.Duration {
	return min(refusedMax, refusedBase<<min(i.refusals-1, refusedDoublings))
}

// Verdict is the answer to a request for a slot.
type Verdict uint8

// Verdicts.
const (
	// Admitted: the slot is taken; Release must follow.
	Admitted Verdict = iota
	// Queued: Notify will be called, unless Cancel comes first.
	Queued
	// QueueFull: too many wait already.
	QueueFull
	// NoInstance: there is none that may take the request at all.
	NoInstance
)

// Acquire asks for a slot.
func (g *Gate) Acquire(now time.Duration, waiter *Waiter) Verdict {
	if !g.possible(waiter.Want) {
		return NoInstance
	}
	if len(g.queue) == 0 || g.gated() || waiter.Want.Ahead || waiter.Want.Instance != 0 {
		if chosen := g.choose(now, waiter.Want); chosen != nil {
			chosen.take(now)
			waiter.Granted = chosen.id
			return Admitted
		}
	}
	if g.waiting[waiter.Want.Group] >= waiter.Want.GroupLimit {
		return QueueFull
	}
	waiter.queued = true
	g.waiting[waiter.Want.Group]++
	if waiter.Want.Ahead {
		g.queue = append([]*Waiter{waiter}, g.queue...)
	} else {
		g.queue = append(g.queue, waiter)
	}
	return Queued
}

func (g *Gate) possible(want Want) bool {
	if want.Instance != 0 {
		return g.instances[want.Instance] != nil
	}
	for _, known := range g.order {
		if !known.draining {
			return true
		}
	}
	return false
}

// Cancel takes a waiter out of the queue. It returns false if the waiter has
// been granted meanwhile; Release must then follow.
func (g *Gate) Cancel(waiter *Waiter) bool {
	if !waiter.queued {
		return false
	}
	for i, queued := range g.queue {
		if queued == waiter {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
	g.leaveQueue(waiter)
	return true
}

func (g *Gate) leaveQueue(waiter *Waiter) {
	waiter.queued = false
	group := waiter.Want.Group
	if g.waiting[group]--; g.waiting[group] <= 0 {
		delete(g.waiting, group)
	}
}

// Outcome of an attempt, as far as it says something about the instance.
type Outcome uint8

// Outcomes.
const (
	// OutcomeGood: a whole answer.
	OutcomeGood Outcome = iota
	// OutcomeShed: the instance said that it is full.
	OutcomeShed
	// OutcomeFailed: no connection, no answer, or a broken one.
	OutcomeFailed
	// OutcomeRefused: the gate in front of the instance lets nothing through to it.
	OutcomeRefused
	// OutcomeNeutral says nothing, for example when the caller went away.
	OutcomeNeutral
)

// Release gives a slot back and returns the waiters granted by it.
func (g *Gate) Release(now time.Duration, id InstanceID, outcome Outcome, latency time.Duration) []*Waiter {
	if known := g.instances[id]; known != nil {
		known.inFlight--
		g.learn(now, known, outcome, latency)
	}
	return g.grant(now)
}

func (g *Gate) learn(now time.Duration, known *instance, outcome Outcome, latency time.Duration) {
	switch outcome {
	case OutcomeGood:
		known.failures = 0
		known.refusals, known.refusedTill = 0, 0
		known.ejections = 0
		known.limit = math.Min(float64(known.slots), known.limit+growStep/known.limit)
		known.latency = latencyKeep*known.latency + (1-latencyKeep)*float64(latency)/float64(time.Millisecond)
	case OutcomeRefused:
		known.refusals++
		known.refusedTill = now + known.refusedPause()
	case OutcomeShed:
		known.refusals, known.refusedTill = 0, 0
		if !g.options.FixedLimits {
			known.limit = math.Max(1, known.limit*shedFactor)
		}
	case OutcomeFailed:
		known.failures++
		if known.failures >= ejectAfter {
			g.eject(now, known)
		}
	case OutcomeNeutral:
	}
}

// eject takes an instance out of the choice for a time that doubles, unless
// too many are out already: then the fault is rather in the network or the load.
func (g *Gate) eject(now time.Duration, known *instance) {
	out := 0
	for _, other := range g.order {
		if other.ejectedTill > now {
			out++
		}
	}
	if float64(out+1) > ejectFloorShare*float64(len(g.order)) {
		return
	}
	known.ejectedTill = now + min(ejectMax, ejectBase<<min(known.ejections, 10))
	known.ejections++
	known.failures = 0
}

// grant gives free slots to waiters, first come first served among those that
// can use one. Waiters whose deadline has passed are left for Cancel.
func (g *Gate) grant(now time.Duration) []*Waiter {
	var granted []*Waiter
	kept := g.queue[:0]
	for _, waiter := range g.queue {
		if waiter.Want.Deadline > 0 && waiter.Want.Deadline <= now {
			kept = append(kept, waiter)
			continue
		}
		chosen := g.choose(now, waiter.Want)
		if chosen == nil {
			kept = append(kept, waiter)
			continue
		}
		chosen.take(now)
		g.leaveQueue(waiter)
		waiter.Granted = chosen.id
		granted = append(granted, waiter)
	}
	for i := len(kept); i < len(g.queue); i++ {
		g.queue[i] = nil
	}
	g.queue = kept
	return granted
}

// InFlight returns the requests in flight at an instance and its limit.
func (g *Gate) InFlight(id InstanceID) (inFlight int, limit float64) {
	if known := g.instances[id]; known != nil {
		return known.inFlight, known.limit
	}
	return 0, 0
}

// Waiting is the length of the queue.
func (g *Gate) Waiting() int { return len(g.queue) }

// Ejected reports whether an instance is out of the choice at now.
func (g *Gate) Ejected(id InstanceID, now time.Duration) bool {
	known := g.instances[id]
	return known != nil && known.ejectedTill > now
}
