package router

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/admission"
	"limehold/catalog"
	"limehold/clock"
	"limehold/crashreport"
	"limehold/logging"
	"limehold/routing"
	"limehold/wire"
)

const (
	// ownerRetryMin and ownerRetryMax bound the delay between attempts to an owner that
	// reports that it does not own the shard yet because its grant is in transit.
	ownerRetryMin = 5 * time.Millisecond
	ownerRetryMax = 80 * time.Millisecond
	// maxIngressRejections is the number of attempts beyond the route's MaxAttempts that are made
	// if ingresses rejected the request before a backend received it.
	maxIngressRejections = 1
)

// serve serves a caller's request, also one that runs ahead. If that panics, the outcome is unknown
// and the request's slot is released.
func (r *Router) serve(request *fasthttp.RequestCtx) {
	var p *proxiedRequest
	defer func() {
		if cause := recover(); cause != nil {
			r.afterPanic(request, p, cause)
		}
	}()
	var rejected rejection
	p, rejected = r.prepare(request)
	if rejected.isSet() {
		id := newRequestID()
		if p != nil {
			id = p.id
		}
		r.reject(request, r.requestIDOr(request, id), p, rejected)
		return
	}
	r.accountRequest(p)
	r.buildOutbound(request, p)
	defer func() { r.stopReadingAhead(p) }()
	if rejected := r.attachBody(request, p); rejected.isSet() {
		r.reject(request, p.displayID, p, rejected)
		fasthttp.ReleaseRequest(p.outbound)
		return
	}
	p.identity = crashreport.Identify(p.outbound, r.options.Settings.Headers.Caller, r.options.Settings.Headers.Tenant)
	if rejected := r.admitQuarantined(p); rejected.isSet() {
		r.reject(request, p.displayID, p, rejected)
		fasthttp.ReleaseRequest(p.outbound)
		return
	}
	if rejected := r.quotas.admit(p); rejected.isSet() {
		r.reject(request, p.displayID, p, rejected)
		fasthttp.ReleaseRequest(p.outbound)
		return
	}
	r.addWork(p)
	p.disconnect = r.disconnects.Add(p.caller, p.tracker.Cancel)
	streaming := r.proxy(request, p)
	if !streaming {
		r.finish(p)
	}
}

// afterPanic responds to a request whose handling panicked.
func (r *Router) afterPanic(request *fasthttp.RequestCtx, p *proxiedRequest, cause any) {
	id := newRequestID()
	if p != nil {
		id = p.displayID
	}
	r.metrics.panics.Inc()
	logging.LogPanic(r.logger, "handle request", request.RemoteAddr().String(), cause, logging.RequestID(id))
	request.SetConnectionClose()
	r.metrics.count(wire.OutcomeUnknown, reasonPanicked)
	r.writeOutcome(request, id, wire.OutcomeUnknown, reasonPanicked, fasthttp.StatusBadGateway,
		"this router failed while it handled the request, and it is unknown whether it ran: look before you send it again")
	if p == nil {
		return
	}
	if p.slotAt != 0 {
		p.service.pool.release(p.slotAt, admission.OutcomeNeutral, 0)
	}
	if p.disconnect != nil {
		r.disconnects.Remove(p.disconnect)
	}
}

// finish releases a request once its body and response are no longer read.
func (r *Router) finish(p *proxiedRequest) {
	r.disconnects.Remove(p.disconnect)
	fasthttp.ReleaseRequest(p.outbound)
}

// proxy makes attempts until there is a response or a reason to stop. It reports
// whether a response is still being streamed.
func (r *Router) proxy(request *fasthttp.RequestCtx, p *proxiedRequest) bool {
	wait := newOwnerWait(p)
	maybeRan := false // set after an attempt whose outcome is unknown
	var avoid []admission.InstanceID
	for attemptNumber := 1; ; attemptNumber++ {
		node, rejected := r.choose(p, wait, avoid, attemptNumber > 1)
		if rejected.isSet() {
			r.finishUnserved(request, p, maybeRan, rejected)
			return false
		}
		id := admission.InstanceID(node.Session)
		if rejected := r.checkQuarantine(p); rejected.isSet() {
			p.service.pool.release(id, admission.OutcomeNeutral, 0)
			r.finishUnserved(request, p, maybeRan, rejected)
			return false
		}
		p.slotAt, p.selfLimited = id, node.SelfLimited
		sent := clock.Now()
		result := r.send(p, node)
		r.observeLoads(p, id, result)
		if result.state == attemptAnswered {
			return r.forwardResponse(request, p, result, id, sent)
		}
		p.slotAt = 0
		p.service.pool.release(id, instanceOutcome(p, result), clock.Now()-sent)
		p.countCrash(result)
		r.recordBroken(p, node, result)
		r.logAttempt(p, node, result)
		maybeRan = maybeRan || result.state == attemptUnknown
		if version := result.supersededBy(); version > 0 && p.routed != nil {
			if rejected := r.rematch(request, p, version); rejected.isSet() {
				r.finishUnserved(request, p, maybeRan, rejected)
				return false
			}
			if maybeRan && !p.repeatable {
				// The newer route does not allow a second run.
				r.finishUnserved(request, p, maybeRan, rejectNotCurrent)
				return false
			}
			wait, avoid, attemptNumber = newOwnerWait(p), nil, 0
			continue
		}
		if !r.mayRetry(p, wait, result, attemptNumber) {
			r.finishAfterAttempt(request, p, maybeRan, result)
			return false
		}
		avoid = append(avoid, id)
	}
}

