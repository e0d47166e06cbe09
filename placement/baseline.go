package placement

import (
	"limehold/membership"
	"limehold/ownership"
)

// ComputeHash is the static baseline: each shard belongs to the node that its
// rendezvous hash prefers, whatever the load; it moves only when the set of
// nodes changes.
func ComputeHash(input Input) Plan {
	b := newBoard(input)
	var plan Plan
	if len(b.nodes) == 0 {
		return plan
	}
	for i := range input.Shards {
		shard := &input.Shards[i]
		preferred := b.preferred(shard.Key)
		switch {
		case shard.Phase == ownership.PhaseFree:
			plan.Assign = append(plan.Assign, Decision{Key: shard.Key, Epoch: shard.Epoch, To: preferred})
		case shard.Phase == ownership.PhaseGranted && shard.Owner != preferred:
			plan.Transfer = append(plan.Transfer, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: preferred})
		}
	}
	return plan
}

func (b *board) preferred(key ownership.Key) membership.SessionID {
	best := b.nodes[0]
	bestHash := affinity(key, best.Name)
	for _, node := range b.nodes[1:] {
		if hash := affinity(key, node.Name); hash > bestHash {
			best, bestHash = node, hash
		}
	}
	return best.Session
}

// ComputeGreedy is the eager baseline: it takes every move that improves
// balance at all, without price and without budget.
func ComputeGreedy(input Input) Plan {
	free := make(map[string]Service, len(input.Services))
	for name := range input.Services {
		free[name] = Service{Imbalance: 1, Moves: len(input.Shards)}
	}
	input.Services = free
	return Compute(input)
}
