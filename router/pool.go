package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"limehold/admission"
	"limehold/clock"
	"limehold/loadview"
	"limehold/wire"
)

// slowStart is how long a new instance receives less than its share of requests.
const slowStart = 5 * time.Second

// pool is a set of instances with its admission gate.
type pool struct {
	name  string
	mutex sync.Mutex
	gate  *admission.Gate
	// loads holds the load reports of the instances; nil if routers do not share them.
	loads *loadview.View
}

// poolOptions are the settings of all pools.
type poolOptions struct {
	policy      admission.Policy
	fixedLimits bool
	loadView    bool
}

func newPool(name string, options poolOptions) *pool {
	p := &pool{name: name, gate: admission.NewGate(admission.Options{
		Policy: options.policy, SlowStart: slowStart, FixedLimits: options.fixedLimits, FadeLoads: options.loadView, Random: rand.IntN,
	})}
	if options.loadView {
		p.loads = loadview.NewView()
	}
	return p
}

// update replaces the pool's nodes. Nodes in a drained zone count as draining.
func (p *pool) update(nodes []*wire.NodeView, zones map[string]zone) {
	list := make([]admission.Instance, 0, len(nodes))
	for _, node := range nodes {
		list = append(list, admission.Instance{
			ID: admission.InstanceID(node.Session), Zone: node.Zone, Draining: node.Draining || zones[node.Zone].draining,
			Slots: min(node.Slots, node.Connections), SelfLimited: node.SelfLimited,
		})
	}
	var granted []*admission.Waiter
	p.withGate(func(gate *admission.Gate) {
		granted = gate.Update(clock.Now(), list)
		if p.loads != nil {
			p.loads.Keep(gate.Has)
		}
	})
	notify(granted)
}

