package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/membership"
	"limehold/ownership"
	"limehold/pace"
)

// closedLoop is a pool whose nodes run requests at their paces and whose measured load and paces decide what they get
// next. Each step is one placement round.
type closedLoop struct {
	random  *rand.Rand
	paces   []float64
	meters  []pace.Meter
	shards  []Shard
	demand  []float64
	table   *LoadTable
	moving  map[int]time.Duration
	now     time.Duration
	moves   int
	service Service
	// stalls is set if each node works at a third of its pace for a fifth of the rounds.
	stalls bool
}

const (
	loopRound = 500 * time.Millisecond
	// loopShards is the number of shards, and loopSlots the number of slots of a node.
	loopShards = 1024
	loopSlots  = 7
	// loopRun is the time of a run at pace 1 without its call, and loopCall for how long its call takes.
	loopRun  = 100 * time.Millisecond
	loopCall = 40 * time.Millisecond
	// callShare is the share of the runs that make a call.
	callShare = 0.7
	// loopMove is how long a shard has no owner while it is moved.
	loopMove = 800 * time.Millisecond
	// stallShare is the share of the rounds in which a node stalls, and stallFactor by how much it is slower then.
	stallShare  = 0.2
	stallFactor = 3
)

func newClosedLoop(seed uint64, nodes, shards int, load float64) *closedLoop {
	l := &closedLoop{
		random: rand.New(rand.NewPCG(seed, 7)), meters: make([]pace.Meter, nodes), table: NewSteadyLoadTable(time.Second), moving: map[int]time.Duration{},
		service: Service{Imbalance: 1, Churn: 0.25, Unavailable: 1, Moves: 400, Ranged: true},
	}
	levels := []float64{0.5, 0.7, 0.7, 1, 1.7}
	room := 0.0
	for i := range nodes {
		l.paces = append(l.paces, levels[i%len(levels)])
		room += l.capacity(i)
	}
	weights, sum := make([]float64, shards), 0.0
	for i := range weights {
		weights[i] = math.Exp(0.7 * l.random.NormFloat64())
		sum += weights[i]
	}
	for i, weight := range weights {
		l.demand = append(l.demand, weight/sum*room*load)
		l.shards = append(l.shards, Shard{
			Key: ownership.Key{Service: "a", Shard: uint32(i)}, Epoch: 1, Phase: ownership.PhaseGranted, Owner: membership.SessionID(i*nodes/shards + 1),
		})
	}
	return l
}

// meanRun is how long a run takes on average at a node. slowdown is 1 for a node that is not nearly full.
func (l *closedLoop) meanRun(node int, slowdown float64) time.Duration {
	return time.Duration(float64(loopRun)*slowdown/l.paces[node] + callShare*float64(loopCall))
}

// capacity is the number of requests that a node can run in a second.
func (l *closedLoop) capacity(node int) float64 {
	return loopSlots / l.meanRun(node, 1).Seconds()
}

// offered returns the requests a second that each node is asked for.
func (l *closedLoop) offered() []float64 {
	offered := make([]float64, len(l.paces))
	for i := range l.shards {
		offered[l.shards[i].Owner-1] += l.demand[i]
	}
	return offered
}

// step runs one round: nodes run requests, then a plan is made and carried out.
func (l *closedLoop) step() (busiest float64) {
	utilizations := make([]float64, len(l.paces))
	sum := 0.0
	for i, offered := range l.offered() {
		utilizations[i] = offered / l.capacity(i)
		sum += utilizations[i]
		slowdown := 1 + 0.3*max(0, min(1, utilizations[i])-0.8)/0.2 // nearly full instances are slower
		if l.stalls && l.random.Float64() < stallShare {
			slowdown *= stallFactor
		}
		served := min(offered, l.capacity(i)) * loopRound.Seconds()
		for run := range int(served) {
			work := math.Exp(0.8*l.random.NormFloat64() - 0.32)
			ran := time.Duration(float64(loopRun) * work * slowdown / l.paces[i])
			if l.random.Float64() < callShare {
				ran += loopCall
			}
			l.meters[i].Record(loopRun, ran, l.now+loopRound*time.Duration(run+1)/time.Duration(served+1))
		}
	}
	l.now += loopRound
	for i := range l.shards {
		l.table.Add(l.shards[i].Key, loopRun.Seconds()*1000*poisson(l.random, l.demand[i]*loopRound.Seconds()), l.now-loopRound)
	}
	l.table.Update(l.now)
	l.plan()
	busiest = 0
	for _, utilization := range utilizations {
		busiest = max(busiest, utilization)
	}
	return busiest * float64(len(utilizations)) / sum
}

