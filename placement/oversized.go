package placement

import (
	"cmp"
	"slices"

	"limehold/membership"
)

// isolationGain is the factor by which the capacity of a node has to exceed that of the owner of an oversized shard for
// the shard to move there. Measured capacities vary by less.
const isolationGain = 1.3

// isolationShare is the share of what its node can bear from which a shard counts as oversized. The load of shards
// contains the waits for slots, and a node serves its other shards while an oversized one is on its way.
const isolationShare = 0.7

// isolateOversized assigns each shard whose load alone fills its node, and brings it above the mean utilization, to the
// node with the highest capacity, and keeps it there: what else the node owns is moved off it, as for any other node. Shards with
// the highest load choose first.
func (p *planner) isolateOversized(byOwner map[membership.SessionID][]*Shard, services map[string]Service, slotLoad float64, allowed map[string]int) []Decision {
	var decisions []Decision
	for _, shard := range p.oversizedShards(byOwner) {
		owner := p.bySession[shard.Owner]
		bearable := max(p.meanUtilization(), isolationShare*slotLoad) * owner.capacity
		if owner.pinned > 0 || p.weight(shard) <= bearable {
			continue
		}
		to := p.fastest(owner)
		if to != owner && allowed[shard.Key.Service] > 0 && p.isolates(shard, owner, to, services[shard.Key.Service]) {
			allowed[shard.Key.Service]--
			gain := p.weight(shard)/owner.capacity - p.weight(shard)/to.capacity
			p.move(byOwner, shard, owner, to)
			decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: owner.Session, To: to.Session, Gain: gain})
		} else {
			to = owner
			removeShard(byOwner, owner, shard)
		}
		to.pinned = p.weight(shard)
		p.pinnedLoad += to.pinned
		p.pinnedCapacity += to.capacity
	}
	return decisions
}

// isolates reports whether a move of an oversized shard alone repays its price: the drop of its node's utilization, as
// in gain, without what else the two nodes own.
func (p *planner) isolates(shard *Shard, from, to *nodeLoad, service Service) bool {
	mean, load := p.meanUtilization(), p.weight(shard)
	if to.capacity < isolationGain*from.capacity || mean <= 0 {
		return false
	}
	before := square(max(0, load/from.capacity/mean-1))
	after := square(max(0, load/to.capacity/mean-1))
	return service.Imbalance*(before-after)/float64(len(p.nodes)) > p.price(shard, from, to, service)
}

// oversizedShards returns the granted shards whose load exceeds the mean load of a node, the highest first.
func (p *planner) oversizedShards(byOwner map[membership.SessionID][]*Shard) []*Shard {
	if len(p.nodes) < 2 {
		return nil
	}
	smallest := p.nodes[0].capacity
	for _, node := range p.nodes {
		smallest = min(smallest, node.capacity)
	}
	least := p.meanUtilization() * smallest
	var found []*Shard
	for _, owned := range byOwner {
		for _, shard := range owned {
			if shard.Load > 0 && p.weight(shard) > least {
				found = append(found, shard)
			}
		}
	}
	slices.SortFunc(found, func(x, y *Shard) int {
		return cmp.Or(cmp.Compare(y.Load, x.Load), cmp.Compare(x.Key.Service, y.Key.Service), cmp.Compare(x.Key.Shard, y.Key.Shard))
	})
	return found
}

// fastest returns the target with the highest capacity that keeps no oversized shard yet; the owner if none exceeds it.
func (p *planner) fastest(owner *nodeLoad) *nodeLoad {
	best := owner
	for _, node := range p.targets {
		if node.pinned == 0 && node.capacity > best.capacity {
			best = node
		}
	}
	return best
}

// unpinnedTargets returns the targets that keep no oversized shard; all targets if each does.
func (p *planner) unpinnedTargets() []*nodeLoad {
	if p.pinnedCapacity == 0 {
		return p.targets
	}
	free := slices.DeleteFunc(slices.Clone(p.targets), func(node *nodeLoad) bool { return node.pinned > 0 })
	if len(free) == 0 {
		return p.targets
	}
	return free
}
