package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/loadview"
)

// crowd is the load of many routers that send requests to the instances of one service, each instance with its own
// pace. It advances in steps of a millisecond; messages take none.
type crowd struct {
	random *rand.Rand
	gates  []*Gate
	views  []*loadview.View
	// servers are the instances, with the view that their ingress is told by requests.
	servers []*server
	shared  bool
	// asked counts the attempts, full those that an instance rejected, and beside those of them while another
	// instance would have run the request at once.
	asked, full, beside int
	served              int
	wait                time.Duration
}

type server struct {
	slots   int
	runTime time.Duration
	ends    []ending
	waiting []ending
	version uint64
	view    *loadview.View
}

// ending is when a run ends, and whose it is.
type ending struct {
	at     time.Duration
	router int
}

const (
	crowdRouters   = 70
	crowdInstances = 25
	crowdSlots     = 7
	crowdWaiting   = 4
	crowdAttempts  = 3
)

func newCrowd(seed uint64, shared bool) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(seed, 1)), shared: shared}
	var list []Instance
	for id := range crowdInstances {
		list = append(list, Instance{ID: InstanceID(id + 1), Slots: crowdSlots, SelfLimited: true})
		// A fifth of the instances are three times slower than the others.
		runTime := 50 * time.Millisecond
		if id%5 == 0 {
			runTime *= 3
		}
		c.servers = append(c.servers, &server{slots: crowdSlots, runTime: runTime, view: loadview.NewView()})
	}
	for range crowdRouters {
		gate := NewGate(Options{FadeLoads: shared, Random: c.random.IntN})
		gate.Update(0, list)
		c.gates, c.views = append(c.gates, gate), append(c.views, loadview.NewView())
	}
	return c
}

// room returns how many requests a second the instances run.
func (c *crowd) room() float64 {
	sum := 0.0
	for _, s := range c.servers {
		sum += float64(s.slots) / s.runTime.Seconds()
	}
	return sum
}

func (s *server) report() loadview.Report {
	s.version++
	return loadview.Report{Process: 1, Version: s.version, Slots: s.slots, Running: len(s.ends), Waiting: len(s.waiting), RunTime: s.runTime, SuccessShare: 1}
}

// answer passes the report of an answering instance to a router and, if shared, what its ingress has been told.
func (c *crowd) answer(now time.Duration, router, id int) {
	report, gate := c.servers[id].report(), c.gates[router]
	if c.views[router].Hear(uint64(id+1), report, now) == loadview.Taken {
		gate.SetLoad(InstanceID(id+1), loadOf(report, now))
	}
	if !c.shared {
		return
	}
	for _, entry := range c.servers[id].view.Freshest(now, uint64(id+1), nil) {
		if c.views[router].HearOf(entry, now) == loadview.Taken {
			gate.SetLoad(InstanceID(entry.Session), loadOf(entry.Report, now-entry.Age))
		}
	}
}

func loadOf(r loadview.Report, madeAt time.Duration) Load {
	return Load{Running: r.Running, QueueLen: r.Waiting, Slots: r.Slots, RunTime: r.RunTime, SuccessShare: r.SuccessShare, MadeAt: madeAt}
}

func (c *crowd) anyFree() bool {
	for _, s := range c.servers {
		if len(s.ends) < s.slots && len(s.waiting) == 0 {
			return true
		}
	}
	return false
}

// send sends a request of a router until an instance takes it.
func (c *crowd) send(now time.Duration, router int) {
	var avoid []InstanceID
	for range crowdAttempts {
		waiter := &Waiter{Requirements: Requirements{GroupLimit: 1, Avoid: avoid}, Notify: func() {}}
		if c.gates[router].Acquire(now, waiter) != Admitted {
			return
		}
		id := int(waiter.Granted) - 1
		s := c.servers[id]
		c.asked++
		if c.shared {
			for _, entry := range c.views[router].Freshest(now, uint64(id+1), nil) {
				s.view.HearOf(entry, now)
			}
		}
		switch {
		case len(s.ends) < s.slots:
			s.ends = append(s.ends, ending{now + s.runTime, router})
			return
		case len(s.waiting) < crowdWaiting:
			s.waiting = append(s.waiting, ending{now, router})
			return
		}
		c.full++
		if c.anyFree() {
			c.beside++
		}
		c.answer(now, router, id)
		c.gates[router].Release(now, waiter.Granted, OutcomeShed, 0)
		avoid = append(avoid, waiter.Granted)
	}
}