func (l *closedLoop) plan() {
	input := Input{Services: map[string]Service{"a": l.service}, ByDemand: true, SlotLoad: 1000}
	for i := range l.paces {
		input.Nodes = append(input.Nodes, Node{
			Session: membership.SessionID(i + 1), Name: fmt.Sprintf("node-%d", i+1), Capacity: loopSlots, Warmth: 1, Pace: l.meters[i].Pace(l.now),
		})
	}
	for i := range l.shards {
		shard := l.shards[i]
		shard.Load = l.table.Rate(shard.Key)
		if until, ok := l.moving[i]; ok && l.now < until {
			shard.Phase = ownership.PhaseReleasing
		}
		input.Shards = append(input.Shards, shard)
	}
	plan := Compute(input)
	for _, decision := range plan.Transfer {
		l.shards[decision.Key.Shard].Owner = decision.To
		l.moving[int(decision.Key.Shard)] = l.now + loopMove
	}
	l.moves = len(plan.Transfer)
}

func poisson(random *rand.Rand, mean float64) float64 {
	limit, product, count := math.Exp(-mean), random.Float64(), 0.0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

// TestDivisionFollowsPace answers the load of instances that differ in pace by 0.5 to 1.7 while their service is asked
// for less and for more than it can do: from an equal division, work over pace becomes even and stays so with few
// moves, although instances that are nearly full are slower and most runs wait for a call that takes equally long
// everywhere.
func TestDivisionFollowsPace(t *testing.T) {
	const rounds, settled = 60, 12
	for name, test := range map[string]struct {
		load   float64
		stalls bool
	}{
		"demand of 0.8 of the room":  {0.8, false},
		"demand of 1.25 of the room": {1.25, false},
		"nodes stall by turns":       {0.8, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				loop := newClosedLoop(seed, 36, loopShards, test.load)
				loop.stalls = test.stalls
				trace, sum, moves := "", 0.0, 0
				for round := range rounds {
					busiest := loop.step()
					trace += fmt.Sprintf(" %.2f(%d)", busiest, loop.moves)
					if round >= settled {
						sum += busiest
						moves += loop.moves
					}
				}
				t.Log(trace)
				t.Logf("mean %.3f, moves a round %.1f", sum/(rounds-settled), float64(moves)/(rounds-settled))
				is.True(sum/(rounds-settled) <= 1.2)
				is.True(float64(moves)/(rounds-settled) <= 0.005*loopShards)
			}
		})
	}
}

// TestCapacityCountsPace answers the load of instances that differ in pace with equal slots.
func TestCapacityCountsPace(t *testing.T) {
	for name, test := range map[string]struct {
		paces []float64
		want  []int
	}{
		"no pace known: slots decide":           {[]float64{0, 0, 0, 0}, []int{10, 10, 10, 10}},
		"twice as fast gets twice as much":      {[]float64{1, 1, 1, 2}, []int{8, 8, 8, 16}},
		"unknown counts as the mean of known":   {[]float64{0.5, 0.5, 0.5, 0}, []int{10, 10, 10, 10}},
		"only ratios count":                     {[]float64{0.25, 0.25, 0.25, 0.5}, []int{8, 8, 8, 16}},
		"a node that is not measured alone":     {[]float64{0, 0, 0, 2}, []int{10, 10, 10, 10}},
		"slow and fast around an unknown third": {[]float64{0.5, 1.5, 0, 1}, []int{5, 15, 10, 10}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			input := pool(len(test.paces), equalLoads(40), noOwner, Service{Imbalance: 1})
			for i, pace := range test.paces {
				input.Nodes[i].Pace = pace
			}
			found := countByTarget(Compute(input).Assign)
			for i, want := range test.want {
				is.Equal(found[membership.SessionID(i+1)], want)
			}
		})
	}
}

// TestOversizedShard answers the load of a hot key that asks for more than an instance can run: its shard belongs on
// the fastest instance, alone, and a shard that is no burden stays where it is.
func TestOversizedShard(t *testing.T) {
	const slots, hot = 10, 0
	for name, test := range map[string]struct {
		load     float64
		byDemand bool
		moves    int
		fast     float64
		want     membership.SessionID
		alone    bool
	}{
		"alone on the fastest":                  {20000, true, 400, 2, 4, true},
		"stays on a node that is nearly so":     {20000, true, 400, 1.2, 1, true},
		"the budget allows no move":             {20000, true, 0, 2, 1, false},
		"less than a node can bear":             {5000, true, 400, 2, 1, false},
		"off by default":                        {20000, false, 400, 2, 1, false},
		"of a pool with hardly any load at all": {3, true, 400, 2, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loads := equalLoads(40)
			for i := range loads {
				loads[i] = test.load / 100
			}
			loads[hot] = test.load
			service := Service{Imbalance: 1, Churn: 0.25, Unavailable: 1, Moves: test.moves, Ranged: true}
			owners := func(i int) membership.SessionID { return membership.SessionID(i/10 + 1) }
			input := pool(4, loads, owners, service)
			input.ByDemand, input.SlotLoad = test.byDemand, 1000
			for i := range input.Nodes {
				input.Nodes[i].Capacity, input.Nodes[i].Pace = slots, 1
			}
			input.Nodes[3].Pace = test.fast
			// Applies plans until nothing is moved any more.
			for range 20 {
				for _, decision := range Compute(input).Transfer {
					input.Shards[decision.Key.Shard].Owner = decision.To
				}
			}
			if test.byDemand && test.moves > 0 && test.load > 1000 {
				is.Equal(len(Compute(input).Transfer), 0) // at rest
			}
			if test.alone {
				is.Equal(input.Shards[hot].Owner, test.want)
			}
			beside := 0
			for i := range input.Shards {
				if i != hot && input.Shards[i].Owner == input.Shards[hot].Owner {
					beside++
				}
			}
			if test.alone {
				is.Equal(beside, 0)
			}
		})
	}
}

