package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"limehold/admission"
	"limehold/clock"
	"limehold/wire"
)

// slowStart is how long a new instance gets less than its share.
const slowStart = 5 * time.Second

// pool is one pool of instances with its gate.
type pool struct {
	name  string
	mutex sync.Mutex
	gate  *admission.Gate
}

func newPool(name string, policy admission.Policy, fixedLimits bool) *pool {
	return &pool{name: name, gate: admission.NewGate(admission.Options{
		Policy: policy, SlowStart: slowStart, FixedLimits: fixedLimits, Random: rand.IntN,
	})}
}

// update takes the pool's nodes, and the zones that were ever drained.
func (p *pool) update(nodes []*wire.NodeView, zones map[string]zone) {
	list := make([]admission.Instance, 0, len(nodes))
	for _, node := range nodes {
		list = append(list, admission.Instance{
			ID: admission.InstanceID(node.Session), Zone: node.Zone, Draining: node.Draining || zones[node.Zone].draining,
			Slots: min(node.Slots, node.Connections), Gated: node.Gated,
		})
	}
	var granted []*admission.Waiter
	p.with(func(gate *admission.Gate) { granted = gate.Update(clock.Now(), list) })
	notify(granted)
}

// with gives access to the gate. It is let go of also where that panics.
func (p *pool) with(use func(gate *admission.Gate)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	use(p.gate)
}

func notify(granted []*admission.Waiter) {
	for _, waiter := range granted {
		waiter.Notify()
	}
}

// acquire waits for a slot until the deadline or until cancelled is closed.
func (p *pool) acquire(want admission.Want, cancelled <-chan struct{}) (admission.InstanceID, refusal) {
	waiter := &admission.Waiter{Want: want}
	var ready chan struct{}
	var verdict admission.Verdict
	p.with(func(gate *admission.Gate) {
		if verdict = gate.Acquire(clock.Now(), waiter); verdict == admission.Queued {
			ready = make(chan struct{})
			waiter.Notify = func() { close(ready) }
		}
	})
	switch verdict {
	case admission.Admitted:
		return waiter.Granted, refusal{}
	case admission.QueueFull:
		return 0, refuseQueueFull
	case admission.NoInstance:
		return 0, refuseNoInstance
	}
	timer := clock.NewTimer(want.Deadline - clock.Now())
	defer timer.Stop()
	select {
	case <-ready:
		return waiter.Granted, refusal{}
	case <-timer.C:
		return p.giveUp(waiter, refuseNoSlot)
	case <-cancelled:
		return p.giveUp(waiter, refuseCallerGone)
	}
}

// giveUp leaves the queue; a slot granted at the last moment is given back.
func (p *pool) giveUp(waiter *admission.Waiter, reason refusal) (admission.InstanceID, refusal) {
	var left bool
	p.with(func(gate *admission.Gate) { left = gate.Cancel(waiter) })
	if !left {
		p.release(waiter.Granted, admission.OutcomeNeutral, 0)
	}
	return 0, reason
}

// observe takes an instance's own word on its load.
func (p *pool) observe(id admission.InstanceID, load admission.Load) {
	p.with(func(gate *admission.Gate) { gate.Observe(id, load) })
}

// release gives a slot back.
func (p *pool) release(id admission.InstanceID, outcome admission.Outcome, latency time.Duration) {
	var granted []*admission.Waiter
	p.with(func(gate *admission.Gate) { granted = gate.Release(clock.Now(), id, outcome, latency) })
	notify(granted)
}

// serviceBudget is a retry budget that may be used from several goroutines.
type serviceBudget struct {
	mutex  sync.Mutex
	budget *admission.RetryBudget
}

func newServiceBudget(percent int) *serviceBudget {
	return &serviceBudget{budget: admission.NewRetryBudget(percent)}
}

func (b *serviceBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Earn()
}

func (b *serviceBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.Spend()
}

func (b *serviceBudget) setPercent(percent int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.SetPercent(percent)
}
