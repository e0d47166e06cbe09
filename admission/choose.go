package admission

import (
	"math"
	"slices"
	"time"
)

// choose returns an instance that may be sent the request now, or nil if there is none. If the
// request names an instance, only that one is considered. In a pool that is not self-limited, instances
// of the zone are preferred, and instances to avoid are chosen only if there is no other.
func (g *Gate) choose(now time.Duration, requirements Requirements) *instance {
	if requirements.Instance != 0 {
		owner := g.instances[requirements.Instance]
		if owner == nil || !g.hasRoom(owner, now, false) {
			return nil
		}
		return owner
	}
	if g.isSelfLimited() {
		return g.chooseSelfLimited(now, requirements)
	}
	local := g.candidates(now, func(i *instance) bool {
		return i.zone == requirements.Zone && requirements.allowsZone(i.zone) && !requirements.avoids(i.id)
	})
	if len(local) > 0 {
		return g.pick(now, local)
	}
	remote := g.candidates(now, func(i *instance) bool { return requirements.allowsZone(i.zone) && !requirements.avoids(i.id) })
	if len(remote) > 0 {
		return g.pick(now, remote)
	}
	if len(requirements.Avoid) == 0 {
		return nil
	}
	return g.pick(now, g.candidates(now, func(i *instance) bool { return requirements.allowsZone(i.zone) }))
}

func (g *Gate) candidates(now time.Duration, accept func(*instance) bool) []*instance {
	var list []*instance
	for _, inst := range g.order {
		if !inst.draining && accept(inst) && inst.ejectedUntil <= now && g.hasRoom(inst, now, true) {
			list = append(list, inst)
		}
	}
	return list
}

// isSelfLimited reports whether the instances of the pool enforce their own limits. It checks only the first.
func (g *Gate) isSelfLimited() bool { return len(g.order) > 0 && g.order[0].selfLimited }

// avoids reports whether the instance has already failed or rejected the request.
func (r *Requirements) avoids(id InstanceID) bool { return slices.Contains(r.Avoid, id) }

// allowsZone reports whether an instance in the zone may run the request.
func (r *Requirements) allowsZone(zone string) bool {
	return r.Zones == nil || slices.Contains(r.Zones, zone)
}

// chooseSelfLimited returns the instance that is expected to answer first. An instance that has just
// rejected the request, is ejected, or has a gate that rejects everything is chosen only if there is
// no other.
func (g *Gate) chooseSelfLimited(now time.Duration, requirements Requirements) *instance {
	if g.options.FadeLoads {
		return g.chooseByFadedLoad(now, requirements)
	}
	var best *instance
	bestCost := math.Inf(1)
	meanRunTime := g.meanRunTime()
	for _, inst := range g.order {
		if inst.draining || !requirements.allowsZone(inst.zone) {
			continue
		}
		cost := requirements.costAt(inst, g.selfLimitedCost(inst, meanRunTime, now), inst.load.LinkBusy, inst.load.InboundBusy)
		if inst.isAvoided(now, &requirements) {
			cost *= avoidPenalty
		}
		if cost < bestCost {
			best, bestCost = inst, cost
		}
	}
	return best
}

// costAt returns the cost of the request at an instance whose cost for any request is given.
func (r *Requirements) costAt(inst *instance, cost float64, linkBusy, inboundBusy time.Duration) float64 {
	if r.Large {
		cost += float64(linkBusy) / float64(time.Millisecond)
	}
	if r.Upload {
		cost += float64(inboundBusy) / float64(time.Millisecond)
	}
	if r.RemoteCost > 0 && inst.zone != r.Zone {
		cost *= r.RemoteCost
	}
	if !r.inRegion(inst.zone) {
		cost *= RegionCost
	}
	return cost
}

// inRegion reports whether the zone is in the router's region.
func (r *Requirements) inRegion(zone string) bool {
	return r.RegionZones == nil || slices.Contains(r.RegionZones, zone)
}

// isAvoided reports whether the instance is chosen only if there is no other.
func (i *instance) isAvoided(now time.Duration, requirements *Requirements) bool {
	return requirements.avoids(i.id) || i.ejectedUntil > now || i.rejectedUntil > now
}

