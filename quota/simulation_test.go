package quota

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simulationSeeds = flag.Int("quota-seeds", 60, "number of seeds of the simulation")

var testPolicy = Policy{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const testTenant = "tenant"

// guard is a rule without which the quota does not hold. A simulation without one of them has to find that.
type guard string

const (
	guardEmptyStart guard = "a new authority starts with empty buckets"
	guardLifetime   guard = "tokens end with their lifetime"
	guardOffline    guard = "routers without an authority share what is tolerated"
	guardOne        guard = "there is one authority at a time"
	guardReturn     guard = "tokens are returned within their lifetime, once"
	guardReset      guard = "an allowance returns one window after its last use"
)

// scenario is what a simulation plays.
type scenario struct {
	limit   Limit
	routers int
	// load is the rate of requests as a multiple of the limit's rate.
	load float64
	// wave lets the load be low for four seconds out of eight, and hoard lets routers ask for more than they need.
	wave, hoard bool
	// notRun is the share of the requests with tokens that are not run.
	notRun float64
	// faults makes messages get lost and late, routers lose contact, and authorities end.
	faults  bool
	without guard
	length  time.Duration
}

// simulation plays one scenario in virtual time.
type simulation struct {
	scenario
	random *rand.Rand
	now    time.Duration
	queue  events
	number int

	authority *Authority
	// former is the authority before the present one, which goes on only without guardOne.
	former *Authority
	alive  bool
	nodes  []*node
	// runs are the times at which requests ran.
	runs              []time.Duration
	refused, unserved int
}

// node is a router.
type node struct {
	rank     int
	stock    *Stock
	inFlight int
	cutUntil time.Duration
	waiting  []*waiting
}

// waiting is a request that waits for the answer to the next request for tokens.
type waiting struct{ until time.Duration }

type event struct {
	at     time.Duration
	number int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.number++
	heap.Push(&s.queue, event{s.now + delay, s.number, run})
}

func simulate(seed uint64, c scenario) *simulation {
	s := &simulation{scenario: c, random: rand.New(rand.NewPCG(seed, 7)), alive: true}
	s.authority = s.newAuthority()
	for rank := range c.routers {
		s.nodes = append(s.nodes, &node{rank: rank, stock: NewStock(testPolicy)})
	}
	s.now = 10 * time.Second // the first buckets have filled
	s.arrive()
	if c.faults {
		s.after(s.between(time.Second, 4*time.Second), s.loseAuthority)
		s.after(s.between(0, 2*time.Second), s.cut)
	}
	end := s.now + c.length
	for len(s.queue) > 0 && s.queue[0].at < end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	slices.Sort(s.runs)
	return s
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) newAuthority() *Authority {
	authority := NewAuthority(testPolicy)
	authority.SetLimits(s.now, map[string]Limit{testTenant: s.limit})
	if s.without == guardEmptyStart {
		authority.buckets[testTenant].level = testPolicy.capacity(s.limit)
	}
	return authority
}

// arrive lets a request arrive at a random router, and schedules the next one.
func (s *simulation) arrive() {
	s.handle(s.nodes[s.random.IntN(len(s.nodes))], &waiting{until: s.now + 300*time.Millisecond}, false)
	load := s.load
	if s.wave && s.now/(4*time.Second)%2 == 0 {
		load = 0.4
	}
	gap := s.random.ExpFloat64() / (s.limit.Rate * load)
	if load < 1 && !s.wave {
		gap = 1 / (s.limit.Rate * s.load) // within the limit whatever the burst
	}
	s.after(time.Duration(gap*float64(time.Second)), s.arrive)
}

func (s *simulation) handle(n *node, w *waiting, again bool) {
	switch decision := n.stock.Use(s.now, testTenant, again); decision.Verdict {
	case Admitted:
		s.after(decision.Wait, func() {
			if s.random.Float64() >= s.notRun {
				s.runs = append(s.runs, s.now)
				return
			}
			s.after(s.between(0, 300*time.Millisecond), func() {
				if n.stock.GiveBack(s.now, testTenant, decision.Until) || s.without == guardReturn {
					if s.without == guardReturn {
						n.stock.holding(testTenant).returned++
					}
					s.ask(n)
				}
			})
		})
	case Refused:
		s.refused++
	case Ask:
		n.waiting = append(n.waiting, w)
		s.ask(n)
	}
}

// ask sends what is wanted to the authority, unless a request is in flight.
func (s *simulation) ask(n *node) {
	if n.inFlight > 0 {
		return
	}
	wants := n.stock.Wants(func(string) Limit { return s.limit })
	if len(wants) == 0 {
		return
	}
	n.inFlight++
	batch, asked, want, answered := n.waiting, s.now, wants[0], false
	n.waiting = nil
	end := func(ok bool) {
		if answered {
			return
		}
		answered = true
		n.inFlight--
		for _, w := range batch {
			s.decide(n, w, ok)
		}
		s.ask(n)
	}
	s.after(250*time.Millisecond, func() { end(false) })
	if s.lost(n) {
		return
	}
	s.after(s.delay(), func() {
		authority := s.authority
		if s.without == guardOne && s.former != nil && n.rank%2 == 0 {
			authority = s.former
		} else if !s.alive {
			return
		}
		if s.hoard {
			want.Need *= 16
		}
		grant := authority.Take(s.now, want)
		if s.without == guardLifetime {
			grant.Lifetime = time.Hour
		}
		if s.lost(n) {
			return
		}
		s.after(s.delay(), func() {
			if !answered {
				n.stock.Answered(asked, s.now, want, grant)
			}
			end(true)
		})
	})
}

// decide ends the wait of a request.
func (s *simulation) decide(n *node, w *waiting, answered bool) {
	if answered {
		s.handle(n, w, true)
		return
	}
	rank, routers := n.rank, s.routers
	if s.without == guardOffline {
		rank, routers = 0, 1
	}
	if s.without == guardReset {
		n.stock.holding(testTenant).offlineUsed = 0
	}
	switch {
	case n.stock.UseOffline(s.now, testTenant, s.limit, rank, routers):
		s.runs = append(s.runs, s.now)
	case s.now < w.until:
		s.handle(n, w, true)
	default:
		s.unserved++
	}
}

func (s *simulation) delay() time.Duration {
	delay := s.between(200*time.Microsecond, 3*time.Millisecond)
	if s.faults && s.random.IntN(20) == 0 {
		delay += s.between(0, 400*time.Millisecond)
	}
	return delay
}

func (s *simulation) lost(n *node) bool {
	return s.now < n.cutUntil || s.faults && s.random.IntN(50) == 0
}

// loseAuthority ends the authority; its successor begins a while later.
func (s *simulation) loseAuthority() {
	s.alive = false
	s.former = s.authority
	s.after(s.between(100*time.Millisecond, 3*time.Second), func() {
		s.authority, s.alive = s.newAuthority(), true
		s.after(s.between(200*time.Millisecond, 6*time.Second), s.loseAuthority)
	})
}

// cut cuts a part of the routers off for a while.
func (s *simulation) cut() {
	until := s.now + s.between(time.Second, 6*time.Second)
	for _, n := range s.nodes {
		if s.random.IntN(3) == 0 {
			n.cutUntil = until
		}
	}
	s.after(s.between(time.Second, 8*time.Second), s.cut)
}

// excess returns an error if more requests ran in some window than the policy allows.
func (s *simulation) excess() error {
	bound := s.limit.Rate*testPolicy.Window.Seconds() + s.limit.Burst + testPolicy.tolerance(s.limit)
	first := 0
	for last := range s.runs {
		for s.runs[last]-s.runs[first] >= testPolicy.Window {
			first++
		}
		if count := last - first + 1; float64(count) > bound {
			return fmt.Errorf("%d requests ran in the window from %v, %.1f are allowed", count, s.runs[first], bound)
		}
	}
	return nil
}

// Guards against windows in which more requests of a tenant run than its quota allows, at routers that are in touch
// with the authority or not.
func TestNoWindowExceedsTheQuota(t *testing.T) {
	for name, c := range map[string]scenario{
		"small tenant, many routers": {limit: Limit{Rate: 8, Burst: 8}, routers: 83, load: 8},
		"large tenant, many routers": {limit: Limit{Rate: 213, Burst: 213}, routers: 83, load: 5},
		"no burst":                   {limit: Limit{Rate: 30}, routers: 20, load: 3},
		"one router":                 {limit: Limit{Rate: 50, Burst: 10}, routers: 1, load: 4},
		"near the limit":             {limit: Limit{Rate: 50, Burst: 50}, routers: 40, load: 1.1},
		"tokens returned":            {limit: Limit{Rate: 50, Burst: 50}, routers: 40, load: 6, notRun: 0.5},
		"more asked for than needed": {limit: Limit{Rate: 50, Burst: 50}, routers: 40, load: 6, wave: true, hoard: true},
	} {
		t.Run(name, func(t *testing.T) {
			c.faults, c.length = true, 30*time.Second
			ran := 0
			for seed := range uint64(*simulationSeeds) {
				s := simulate(seed, c)
				if err := s.excess(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				ran += len(s.runs)
			}
			if ran == 0 {
				t.Fatal("nothing ran")
			}
		})
	}
}

// Guards against refusals below the limit while nothing fails.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for name, c := range map[string]scenario{
		"small tenant": {limit: Limit{Rate: 8, Burst: 8}, routers: 83, load: 0.95},
		"large tenant": {limit: Limit{Rate: 213, Burst: 213}, routers: 83, load: 0.95},
		"no burst":     {limit: Limit{Rate: 30}, routers: 20, load: 0.95},
		"large fleet":  {limit: Limit{Rate: 500, Burst: 50}, routers: 1000, load: 0.95},
	} {
		t.Run(name, func(t *testing.T) {
			c.length = 20 * time.Second
			for seed := range uint64(5) {
				if s := simulate(seed, c); s.refused+s.unserved > 0 {
					t.Fatalf("seed %d: %d of %d requests were refused, %d not served", seed, s.refused, len(s.runs)+s.refused, s.unserved)
				}
			}
		})
	}
}

