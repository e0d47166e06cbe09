// Package admission decides which requests may be sent to which instances: limits, queueing, choice
// of an instance, outlier ejection and the retry budget. It does no I/O, reads no clock (callers pass
// the time) and never blocks.
package admission

import (
	"math"
	"slices"
	"time"
)

// InstanceID identifies an instance by the session of its node.
type InstanceID uint64

// Policy selects how an instance is chosen.
type Policy uint8

// Policies. PolicyRoundRobin is a baseline for comparison.
const (
	// PolicyOwnObservation compares two random instances by the requests in flight and the
	// latencies that this router has observed.
	PolicyOwnObservation Policy = iota
	PolicyRoundRobin
)

// Options configures a Gate.
type Options struct {
	Policy Policy
	// SlowStart is the warm-up time during which a new instance gets less than its share.
	SlowStart time.Duration
	// FixedLimits keeps every limit at the slots of the instance, as a baseline for comparison.
	FixedLimits bool
	// FadeLoads is set if loads that other routers have learned are passed to SetLoad, too. A load then loses its
	// weight with its age, and instances with room are preferred to full ones.
	FadeLoads bool
	// Random returns a value in [0, bound).
	Random func(bound int) int
}

// Gate limits and queues the requests of one router to one pool of instances. It is not safe for
// concurrent use.
//
// Invariants, for instances that are not self-limited:
//   - No request is admitted to an instance that has reached its limit, and a limit never
//     exceeds the slots.
//   - A queued request is granted at most once.
//   - An instance is ejected only while at most maxEjectedShare of the pool is ejected, itself
//     included.
type Gate struct {
	options   Options
	instances map[InstanceID]*instance
	order     []*instance
	queue     []*Waiter
	// queued holds the number of queued requests by group.
	queued   map[string]int
	rotation int
}

type instance struct {
	id       InstanceID
	zone     string
	draining bool
	slots    int
	inFlight int
	// limit is adaptive: shed requests lower it, successful ones raise it.
	limit       float64
	warmupStart time.Duration
	latency     float64 // exponentially weighted moving average, in milliseconds
	// selfLimited instances enforce their own limits; load is the last report of one, and sentSinceReport
	// the number of requests that this router has sent since that report.
	selfLimited     bool
	load            Load
	sentSinceReport int
	// recentlySent holds when the newest requests were sent, if Options.FadeLoads is set.
	recentlySent []time.Duration
	// usual is the smoothed share of the slots that are used or waited for.
	usual        float64
	failures     int
	ejectedUntil time.Duration
	ejections    int
	// rejections counts consecutive rejections by a gate that lets nothing through. Until
	// rejectedUntil the instance is avoided.
	rejections    int
	rejectedUntil time.Duration
}

const (
	// Limits follow additive increase, multiplicative decrease: a shed request multiplies the
	// limit by shedFactor, and a limit's worth of successful requests adds limitIncrement.
	shedFactor     = 0.7
	limitIncrement = 1.0
	// latencyDecay is the weight of the previous value in the smoothed latency, which thus averages
	// over about five answers.
	latencyDecay = 0.8
	// An instance is ejected after ejectAfter consecutive failures, first for ejectBase and up to
	// ejectMax. At most maxEjectedShare of the instances are ejected: if most of them fail, the
	// cause is elsewhere.
	ejectAfter      = 5
	ejectBase       = 500 * time.Millisecond
	ejectMax        = 10 * time.Second
	maxEjectedShare = 0.5
	// slowStartFloor is the share of its limit that a new instance starts with.
	slowStartFloor = 0.15
	// rejectionBackoffBase is the first pause after a gate has rejected everything. It doubles up to
	// rejectionBackoffMax, about the time that an instance takes to start.
	rejectionBackoffBase = 100 * time.Millisecond
	rejectionBackoffMax  = 2 * time.Second
	// maxRecentlySent bounds the times that are kept of requests sent to an instance. A report that another router has
	// passed on is rarely older than that many requests of this one.
	maxRecentlySent = 64
	// rejectionBackoffDoublings is the number of doublings after which rejectionBackoffBase exceeds rejectionBackoffMax.
	rejectionBackoffDoublings = 5
)

