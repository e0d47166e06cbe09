package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
	"limehold/quota"
	"limehold/routing"
	"limehold/wire"
)

const (
	// quotaTimeout bounds one request for tokens.
	quotaTimeout = 250 * time.Millisecond
	// maxQuotaRequests bounds the requests for tokens that are in flight. Requests that wait share the next one.
	maxQuotaRequests = 4
	// quotaWaitDivisor is the part of a request's target latency, or of its time, for which it waits for the
	// authority while that does not answer.
	quotaWaitDivisor = 3
)

// quotas obtains tokens for the requests of tenants with a quota.
type quotas struct {
	router *Router
	mutex  sync.Mutex
	stock  *quota.Stock
	// next is the batch of the requests for which no tokens have been requested yet.
	next     *quotaBatch
	inFlight int
}

// quotaBatch is a set of requests that wait for the same answer.
type quotaBatch struct {
	// done is closed when the request for tokens has ended, and answered is set if it was answered.
	done     chan struct{}
	answered bool
}

func newQuotaBatch() *quotaBatch { return &quotaBatch{done: make(chan struct{})} }

func newQuotas(r *Router) *quotas {
	configured := r.options.Settings.Quota
	policy := quota.Policy{Window: configured.Window, Overage: configured.Overage, Slack: configured.Slack}
	return &quotas{router: r, stock: quota.NewStock(policy), next: newQuotaBatch()}
}

// admit waits until a request may run as far as the quota of its tenant goes, or rejects it.
func (q *quotas) admit(p *proxiedRequest) rejection {
	if p.tenant == nil || !p.tenant.Limited() {
		return rejection{}
	}
	for again := false; ; again = true {
		decision, batch := q.use(p.tenant.Name, again)
		switch decision.Verdict {
		case quota.Admitted:
			p.tokenUntil = decision.Until
			if decision.Wait > 0 {
				clock.Sleep(decision.Wait, p.tracker.Cancelled())
			}
			return rejection{}
		case quota.Refused:
			rejected := rejectOverQuota
			rejected.retryAfter = max(rejected.retryAfter, decision.Wait)
			return rejected
		}
		if rejected, done := q.awaitBatch(p, batch); done {
			return rejected
		}
	}
}

// use decides on a request, and asks for tokens if there is none.
func (q *quotas) use(tenant string, again bool) (quota.Decision, *quotaBatch) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	decision := q.stock.Use(clock.Now(), tenant, again)
	if decision.Verdict == quota.Ask {
		batch := q.next
		q.ask()
		return decision, batch
	}
	return decision, nil
}

// awaitBatch waits for the answer to a batch. It reports done if the request is decided without a token: the authority
// does not answer, or the caller is gone.
func (q *quotas) awaitBatch(p *proxiedRequest, batch *quotaBatch) (rejected rejection, done bool) {
	until := p.quotaWaitEnd()
	timer := clock.NewTimer(until - clock.Now())
	defer timer.Stop()
	select {
	case <-batch.done:
		if batch.answered {
			return rejection{}, false
		}
	case <-timer.C:
	case <-p.tracker.Cancelled():
		return rejectCallerGone, true
	}
	if q.useOffline(p.tenant) {
		return rejection{}, true
	}
	if clock.Now() >= until {
		return rejectQuotaUnknown, true
	}
	return rejection{}, false
}

// quotaWaitEnd returns until when the request waits for an authority that does not answer.
func (p *proxiedRequest) quotaWaitEnd() time.Duration {
	available := p.deadline - p.started
	if p.routed != nil && p.routed.route.TargetLatency > 0 {
		available = min(available, p.routed.route.TargetLatency)
	}
	return p.started + available/quotaWaitDivisor
}

// useOffline lets a request through without a token, as far as the routers may together.
func (q *quotas) useOffline(tenant *routing.Tenant) bool {
	rank, routers := q.router.rank()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.stock.UseOffline(clock.Now(), tenant.Name, quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, rank, routers)
}

// giveBack returns the token of a request that was not run.
func (q *quotas) giveBack(p *proxiedRequest) {
	if p == nil || p.tokenUntil == 0 {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.stock.GiveBack(clock.Now(), p.tenant.Name, p.tokenUntil) {
		q.ask()
	}
	p.tokenUntil = 0
}

// ask starts a request for tokens for those that wait, unless enough are in flight. The mutex is held.
func (q *quotas) ask() {
	if q.inFlight >= maxQuotaRequests {
		return
	}
	wants := q.stock.Wants(q.router.quotaLimit)
	if len(wants) == 0 {
		return
	}
	q.inFlight++
	batch := q.next
	q.next = newQuotaBatch()
	go q.request(batch, wants)
}

// request requests tokens and ends the batch.
func (q *quotas) request(batch *quotaBatch, wants []quota.Want) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	asked := clock.Now()
	var reply wire.TakeQuotaReply
	err := q.router.callLeader(ctx, wire.KindTakeQuota, &wire.TakeQuota{Router: q.router.options.Settings.Name, Wants: wants}, &reply)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if err == nil && len(reply.Grants) == len(wants) {
		now := clock.Now()
		for i, want := range wants {
			q.stock.Answered(asked, now, want, reply.Grants[i])
		}
		batch.answered = true
	} else {
		q.router.metrics.quotaUnanswered.Inc()
		q.router.logger.Info("quota_unanswered", append(logging.ErrorFields("take tokens", "control", err), zap.Int("tenants", len(wants)), zap.Duration("after", clock.Now()-asked))...)
	}
	close(batch.done)
	q.inFlight--
	q.ask()
}

var errNoMember = errors.New("no connection to a control member")

// callLeader calls the leader of control, directly or by way of the member that this router follows.
func (r *Router) callLeader(ctx context.Context, kind wire.Kind, request, reply any) error {
	if r.options.CallLeader != nil {
		return r.options.CallLeader(ctx, kind, request, reply)
	}
	conn := r.follower.conn()
	if conn == nil {
		return errNoMember
	}
	return conn.Call(ctx, kind, request, reply)
}

// quotaLimit returns the limit of a tenant in the current route table; 0 if it has none.
func (r *Router) quotaLimit(name string) quota.Limit {
	r.table.mutex.RLock()
	routes := r.table.routes
	r.table.mutex.RUnlock()
	if routes == nil {
		return quota.Limit{}
	}
	tenant := routes.tenants.Tenant(name)
	if tenant == nil {
		return quota.Limit{}
	}
	return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
}

// rank returns this router's place among all sidecars by name, and their number; -1 if it is not listed.
func (r *Router) rank() (rank, routers int) {
	r.table.mutex.RLock()
	defer r.table.mutex.RUnlock()
	names := make([]string, 0, len(r.table.nodes))
	for _, node := range r.table.nodes {
		if node.SelfLimited {
			names = append(names, node.Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.Index(names, r.options.Settings.Name), len(names)
}
