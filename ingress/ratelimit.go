package ingress

import "time"

// rateLimit limits the requests to what the instance says that it takes from all callers together. All requests pass
// through the ingress, so that it enforces the limit exactly, however many routers there are.
//
// Invariant: in every span of a length T, at most perSecond x (T + rateLimitBurst) + 1 requests are admitted.
type rateLimit struct {
	// perSecond is the limit in requests a second; 0 if there is none.
	perSecond float64
	// next is when the next request is due at the limit. Requests may be rateLimitBurst ahead of it.
	next time.Duration
}

// rateLimitBurst is how long the instance may have been idle for requests to make up for it at once.
const rateLimitBurst = 250 * time.Millisecond

// set sets the limit; 0 removes it.
func (l *rateLimit) set(perSecond float64, now time.Duration) {
	if l.perSecond == 0 {
		l.next = now
	}
	l.perSecond = perSecond
}

// interval returns the average interval between two requests at the limit; 0 if there is no limit.
func (l *rateLimit) interval() time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / l.perSecond)
}

// wait returns how long it takes until another request may be admitted; 0 if one may be now.
func (l *rateLimit) wait(now time.Duration) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	return max(0, l.next-rateLimitBurst-now)
}

// record counts an admitted request.
func (l *rateLimit) record(now time.Duration) {
	if l.perSecond > 0 {
		l.next = max(l.next, now) + l.interval()
	}
}
