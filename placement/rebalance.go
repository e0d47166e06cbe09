package placement

import (
	"cmp"
	"slices"

	"limehold/membership"
	"limehold/ownership"
)

const (
	// sources is how many of the most utilized nodes are looked at for a move:
	// from the others less is gained.
	sources = 4
	// overload is the utilization, as a multiple of the pool's mean, from which a
	// node's shards may leave it beyond their services' budgets: the first nodes of
	// a fleet that starts own everything, and could not serve it.
	overload = 2.0
	// maxMoves bounds the moves of one plan; the next round goes on.
	maxMoves = 500
)

// rebalance takes the best move again and again, while its gain exceeds its
// price and the service's budget allows it.
func (b *board) rebalance(input Input) []Decision {
	allowed := map[string]int{}
	for name, service := range input.Services {
		allowed[name] = service.Moves
	}
	byOwner := map[membership.SessionID][]*Shard{}
	b.neighbours = newNeighbours(input)
	for i := range input.Shards {
		shard := &input.Shards[i]
		if shard.Phase == ownership.PhaseGranted && b.bySession[shard.Owner] != nil {
			byOwner[shard.Owner] = append(byOwner[shard.Owner], shard)
		}
	}
	var decisions []Decision
	var to *nodeLoad
	for len(decisions) < maxMoves {
		to = b.nextTarget(to)
		shard, from, gain := b.bestMove(byOwner, to, input.Services, allowed)
		if shard == nil {
			break
		}
		from.load -= b.weight(shard)
		to.load += b.weight(shard)
		allowed[shard.Key.Service]--
		b.neighbours.move(shard.Key, to.Session)
		byOwner[from.Session] = slices.DeleteFunc(byOwner[from.Session], func(other *Shard) bool { return other == shard })
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: from.Session, To: to.Session, Gain: gain})
	}
	return decisions
}

// nextTarget is the least utilized node. Where ranges are moved, a node that has been
// given some is filled up to the mean first, so that they stay together.
func (b *board) nextTarget(last *nodeLoad) *nodeLoad {
	if last != nil && len(b.neighbours.owners) > 0 && last.utilization() < b.mean() {
		return last
	}
	return slices.MinFunc(b.targets, func(x, y *nodeLoad) int { return cmp.Compare(x.utilization(), y.utilization()) })
}

// bestMove looks at moves from the most utilized nodes to the target.
func (b *board) bestMove(byOwner map[membership.SessionID][]*Shard, to *nodeLoad, services map[string]Service, allowed map[string]int) (*Shard, *nodeLoad, float64) {
	mean := b.mean()
	if mean <= 0 || len(b.nodes) < 2 {
		return nil, nil, 0
	}
	var best *Shard
	var bestFrom *nodeLoad
	bestGain := 0.0
	for _, from := range b.mostUtilized() {
		if from == to || from.utilization() <= mean {
			continue
		}
		for _, shard := range byOwner[from.Session] {
			if allowed[shard.Key.Service] <= 0 && from.utilization() < overload*mean {
				continue
			}
			gain := b.gain(shard, from, to, mean, services[shard.Key.Service])
			if gain > bestGain {
				best, bestFrom, bestGain = shard, from, gain
			}
		}
	}
	return best, bestFrom, bestGain
}

// mostUtilized returns the most utilized nodes, in no order.
func (b *board) mostUtilized() []*nodeLoad {
	top := make([]*nodeLoad, 0, sources)
	for _, node := range b.nodes {
		if len(top) < sources {
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