// Guards against a simulation that finds nothing: each guard, left out, is missed.
func TestSimulationFindsEachMissingGuard(t *testing.T) {
	for _, missing := range []guard{guardEmptyStart, guardLifetime, guardOffline, guardOne, guardReset, guardReturn} {
		t.Run(string(missing), func(t *testing.T) {
			for _, limit := range []Limit{{Rate: 8, Burst: 8}, {Rate: 213, Burst: 213}, {Rate: 50, Burst: 0}} {
				for seed := range uint64(200) {
					played := scenario{limit: limit, routers: 40, load: 6, faults: true, without: missing, length: 20 * time.Second}
					played.wave, played.hoard = missing == guardLifetime, missing == guardLifetime
					if missing == guardReturn {
						played.notRun = 0.5
					}
					if simulate(seed, played).excess() != nil {
						return
					}
				}
			}
			t.Error("no simulation exceeds the quota without it")
		})
	}
}

func TestOfflineAllowancesAddUpToWhatIsTolerated(t *testing.T) {
	for _, limit := range []Limit{{Rate: 8, Burst: 8}, {Rate: 213, Burst: 213}, {Rate: 0.5}} {
		for _, routers := range []int{1, 7, 100, 19_000} {
			sum := 0
			for rank := range routers {
				sum += testPolicy.OfflineAllowance(limit, rank, routers)
			}
			if want := testPolicy.tolerance(limit) / toleranceUses; float64(sum) > want || float64(sum) < want-1 {
				t.Errorf("limit %v: %d routers let %d requests through, want up to %.1f", limit, routers, sum, want)
			}
		}
	}
	if testPolicy.OfflineAllowance(Limit{Rate: 8}, -1, 5) != 0 {
		t.Error("a router that is not listed lets requests through")
	}
}