const (
	// avoidPenalty is the factor of the cost of an instance that is to be avoided, is ejected, or has
	// just rejected a request. It ranks the instance behind all others.
	avoidPenalty = 1e6
	// RegionCost is the factor for instances of other regions, beside that for other zones: links between regions are
	// slow and expensive.
	RegionCost = 4
	// costJitter is the random part of a cost. It keeps routers with the same information from all
	// choosing the same instance.
	costJitter = 0.2
	// utilizationWeight is the relative increase of the cost of an instance from idle to all slots in use.
	utilizationWeight = 1.0
	jitterSteps       = 1 << 10
	// defaultRunTime is the assumed run time in milliseconds while no instance has reported one.
	defaultRunTime = 50
	// minSuccessShare is the smallest share of successful runs that a cost is computed with; it bounds the
	// penalty for failures.
	minSuccessShare = 0.05
)

// selfLimitedCost estimates the time in milliseconds until the instance answers, from its last load
// report and the requests sent since. It adds penalties for failures and during slow start, and a
// random part. meanRunTime is that of the pool, in milliseconds.
func (g *Gate) selfLimitedCost(inst *instance, meanRunTime float64, now time.Duration) float64 {
	runTime := float64(inst.load.RunTime) / float64(time.Millisecond)
	if inst.load.Slots == 0 {
		runTime = meanRunTime
	}
	runTime += float64(max(0, inst.load.FreeAt-now)) / float64(time.Millisecond)
	if age := now - inst.warmupStart; g.options.SlowStart > 0 && age < g.options.SlowStart {
		runTime *= 2
	}
	utilization := float64(max(inst.inFlight, inst.load.Running+inst.load.QueueLen+inst.sentSinceReport)) / float64(inst.slots)
	cost := (1 + runTime) * (1 + utilizationWeight*utilization)
	if utilization >= 1 {
		cost += runTime * (utilization - 1) * float64(inst.slots)
	}
	if inst.load.Slots > 0 {
		// A failed request is retried, or lost if it may not be. Without the penalty, an instance
		// that fails immediately would seem the fastest.
		successShare := max(minSuccessShare, inst.load.SuccessShare)
		cost /= successShare * successShare
	}
	return g.jittered(cost)
}

// meanRunTime returns the mean run time in milliseconds of the instances that have reported one.
// It is also assumed for the others, which are unlikely to be faster and may not be warmed up.
func (g *Gate) meanRunTime() float64 {
	sum, count := 0.0, 0
	for _, inst := range g.order {
		if inst.load.Slots > 0 {
			sum += float64(inst.load.RunTime) / float64(time.Millisecond)
			count++
		}
	}
	if count == 0 {
		return defaultRunTime
	}
	return sum / float64(count)
}

// hasRoom reports whether the requests in flight are below the limit. With ramp set, the limit of a
// new instance is reduced; this is not done for the owner of a key, since no other instance may run
// its requests.
func (g *Gate) hasRoom(inst *instance, now time.Duration, ramp bool) bool {
	if inst.selfLimited {
		return true
	}
	limit := inst.limit
	if ramp && g.options.SlowStart > 0 {
		age := float64(now-inst.warmupStart) / float64(g.options.SlowStart)
		limit *= math.Min(1, math.Max(slowStartFloor, age))
	}
	return float64(inst.inFlight) < math.Max(1, math.Floor(limit))
}

func (g *Gate) pick(now time.Duration, list []*instance) *instance {
	switch {
	case len(list) == 0:
		return nil
	case len(list) == 1:
		return list[0]
	case g.options.Policy == PolicyRoundRobin:
		g.rotation++
		return list[g.rotation%len(list)]
	}
	// The better of two random choices is close to the best of all, and keeps routers with outdated
	// data from all choosing the same instance.
	first := g.options.Random(len(list))
	second := g.options.Random(len(list) - 1)
	if second >= first {
		second++
	}
	if g.cost(list[first], now) <= g.cost(list[second], now) {
		return list[first]
	}
	return list[second]
}

// cost estimates the relative time until the instance answers.
func (g *Gate) cost(inst *instance, now time.Duration) float64 {
	warmth := 1.0
	if g.options.SlowStart > 0 {
		warmth = math.Min(1, math.Max(slowStartFloor, float64(now-inst.warmupStart)/float64(g.options.SlowStart)))
	}
	return float64(inst.inFlight+1) * (1 + inst.latency) / (inst.limit * warmth)
}
