// Package placement decides which node should own which shard. It is a pure
// function of its input: no I/O, no clock, no randomness beyond hashing.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"limehold/membership"
	"limehold/ownership"
)

// Node is a candidate owner.
type Node struct {
	Session membership.SessionID
	Name    string
	Zone    string
	// Capacity is the node's share of work, usually its slots.
	Capacity float64
	// Warmth is 1 for a node in full service and lower for one that has just
	// started: it counts as that much less capacity.
	Warmth float64
	// Silent nodes keep what they own and are given nothing new: their lease may be
	// about to end.
	Silent bool
}

// Shard is what has to be placed.
type Shard struct {
	Key   ownership.Key
	Epoch uint64
	Phase ownership.Phase
	// Owner that holds it now, or Target if a transfer is under way; zero if free.
	Owner membership.SessionID
	// Load is the measured work, in any unit that is the same for all shards.
	Load float64
}

// Service holds what the template says about moves.
type Service struct {
	// Imbalance, Churn and Unavailable weigh the three measures.
	Imbalance   float64
	Churn       float64
	Unavailable float64
	// Moves is how many planned moves are allowed now.
	Moves int
	// Ranged is set when the service's shards are ranges of keys in the order of their
	// numbers: neighbours of one owner are granted in one call.
	Ranged bool
}

// Input is one pool of nodes with all shards that it serves.
type Input struct {
	Nodes    []Node
	Shards   []Shard
	Services map[string]Service
	// NoRebalance leaves owned shards where they are.
	NoRebalance bool
	// Partial is set when Shards holds only those that need a place: it says what
	// the nodes carry already.
	Partial *Loads
}

// Loads is what the nodes of a pool carry under a plan.
type Loads struct {
	ByNode map[membership.SessionID]float64
	// Base is what a shard without measured load counts for, Total the sum over
	// all shards.
	Base  float64
	Total float64
}

// Decision moves one shard.
type Decision struct {
	Key   ownership.Key
	Epoch uint64
	From  membership.SessionID
	To    membership.SessionID
	// Gain is the drop in weighted imbalance, price already taken off.
	Gain float64
}

// Plan is the outcome.
type Plan struct {
	// Assign gives free shards to nodes.
	Assign []Decision
	// Transfer moves owned shards away from nodes that may not keep them, or
	// for balance.
	Transfer []Decision
	// Oversized lists shards whose load alone exceeds the mean of a node: moving
	// them cannot restore balance.
	Oversized []ownership.Key
	// Loads under the plan, for partial plans that follow.
	Loads *Loads
}

const (
	// movePrice is the squared coefficient of variation that one move must win
	// at churn weight 1.
	movePrice = 0.001
	// cutPrice is the same for each place more at which neighbouring ranges have
	// different owners.
	cutPrice = 0.0002
	// pausePrice is the same for a shard that carries a whole node's mean load,
	// at unavailable weight 1.
	pausePrice = 0.002
	// baseLoadShare is the load that a shard without measured load counts for,
	// as a share of the mean shard's load: idle shards are spread by count.
	baseLoadShare = 0.2
	// minimumWarmth keeps a starting node from counting as no capacity at all.
	minimumWarmth = 0.1
)

// Compute returns the plan for one pool.
func Compute(input Input) Plan {
	board := newBoard(input)
	if len(board.nodes) == 0 {
		return Plan{}
	}
	var plan Plan
	plan.Assign = board.assignFree(input)
	plan.Transfer = board.evacuate(input)
	if input.Partial == nil {
		plan.Oversized = board.oversized(input.Shards)
	}
	if !input.NoRebalance {
		plan.Transfer = append(plan.Transfer, board.rebalance(input)...)
	}
	plan.Loads = board.loads()
	return plan
}

// nodeLoad is a node with the work that it carries in the plan so far.
type nodeLoad struct {
	Node
	capacity float64
	load     float64
}

func (n *nodeLoad) utilization() float64 { return n.load / n.capacity }

