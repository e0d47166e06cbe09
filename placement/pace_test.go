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
}

const (
	loopRound = 500 * time.Millisecond
	// loopSlots is the number of slots of a node, loopRun the time of a run at pace 1 without its call, and loopCall for
	// how long its call takes.
	loopSlots = 7
	loopRun   = 100 * time.Millisecond
	loopCall  = 40 * time.Millisecond
	// callShare is the share of the runs that make a call.
	callShare = 0.7
	// loopMove is how long a shard has no owner while it is moved.
	loopMove = 800 * time.Millisecond
)

func newClosedLoop(seed uint64, nodes, shards int, load float64) *closedLoop {
	l := &closedLoop{
		random: rand.New(rand.NewPCG(seed, 7)), meters: make([]pace.Meter, nodes), table: NewLoadTable(time.Second), moving: map[int]time.Duration{},
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
	input := Input{Services: map[string]Service{"a": l.service}}
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
	for name, load := range map[string]float64{"demand of 0.8 of the room": 0.8, "demand of 1.25 of the room": 1.25} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(3) {
				loop := newClosedLoop(seed, 36, 1024, load)
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
			}
		})
	}
}