// NewGate returns a gate without instances.
func NewGate(options Options) *Gate {
	return &Gate{options: options, instances: map[InstanceID]*instance{}, queued: map[string]int{}}
}

// Instance describes an instance as the routing table lists it.
type Instance struct {
	ID       InstanceID
	Zone     string
	Draining bool
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// SelfLimited instances enforce their own limits and reject excess requests before their backends
	// receive them, so that the Gate neither limits nor queues requests for them.
	SelfLimited bool
}

// Load is a report of a self-limited instance on its current load.
type Load struct {
	Running  int
	QueueLen int
	Slots    int
	// RunTime is the smoothed run time of a request.
	RunTime time.Duration
	// SuccessShare is the share of runs that succeed, from 0 to 1.
	SuccessShare float64
	// LinkBusy is the time for which the link is still occupied by large answers, and InboundBusy that for which it is
	// occupied by large request bodies.
	LinkBusy    time.Duration
	InboundBusy time.Duration
	// FreeAt is when the instance takes the next request, if it limits the rate of requests, on the gate's clock.
	FreeAt time.Duration
	// MadeAt is when the report was made, on the gate's clock. It is used only if Options.FadeLoads is set.
	MadeAt time.Duration
}

// SetLoad stores the newest load report of a self-limited instance.
func (g *Gate) SetLoad(id InstanceID, load Load) {
	inst := g.instances[id]
	if inst == nil {
		return
	}
	inst.recordUsual(load)
	inst.load, inst.sentSinceReport = load, 0
	if g.options.FadeLoads {
		inst.recentlySent = slices.DeleteFunc(inst.recentlySent, func(sent time.Duration) bool { return sent <= load.MadeAt })
		inst.sentSinceReport = len(inst.recentlySent)
	}
}

// Has reports whether the instance of a session is in the pool.
func (g *Gate) Has(session uint64) bool { return g.instances[InstanceID(session)] != nil }

// Update replaces the set of instances and returns the waiters that are granted by it.
func (g *Gate) Update(now time.Duration, list []Instance) []*Waiter {
	wasEmpty := len(g.instances) == 0
	seen := map[InstanceID]bool{}
	for _, item := range list {
		seen[item.ID] = true
		inst := g.instances[item.ID]
		if inst == nil {
			inst = &instance{id: item.ID, limit: float64(item.Slots), warmupStart: now}
			if wasEmpty {
				// Without earlier instances, as on the first update, the router cannot distinguish new
				// instances from old ones, and treats all as warmed up.
				inst.warmupStart = now - g.options.SlowStart
			}
			g.instances[item.ID] = inst
			g.order = append(g.order, inst)
		}
		inst.zone, inst.draining, inst.slots = item.Zone, item.Draining, max(1, item.Slots)
		inst.selfLimited = item.SelfLimited
		inst.limit = math.Min(inst.limit, float64(inst.slots))
	}
	kept := g.order[:0]
	for _, inst := range g.order {
		if seen[inst.id] {
			kept = append(kept, inst)
			continue
		}
		delete(g.instances, inst.id)
	}
	g.order = kept
	return g.grant(now)
}

