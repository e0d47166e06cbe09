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
}

// Input is one pool of nodes with all shards that it serves.
type Input struct {
	Nodes    []Node
	Shards   []Shard
	Services map[string]Service
	// NoRebalance leaves owned shards where they are.
	NoRebalance bool
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
}

const (
	// movePrice is the squared coefficient of variation that one move must win
	// at churn weight 1.
	movePrice = 0.001
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
	plan.Assign = board.assignFree(input.Shards)
	plan.Transfer = board.evacuate(input.Shards)
	plan.Oversized = board.oversized(input.Shards)
	if !input.NoRebalance {
		plan.Transfer = append(plan.Transfer, board.rebalance(input)...)
	}
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
	nodes     []*nodeLoad
	bySession map[membership.SessionID]*nodeLoad
	base      float64
	total     float64
	capacity  float64
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

// assignFree places heavy shards first, each on the node that is least utilized
// afterwards; ties go to the node that a hash of shard and name prefers, so that
// the same nodes get the same shards again.
func (b *board) assignFree(shards []Shard) []Decision {
	var free []*Shard
	for i := range shards {
		if shards[i].Phase == ownership.PhaseFree {
			free = append(free, &shards[i])
		}
	}
	slices.SortStableFunc(free, func(x, y *Shard) int { return cmp.Compare(y.Load, x.Load) })
	decisions := make([]Decision, 0, len(free))
	for _, shard := range free {
		target := b.leastUtilized(shard, 0)
		target.load += b.weight(shard)
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, To: target.Session})
	}
	return decisions
}

func (b *board) leastUtilized(shard *Shard, except membership.SessionID) *nodeLoad {
	var best *nodeLoad
	var bestAfter float64
	var bestHash uint64
	for _, node := range b.nodes {
		if node.Session == except {
			continue
		}
		after := (node.load + b.weight(shard)) / node.capacity
		switch {
		case best == nil || after < bestAfter:
			best, bestAfter, bestHash = node, after, affinity(shard.Key, node.Name)
		case after == bestAfter:
			if hash := affinity(shard.Key, node.Name); hash > bestHash {
				best, bestHash = node, hash
			}
		}
	}
	return best
}

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

// evacuate moves shards off nodes that are no candidates (draining, superseded).
// Such moves are not held back by any budget.
func (b *board) evacuate(shards []Shard) []Decision {
	var decisions []Decision
	for i := range shards {
		shard := &shards[i]
		if shard.Phase != ownership.PhaseGranted || b.bySession[shard.Owner] != nil {
			continue
		}
		target := b.leastUtilized(shard, 0)
		target.load += b.weight(shard)
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: shard.Owner, To: target.Session})
	}
	return decisions
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

// rebalance takes the best move again and again, while its gain exceeds its
// price and the service's budget allows it.
func (b *board) rebalance(input Input) []Decision {
	allowed := map[string]int{}
	for name, service := range input.Services {
		allowed[name] = service.Moves
	}
	byOwner := map[membership.SessionID][]*Shard{}
	for i := range input.Shards {
		shard := &input.Shards[i]
		if shard.Phase == ownership.PhaseGranted && b.bySession[shard.Owner] != nil {
			byOwner[shard.Owner] = append(byOwner[shard.Owner], shard)
		}
	}
	var decisions []Decision
	for {
		shard, from, to, gain := b.bestMove(byOwner, input.Services, allowed)
		if shard == nil {
			return decisions
		}
		from.load -= b.weight(shard)
		to.load += b.weight(shard)
		allowed[shard.Key.Service]--
		byOwner[from.Session] = slices.DeleteFunc(byOwner[from.Session], func(other *Shard) bool { return other == shard })
		decisions = append(decisions, Decision{Key: shard.Key, Epoch: shard.Epoch, From: from.Session, To: to.Session, Gain: gain})
	}
}

// bestMove looks at moves from the nodes above the mean to the least utilized
// node: other moves gain less.
func (b *board) bestMove(byOwner map[membership.SessionID][]*Shard, services map[string]Service, allowed map[string]int) (*Shard, *nodeLoad, *nodeLoad, float64) {
	mean := b.mean()
	if mean <= 0 || len(b.nodes) < 2 {
		return nil, nil, nil, 0
	}
	to := slices.MinFunc(b.nodes, func(x, y *nodeLoad) int { return cmp.Compare(x.utilization(), y.utilization()) })
	var best *Shard
	var bestFrom *nodeLoad
	bestGain := 0.0
	for _, from := range b.nodes {
		if from == to || from.utilization() <= mean {
			continue
		}
		for _, shard := range byOwner[from.Session] {
			if allowed[shard.Key.Service] <= 0 {
				continue
			}
			gain := b.gain(shard, from, to, mean, services[shard.Key.Service])
			if gain > bestGain {
				best, bestFrom, bestGain = shard, from, gain
			}
		}
	}
	return best, bestFrom, to, bestGain
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
	return service.Imbalance*drop - price
}

func square(x float64) float64 { return x * x }