// TestBearableShardIsNotIsolated shows that only a shard that fills its node is kept on a node of its own.
func TestBearableShardIsNotIsolated(t *testing.T) {
	for name, test := range map[string]struct {
		load   float64
		pinned int
	}{
		"fills its node":        {9000, 1},
		"half of what it bears": {5000, 0},
		"a single request":      {1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loads := make([]float64, 40)
			loads[0] = test.load
			input := pool(4, loads, func(i int) membership.SessionID { return membership.SessionID(i/10 + 1) }, Service{Imbalance: 1, Moves: 400, Ranged: true})
			input.ByDemand, input.SlotLoad = true, 1000
			p := newPlanner(input)
			p.rebalance(input)
			pinned := 0
			for _, node := range p.nodes {
				if node.pinned > 0 {
					pinned++
				}
			}
			is.Equal(pinned, test.pinned)
		})
	}
}

// TestSeveralOversizedShards answers the load of hot keys in turn: nodes that keep one do not hinder moves between the
// others.
func TestSeveralOversizedShards(t *testing.T) {
	is := is.New(t)
	loads := equalLoads(200)
	for i := range 5 {
		loads[i*20] = 40000
	}
	for i := 100; i < 120; i++ {
		loads[i] = 800 // node 6 has eight times what the others have
	}
	for i := range loads {
		if loads[i] == 1 {
			loads[i] = 100
		}
	}
	input := pool(10, loads, func(i int) membership.SessionID { return membership.SessionID(i/20 + 1) }, Service{Imbalance: 1, Churn: 0.25, Unavailable: 1, Moves: 400, Ranged: true})
	input.ByDemand, input.SlotLoad = true, 1000
	relieved := 0
	for _, decision := range Compute(input).Transfer {
		if decision.From == 6 {
			relieved++
		}
	}
	is.True(relieved >= 5)
}

// TestIdleShardsMoveFreely answers the start of a deployment: the first nodes own all shards, and their even division
// must not use up the moves that the first load needs.
func TestIdleShardsMoveFreely(t *testing.T) {
	for name, test := range map[string]struct {
		load     float64
		byDemand bool
		want     bool
	}{
		"idle":           {0, true, true},
		"loaded":         {1, true, false},
		"off by default": {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			loads := make([]float64, 40)
			for i := range loads {
				loads[i] = test.load
			}
			// Node 1 has 1.6 times the mean: less than from which the budget is ignored.
			owners := func(i int) membership.SessionID { return membership.SessionID(max(0, (i-7)/11) + 1) }
			input := pool(4, loads, owners, Service{Imbalance: 1, Churn: 0.25, Unavailable: 1, Moves: 0, Ranged: true})
			input.ByDemand, input.SlotLoad = test.byDemand, 1000
			decisions := Compute(input).Transfer
			is.Equal(len(decisions) > 0, test.want)
			for _, decision := range decisions {
				is.True(decision.Unbudgeted)
			}
		})
	}
}

// TestSteadyLoadIgnoresChance answers the load of shards that get a few requests a second, and of a key that becomes
// hot: only the latter is a change.
func TestSteadyLoadIgnoresChance(t *testing.T) {
	const round, work = 500 * time.Millisecond, 100.0
	key := ownership.Key{Service: "a", Shard: 1}
	for name, test := range map[string]struct {
		// rates are the requests a second, for rounds rounds each.
		rates  []float64
		rounds int
		// least and most bound the measured rate, in requests a second.
		least, most float64
	}{
		"few requests":                 {[]float64{2}, 40, 1, 3.4},
		"right from the start":         {[]float64{40}, 3, 28, 52},
		"ten times as hot after 1.5 s": {[]float64{2, 2, 2, 60}, 3, 20, 80},
		"a quarter of it after 4 s":    {[]float64{60, 60, 60, 2}, 8, 1, 15},
		"gone":                         {[]float64{20, 0}, 60, 0, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 5))
				table := NewSteadyLoadTable(time.Second)
				now := time.Second
				for _, rate := range test.rates {
					for range test.rounds {
						for range int(poisson(random, rate*round.Seconds())) {
							table.Add(key, work, now)
						}
						now += round
						table.Update(now)
					}
				}
				if got := table.Rate(key) / work; got < test.least || got > test.most {
					t.Fatalf("seed %d: %.1f requests a second, want %.1f to %.1f", seed, got, test.least, test.most)
				}
			}
			is.Equal(NewSteadyLoadTable(time.Second).Rate(key), 0.0)
		})
	}
}
