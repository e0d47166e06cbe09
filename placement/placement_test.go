package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/membership"
	"limehold/ownership"
)

// pool returns nodes of equal capacity and shards with the given loads and owners.
func pool(nodes int, loads []float64, owner func(shard int) membership.SessionID, service Service) Input {
	input := Input{Services: map[string]Service{"a": service}}
	for i := range nodes {
		input.Nodes = append(input.Nodes, Node{Session: membership.SessionID(i + 1), Name: fmt.Sprintf("node-%d", i+1), Capacity: 10, Warmth: 1})
	}
	for i, load := range loads {
		shard := Shard{Key: ownership.Key{Service: "a", Shard: uint32(i)}, Epoch: 1, Load: load, Owner: owner(i)}
		if shard.Owner != 0 {
			shard.Phase = ownership.PhaseGranted
		}
		input.Shards = append(input.Shards, shard)
	}
	return input
}

func noOwner(int) membership.SessionID { return 0 }

func equalLoads(count int) []float64 {
	loads := make([]float64, count)
	for i := range loads {
		loads[i] = 1
	}
	return loads
}

func countByTarget(decisions []Decision) map[membership.SessionID]int {
	found := map[membership.SessionID]int{}
	for _, decision := range decisions {
		found[decision.To]++
	}
	return found
}

func TestFreeShardsAreSpreadEvenly(t *testing.T) {
	is := is.New(t)
	plan := Compute(pool(4, equalLoads(20), noOwner, Service{Imbalance: 1, Churn: 1, Unavailable: 1}))
	is.Equal(len(plan.Assign), 20)
	for _, count := range countByTarget(plan.Assign) {
		is.Equal(count, 5)
	}
}

func TestSamePlanForTheSameInput(t *testing.T) {
	is := is.New(t)
	input := pool(5, equalLoads(40), noOwner, Service{Imbalance: 1, Churn: 1, Unavailable: 1})
	is.Equal(Compute(input), Compute(input))
}

func TestNodesThatHaveAllJustStartedAreAlike(t *testing.T) {
	is := is.New(t)
	input := pool(4, equalLoads(20), noOwner, Service{Imbalance: 1})
	for i := range input.Nodes {
		input.Nodes[i].Warmth = 0.05 + 0.01*float64(i)
	}
	input.Nodes[3].Warmth = 0.05
	for _, count := range countByTarget(Compute(input).Assign) {
		is.True(count >= 3 && count <= 7)
	}
}

func TestColdNodeGetsLess(t *testing.T) {
	is := is.New(t)
	input := pool(4, equalLoads(40), noOwner, Service{Imbalance: 1})
	input.Nodes[0].Warmth = 0.3
	found := countByTarget(Compute(input).Assign)
	is.True(found[1] < found[2])
}

func TestShardsOfALeavingNodeAreMovedWhateverTheBudget(t *testing.T) {
	is := is.New(t)
	input := pool(3, equalLoads(9), func(i int) membership.SessionID { return membership.SessionID(i%3 + 1) }, Service{Churn: 1000})
	input.Nodes = input.Nodes[1:] // the first one is draining
	plan := Compute(input)
	is.Equal(len(plan.Transfer), 3)
	for _, decision := range plan.Transfer {
		is.Equal(decision.From, membership.SessionID(1))
	}
}

func TestSilentNodeKeepsItsShardsAndGetsNoNewOnes(t *testing.T) {
	is := is.New(t)
	input := pool(3, equalLoads(12), func(i int) membership.SessionID { return membership.SessionID(i % 4) }, Service{Imbalance: 10, Churn: 1, Unavailable: 1, Moves: 10})
	input.Nodes[0].Unresponsive = true
	plan := Compute(input)
	is.Equal(len(plan.Assign), 3)
	is.Equal(countByTarget(plan.Assign)[1], 0)
	for _, decision := range plan.Transfer {
		is.True(decision.To != 1)
	}
	for i := range input.Nodes {
		input.Nodes[i].Unresponsive = true
	}
	is.Equal(len(Compute(input).Assign), 3) // every shard needs an owner
}

func TestMoveMustRepayItsPrice(t *testing.T) {
	is := is.New(t)
	loads := equalLoads(12)
	loads[0] = 1.2 // a small difference
	owner := func(i int) membership.SessionID { return membership.SessionID(i%3 + 1) }
	expensive := Service{Imbalance: 1, Churn: 10, Unavailable: 1, Moves: 10}
	is.Equal(len(Compute(pool(3, loads, owner, expensive)).Transfer), 0)
	for i := range loads {
		if i%3 == 0 {
			loads[i] = 6 // six times the load of each other node
		}
	}
	is.True(len(Compute(pool(3, loads, owner, expensive)).Transfer) > 0)
}

func TestMovesStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	loads := make([]float64, 30)
	for i := range loads {
		loads[i] = 1
	}
	// The nodes own 18, 6 and 6 shards: the first is above the mean, but not overloaded.
	owner := func(i int) membership.SessionID { return [...]membership.SessionID{1, 1, 1, 2, 3}[i%5] }
	input := pool(3, loads, owner, Service{Imbalance: 10, Churn: 1, Unavailable: 1, Moves: 4})
	is.Equal(len(Compute(input).Transfer), 4)
	input.NoRebalance = true
	is.Equal(len(Compute(input).Transfer), 0)
}

