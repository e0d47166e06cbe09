package placement

import (
	"limehold/membership"
	"limehold/ownership"
)

// ComputeHashBaseline is a static baseline for comparison: each shard is owned by the node that its
// rendezvous hash prefers regardless of load, and moves only when the set of nodes changes.
func ComputeHashBaseline(input Input) Plan {
	p := newPlanner(input)
	var plan Plan
	if len(p.nodes) == 0 {
		return plan
	}
	for i := range input.Shards {
		shard := &input.Shards[i]
		preferred := p.preferredOwner(shard.Key)
		switch {
		case shard.Phase == ownership.PhaseFree:
			plan.Assign = append(plan.Assign, Decision{Key: shard.Key, Epoch: shard.Epoch, To: preferred})
		case shard.Phase == ownership.PhaseGranted && shard.Owner != preferred:
			plan.Transfer = append(plan.Transfer, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: preferred})
		}
	}
	return plan
}

func (p *planner) preferredOwner(key ownership.Key) membership.SessionID {
	best := p.nodes[0]
	bestHash := affinity(key, best.Name)
	for _, node := range p.nodes[1:] {
		if hash := affinity(key, node.Name); hash > bestHash {
			best, bestHash = node, hash
		}
	}
	return best.Session
}

// ComputeGreedyBaseline is an eager baseline for comparison: moves have no price and no budget limits
// them, and ranges are placed like other shards.
func ComputeGreedyBaseline(input Input) Plan {
	free := make(map[string]Service, len(input.Services))
	for name := range input.Services {
		free[name] = Service{Imbalance: 1, Moves: len(input.Shards)}
	}
	input.Services = free
	return Compute(input)
}