type board struct {
	nodes []*nodeLoad
	// targets are the nodes that may be given shards: those that are not silent, or
	// all when all are.
	targets   []*nodeLoad
	bySession map[membership.SessionID]*nodeLoad
	base      float64
	total     float64
	capacity  float64
	// neighbours knows the owners of ranges while moves are planned.
	neighbours *neighbours
}

func newBoard(input Input) *board {
	b := &board{bySession: map[membership.SessionID]*nodeLoad{}}
	warmest := warmestOf(input.Nodes)
	for _, node := range input.Nodes {
		warmth := min(1, max(minimumWarmth, node.Warmth/warmest))
		entry := &nodeLoad{Node: node, capacity: max(node.Capacity, 1) * warmth}
		b.nodes = append(b.nodes, entry)
		b.bySession[node.Session] = entry
		b.capacity += entry.capacity
	}
	slices.SortFunc(b.nodes, func(x, y *nodeLoad) int { return cmp.Compare(x.Session, y.Session) })
	b.chooseTargets()
	if input.Partial != nil {
		b.startFrom(input.Partial)
		return b
	}
	b.base = baseLoad(input.Shards)
	for i := range input.Shards {
		load := b.weight(&input.Shards[i])
		b.total += load
		if owner := b.bySession[input.Shards[i].Owner]; owner != nil {
			owner.load += load
		}
	}
	return b
}

func (b *board) chooseTargets() {
	for _, node := range b.nodes {
		if !node.Silent {
			b.targets = append(b.targets, node)
		}
	}
	if len(b.targets) == 0 {
		b.targets = b.nodes
	}
}

// startFrom takes what the nodes carry from an earlier plan.
func (b *board) startFrom(loads *Loads) {
	b.base, b.total = loads.Base, loads.Total
	for _, node := range b.nodes {
		node.load = loads.ByNode[node.Session]
	}
}

func (b *board) loads() *Loads {
	loads := &Loads{ByNode: make(map[membership.SessionID]float64, len(b.nodes)), Base: b.base, Total: b.total}
	for _, node := range b.nodes {
		loads.ByNode[node.Session] = node.load
	}
	return loads
}

// warmestOf is the largest warmth in the pool: when all nodes have just started,
// none is colder than the others.
func warmestOf(nodes []Node) float64 {
	warmest := minimumWarmth
	for _, node := range nodes {
		warmest = max(warmest, node.Warmth)
	}
	return warmest
}

func baseLoad(shards []Shard) float64 {
	sum := 0.0
	for i := range shards {
		sum += shards[i].Load
	}
	if sum == 0 {
		return 1
	}
	return baseLoadShare * sum / float64(len(shards))
}

func (b *board) weight(shard *Shard) float64 { return shard.Load + b.base }

// mean utilization of the pool.
func (b *board) mean() float64 { return b.total / b.capacity }

// affinity is the rendezvous hash of a shard and a node.
func affinity(key ownership.Key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key.Service)
	var number [4]byte
	binary.LittleEndian.PutUint32(number[:], key.Shard)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

func (b *board) oversized(shards []Shard) []ownership.Key {
	mean := b.total / float64(len(b.nodes))
	var found []ownership.Key
	for i := range shards {
		if shards[i].Load > mean && len(b.nodes) > 1 {
			found = append(found, shards[i].Key)
		}
	}
	return found
}

// gain is the drop in the squared coefficient of variation of utilization,
// weighed, minus the price of the move.
func (b *board) gain(shard *Shard, from, to *nodeLoad, mean float64, service Service) float64 {
	load := b.weight(shard)
	before := square(from.utilization()/mean-1) + square(to.utilization()/mean-1)
	after := square((from.load-load)/from.capacity/mean-1) + square((to.load+load)/to.capacity/mean-1)
	drop := (before - after) / float64(len(b.nodes))
	nodeMean := b.total / float64(len(b.nodes))
	price := service.Churn*movePrice + service.Unavailable*pausePrice*shard.Load/math.Max(nodeMean, b.base)
	if service.Ranged {
		price += service.Churn * cutPrice * float64(b.neighbours.cuts(shard.Key, from.Session, to.Session))
	}
	return service.Imbalance*drop - price
}

func square(x float64) float64 { return x * x }