// addWork adds the smoothed service time of requests of this kind, taken over all instances, to
// the load of the request's shard. Time measured at the shard's owner alone would depend on how
// slow or saturated that owner is, although the demand for the shard is the same on every owner.
// A request that the caller sends again after a rejection is not counted a second time.
func (r *Router) addWork(p *proxiedRequest) {
	if p.service.spec.Keyed && !p.rejectedBefore {
		r.work.add(p.service.name, p.shard, len(p.service.shards), p.serviceTime())
	}
}

func instanceOutcome(p *proxiedRequest, result *attempt) admission.Outcome {
	switch {
	case result.reason == rejectCallerGone.reason, result.reason == rejectDeadline.reason:
		return admission.OutcomeNeutral
	case result.supersededBy() > 0:
		return admission.OutcomeNeutral
	case result.reason == wire.BackendReasonQuarantined, result.reason == wire.BackendReasonClosed:
		return admission.OutcomeNeutral
	case result.state == attemptNotRun && result.reason == wire.BackendReasonFull:
		return admission.OutcomeShed
	case result.state == attemptNotRun && !result.reachedBackend && !p.service.spec.Keyed:
		return admission.OutcomeRejected
	case result.state == attemptNotRun:
		return admission.OutcomeNeutral
	}
	return admission.OutcomeFailed
}

// preferredZone returns the router's own zone, or "" if the service is spread over all zones.
func (r *Router) preferredZone(p *proxiedRequest) string {
	if p.service.spec.Locality == catalog.LocalityAny {
		return ""
	}
	return r.options.Settings.Zone
}

// remoteCost returns the factor by which an instance in the router's zone may be slower before
// an instance in another zone is chosen.
func (p *proxiedRequest) remoteCost() float64 {
	if p.routed == nil {
		return unroutedRemoteCost
	}
	return p.routed.stats.remoteCost(p.isDownload() || p.isUpload())
}

// isDownload reports whether the request's route is of the kind that has large responses.
func (p *proxiedRequest) isDownload() bool {
	return p.routed != nil && p.routed.route.Kind == routing.KindDownload
}

// isUpload reports whether the request's route is of the kind that has large bodies.
func (p *proxiedRequest) isUpload() bool {
	return p.routed != nil && p.routed.route.Kind == routing.KindUpload
}

// unroutedRemoteCost is the remote cost of requests that did not match the route table.
const unroutedRemoteCost = 1.5

// choose waits for an instance, the owner if the service is keyed, and for a slot on it.
func (r *Router) choose(p *proxiedRequest, wait *ownerWait, avoid []admission.InstanceID, ahead bool) (*wire.NodeView, rejection) {
	requirements := admission.Requirements{
		Zone: r.preferredZone(p), Deadline: p.deadline, Prioritized: ahead, Avoid: avoid,
		Zones: r.zonesFor(p), RegionZones: r.regionZones, Group: p.service.name, GroupLimit: p.service.spec.QueueLength, RemoteCost: p.remoteCost(), Large: p.isDownload(), Upload: p.isUpload(),
	}
	for {
		var node *wire.NodeView
		if p.service.spec.Keyed {
			var rejected rejection
			if node, rejected = r.awaitOwner(p, wait); rejected.isSet() {
				return nil, rejected
			}
			if requirements.Zones != nil && !slices.Contains(requirements.Zones, node.Zone) {
				return nil, rejectRegion
			}
			requirements.Instance = admission.InstanceID(node.Session)
		}
		id, rejected := p.service.pool.acquire(requirements, p.tracker.Cancelled())
		if rejected.isSet() {
			if p.service.spec.Keyed && rejected.reason == rejectNoInstance.reason && wait.remaining() > 0 {
				// The owner has just been removed: wait for the next one.
				wait.pause(r, p, ownerRetryMin)
				continue
			}
			if requirements.Zones != nil && rejected.reason == rejectNoInstance.reason {
				return nil, rejectRegion
			}
			return nil, rejected
		}
		if !p.service.spec.Keyed {
			node = r.table.node(sessionOf(id))
		} else if owner, _, _ := r.table.owner(p.service, p.shard); owner.owner != node.Session {
			// Ownership changed while the request waited for a slot.
			p.service.pool.release(id, admission.OutcomeNeutral, 0)
			continue
		}
		if node == nil {
			p.service.pool.release(id, admission.OutcomeNeutral, 0)
			continue
		}
		return node, rejection{}
	}
}

