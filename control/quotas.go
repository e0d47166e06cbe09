package control

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"limehold/clock"
	"limehold/consensus"
	"limehold/fleet"
	"limehold/quota"
	"limehold/transport"
	"limehold/wire"
)

// quotaTimeout bounds the forwarding of a request for tokens to the leader.
const quotaTimeout = 300 * time.Millisecond

// quotas holds the tenants' token buckets on the leader.
type quotas struct {
	policy quota.Policy
	mutex  sync.Mutex
	// authority is that of the newest term in which this member has led; nil if it never did.
	authority *quota.Authority
	term      uint64
	// version is the version of the route table whose limits are set, if known is set.
	version uint64
	known   bool
}

// quotaPolicy returns how exactly the tenants' quotas hold.
func (o *Options) quotaPolicy() quota.Policy {
	configured := o.Settings.Quota
	return quota.Policy{Window: configured.Window, Overage: configured.Overage, Slack: configured.Slack}
}

// prepareQuotas returns the authority for the term and updates its limits. The quotas' mutex is held.
func (m *Member) prepareQuotas(term uint64, now time.Duration) *quota.Authority {
	q := &m.quotas
	if q.authority == nil || q.term != term {
		q.authority, q.term, q.known = quota.NewAuthority(q.policy), term, false
	}
	var limits map[string]quota.Limit
	m.replica.view(func(state *fleet.State) {
		if q.known && state.Routing.Document.Version == q.version {
			return
		}
		q.known = true
		q.version = state.Routing.Document.Version
		limits = map[string]quota.Limit{}
		for i := range state.Routing.Document.Items {
			if tenant := state.Routing.Document.Items[i].Tenant; tenant != nil && tenant.Limited() {
				limits[tenant.Name] = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
			}
		}
	})
	if limits != nil {
		q.authority.SetLimits(now, limits)
	}
	return q.authority
}

// updateQuotas lets the buckets of a new term, and of new tenants, fill before the first request for tokens.
func (m *Member) updateQuotas(term uint64) {
	m.quotas.mutex.Lock()
	defer m.quotas.mutex.Unlock()
	m.prepareQuotas(term, clock.Now())
}

// takeQuota hands out tokens if this member is the leader, and otherwise forwards the request of a router to it.
func (m *Member) takeQuota(ctx context.Context, conn *transport.Conn, request *wire.TakeQuota) (*wire.TakeQuotaReply, error) {
	status := m.replica.status.Load()
	if status.Role != consensus.RoleLeader {
		if conn.Peer.Role != wire.RoleRouter {
			return nil, m.notLeader("hand out tokens of quotas")
		}
		return m.forwardQuota(ctx, request)
	}
	m.quotas.mutex.Lock()
	defer m.quotas.mutex.Unlock()
	now := clock.Now()
	if !status.Ready || !m.replica.holdsLeaseInTerm(status.Term, now) {
		return nil, m.notLeader("hand out tokens of quotas")
	}
	authority := m.prepareQuotas(status.Term, now)
	reply := &wire.TakeQuotaReply{Grants: make([]quota.Grant, len(request.Wants))}
	for i, want := range request.Wants {
		reply.Grants[i] = authority.Take(now, want)
	}
	return reply, nil
}

func (m *Member) forwardQuota(ctx context.Context, request *wire.TakeQuota) (*wire.TakeQuotaReply, error) {
	link := m.peers.link(m.replica.status.Load().Leader)
	if link == nil {
		return nil, m.notLeader("forward a request for tokens")
	}
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	reply := &wire.TakeQuotaReply{}
	err := link.Call(ctx, wire.KindTakeQuota, request, reply)
	return reply, eris.Wrapf(err, "forward a request for tokens to %s", link.member.Name)
}

// quotaUsage returns the use of the quotas on the leader.
func (m *Member) quotaUsage() []quota.Usage {
	m.quotas.mutex.Lock()
	defer m.quotas.mutex.Unlock()
	if m.quotas.authority == nil {
		return nil
	}
	return m.quotas.authority.Usage(clock.Now())
}
