package router

import (
	"strconv"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
	"limehold/wire"
)

// accountRequest records a request at the retry budget of its service: it earns a part of a retry, unless the request
// is itself a repeat.
func (r *Router) accountRequest(p *proxiedRequest) {
	if !p.repeatedCall {
		p.service.budget.deposit()
		return
	}
	p.service.budget.charge()
	r.metrics.repeatedCalls.WithLabelValues(p.service.name).Inc()
	r.logger.Info("repeated_call", logging.RequestID(p.displayID), zap.String("service", p.service.name), zap.Float64("credit", p.service.budget.credit()))
}

// isRepeat reports whether the next attempt is a repeat.
func (p *proxiedRequest) isRepeat() bool { return p.repeatedCall || p.backendAttempts > 0 }

// mayRetry applies the retry rules of docs/design/0004-requests.md. A request that is not
// repeatable is never retried once it may have run. Before any other retry, mayRetry counts the attempt
// if it reached a backend, and charges the retry budget if the retry is a repeat. Where routers share no limit of
// retries, one that waits for a new owner is neither counted nor charged.
func (r *Router) mayRetry(p *proxiedRequest, wait *ownerWait, result *attempt, attemptNumber int) bool {
	if p.bodyUsed || p.tracker.IsCancelled() || clock.Now()+minRemaining >= p.deadline || p.mustNotResend(result) || !p.allowsRetryAfter(result) {
		return false
	}
	awaitsOwner := p.awaitsOwner(result)
	if awaitsOwner {
		wait.rejectedEpoch = p.epoch
		if wait.remaining() <= 0 {
			return false
		}
		if !p.service.budget.isLimited() {
			// After a transfer many requests are sent again at once, which must cost none of them.
			r.recordRetry(p, result, false)
			return true
		}
	}
	if result.reachedBackend {
		p.backendAttempts++
	}
	if p.backendAttempts >= p.route.MaxAttempts || !awaitsOwner && attemptNumber >= p.route.MaxAttempts+maxIngressRejections {
		return false
	}
	return r.payForRetry(p, result)
}

// allowsRetryAfter reports whether the outcome of an attempt allows another one.
func (p *proxiedRequest) allowsRetryAfter(result *attempt) bool {
	switch result.state {
	case attemptNotRun:
		// No other instance may run a keyed request, and its owner reports that it is full or that the request cannot
		// end in time there.
		if p.service.spec.Keyed && result.reason == wire.BackendReasonDeadline {
			return false
		}
		return !p.service.spec.Keyed || result.reason != wire.BackendReasonFull || result.shedsBelowCapacity()
	case attemptUnknown:
		return p.repeatable && result.reason != rejectCallerGone.reason
	case attemptNotSent:
		return result.reason != rejectDeadline.reason
	}
	return false
}

// awaitsOwner reports whether an attempt was refused because the shard is, or is about to be, another node's.
func (p *proxiedRequest) awaitsOwner(result *attempt) bool {
	return result.state == attemptNotRun && (result.reason == wire.BackendReasonNotOwner || p.service.spec.Keyed && isHandingOver(result.reason))
}

// payForRetry charges the retry budget unless no backend has received the request, or an earlier charge has paid for
// an attempt that reached none. It reports whether the request may be sent again.
func (r *Router) payForRetry(p *proxiedRequest, result *attempt) bool {
	if p.charges >= p.backendAttempts {
		return true
	}
	if !p.service.budget.withdraw() {
		r.metrics.budgetEmpty.Inc()
		r.logRetry("retry_refused", p, result, false)
		return false
	}
	p.charges++
	r.metrics.retries.Inc()
	r.recordRetry(p, result, true)
	return true
}

// recordRetry counts and logs a retry that is a repeat: one of which an attempt has reached a backend. charged is set
// if the retry budget was charged with it.
func (r *Router) recordRetry(p *proxiedRequest, result *attempt, charged bool) {
	if p.backendAttempts == 0 && !result.reachedBackend {
		return
	}
	r.metrics.repeats.WithLabelValues(p.service.name, strconv.FormatBool(charged)).Inc()
	r.logRetry("retried", p, result, charged)
}

// logRetry logs the decision on a retry that is a repeat.
func (r *Router) logRetry(event string, p *proxiedRequest, result *attempt, charged bool) {
	r.logger.Info(event, logging.RequestID(p.displayID), zap.String("service", p.service.name), zap.String("reason", result.reason),
		zap.Bool("reached", result.reachedBackend), zap.Int("attempt", p.attempts), zap.Bool("charged", charged), zap.Float64("credit", p.service.budget.credit()))
}

// shedsBelowCapacity reports whether a backend rejected the request while the share of its
// used slots was below nearlyFull, so that it may accept the next attempt. Where half of all responses
// were such rejections, asking again was worth 5 to 7 in 100 of the requests.
func (a *attempt) shedsBelowCapacity() bool {
	return a.reachedBackend && a.load.Slots > 0 && float64(a.load.Running) < nearlyFull*float64(a.load.Slots)
}

// nearlyFull is the share of used slots from which a backend counts as full: some backends
// reject requests before all slots are used.
const nearlyFull = 0.8

// isHandingOver reports whether an owner rejects requests because its shards are about to move.
func isHandingOver(reason string) bool {
	return reason == wire.BackendReasonDraining || reason == wire.BackendReasonZoneDrained
}
