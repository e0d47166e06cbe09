package admission

import (
	"math"
	"slices"
	"time"
)

// choose returns an instance with room for the request, or nil.
func (g *Gate) choose(now time.Duration, want Want) *instance {
	if want.Instance != 0 {
		owner := g.instances[want.Instance]
		if owner == nil || !g.hasRoom(owner, now, false) {
			return nil
		}
		return owner
	}
	if g.gated() {
		return g.chooseGated(now, want)
	}
	local := g.candidates(now, func(i *instance) bool { return i.zone == want.Zone && !want.avoids(i.id) })
	if len(local) > 0 {
		return g.pick(now, local)
	}
	remote := g.candidates(now, func(i *instance) bool { return !want.avoids(i.id) })
	if len(remote) > 0 {
		return g.pick(now, remote)
	}
	if len(want.Avoid) == 0 {
		return nil
	}
	return g.pick(now, g.candidates(now, func(*instance) bool { return true }))
}

func (g *Gate) candidates(now time.Duration, accept func(*instance) bool) []*instance {
	var list []*instance
	for _, known := range g.order {
		if !known.draining && accept(known) && known.ejectedTill <= now && g.hasRoom(known, now, true) {
			list = append(list, known)
		}
	}
	return list
}

// gated reports whether the pool's instances keep their own limits.
func (g *Gate) gated() bool { return len(g.order) > 0 && g.order[0].gated }

// avoids reports whether an instance has failed or refused the request.
func (w *Want) avoids(id InstanceID) bool { return slices.Contains(w.Avoid, id) }

// chooseGated returns the instance that is expected to answer first. One that has
// just refused the request, that is ejected, or whose gate lets nothing through, is taken
// only when there is no other.
func (g *Gate) chooseGated(now time.Duration, want Want) *instance {
	var best *instance
	bestCost := math.Inf(1)
	usual := g.usualRunTime()
	for _, known := range g.order {
		if known.draining {
			continue
		}
		cost := g.gatedCost(known, usual, now)
		if want.Large {
			cost += float64(known.load.Link) / float64(time.Millisecond)
		}
		if want.RemoteCost > 0 && known.zone != want.Zone {
			cost *= want.RemoteCost
		}
		if want.avoids(known.id) || known.ejectedTill > now || known.refusedTill > now {
			cost *= avoidedCost
		}
		if cost < bestCost {
			best, bestCost = known, cost
		}
	}
	return best
}

const (
	// avoidedCost puts an instance behind all others.
	avoidedCost = 1e6
	// costSpread is the random part of a cost: routers that know the same should not
	// all choose the same.
	costSpread = 0.2
	// busyCost is how much a request more, of all slots, adds to an instance's cost
	// before its slots are all taken.
	busyCost    = 1.0
	spreadSteps = 1 << 10
	// unmeasuredRunTime in milliseconds stands for instances while none has told anything.
	unmeasuredRunTime = 50
	// leastWell bounds by how much an instance that fails its runs is put behind others.
	leastWell = 0.05
)

// gatedCost is the time in milliseconds in which an instance is expected to answer,
// by its own word and by what has been sent since.
func (g *Gate) gatedCost(known *instance, usual float64, now time.Duration) float64 {
	runTime := float64(known.load.RunTime) / float64(time.Millisecond)
	if known.load.Slots == 0 {
		runTime = usual
	}
	if age := now - known.since; g.options.SlowStart > 0 && age < g.options.SlowStart {
		runTime *= 2
	}
	busy := float64(max(known.inFlight, known.load.Running+known.load.Waiting+known.sentSince)) / float64(known.slots)
	cost := (1 + runTime) * (1 + busyCost*busy)
	if busy >= 1 {
		cost += runTime * (busy - 1) * float64(known.slots)
	}
	if known.load.Slots > 0 {
		// What fails is asked for again, if it may be, and is lost otherwise: an instance
		// that fails all at once would look the quickest.
		well := max(leastWell, known.load.Well)
		cost /= well * well
	}
	return cost * (1 + costSpread*float64(g.options.Random(spreadSteps))/spreadSteps)
}

// usualRunTime is the mean run time in milliseconds of the instances that have told theirs:
// one that has told nothing yet is hardly quicker, and may be cold.
func (g *Gate) usualRunTime() float64 {
	sum, count := 0.0, 0
	for _, known := range g.order {
		if known.load.Slots > 0 {
			sum += float64(known.load.RunTime) / float64(time.Millisecond)
			count++
		}
	}
	if count == 0 {
		return unmeasuredRunTime
	}
	return sum / float64(count)
}

// hasRoom compares what is in flight with the limit; a new instance's limit is
// ramped up. A key's owner is not ramped: nobody else may take its requests.
func (g *Gate) hasRoom(known *instance, now time.Duration, ramp bool) bool {
	if known.gated {
		return true
	}
	limit := known.limit
	if ramp && g.options.SlowStart > 0 {
		age := float64(now-known.since) / float64(g.options.SlowStart)
		limit *= math.Min(1, math.Max(slowStartFloor, age))
	}
	return float64(known.inFlight) < math.Max(1, math.Floor(limit))
}

func (g *Gate) pick(now time.Duration, list []*instance) *instance {
	switch {
	case len(list) == 0:
		return nil
	case len(list) == 1:
		return list[0]
	case g.options.Policy == PolicyRoundRobin:
		g.turn++
		return list[g.turn%len(list)]
	}
	// The better of two: close to the best of all, without the herd that
	// follows one outdated best.
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

// cost estimates how long the instance would take.
func (g *Gate) cost(known *instance, now time.Duration) float64 {
	warmth := 1.0
	if g.options.SlowStart > 0 {
		warmth = math.Min(1, math.Max(slowStartFloor, float64(now-known.since)/float64(g.options.SlowStart)))
	}
	return float64(known.inFlight+1) * (1 + known.latency) / (known.limit * warmth)
}
