// Package placement decides which node owns which shard. It is a pure function of its input: it does
// no I/O, reads no clock, and uses no randomness other than hashing.
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

// Node is a node that may own shards.
type Node struct {
	Session membership.SessionID
	Name    string
	Zone    string
	// Capacity weighs the node's share of the work, usually by its slots.
	Capacity float64
	// Warmth is 1 for a node that has warmed up, and less for one that has recently started. It
	// scales Capacity.
	Warmth float64
	// Pace is the work that one slot does in a given time, relative to the other nodes. It scales Capacity. A node
	// whose pace is not known, 0, counts as the mean of those known.
	Pace float64
	// Unresponsive nodes keep their shards and get no new ones, as their lease may be about to expire.
	Unresponsive bool
}

// Shard is a shard to be placed.
type Shard struct {
	Key   ownership.Key
	Epoch uint64
	Phase ownership.Phase
	// Owner is the current owner, or the target of a transfer in progress; 0 if the shard is free.
	Owner membership.SessionID
	// Load is the measured work, in a unit common to all shards.
	Load float64
}

// Service holds the settings of a service for moves.
type Service struct {
	// Imbalance, Churn and Unavailable are the weights of the imbalance of the pool, of each move, and
	// of the unavailability of a shard while it moves.
	Imbalance   float64
	Churn       float64
	Unavailable float64
	// Moves is the number of planned moves allowed now.
	Moves int
	// Ranged is set if the service's shards are ranges of keys in the order of their numbers.
	// Neighbouring ranges of one owner are granted in one call.
	Ranged bool
}

// Input describes one pool of nodes and all shards that it serves.
type Input struct {
	Nodes    []Node
	Shards   []Shard
	Services map[string]Service
	// NoRebalance disables moves for balance.
	NoRebalance bool
	// ByDemand lets moves follow the demand more closely: the budgets do not limit moves of shards that have no load, and
	// a shard that is too large for any node goes to the one with the highest capacity, alone.
	ByDemand bool
	// SlotLoad is the load that one unit of capacity can bear.
	SlotLoad float64
	// Partial is set if Shards holds only the shards to be placed. It then contains the loads of the
	// nodes under the previous plan.
	Partial *Loads
}

// Loads holds the loads of the nodes of a pool under a plan.
type Loads struct {
	ByNode map[membership.SessionID]float64
	// Base is the load added to each shard's measured load, and Total the sum over all shards.
	Base  float64
	Total float64
}

// Decision moves one shard.
type Decision struct {
	Key   ownership.Key
	Epoch uint64
	From  membership.SessionID
	To    membership.SessionID
	// Gain is the decrease in weighted imbalance minus the price of the move; 0 for moves that are
	// not made for balance.
	Gain float64
	// Unbudgeted is set for a move that the budget of the service does not limit.
	Unbudgeted bool
}

// Plan is the result of Compute.
type Plan struct {
	// Assign assigns free shards to nodes.
	Assign []Decision
	// Transfer moves owned shards, away from nodes that may not keep them or for balance.
	Transfer []Decision
	// Oversized lists shards whose own load exceeds the mean load of a node, so that no move can
	// restore the balance.
	Oversized []ownership.Key
	// Loads are the loads under the plan, as the input of subsequent partial plans.
	Loads *Loads
	// BusiestBefore and BusiestAfter are the utilization of the most utilized node over the mean, without and with the
	// plan; 0 if no node has any load.
	BusiestBefore float64
	BusiestAfter  float64
}

const (
	// movePrice is the price of a move at churn weight 1, in units of the squared coefficient of
	// variation of utilization.
	movePrice = 0.001
	// cutPrice is the price, at churn weight 1, of each additional pair of neighbouring ranges with
	// different owners.
	cutPrice = 0.0002
	// unavailabilityPrice is the price, at unavailable weight 1, of moving a shard that carries the mean load
	// of a node.
	unavailabilityPrice = 0.002
	// baseLoadShare is the load added to every shard, as a share of the mean load of a shard. It
	// spreads idle shards by count.
	baseLoadShare = 0.2
	// minWarmth keeps the capacity of a starting node above 0.
	minWarmth = 0.1
)

// Compute returns the plan for one pool. The plan is empty if the pool has no nodes.
func Compute(input Input) Plan {
	p := newPlanner(input)
	if len(p.nodes) == 0 {
		return Plan{}
	}
	plan := Plan{BusiestBefore: p.busiest()}
	plan.Assign = p.assignFree(input)
	plan.Transfer = p.evacuate(input)
	if input.Partial == nil {
		plan.Oversized = p.oversized(input.Shards)
	}
	if !input.NoRebalance {
		plan.Transfer = append(plan.Transfer, p.rebalance(input)...)
	}
	plan.Loads = p.loads()
	plan.BusiestAfter = p.busiest()
	return plan
}

// nodeLoad is a node and its load under the plan so far.
type nodeLoad struct {
	Node
	capacity float64
	load     float64
	// pinned is the load of the shard that the node keeps because it is too large for any node; 0 if there is none.
	pinned float64
}

func (n *nodeLoad) utilization() float64 { return n.load / n.capacity }

