package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"limehold/ownership"
)

// maxCandidates is the number of least utilized nodes that are compared for a shard.
const maxCandidates = 4

// nodeHeap orders nodes by utilization, the least utilized first.
type nodeHeap []*nodeLoad

func (h nodeHeap) Len() int { return len(h) }
func (h nodeHeap) Less(i, j int) bool {
	if h[i].utilization() != h[j].utilization() {
		return h[i].utilization() < h[j].utilization()
	}
	return h[i].Session < h[j].Session
}
func (h nodeHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *nodeHeap) Push(item any) { *h = append(*h, item.(*nodeLoad)) }

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// assignFree assigns every free shard to a node.
func (p *planner) assignFree(input Input) []Decision {
	return p.placeAll(input, func(shard *Shard) bool { return shard.Phase == ownership.PhaseFree })
}

// evacuate moves shards off nodes that may not keep them (draining or superseded). No budget limits
// these moves.
func (p *planner) evacuate(input Input) []Decision {
	return p.placeAll(input, func(shard *Shard) bool {
		return shard.Phase == ownership.PhaseGranted && p.bySession[shard.Owner] == nil
	})
}

// placeAll assigns all shards for which wanted returns true: ranges in runs of neighbours, others one
// by one, those with the highest load first.
func (p *planner) placeAll(input Input, wanted func(*Shard) bool) []Decision {
	var ranged, single []*Shard
	for i := range input.Shards {
		shard := &input.Shards[i]
		switch {
		case !wanted(shard):
		case input.Services[shard.Key.Service].Ranged:
			ranged = append(ranged, shard)
		default:
			single = append(single, shard)
		}
	}
	slices.SortStableFunc(single, func(x, y *Shard) int { return cmp.Compare(y.Load, x.Load) })
	return append(p.placeRuns(ranged), p.place(single)...)
}

// placeRuns fills one node after the other, starting with the least utilized, up to the utilization
// at which all filled nodes are equal. Each gets runs of neighbouring ranges, cut by load.
func (p *planner) placeRuns(shards []*Shard) []Decision {
	if len(shards) == 0 {
		return nil
	}
	slices.SortFunc(shards, func(x, y *Shard) int {
		return cmp.Or(cmp.Compare(x.Key.Service, y.Key.Service), cmp.Compare(x.Key.Shard, y.Key.Shard))
	})
	targets := slices.Clone(p.targets)
	slices.SortStableFunc(targets, func(x, y *nodeLoad) int { return cmp.Compare(x.utilization(), y.utilization()) })
	added := 0.0
	for _, shard := range shards {
		added += p.weight(shard)
	}
	targets, level := fillTargets(targets, added)
	decisions := make([]Decision, 0, len(shards))
	for _, shard := range shards {
		weight := p.weight(shard)
		for len(targets) > 1 && targets[0].load+weight/2 > level*targets[0].capacity {
			targets = targets[1:]
		}
		targets[0].load += weight
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: targets[0].Session})
	}
	return decisions
}

// fillTargets returns the nodes that must receive load so that the least utilized nodes end up equally
// utilized, and that utilization. nodes is sorted by utilization.
func fillTargets(nodes []*nodeLoad, added float64) ([]*nodeLoad, float64) {
	load, capacity := added, 0.0
	for count, node := range nodes {
		if count > 0 && load/capacity <= node.utilization() {
			return nodes[:count], load / capacity
		}
		load += node.load
		capacity += node.capacity
	}
	return nodes, load / capacity
}

// place assigns each shard to the node that has the lowest utilization afterwards, of the
// maxCandidates nodes with the lowest utilization before. Ties are resolved by a rendezvous hash of
// shard and node name, so that the same nodes tend to get the same shards again.
func (p *planner) place(shards []*Shard) []Decision {
	if len(shards) == 0 {
		return nil
	}
	nodes := nodeHeap(slices.Clone(p.targets))
	heap.Init(&nodes)
	decisions := make([]Decision, 0, len(shards))
	compared := make([]*nodeLoad, 0, maxCandidates)
	for _, shard := range shards {
		compared = compared[:0]
		for len(nodes) > 0 && len(compared) < maxCandidates {
			compared = append(compared, heap.Pop(&nodes).(*nodeLoad))
		}
		target := p.leastUtilizedAfter(shard, compared)
		target.load += p.weight(shard)
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: target.Session})
		for _, node := range compared {
			heap.Push(&nodes, node)
		}
	}
	return decisions
}

func (p *planner) leastUtilizedAfter(shard *Shard, nodes []*nodeLoad) *nodeLoad {
	after := func(node *nodeLoad) float64 { return (node.load + p.weight(shard)) / node.capacity }
	return slices.MinFunc(nodes, func(x, y *nodeLoad) int {
		return cmp.Or(cmp.Compare(after(x), after(y)), cmp.Compare(affinity(shard.Key, y.Name), affinity(shard.Key, x.Name)))
	})
}
