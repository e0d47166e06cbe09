// Package quota keeps the quotas of tenants over all routers of a fleet. One authority, the leader of control, holds a
// token bucket for each tenant; a router needs a token for each request that it sends. The package does no I/O and
// reads no clock.
//
// Tokens are handed out as they are needed, not as shares of the rate: a tenant's share at one of a hundred routers is
// often less than a request per second. docs/design/0018-quotas.md compares the ways.
package quota

import (
	"math"
	"time"
)

// Limit is a tenant's quota: Rate requests per second, and Burst more at once.
type Limit struct {
	Rate  float64
	Burst float64
}

// Policy states how exactly quotas hold: in each span of Window, at most (Rate x Window + Burst) x (1 + Overage) +
// Slack requests of a tenant run.
type Policy struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// The tolerance of a policy, which is what it allows beyond the quota, has three uses of a third each:
//   - the bucket holds more than the burst, so that a tenant whose requests the network delays unevenly is not refused,
//   - tokens may be used, or returned unused, for a while after they were handed out,
//   - routers that reach no authority let a few requests through.
//
// A new authority starts with empty buckets, whatever its predecessor has handed out.
const toleranceUses = 3

// tolerance returns how many requests beyond the limit are tolerated in one window.
func (p Policy) tolerance(limit Limit) float64 {
	return p.Overage*(limit.Rate*p.Window.Seconds()+limit.Burst) + p.Slack
}

// capacity returns how many tokens a bucket holds at most.
func (p Policy) capacity(limit Limit) float64 {
	return math.Max(1, limit.Burst+p.tolerance(limit)/toleranceUses)
}

const (
	// maxLifetime bounds the lifetime of tokens of tenants with small quotas.
	maxLifetime = time.Second
	// clockDrift bounds the rate difference of the clocks of two machines.
	clockDrift = 0.04
)

// Lifetime returns how long a token may be used after the router has asked for it.
func (p Policy) Lifetime(limit Limit) time.Duration {
	seconds := p.tolerance(limit) / toleranceUses / limit.Rate * (1 - clockDrift)
	return min(maxLifetime, time.Duration(seconds*float64(time.Second)))
}

// OfflineAllowance returns how many requests a router may let through in one window while it reaches no authority. The
// routers share what the policy tolerates: rank is the place of the router in their order, from 0 to routers-1.
func (p Policy) OfflineAllowance(limit Limit, rank, routers int) int {
	if routers <= 0 || rank < 0 || rank >= routers {
		return 0
	}
	total := p.tolerance(limit) / toleranceUses
	each := total / float64(routers)
	return int(math.Floor(float64(rank+1)*each) - math.Floor(float64(rank)*each))
}

// Authority hands out tokens for all tenants. It is not safe for concurrent use.
//
// Invariant: in each span of time, no more tokens of a tenant become usable than the capacity of its bucket and what
// its rate adds in that span.
type Authority struct {
	policy  Policy
	buckets map[string]*bucket
	// limitsSet is set by the first call of SetLimits.
	limitsSet bool
}

// bucket holds the tokens of one tenant. A negative level stands for tokens that have been handed out and become usable
// later.
type bucket struct {
	limit   Limit
	level   float64
	at      time.Duration
	removed bool
	granted uint64
	refused uint64
}

// NewAuthority returns an authority whose buckets are empty.
func NewAuthority(policy Policy) *Authority {
	return &Authority{policy: policy, buckets: map[string]*bucket{}}
}

// SetLimits replaces the limits of all tenants. Those that had one before keep the level of their bucket, also when
// they come back. With the first call all buckets are empty, as an earlier authority may have handed out tokens; a
// tenant that is new in a later call has a full one.
func (a *Authority) SetLimits(now time.Duration, limits map[string]Limit) {
	for name, known := range a.buckets {
		if _, kept := limits[name]; !kept {
			known.advance(now, a.policy)
			known.removed = true
		}
	}
	for name, limit := range limits {
		known := a.buckets[name]
		if known == nil {
			known = &bucket{at: now}
			if a.limitsSet {
				known.level = a.policy.capacity(limit)
			}
			a.buckets[name] = known
		}
		known.advance(now, a.policy)
		known.limit, known.removed = limit, false
		known.level = min(known.level, a.policy.capacity(limit))
	}
	a.limitsSet = true
}