type planner struct {
	nodes []*nodeLoad
	// targets are the nodes that may be assigned shards: the responsive nodes, or all nodes if none
	// is responsive.
	targets   []*nodeLoad
	bySession map[membership.SessionID]*nodeLoad
	base      float64
	total     float64
	capacity  float64
	// pinnedLoad and pinnedCapacity are the sums over the nodes that keep a shard too large for any node.
	pinnedLoad     float64
	pinnedCapacity float64
	// rangeOwners holds the owners of ranges while moves are planned.
	rangeOwners *rangeOwners
}

func newPlanner(input Input) *planner {
	p := &planner{bySession: map[membership.SessionID]*nodeLoad{}}
	warmest, meanPace := maxWarmth(input.Nodes), meanPace(input.Nodes)
	for _, node := range input.Nodes {
		warmth := min(1, max(minWarmth, node.Warmth/warmest))
		pace := meanPace
		if node.Pace > 0 {
			pace = node.Pace
		}
		entry := &nodeLoad{Node: node, capacity: max(node.Capacity, 1) * warmth * pace}
		p.nodes = append(p.nodes, entry)
		p.bySession[node.Session] = entry
		p.capacity += entry.capacity
	}
	slices.SortFunc(p.nodes, func(x, y *nodeLoad) int { return cmp.Compare(x.Session, y.Session) })
	p.chooseTargets()
	if input.Partial != nil {
		p.setLoads(input.Partial)
		return p
	}
	p.base = baseLoad(input.Shards)
	for i := range input.Shards {
		load := p.weight(&input.Shards[i])
		p.total += load
		if owner := p.bySession[input.Shards[i].Owner]; owner != nil {
			owner.load += load
		}
	}
	return p
}

func (p *planner) chooseTargets() {
	for _, node := range p.nodes {
		if !node.Unresponsive {
			p.targets = append(p.targets, node)
		}
	}
	if len(p.targets) == 0 {
		p.targets = p.nodes
	}
}

// setLoads sets the loads of the nodes to those under an earlier plan.
func (p *planner) setLoads(loads *Loads) {
	p.base, p.total = loads.Base, loads.Total
	for _, node := range p.nodes {
		node.load = loads.ByNode[node.Session]
	}
}

func (p *planner) loads() *Loads {
	loads := &Loads{ByNode: make(map[membership.SessionID]float64, len(p.nodes)), Base: p.base, Total: p.total}
	for _, node := range p.nodes {
		loads.ByNode[node.Session] = node.load
	}
	return loads
}

// maxWarmth returns the largest warmth in the pool, at least minWarmth. Capacities are scaled by the
// warmth relative to it, so that nodes which have all just started have their full capacity.
func maxWarmth(nodes []Node) float64 {
	warmest := minWarmth
	for _, node := range nodes {
		warmest = max(warmest, node.Warmth)
	}
	return warmest
}

// meanPace returns the mean of the paces that are known; 1 if none is.
func meanPace(nodes []Node) float64 {
	sum, known := 0.0, 0
	for _, node := range nodes {
		if node.Pace > 0 {
			sum += node.Pace
			known++
		}
	}
	if known == 0 {
		return 1
	}
	return sum / float64(known)
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

func (p *planner) weight(shard *Shard) float64 { return shard.Load + p.base }

// meanUtilization returns the mean utilization of the nodes, except of those that keep a shard too large for any node:
// no move brings them to the mean.
func (p *planner) meanUtilization() float64 {
	if p.pinnedCapacity >= p.capacity {
		return p.total / p.capacity
	}
	return (p.total - p.pinnedLoad) / (p.capacity - p.pinnedCapacity)
}

// busiest returns the utilization of the most utilized node over the mean; 0 if no node has any load.
func (p *planner) busiest() float64 {
	highest, sum := 0.0, 0.0
	for _, node := range p.nodes {
		highest = max(highest, node.utilization())
		sum += node.utilization()
	}
	if sum == 0 {
		return 0
	}
	return highest * float64(len(p.nodes)) / sum
}

// affinity returns the rendezvous hash of a shard and a node name.
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

func (p *planner) oversized(shards []Shard) []ownership.Key {
	mean := p.total / float64(len(p.nodes))
	var found []ownership.Key
	for i := range shards {
		if shards[i].Load > mean && len(p.nodes) > 1 {
			found = append(found, shards[i].Key)
		}
	}
	return found
}

// gain returns the weighted decrease in the squared coefficient of variation of utilization, minus the
// price of the move.
func (p *planner) gain(shard *Shard, from, to *nodeLoad, mean float64, service Service) float64 {
	load := p.weight(shard)
	before := square(from.utilization()/mean-1) + square(to.utilization()/mean-1)
	after := square((from.load-load)/from.capacity/mean-1) + square((to.load+load)/to.capacity/mean-1)
	drop := (before - after) / float64(len(p.nodes))
	return service.Imbalance*drop - p.price(shard, from, to, service)
}

// price returns the price of a move.
func (p *planner) price(shard *Shard, from, to *nodeLoad, service Service) float64 {
	nodeMean := p.total / float64(len(p.nodes))
	price := service.Churn*movePrice + service.Unavailable*unavailabilityPrice*shard.Load/math.Max(nodeMean, p.base)
	if service.Ranged {
		price += service.Churn * cutPrice * float64(p.rangeOwners.addedCuts(shard.Key, from.Session, to.Session))
	}
	return price
}

func square(x float64) float64 { return x * x }