// awaitOwner returns the owner of the request's shard, and waits for one for at most the
// time that is left of wait.
func (r *Router) awaitOwner(p *proxiedRequest, wait *ownerWait) (*wire.NodeView, rejection) {
	for {
		entry, node, changed := r.table.owner(p.service, p.shard)
		if node != nil && (!entry.releasing || wait.triedReleasing < entry.epoch) && entry.epoch != wait.rejectedEpoch {
			if entry.releasing {
				// The owner is releasing the shard but may still run the request: it is tried once.
				wait.triedReleasing = entry.epoch
			}
			p.epoch = entry.epoch
			return node, rejection{}
		}
		if node != nil && entry.epoch == wait.rejectedEpoch && !entry.releasing {
			// The owner reported that it has no grant, which may be in transit.
			wait.pause(r, p, wait.backoff())
			if wait.remaining() <= 0 {
				return nil, rejectNoOwner
			}
			p.epoch = entry.epoch
			return node, rejection{}
		}
		remaining := wait.remaining()
		if remaining <= 0 {
			return nil, rejectNoOwner
		}
		timer := clock.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-p.tracker.Cancelled():
			timer.Stop()
			return nil, rejectCallerGone
		}
		timer.Stop()
	}
}

// finishUnserved responds to a request that is not sent again: as rejected, or as unknown after an
// attempt that may have run it.
func (r *Router) finishUnserved(request *fasthttp.RequestCtx, p *proxiedRequest, maybeRan bool, rejected rejection) {
	if maybeRan {
		r.reportUnknown(request, p, reasonNoAnswer)
		return
	}
	r.reject(request, p.displayID, p, rejected)
}

// finishAfterAttempt responds to a request that is not sent again after its last attempt.
func (r *Router) finishAfterAttempt(request *fasthttp.RequestCtx, p *proxiedRequest, maybeRan bool, result *attempt) {
	if p.body != nil && p.body.exceeded {
		// The backend received an incomplete request and does not run it.
		r.reject(request, p.displayID, p, rejectBodyTooLarge)
		return
	}
	if maybeRan {
		reason := reasonNoAnswer
		if result.state == attemptUnknown {
			reason = result.reason
		}
		r.reportUnknown(request, p, reason)
		return
	}
	r.reject(request, p.displayID, p, rejectionFor(result, r.options.Settings.Router.AdvisedRetryAfter))
}

// rejectionFor returns the rejection for an attempt that did not run. advised is set if the delay that the backend
// advised is passed on also if it is shorter than the usual one.
func rejectionFor(result *attempt, advised bool) rejection {
	switch {
	case result.reason == rejectDeadline.reason:
		return rejectDeadline
	case result.state == attemptNotSent && result.reason == rejectCallerGone.reason:
		return rejectCallerGone
	case result.state == attemptNotSent:
		return rejectUnreachable
	case result.reason == wire.BackendReasonQuarantined:
		return rejectQuarantined
	case result.reason == wire.BackendReasonNotOwner:
		rejected := rejectNoOwner
		if result.retryAfter > 0 {
			rejected.retryAfter = result.retryAfter
		}
		return rejected
	}
	rejected := rejectBackend
	if result.reason != "" {
		rejected.reason = "back-end-" + result.reason
	}
	if advised && result.retryAfter > 0 {
		rejected.retryAfter = result.retryAfter
	}
	rejected.retryAfter = max(rejected.retryAfter, result.retryAfter)
	return rejected
}

// logAttempt logs an attempt that was not sent or whose outcome is unknown.
func (r *Router) logAttempt(p *proxiedRequest, node *wire.NodeView, result *attempt) {
	if result.state == attemptUnknown || result.state == attemptNotSent {
		r.logger.Info("attempt_failed", append(logging.ErrorFields("attempt", node.Name, result.err),
			logging.RequestID(p.displayID), zap.String("service", p.service.name), zap.String("reason", result.reason),
			zap.Bool("sent", result.state == attemptUnknown), zap.Int("attempt", p.attempts), zap.Stringer("identity", p.identity))...)
	}
}
