package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"limehold/ownership"
)

// candidates is how many of the least utilized nodes are compared for a shard.
const candidates = 4

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

// assignFree gives every free shard an owner.
func (b *board) assignFree(input Input) []Decision {
	return b.placeAll(input, func(shard *Shard) bool { return shard.Phase == ownership.PhaseFree })
}

// evacuate moves shards off nodes that are no candidates (draining, superseded).
// Such moves are not held back by any budget.
func (b *board) evacuate(input Input) []Decision {
	return b.placeAll(input, func(shard *Shard) bool {
		return shard.Phase == ownership.PhaseGranted && b.bySession[shard.Owner] == nil
	})
}

// placeAll gives those shards to nodes that the condition is true of: ranges in runs of
// neighbours, others one by one, heavy ones first.
func (b *board) placeAll(input Input, wanted func(*Shard) bool) []Decision {
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
	return append(b.placeRuns(ranged), b.place(single)...)
}

// placeRuns fills one node after the other, the least utilized first, up to the level at
// which all would be alike: each gets neighbouring ranges, cut where the load is.
func (b *board) placeRuns(shards []*Shard) []Decision {
	if len(shards) == 0 {
		return nil
	}
	slices.SortFunc(shards, func(x, y *Shard) int {
		return cmp.Or(cmp.Compare(x.Key.Service, y.Key.Service), cmp.Compare(x.Key.Shard, y.Key.Shard))
	})
	targets := slices.Clone(b.targets)
	slices.SortStableFunc(targets, func(x, y *nodeLoad) int { return cmp.Compare(x.utilization(), y.utilization()) })
	added := 0.0
	for _, shard := range shards {
		added += b.weight(shard)
	}
	targets, level := filled(targets, added)
	decisions := make([]Decision, 0, len(shards))
	for _, shard := range shards {
		weight := b.weight(shard)
		for len(targets) > 1 && targets[0].load+weight/2 > level*targets[0].capacity {
			targets = targets[1:]
		}
		targets[0].load += weight
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: targets[0].Session})
	}
	return decisions
}

// filled returns the nodes that get something when a load is spread so that the least
// utilized are alike afterwards, and the utilization that they then have.
func filled(nodes []*nodeLoad, added float64) ([]*nodeLoad, float64) {
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

// place gives each shard to the one of the least utilized nodes that is least
// utilized afterwards; ties go to the node that a hash of shard and name
// prefers, so that the same nodes tend to get the same shards again.
func (b *board) place(shards []*Shard) []Decision {
	if len(shards) == 0 {
		return nil
	}
	nodes := nodeHeap(slices.Clone(b.targets))
	heap.Init(&nodes)
	decisions := make([]Decision, 0, len(shards))
	taken := make([]*nodeLoad, 0, candidates)
	for _, shard := range shards {
		taken = taken[:0]
		for len(nodes) > 0 && len(taken) < candidates {
			taken = append(taken, heap.Pop(&nodes).(*nodeLoad))
		}
		target := b.best(shard, taken)
		target.load += b.weight(shard)
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: target.Session})
		for _, node := range taken {
			heap.Push(&nodes, node)
		}
	}
	return decisions
}

func (b *board) best(shard *Shard, nodes []*nodeLoad) *nodeLoad {
	after := func(node *nodeLoad) float64 { return (node.load + b.weight(shard)) / node.capacity }
	return slices.MinFunc(nodes, func(x, y *nodeLoad) int {
		return cmp.Or(cmp.Compare(after(x), after(y)), cmp.Compare(affinity(shard.Key, y.Name), affinity(shard.Key, x.Name)))
	})
}
