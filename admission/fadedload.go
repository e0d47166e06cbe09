package admission

import (
	"math"
	"time"

	"limehold/loadview"
)

const (
	// runTimeHalfLife is the age at which a reported run time has half its weight against the mean of the pool. An
	// instance that was slow gets a request again after a few of them.
	runTimeHalfLife = 2 * time.Second
	// usualHalfLife is the age at which a report has half its weight in the usual use of an instance's slots.
	usualHalfLife = 500 * time.Millisecond
	// occupancyChanges is the number of runs that an instance ends within the half-life of the use of its slots.
	occupancyChanges = 2
	// minOccupancyHalfLife and maxOccupancyHalfLife bound that half-life.
	minOccupancyHalfLife = 5 * time.Millisecond
	maxOccupancyHalfLife = time.Second
	// successTimeConstant is the time constant with which the share of failures decays while nothing runs, as in
	// the ingress.
	successTimeConstant = 4 * time.Second
	// drawnChoices is the number of instances that are drawn of those in the router's zone, and of the others.
	drawnChoices = 2
	// drawSteps is the resolution of a draw.
	drawSteps = 1 << 20
)

// poolLoad is the mean load of the pool's instances, weighted by the age of their reports.
type poolLoad struct {
	// runTime is in milliseconds.
	runTime float64
	// utilization is the share of the slots that are used or waited for.
	utilization       float64
	occupancyHalfLife time.Duration
}