// finish ends the runs that are due and begins those that wait.
func (c *crowd) finish(now time.Duration) {
	for id, s := range c.servers {
		running := s.ends
		s.ends = nil
		var ended []int
		for _, run := range running {
			if run.at > now {
				s.ends = append(s.ends, run)
				continue
			}
			ended = append(ended, run.router)
		}
		for len(s.ends) < s.slots && len(s.waiting) > 0 {
			c.wait += now - s.waiting[0].at
			s.ends = append(s.ends, ending{now + s.runTime, s.waiting[0].router})
			s.waiting = s.waiting[1:]
		}
		for _, router := range ended {
			c.served++
			c.answer(now, router, id)
			c.gates[router].Release(now, InstanceID(id+1), OutcomeSuccess, s.runTime)
		}
	}
}

// run applies load times the room of the instances for the given time.
func (c *crowd) run(load float64, duration time.Duration) {
	perStep := load * c.room() / 1000
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		c.finish(now)
		arrivals := int(perStep)
		if c.random.Float64() < perStep-float64(arrivals) {
			arrivals++
		}
		for range arrivals {
			c.send(now, c.random.IntN(crowdRouters))
		}
	}
}

// The load of 70 routers on 25 instances of unequal pace: a router hears of an instance by its own answers only about
// once a second, and full instances are asked while others have room.
func TestFewerFullInstancesAreAskedWhileOthersHaveRoom(t *testing.T) {
	for _, load := range []float64{0.9, 1.3} {
		t.Run(fmt.Sprint(load, " of the room"), func(t *testing.T) {
			for seed := range uint64(3) {
				alone, shared := newCrowd(seed, false), newCrowd(seed, true)
				alone.run(load, 2*time.Second)
				shared.run(load, 2*time.Second)
				for name, c := range map[string]*crowd{"alone": alone, "shared": shared} {
					t.Logf("%s: asked %d, served %d, full %d, beside room %d, waited %s a request", name, c.asked, c.served, c.full, c.beside, (c.wait / time.Duration(c.served)).Round(time.Millisecond/10))
				}
				is := is.New(t)
				is.True(shared.beside < alone.beside)
				is.True(float64(shared.served) >= 0.99*float64(alone.served))
			}
		})
	}
}

// With new reports, no full instance is chosen while another has room, whatever their pace.
func TestNoFullInstanceIsChosenWhileAnotherHasRoom(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		var list []Instance
		count := 2 + random.IntN(crowdInstances)
		for id := range count {
			list = append(list, Instance{ID: InstanceID(id + 1), Slots: crowdSlots, SelfLimited: true})
		}
		g := NewGate(Options{FadeLoads: true, Random: random.IntN})
		g.Update(0, list)
		free := map[InstanceID]bool{}
		for id := range count {
			running, waiting := random.IntN(crowdSlots+1), 0
			if running == crowdSlots {
				waiting = random.IntN(5)
			}
			free[InstanceID(id+1)] = running < crowdSlots
			g.SetLoad(InstanceID(id+1), Load{Slots: crowdSlots, Running: running, QueueLen: waiting, RunTime: time.Duration(1+random.IntN(500)) * time.Millisecond, SuccessShare: 1, MadeAt: time.Second})
		}
		anyFree := false
		for _, isFree := range free {
			anyFree = anyFree || isFree
		}
		waiter := &Waiter{Requirements: Requirements{GroupLimit: 1}, Notify: func() {}}
		is.Equal(g.Acquire(time.Second, waiter), Admitted)
		is.Equal(free[waiter.Granted], anyFree)
	}
}

// Routers with the same reports, of which one instance has the most room: they must not all choose it.
func TestRoutersWithTheSameReportsChooseDifferentInstances(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	chosen := map[InstanceID]int{}
	for range crowdRouters {
		g := NewGate(Options{FadeLoads: true, Random: random.IntN})
		var list []Instance
		for id := range crowdInstances {
			list = append(list, Instance{ID: InstanceID(id + 1), Slots: crowdSlots, SelfLimited: true})
		}
		g.Update(0, list)
		for id := range crowdInstances {
			running := crowdSlots / 2
			if id == 0 {
				running = 0
			}
			g.SetLoad(InstanceID(id+1), Load{Slots: crowdSlots, Running: running, RunTime: 50 * time.Millisecond, SuccessShare: 1, MadeAt: time.Second})
		}
		waiter := &Waiter{Requirements: Requirements{GroupLimit: 1}, Notify: func() {}}
		is.Equal(g.Acquire(time.Second, waiter), Admitted)
		chosen[waiter.Granted]++
	}
	is.True(chosen[1] <= crowdRouters/2)
	is.True(len(chosen) >= crowdInstances/2)
}