// Requirements describes what a request requires.
type Requirements struct {
	// Instance is the owner of the request's key, or 0 if any instance may run it.
	Instance InstanceID
	// Zone is the zone of the router. Its instances are preferred while they have free slots.
	Zone string
	// Zones lists the zones whose instances may run the request; nil means all.
	Zones []string
	// Avoid lists the instances that have failed or rejected the request.
	Avoid []InstanceID
	// Deadline is the time from which a queued request is no longer granted; 0 means none.
	Deadline time.Duration
	// Prioritized queues the request before new ones, as it has been sent to an instance before.
	Prioritized bool
	// RemoteCost multiplies the estimated answer time of a self-limited instance in another zone; 0
	// makes no difference between zones.
	RemoteCost float64
	// RegionZones lists the zones of the router's region; nil if the deployment has no regions. The estimated answer
	// time of an instance in another region is multiplied by RegionCost.
	RegionZones []string
	// Large is set for requests with large answers, and Upload for those with large bodies. They also wait for the
	// instance's link.
	Large  bool
	Upload bool
	// Group identifies the request's service, and GroupLimit bounds its queued requests.
	Group      string
	GroupLimit int
}

// Waiter is a request that acquires a slot, at once or after it was queued.
type Waiter struct {
	Requirements Requirements
	// Granted is the instance whose slot the request has acquired, or 0.
	Granted InstanceID
	// Notify is called once, when a queued request is granted. It must not block.
	Notify func()
	queued bool
}

// recordSent counts a request as sent to the instance. After a rejection by its gate, the instance is
// avoided again, so that only one request probes it.
func (g *Gate) recordSent(now time.Duration, i *instance) {
	i.inFlight++
	i.sentSinceReport++
	if g.options.FadeLoads {
		if len(i.recentlySent) >= maxRecentlySent {
			i.recentlySent = i.recentlySent[1:]
		}
		i.recentlySent = append(i.recentlySent, now)
	}
	if i.rejections > 0 {
		i.rejectedUntil = now + i.rejectionBackoff()
	}
}

// rejectionBackoff returns how long the instance is avoided after its gate has rejected everything.
func (i *instance) rejectionBackoff() time.Duration {
	return min(rejectionBackoffMax, rejectionBackoffBase<<min(i.rejections-1, rejectionBackoffDoublings))
}

// Verdict is the result of Acquire.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that a slot is acquired; the caller must call Release.
	Admitted Verdict = iota
	// Queued means that the waiter is in the queue, from which Update and Release may grant it. The
	// caller must call Cancel to give up.
	Queued
	// QueueFull means that the queue of the group has reached its limit.
	QueueFull
	// NoInstance means that no instance may run the request.
	NoInstance
)

// Acquire requests a slot for the waiter, and queues the waiter if none is free.
func (g *Gate) Acquire(now time.Duration, waiter *Waiter) Verdict {
	if !g.canServe(waiter.Requirements) {
		return NoInstance
	}
	if len(g.queue) == 0 || g.isSelfLimited() || waiter.Requirements.Prioritized || waiter.Requirements.Instance != 0 {
		if chosen := g.choose(now, waiter.Requirements); chosen != nil {
			g.recordSent(now, chosen)
			waiter.Granted = chosen.id
			return Admitted
		}
	}
	if g.queued[waiter.Requirements.Group] >= waiter.Requirements.GroupLimit {
		return QueueFull
	}
	waiter.queued = true
	g.queued[waiter.Requirements.Group]++
	if waiter.Requirements.Prioritized {
		g.queue = append([]*Waiter{waiter}, g.queue...)
	} else {
		g.queue = append(g.queue, waiter)
	}
	return Queued
}

func (g *Gate) canServe(requirements Requirements) bool {
	if requirements.Instance != 0 {
		return g.instances[requirements.Instance] != nil
	}
	for _, inst := range g.order {
		if !inst.draining && requirements.allowsZone(inst.zone) {
			return true
		}
	}
	return false
}

// Cancel removes a waiter from the queue. It returns false if the waiter has been granted in the
// meantime, in which case the caller must call Release.
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
	g.markDequeued(waiter)
	return true
}

func (g *Gate) markDequeued(waiter *Waiter) {
	waiter.queued = false
	group := waiter.Requirements.Group
	if g.queued[group]--; g.queued[group] <= 0 {
		delete(g.queued, group)
	}
}

// Outcome classifies the end of an attempt by what it shows about the instance.
type Outcome uint8