func (b *bucket) advance(now time.Duration, policy Policy) {
	if now > b.at {
		b.level = min(policy.capacity(b.limit), b.level+b.limit.Rate*(now-b.at).Seconds())
		b.at = now
	}
}

// Grant is the answer to a request for tokens.
type Grant struct {
	// Tokens have been handed out. They are usable after Delay, and for Lifetime after they were asked for.
	Tokens   int
	Delay    time.Duration
	Lifetime time.Duration
	// RetryAfter is when tokens may be available again if fewer were handed out than needed.
	RetryAfter time.Duration
}

const (
	// maxDelay bounds how long a request waits for a token that is due soon, instead of being refused.
	maxDelay = 50 * time.Millisecond
	// minRetryAfter is the least time for which routers do not ask again after a refusal, so that a tenant above its
	// quota does not keep control busy.
	minRetryAfter = 100 * time.Millisecond
	// aheadLevel is the share of a full bucket above which tokens are handed out that are not needed yet.
	aheadLevel = 0.5
)

// Take takes back the tokens that a router returns, and hands out those that it wants: for requests that wait, and
// more for requests that are expected within the lifetime of tokens. A tenant without a limit gets all that it wants.
func (a *Authority) Take(now time.Duration, want Want) Grant {
	b := a.buckets[want.Tenant]
	if b == nil || b.removed {
		return Grant{Tokens: want.Need, Lifetime: maxLifetime}
	}
	b.advance(now, a.policy)
	b.level = min(a.policy.capacity(b.limit), b.level+float64(want.Returned))
	b.granted -= min(b.granted, uint64(want.Returned))
	grant := Grant{Lifetime: a.policy.Lifetime(b.limit)}
	delay := min(maxDelay, grant.Lifetime/2)
	// Tokens that are due within the delay may be handed out now.
	available := int(math.Floor(b.level + b.limit.Rate*delay.Seconds()))
	grant.Tokens = max(0, min(want.Need, available))
	b.level -= float64(grant.Tokens)
	if b.level < 0 {
		grant.Delay = time.Duration(-b.level / b.limit.Rate * float64(time.Second))
	}
	if grant.Tokens < want.Need {
		b.refused += uint64(want.Need - grant.Tokens)
		grant.RetryAfter = max(minRetryAfter, time.Duration((1-b.level)/b.limit.Rate*float64(time.Second))-delay)
	} else if spare := int(math.Floor(b.level - aheadLevel*a.policy.capacity(b.limit))); spare > 0 {
		extra := min(want.Ahead, spare)
		grant.Tokens += extra
		b.level -= float64(extra)
	}
	b.granted += uint64(grant.Tokens)
	return grant
}

// Usage describes the use of a tenant's quota for operators.
type Usage struct {
	Tenant string
	Limit  Limit
	// Level is the number of tokens that are left, and Capacity the largest number.
	Level    float64
	Capacity float64
	// Granted and Refused count tokens since the authority began.
	Granted uint64
	Refused uint64
}

// Usage returns the use of all quotas, in no particular order.
func (a *Authority) Usage(now time.Duration) []Usage {
	list := make([]Usage, 0, len(a.buckets))
	for name, b := range a.buckets {
		if b.removed {
			continue
		}
		b.advance(now, a.policy)
		list = append(list, Usage{Tenant: name, Limit: b.limit, Level: b.level, Capacity: a.policy.capacity(b.limit), Granted: b.granted, Refused: b.refused})
	}
	return list
}