// Reports that grow old, or that are older than what this router has sent since.
func TestOldReportsLoseTheirWeight(t *testing.T) {
	const madeAt = time.Minute
	usual := Load{Slots: 4, Running: 2, RunTime: 50 * time.Millisecond, SuccessShare: 1}
	for name, c := range map[string]struct {
		// first is the report of one of two instances; the other one reports usual all the time.
		first Load
		age   time.Duration
		// sentAfter is how many requests were sent to the first after its report was made.
		sentAfter int
		// least and most bound how many of a hundred requests the first instance gets.
		least, most int
	}{
		"slow, just reported":             {Load{Slots: 4, Running: 2, RunTime: time.Second, SuccessShare: 1}, 0, 0, 0, 5},
		"slow, long ago":                  {Load{Slots: 4, Running: 2, RunTime: time.Second, SuccessShare: 1}, 30 * time.Second, 0, 30, 70},
		"full, just reported":             {Load{Slots: 4, Running: 4, QueueLen: 3, RunTime: 50 * time.Millisecond, SuccessShare: 1}, 0, 0, 0, 0},
		"full, long ago":                  {Load{Slots: 4, Running: 4, QueueLen: 3, RunTime: 50 * time.Millisecond, SuccessShare: 1}, 30 * time.Second, 0, 30, 70},
		"fails all, just reported":        {Load{Slots: 4, RunTime: time.Millisecond}, 0, 0, 0, 0},
		"fast and idle, just reported":    {Load{Slots: 4, RunTime: time.Millisecond, SuccessShare: 1}, 0, 0, 90, 100},
		"fast and idle, long ago":         {Load{Slots: 4, RunTime: time.Millisecond, SuccessShare: 1}, 30 * time.Second, 0, 30, 70},
		"idle, and four were sent since":  {Load{Slots: 4, RunTime: 50 * time.Millisecond, SuccessShare: 1}, 5 * time.Millisecond, 4, 0, 0},
		"says 50 ms, but has run nothing": {Load{Slots: 4, RunTime: 50 * time.Millisecond, SuccessShare: 1}, 30 * time.Second, 0, 30, 70},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first := 0
			for seed := range uint64(100) {
				g := NewGate(Options{FadeLoads: true, Random: rand.New(rand.NewPCG(seed, 2)).IntN})
				g.Update(0, []Instance{{ID: 1, Slots: 4, SelfLimited: true}, {ID: 2, Slots: 4, SelfLimited: true}})
				now := madeAt + c.age
				for range c.sentAfter {
					waiter := &Waiter{Requirements: Requirements{Instance: 1, GroupLimit: 1}}
					is.Equal(g.Acquire(now, waiter), Admitted)
				}
				c.first.MadeAt = madeAt
				g.SetLoad(1, c.first)
				for range c.sentAfter {
					g.Release(now, 1, OutcomeNeutral, 0)
				}
				other := usual
				other.MadeAt = now
				if name == "says 50 ms, but has run nothing" {
					other.RunTime = 5 * time.Millisecond
				}
				g.SetLoad(2, other)
				waiter := &Waiter{Requirements: Requirements{GroupLimit: 1}, Notify: func() {}}
				is.Equal(g.Acquire(now, waiter), Admitted)
				if waiter.Granted == 1 {
					first++
				}
			}
			t.Logf("the first instance gets %d of 100", first)
			is.True(first >= c.least && first <= c.most)
		})
	}
}

// A service over its room in one of two regions: links between regions are slow and expensive.
func TestFullInstancesOfTheRegionArePreferredToOtherRegions(t *testing.T) {
	for name, c := range map[string]struct {
		waiting int
		want    InstanceID
	}{
		"a short queue": {1, 1},
		"a long queue":  {60, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(Options{FadeLoads: true, Random: rand.New(rand.NewPCG(1, 2)).IntN})
			g.Update(0, []Instance{{ID: 1, Zone: "a", Slots: 7, SelfLimited: true}, {ID: 2, Zone: "z", Slots: 7, SelfLimited: true}})
			load := Load{Slots: 7, Running: 7, QueueLen: c.waiting, RunTime: 50 * time.Millisecond, SuccessShare: 1, MadeAt: time.Second}
			g.SetLoad(1, load)
			load.Running, load.QueueLen = 0, 0
			g.SetLoad(2, load)
			waiter := &Waiter{Requirements: Requirements{GroupLimit: 1, Zone: "a", RegionZones: []string{"a", "b"}}, Notify: func() {}}
			is.Equal(g.Acquire(time.Second, waiter), Admitted)
			is.Equal(waiter.Granted, c.want)
		})
	}
}