// Outcomes.
const (
	// OutcomeSuccess is a complete answer.
	OutcomeSuccess Outcome = iota
	// OutcomeShed is an answer by which the instance reports that it is overloaded.
	OutcomeShed
	// OutcomeFailed is a failed connection, or a missing or incomplete answer.
	OutcomeFailed
	// OutcomeRejected is a rejection by the instance's gate, which currently lets nothing through.
	OutcomeRejected
	// OutcomeNeutral shows nothing about the instance, for example if the caller disconnected.
	OutcomeNeutral
)

// Release frees a slot, records the outcome and returns the waiters that are granted.
func (g *Gate) Release(now time.Duration, id InstanceID, outcome Outcome, latency time.Duration) []*Waiter {
	if inst := g.instances[id]; inst != nil {
		inst.inFlight--
		g.recordOutcome(now, inst, outcome, latency)
	}
	return g.grant(now)
}

func (g *Gate) recordOutcome(now time.Duration, inst *instance, outcome Outcome, latency time.Duration) {
	switch outcome {
	case OutcomeSuccess:
		inst.failures = 0
		inst.rejections, inst.rejectedUntil = 0, 0
		inst.ejections = 0
		inst.limit = math.Min(float64(inst.slots), inst.limit+limitIncrement/inst.limit)
		inst.latency = latencyDecay*inst.latency + (1-latencyDecay)*float64(latency)/float64(time.Millisecond)
	case OutcomeRejected:
		inst.rejections++
		inst.rejectedUntil = now + inst.rejectionBackoff()
	case OutcomeShed:
		inst.rejections, inst.rejectedUntil = 0, 0
		if !g.options.FixedLimits {
			inst.limit = math.Max(1, inst.limit*shedFactor)
		}
	case OutcomeFailed:
		inst.failures++
		if inst.failures >= ejectAfter {
			g.eject(now, inst)
		}
	case OutcomeNeutral:
	}
}

// eject excludes an instance for a time that doubles with each ejection. It does nothing if too many
// instances are ejected already, as the cause is then more likely the network or the load.
func (g *Gate) eject(now time.Duration, inst *instance) {
	ejected := 0
	for _, other := range g.order {
		if other.ejectedUntil > now {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(g.order)) {
		return
	}
	inst.ejectedUntil = now + min(ejectMax, ejectBase<<min(inst.ejections, 10))
	inst.ejections++
	inst.failures = 0
}

// grant gives free slots to queued waiters in order, skipping those for which no instance is free.
// Waiters past their deadline stay queued until Cancel.
func (g *Gate) grant(now time.Duration) []*Waiter {
	var granted []*Waiter
	kept := g.queue[:0]
	for _, waiter := range g.queue {
		if waiter.Requirements.Deadline > 0 && waiter.Requirements.Deadline <= now {
			kept = append(kept, waiter)
			continue
		}
		chosen := g.choose(now, waiter.Requirements)
		if chosen == nil {
			kept = append(kept, waiter)
			continue
		}
		g.recordSent(now, chosen)
		g.markDequeued(waiter)
		waiter.Granted = chosen.id
		granted = append(granted, waiter)
	}
	for i := len(kept); i < len(g.queue); i++ {
		g.queue[i] = nil
	}
	g.queue = kept
	return granted
}

// InFlight returns the number of requests in flight at an instance, and its limit.
func (g *Gate) InFlight(id InstanceID) (inFlight int, limit float64) {
	if inst := g.instances[id]; inst != nil {
		return inst.inFlight, inst.limit
	}
	return 0, 0
}

// QueueLen returns the length of the queue.
func (g *Gate) QueueLen() int { return len(g.queue) }

// Ejected reports whether an instance is ejected at the given time.
func (g *Gate) Ejected(id InstanceID, now time.Duration) bool {
	inst := g.instances[id]
	return inst != nil && inst.ejectedUntil > now
}