// The first node of a starting fleet owns every shard. Later nodes must relieve it whatever the
// budget, though not all at once.
func TestOverloadedNodeIsRelievedBeyondTheBudget(t *testing.T) {
	is := is.New(t)
	input := pool(4, equalLoads(1000), func(int) membership.SessionID { return 1 }, Service{Imbalance: 1, Churn: 1, Unavailable: 1, Moves: 0})
	moved := len(Compute(input).Transfer)
	is.True(moved >= 400 && moved <= maxMoves)
}

// Shards must not move back and forth under a steady load.
func TestBalanceComesToRest(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	loads := make([]float64, 64)
	for i := range loads {
		loads[i] = random.ExpFloat64()
	}
	input := pool(5, loads, func(int) membership.SessionID { return 1 }, Service{Imbalance: 10, Churn: 1, Unavailable: 1, Moves: 1000})
	for round := range 10 {
		plan := Compute(input)
		if round > 1 {
			is.Equal(len(plan.Transfer), 0)
		}
		for _, decision := range plan.Transfer {
			input.Shards[decision.Key.Shard].Owner = decision.To
		}
	}
}

func TestShardThatNoNodeCanCarryIsReported(t *testing.T) {
	is := is.New(t)
	loads := equalLoads(12)
	loads[5] = 100
	plan := Compute(pool(3, loads, func(i int) membership.SessionID { return membership.SessionID(i%3 + 1) }, Service{Imbalance: 1, Moves: 5}))
	is.Equal(plan.Oversized, []ownership.Key{{Service: "a", Shard: 5}})
}

func TestPoolWithoutNodesPlansNothing(t *testing.T) {
	is := is.New(t)
	plan := Compute(pool(0, equalLoads(3), noOwner, Service{}))
	is.Equal(len(plan.Assign)+len(plan.Transfer), 0)
}

func TestLoadFadesAndBudgetRefills(t *testing.T) {
	is := is.New(t)
	table := NewLoadTable(5 * time.Second)
	key := ownership.Key{Service: "a"}
	for second := range 60 {
		table.Add(key, 100, time.Duration(second)*time.Second)
		table.Update(time.Duration(second+1) * time.Second)
	}
	is.True(table.Rate(key) > 95 && table.Rate(key) < 105)
	table.Update(65 * time.Second)
	is.True(table.Rate(key) > 45 && table.Rate(key) < 55)

	budget := &Budget{}
	is.Equal(budget.Available(0, 60), 10)
	budget.Spend(10)
	is.Equal(budget.Available(0, 60), 0)
	is.Equal(budget.Available(5*time.Second, 60), 5)
	is.Equal(budget.Available(time.Hour, 0), 0)
}

func BenchmarkCompute(b *testing.B) {
	for _, size := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("%d shards", size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			loads := make([]float64, size)
			for i := range loads {
				loads[i] = random.ExpFloat64()
			}
			nodes := size / 68
			input := pool(nodes, loads, func(i int) membership.SessionID { return membership.SessionID(i%nodes + 1) }, Service{Imbalance: 1, Churn: 1, Unavailable: 1, Moves: 10})
			for b.Loop() {
				Compute(input)
			}
		})
	}
}

// rangedPool returns nodes of equal capacity and a service of ranges with the given loads and owners.
func rangedPool(nodes int, loads []float64, owner func(int) membership.SessionID) Input {
	return pool(nodes, loads, owner, Service{Imbalance: 1, Churn: 1, Unavailable: 1, Moves: 1000, Ranged: true})
}

// countRuns returns the number of runs of neighbouring shards with one owner.
func countRuns(owners []membership.SessionID) int {
	runs := 1
	for i := 1; i < len(owners); i++ {
		if owners[i] != owners[i-1] {
			runs++
		}
	}
	return runs
}

// Free ranges must be assigned in runs whose lengths follow from the load.
func TestFreeRangesAreAssignedInRuns(t *testing.T) {
	is := is.New(t)
	loads := equalLoads(200)
	for i := 40; i < 50; i++ {
		loads[i] = 30 // adjacent busy ranges
	}
	input := rangedPool(4, loads, noOwner)
	plan := Compute(input)
	is.Equal(len(plan.Assign), 200)
	owners := make([]membership.SessionID, 200)
	byNode := map[membership.SessionID]float64{}
	for _, decision := range plan.Assign {
		owners[decision.Key.Shard] = decision.To
		byNode[decision.To] += loads[decision.Key.Shard]
	}
	is.Equal(countRuns(owners), 4)
	for _, load := range byNode {
		is.True(load > 90 && load < 160) // the mean is 122.5
	}
}

// As nodes join a fleet whose first node owns everything, they must get runs of ranges, not single ranges in
// turn.
func TestMovesKeepRangesTogether(t *testing.T) {
	is := is.New(t)
	input := rangedPool(4, equalLoads(200), func(int) membership.SessionID { return 1 })
	owners := make([]membership.SessionID, 200)
	for i := range owners {
		owners[i] = 1
	}
	for _, decision := range Compute(input).Transfer {
		owners[decision.Key.Shard] = decision.To
	}
	is.True(countRuns(owners) <= 8)
}