func TestChangedLimits(t *testing.T) {
	policy := Policy{Window: time.Second, Slack: 3}
	authority := NewAuthority(policy)
	authority.SetLimits(0, map[string]Limit{"a": {Rate: 10, Burst: 100}})
	if got := authority.Take(time.Minute, Want{Tenant: "a", Need: 5}).Tokens; got != 5 {
		t.Fatalf("%d tokens of a full bucket, want 5", got)
	}
	authority.SetLimits(time.Minute, map[string]Limit{"a": {Rate: 2, Burst: 1}})
	if got := authority.Take(time.Minute, Want{Tenant: "a", Need: 50}).Tokens; got > 3 {
		t.Errorf("%d tokens after the limit was lowered, want at most 3", got)
	}
	if grant := authority.Take(time.Minute, Want{Tenant: "a", Need: 1}); grant.Tokens != 0 || grant.RetryAfter < minRetryAfter {
		t.Errorf("grant %+v from an empty bucket", grant)
	}
	authority.SetLimits(time.Minute, map[string]Limit{"b": {Rate: 1, Burst: 50}})
	if got := authority.Take(time.Minute, Want{Tenant: "b", Need: 99}).Tokens; got < 50 {
		t.Errorf("%d tokens of a new tenant, want 50 or more", got)
	}
	authority.SetLimits(time.Minute, map[string]Limit{"a": {Rate: 2, Burst: 1}, "b": {Rate: 1, Burst: 50}})
	if got := authority.Take(time.Minute, Want{Tenant: "a", Need: 50}).Tokens; got > 0 {
		t.Errorf("%d tokens of a tenant that was removed and added again, want none", got)
	}
	authority.SetLimits(time.Minute, nil)
	if got := authority.Take(time.Minute, Want{Tenant: "a", Need: 7}).Tokens; got != 7 {
		t.Errorf("%d tokens without a limit, want 7", got)
	}
}

// Guards against tokens that are lost to the tenant because the requests that held them were not run.
func TestReturnedTokensAreHandedOutAgain(t *testing.T) {
	limit := Limit{Rate: 50, Burst: 10}
	s := simulate(1, scenario{limit: limit, routers: 40, load: 4, notRun: 0.3, length: 20 * time.Second})
	if share := float64(len(s.runs)) / (limit.Rate * 20); share < 0.9 {
		t.Errorf("%.2f of the quota is used by a tenant above it, 3 in 10 of whose requests are not run", share)
	}
}