// withGate calls use with the gate while holding the mutex, which is released also on a panic.
func (p *pool) withGate(use func(gate *admission.Gate)) {
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
func (p *pool) acquire(requirements admission.Requirements, cancelled <-chan struct{}) (admission.InstanceID, rejection) {
	waiter := &admission.Waiter{Requirements: requirements}
	var ready chan struct{}
	var verdict admission.Verdict
	p.withGate(func(gate *admission.Gate) {
		if verdict = gate.Acquire(clock.Now(), waiter); verdict == admission.Queued {
			ready = make(chan struct{})
			waiter.Notify = func() { close(ready) }
		}
	})
	switch verdict {
	case admission.Admitted:
		return waiter.Granted, rejection{}
	case admission.QueueFull:
		return 0, rejectQueueFull
	case admission.NoInstance:
		return 0, rejectNoInstance
	}
	timer := clock.NewTimer(requirements.Deadline - clock.Now())
	defer timer.Stop()
	select {
	case <-ready:
		return waiter.Granted, rejection{}
	case <-timer.C:
		return p.abandon(waiter, rejectNoSlot)
	case <-cancelled:
		return p.abandon(waiter, rejectCallerGone)
	}
}

// abandon removes a waiter from the queue and releases a slot that was granted meanwhile.
func (p *pool) abandon(waiter *admission.Waiter, reason rejection) (admission.InstanceID, rejection) {
	var removed bool
	p.withGate(func(gate *admission.Gate) { removed = gate.Cancel(waiter) })
	if !removed {
		p.release(waiter.Granted, admission.OutcomeNeutral, 0)
	}
	return 0, reason
}

// sharesLoads reports whether load reports are exchanged with other routers.
func (p *pool) sharesLoads() bool { return p.loads != nil }

// observe records the load report in an instance's own answer.
func (p *pool) observe(id admission.InstanceID, report loadview.Report, now time.Duration) {
	p.withGate(func(gate *admission.Gate) {
		if p.loads != nil && report.Process != 0 && p.loads.Hear(uint64(id), report, now) != loadview.Taken {
			return
		}
		gate.SetLoad(id, loadOf(report, now))
	})
}

// observeOthers records load reports that an ingress has passed on, and returns what was done with each.
func (p *pool) observeOthers(entries []loadview.Entry, now time.Duration) []loadview.Verdict {
	if p.loads == nil || len(entries) == 0 {
		return nil
	}
	verdicts := make([]loadview.Verdict, 0, len(entries))
	p.withGate(func(gate *admission.Gate) {
		for _, entry := range entries {
			verdict := loadview.Unknown
			if gate.Has(entry.Session) {
				verdict = p.loads.HearOf(entry, now)
			}
			if verdict == loadview.Taken {
				gate.SetLoad(admission.InstanceID(entry.Session), loadOf(entry.Report, now-entry.Age))
			}
			verdicts = append(verdicts, verdict)
		}
	})
	return verdicts
}

// freshestLoads returns the load reports to send to an instance.
func (p *pool) freshestLoads(to uint64, now time.Duration) []loadview.Entry {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.loads.Freshest(now, to, nil)
}

// meanLoadAge returns the mean age of the load reports; 0 if there are none.
func (p *pool) meanLoadAge(now time.Duration) time.Duration {
	if p.loads == nil {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.loads.MeanAge(now)
}

// loadOf returns the load that a report states.
func loadOf(r loadview.Report, madeAt time.Duration) admission.Load {
	return admission.Load{
		Running: r.Running, QueueLen: r.Waiting, Slots: r.Slots, RunTime: r.RunTime, SuccessShare: r.SuccessShare,
		LinkBusy: r.LinkBusy, InboundBusy: r.InboundBusy, FreeAt: madeAt + r.LimitWait, MadeAt: madeAt,
	}
}

// release releases a slot and notifies the waiters that receive one.
func (p *pool) release(id admission.InstanceID, outcome admission.Outcome, latency time.Duration) {
	var granted []*admission.Waiter
	p.withGate(func(gate *admission.Gate) { granted = gate.Release(clock.Now(), id, outcome, latency) })
	notify(granted)
}

// serviceBudget is a retry budget that is safe for concurrent use.
type serviceBudget struct {
	mutex   sync.Mutex
	budget  *admission.RetryBudget
	percent int
	// limit, routers and draw determine the reserve of the budget, if limit.Slack is set.
	limit   admission.RetryLimit
	routers int
	draw    float64
	// recent is the smoothed number of requests in one retryWindow, as of recentAt.
	recent   float64
	recentAt time.Duration
}

// retryWindow is the window of the limit of retries.
const retryWindow = 10 * time.Second

// observe counts a request.
func (b *serviceBudget) observe(now time.Duration) {
	b.recent = b.recent*max(0, 1-float64(now-b.recentAt)/float64(retryWindow)) + 1
	b.recentAt = now
}

func newServiceBudget(percent int) *serviceBudget {
	return &serviceBudget{budget: admission.NewRetryBudget(percent), percent: percent}
}

func (b *serviceBudget) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.observe(clock.Now())
	if b.limit.Slack > 0 {
		b.budget.SetReserve(b.limit.Reserve(b.routers, b.recent, b.percent, b.draw), rand.Float64())
	}
	b.budget.Deposit()
}

// setLimit sets what determines how many retries may be saved; see admission.RetryLimit.
func (b *serviceBudget) setLimit(limit admission.RetryLimit, routers int, draw float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit, b.routers, b.draw = limit, routers, draw
}

func (b *serviceBudget) withdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.Withdraw()
}

// charge records a repeat that cannot be prevented. It may leave a debt, which is at most what the requests of one
// window earn, as older repeats no longer count.
func (b *serviceBudget) charge() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Charge(b.recent)
}

// isLimited reports whether all routers together may make a limited number of retries.
func (b *serviceBudget) isLimited() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.limit.Slack > 0
}

// credit returns how many retries the budget has saved.
func (b *serviceBudget) credit() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.budget.Credit()
}

func (b *serviceBudget) setPercent(percent int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.percent = percent
	b.budget.SetPercent(percent)
}
