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

// assignFree places heavy shards first, each on one of the least utilized nodes.
func (b *board) assignFree(shards []Shard) []Decision {
	var free []*Shard
	for i := range shards {
		if shards[i].Phase == ownership.PhaseFree {
			free = append(free, &shards[i])
		}
	}
	slices.SortStableFunc(free, func(x, y *Shard) int { return cmp.Compare(y.Load, x.Load) })
	return b.place(free)
}

// evacuate moves shards off nodes that are no candidates (draining, superseded).
// Such moves are not held back by any budget.
func (b *board) evacuate(shards []Shard) []Decision {
	var leaving []*Shard
	for i := range shards {
		if shards[i].Phase == ownership.PhaseGranted && b.bySession[shards[i].Owner] == nil {
			leaving = append(leaving, &shards[i])
		}
	}
	return b.place(leaving)
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
