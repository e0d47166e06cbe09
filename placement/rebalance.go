package placement

import (
	"cmp"
	"slices"

	"limehold/membership"
	"limehold/ownership"
)

const (
	// maxSources is the number of most utilized nodes considered as the source of a move. Moves from
	// the other nodes gain less.
	maxSources = 4
	// overloadFactor is the utilization, as a multiple of the pool's mean, from which shards may leave a
	// node regardless of the budgets of their services. When a fleet starts, the first nodes own
	// all shards and could not serve them.
	overloadFactor = 2.0
	// maxMoves bounds the moves of one plan. Further moves follow in the next plan.
	maxMoves = 500
)

// rebalance repeatedly makes the best move, up to maxMoves, while one has a gain above 0 and the
// service's budget allows it. The budgets do not limit moves from nodes above overloadFactor.
func (p *planner) rebalance(input Input) []Decision {
	allowed := map[string]int{}
	for name, service := range input.Services {
		allowed[name] = service.Moves
	}
	byOwner := map[membership.SessionID][]*Shard{}
	p.rangeOwners = newRangeOwners(input)
	for i := range input.Shards {
		shard := &input.Shards[i]
		if shard.Phase == ownership.PhaseGranted && p.bySession[shard.Owner] != nil {
			byOwner[shard.Owner] = append(byOwner[shard.Owner], shard)
		}
	}
	var decisions []Decision
	if input.ByDemand {
		decisions = p.isolateOversized(byOwner, input.Services, input.SlotLoad, allowed)
	}
	var to *nodeLoad
	for len(decisions) < maxMoves {
		to = p.nextTarget(to)
		shard, from, gain := p.bestMove(byOwner, to, input, allowed)
		if shard == nil {
			break
		}
		unbudgeted := input.ByDemand && shard.Load == 0
		if !unbudgeted {
			allowed[shard.Key.Service]--
		}
		p.move(byOwner, shard, from, to)
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: from.Session, To: to.Session, Gain: gain, Unbudgeted: unbudgeted})
	}
	return decisions
}

// move records a move in the plan. The shard moves only once.
func (p *planner) move(byOwner map[membership.SessionID][]*Shard, shard *Shard, from, to *nodeLoad) {
	from.load -= p.weight(shard)
	to.load += p.weight(shard)
	p.rangeOwners.setOwner(shard.Key, to.Session)
	removeShard(byOwner, from, shard)
}

func removeShard(byOwner map[membership.SessionID][]*Shard, owner *nodeLoad, shard *Shard) {
	byOwner[owner.Session] = slices.DeleteFunc(byOwner[owner.Session], func(other *Shard) bool { return other == shard })
}

// nextTarget returns the least utilized node. Where ranges are moved, it returns the last target until
// that has reached the mean utilization, so that neighbouring ranges stay together.
func (p *planner) nextTarget(last *nodeLoad) *nodeLoad {
	if last != nil && len(p.rangeOwners.owners) > 0 && last.utilization() < p.meanUtilization() {
		return last
	}
	return slices.MinFunc(p.unpinnedTargets(), func(x, y *nodeLoad) int { return cmp.Compare(x.utilization(), y.utilization()) })
}

// bestMove returns the move from one of the most utilized nodes to the target with the highest gain.
// The shard is nil if no move gains anything.
func (p *planner) bestMove(byOwner map[membership.SessionID][]*Shard, to *nodeLoad, input Input, allowed map[string]int) (*Shard, *nodeLoad, float64) {
	mean := p.meanUtilization()
	if mean <= 0 || len(p.nodes) < 2 {
		return nil, nil, 0
	}
	var best *Shard
	var bestFrom *nodeLoad
	bestGain := 0.0
	for _, from := range p.mostUtilized(byOwner) {
		if from == to || from.utilization() <= mean {
			continue
		}
		for _, shard := range byOwner[from.Session] {
			isLimited := allowed[shard.Key.Service] <= 0 && !(input.ByDemand && shard.Load == 0)
			if isLimited && from.utilization() < overloadFactor*mean {
				continue
			}
			gain := p.gain(shard, from, to, mean, input.Services[shard.Key.Service])
			if gain > bestGain {
				best, bestFrom, bestGain = shard, from, gain
			}
		}
	}
	return best, bestFrom, bestGain
}

// mostUtilized returns the maxSources most utilized nodes in no particular order. It leaves out nodes that keep a shard
// too large for any node and have nothing else to give.
func (p *planner) mostUtilized(byOwner map[membership.SessionID][]*Shard) []*nodeLoad {
	top := make([]*nodeLoad, 0, maxSources)
	for _, node := range p.nodes {
		if node.pinned > 0 && len(byOwner[node.Session]) == 0 {
			continue
		}
		if len(top) < maxSources {
			top = append(top, node)
			continue
		}
		least := 0
		for i := range top {
			if top[i].utilization() < top[least].utilization() {
				least = i
			}
		}
		if node.utilization() > top[least].utilization() {
			top[least] = node
		}
	}
	return top
}