func (g *Gate) meanLoad(now time.Duration) poolLoad {
	runTimes, weights, listedSlots := 0.0, 0.0, 0
	for _, inst := range g.order {
		listedSlots += inst.slots
		if inst.load.Slots > 0 {
			weight := loadview.Weight(now-inst.load.MadeAt, runTimeHalfLife)
			runTimes += weight * inMillis(inst.load.RunTime)
			weights += weight
		}
	}
	mean := poolLoad{runTime: defaultRunTime}
	if weights > 0 {
		mean.runTime = runTimes / weights
	}
	slotFreed := mean.runTime * float64(time.Millisecond) * float64(len(g.order)) / float64(max(1, listedSlots))
	mean.occupancyHalfLife = min(maxOccupancyHalfLife, max(minOccupancyHalfLife, time.Duration(occupancyChanges*slotFreed)))
	used, slots := 0.0, 0.0
	for _, inst := range g.order {
		if inst.load.Slots > 0 {
			weight := loadview.Weight(now-inst.load.MadeAt, mean.occupancyHalfLife)
			used += weight * float64(inst.load.Running+inst.load.QueueLen)
			slots += weight * float64(inst.load.Slots)
		}
	}
	if slots > 0 {
		mean.utilization = used / slots
	}
	return mean
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// estimate is the load that is expected of an instance.
type estimate struct {
	// runTime is in milliseconds.
	runTime float64
	// used is the number of requests that run, wait, or are on their way.
	used  float64
	slots float64
	// successShare is from 0 to 1.
	successShare          float64
	linkBusy, inboundBusy time.Duration
}

// hasRoom reports whether the instance is expected to run a request without a wait.
func (e *estimate) hasRoom() bool { return e.used < e.slots }

// estimateLoad returns the load expected of an instance: its report as far as its age leaves it weight, the instance's
// usual load and then the pool's mean for the rest, and the requests that this router has sent since.
func (g *Gate) estimateLoad(inst *instance, mean poolLoad, now time.Duration) estimate {
	e := estimate{runTime: mean.runTime, slots: float64(inst.slots), successShare: 1}
	if inst.load.Slots > 0 {
		e.slots = float64(inst.load.Slots)
		age := max(0, now-inst.load.MadeAt)
		pace, occupancy := loadview.Weight(age, runTimeHalfLife), loadview.Weight(age, mean.occupancyHalfLife)
		e.runTime = pace*inMillis(inst.load.RunTime) + (1-pace)*mean.runTime
		usual := pace*inst.usual + (1-pace)*mean.utilization
		e.used = occupancy*float64(inst.load.Running+inst.load.QueueLen) + (1-occupancy)*usual*e.slots
		e.successShare = 1 - (1-inst.load.SuccessShare)*math.Exp(-float64(age)/float64(successTimeConstant))
		e.linkBusy, e.inboundBusy = max(0, inst.load.LinkBusy-age), max(0, inst.load.InboundBusy-age)
	} else {
		e.used = mean.utilization * e.slots
	}
	e.used = max(float64(inst.inFlight), e.used+float64(inst.sentSinceReport))
	return e
}

// recordUsual adds a new report to the usual use of the instance's slots.
func (i *instance) recordUsual(load Load) {
	if load.Slots == 0 {
		return
	}
	utilization := float64(load.Running+load.QueueLen) / float64(load.Slots)
	if i.load.Slots == 0 {
		i.usual = utilization
		return
	}
	weight := loadview.Weight(load.MadeAt-i.load.MadeAt, usualHalfLife)
	i.usual = weight*i.usual + (1-weight)*utilization
}

// fadedCost estimates the time in milliseconds until the instance answers, as selfLimitedCost does, without a random
// part.
func (g *Gate) fadedCost(inst *instance, e estimate, now time.Duration) float64 {
	runTime := e.runTime + inMillis(max(0, inst.load.FreeAt-now))
	if age := now - inst.warmupStart; g.options.SlowStart > 0 && age < g.options.SlowStart {
		runTime *= 2
	}
	cost := (1 + runTime) * (1 + utilizationWeight*e.used/e.slots)
	if !e.hasRoom() {
		cost += runTime * (e.used - e.slots)
	}
	successShare := max(minSuccessShare, e.successShare)
	return cost / (successShare * successShare)
}

// choice is an instance that may be chosen for a request.
type choice struct {
	inst *instance
	cost float64
	// weight is that with which the instance is drawn.
	weight float64
}

// choices are the instances that may be chosen, by whether they are in the router's zone.
type choices struct{ local, remote []choice }

func (c *choices) add(isLocal bool, item choice) {
	if isLocal {
		c.local = append(c.local, item)
	} else {
		c.remote = append(c.remote, item)
	}
}

func (c *choices) isEmpty() bool { return len(c.local)+len(c.remote) == 0 }

// chooseByFadedLoad returns an instance with room, or if all are expected to be full, one that is expected to answer
// soon. An instance of another region is compared with the full ones. It compares a few that it draws: routers share their reports, so that all of them would choose the best of all.
func (g *Gate) chooseByFadedLoad(now time.Duration, requirements Requirements) *instance {
	mean := g.meanLoad(now)
	var free, full, avoided choices
	for _, inst := range g.order {
		if inst.draining || !requirements.allowsZone(inst.zone) {
			continue
		}
		e := g.estimateLoad(inst, mean, now)
		item := choice{inst, requirements.costAt(inst, g.fadedCost(inst, e, now), e.linkBusy, e.inboundBusy), 1}
		isLocal := inst.zone == requirements.Zone
		switch {
		case inst.isAvoided(now, &requirements):
			avoided.add(isLocal, item)
		case e.hasRoom() && requirements.inRegion(inst.zone):
			item.weight = e.slots - e.used
			free.add(isLocal, item)
		default:
			full.add(isLocal, item)
		}
	}
	for _, list := range []choices{free, full, avoided} {
		if !list.isEmpty() {
			return g.chooseAmong(list)
		}
	}
	return nil
}

// chooseAmong returns the best of two random instances of the zone and two others.
func (g *Gate) chooseAmong(list choices) *instance {
	var best *instance
	lowest := math.Inf(1)
	for _, group := range [][]choice{list.local, list.remote} {
		for range min(drawnChoices, len(group)) {
			at := g.draw(group)
			if cost := g.jittered(group[at].cost); cost < lowest {
				best, lowest = group[at].inst, cost
			}
			group[at] = group[len(group)-1]
			group = group[:len(group)-1]
		}
	}
	return best
}

// draw returns the index of a random choice, with a probability proportional to its weight.
func (g *Gate) draw(group []choice) int {
	total := 0.0
	for _, c := range group {
		total += c.weight
	}
	at := total * float64(g.options.Random(drawSteps)) / drawSteps
	for i, c := range group {
		if at -= c.weight; at < 0 {
			return i
		}
	}
	return len(group) - 1
}

// jittered adds the random part to a cost.
func (g *Gate) jittered(cost float64) float64 {
	return cost * (1 + costJitter*float64(g.options.Random(jitterSteps))/jitterSteps)
}
