package quota

import "time"

// Stock holds one router's tokens and decides which to ask for. It is not safe for concurrent use.
//
// Invariant: each token is used at most once, within its lifetime, which is counted from the moment at which the
// router asked for it.
type Stock struct {
	policy  Policy
	tenants map[string]*holding
}

// holding is what the router knows of one tenant.
type holding struct {
	tokens []token
	// waiting is the number of requests for which the router has not asked yet, and returned that of tokens that it
	// has not used and not returned to the authority yet.
	waiting  int
	returned int
	// refusedUntil is when the router asks again after a refusal.
	refusedUntil time.Duration
	// rate is the smoothed number of requests per second here, as of observedAt.
	rate       float64
	observedAt time.Duration
	// offlineUsed counts the requests that were let through without a token, the last one at offlineAt.
	offlineUsed int
	offlineAt   time.Duration
}

// token may be used in [from, until).
type token struct{ from, until time.Duration }

// rateWindow is the time over which the rate of a tenant's requests is smoothed.
const rateWindow = 2 * time.Second

// NewStock returns an empty stock.
func NewStock(policy Policy) *Stock {
	return &Stock{policy: policy, tenants: map[string]*holding{}}
}

func (s *Stock) holding(tenant string) *holding {
	known := s.tenants[tenant]
	if known == nil {
		known = &holding{}
		s.tenants[tenant] = known
	}
	return known
}

// Verdict is the decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request has a token.
	Admitted Verdict = iota
	// Ask means that the request waits for the authority's next answer.
	Ask
	// Refused means that the tenant is above its quota.
	Refused
)

// Decision is the decision on a request.
type Decision struct {
	Verdict Verdict
	// Wait is the time until the token may be used, or after a refusal until the router asks again.
	Wait time.Duration
	// Until is when the token of an admitted request ends.
	Until time.Duration
}

// Use decides on a request; again is set if the request has waited for an answer before.
func (s *Stock) Use(now time.Duration, tenant string, again bool) Decision {
	h := s.holding(tenant)
	if !again {
		h.observe(now)
	}
	if used, ok := h.take(now); ok {
		return Decision{Verdict: Admitted, Wait: max(0, used.from-now), Until: used.until}
	}
	if now < h.refusedUntil {
		return Decision{Verdict: Refused, Wait: h.refusedUntil - now}
	}
	h.waiting++
	return Decision{Verdict: Ask}
}

// observe adds a request to the smoothed rate.
func (h *holding) observe(now time.Duration) {
	window := rateWindow.Seconds()
	h.rate = h.rate*max(0, 1-(now-h.observedAt).Seconds()/window) + 1/window
	h.observedAt = now
}

// take removes the first token that can still be used.
func (h *holding) take(now time.Duration) (token, bool) {
	for len(h.tokens) > 0 {
		first := h.tokens[0]
		h.tokens = h.tokens[1:]
		if max(now, first.from) < first.until {
			return first, true
		}
	}
	return token{}, false
}

// GiveBack returns the token of a request that was not run, unless its lifetime is over. It reports whether there is
// something to tell the authority.
func (s *Stock) GiveBack(now time.Duration, tenant string, until time.Duration) bool {
	if now >= until {
		return false
	}
	s.holding(tenant).returned++
	return true
}

// Want is what a router asks the authority for.
type Want struct {
	Tenant string
	// Need is the number of requests that wait, Ahead that of those expected within the lifetime of tokens.
	Need  int
	Ahead int
	// Returned is the number of tokens, within their lifetime, whose requests were not run.
	Returned int
}

// Wants returns what to ask for on behalf of the requests that wait since the last call, in no particular order. It
// forgets tenants that have no limit any more.
func (s *Stock) Wants(limitOf func(tenant string) Limit) []Want {
	var wants []Want
	for tenant, h := range s.tenants {
		limit := limitOf(tenant)
		if h.waiting == 0 && h.returned == 0 {
			if limit.Rate <= 0 {
				delete(s.tenants, tenant)
			}
			continue
		}
		want := Want{Tenant: tenant, Need: h.waiting, Returned: h.returned}
		h.waiting, h.returned = 0, 0
		if limit.Rate > 0 && want.Need > 0 {
			want.Ahead = int(h.rate * s.policy.Lifetime(limit).Seconds() / 2)
		}
		wants = append(wants, want)
	}
	return wants
}

// Answered records the authority's answer, received at now, to a want that was sent at the time asked.
func (s *Stock) Answered(asked, now time.Duration, want Want, grant Grant) {
	h := s.holding(want.Tenant)
	for range grant.Tokens {
		h.tokens = append(h.tokens, token{from: now + grant.Delay, until: asked + grant.Lifetime})
	}
	if grant.RetryAfter > 0 {
		h.refusedUntil = now + grant.RetryAfter
	}
}

// UseOffline lets a request through without a token, if the router may while no authority answers. rank and routers
// are those of Policy.OfflineAllowance, which is allowed again one window after the last such request.
func (s *Stock) UseOffline(now time.Duration, tenant string, limit Limit, rank, routers int) bool {
	h := s.holding(tenant)
	if now-h.offlineAt >= s.policy.Window {
		h.offlineUsed = 0
	}
	if h.offlineUsed >= s.policy.OfflineAllowance(limit, rank, routers) {
		return false
	}
	h.offlineUsed++
	h.offlineAt = now
	return true
}
