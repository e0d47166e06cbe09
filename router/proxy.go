package router

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/admission"
	"limehold/bulletin"
	"limehold/catalog"
	"limehold/clock"
	"limehold/logging"
	"limehold/routing"
	"limehold/wire"
)

const (
	// ownerRetryMin and ownerRetryMax space the attempts to an owner that says
	// it does not own the shard yet (its grant is on the way).
	ownerRetryMin = 5 * time.Millisecond
	ownerRetryMax = 80 * time.Millisecond
	// maxRefusedInFront is how many more instances may be asked whose ingress
	// refuses before the back end has seen the request.
	maxRefusedInFront = 1
)

// handle is the callers' handler. A request that it panics under ends with an open outcome, and
// gives back what it holds.
func (r *Router) handle(request *fasthttp.RequestCtx) {
	var p *proxied
	defer func() {
		if cause := recover(); cause != nil {
			r.afterPanic(request, p, cause)
		}
	}()
	if r.draining.Load() {
		request.SetConnectionClose()
	}
	var refused refusal
	p, refused = r.prepare(request)
	if refused.refused() {
		id := drawID()
		if p != nil {
			id = p.id
		}
		r.refuse(request, r.callerID(request, id), p, refused)
		return
	}
	p.service.budget.earn()
	r.buildOut(request, p)
	if refused := p.takeBody(request); refused.refused() {
		r.refuse(request, p.shown, p, refused)
		fasthttp.ReleaseRequest(p.out)
		return
	}
	p.identity = bulletin.Identify(p.out, r.options.Settings.Headers.Caller)
	if refused := r.admitSuspect(p); refused.refused() {
		r.refuse(request, p.shown, p, refused)
		fasthttp.ReleaseRequest(p.out)
		return
	}
	r.countAsked(p)
	p.watched = r.hangups.Add(p.caller, p.tracker.Cancel)
	streaming := r.proxy(request, p)
	if !streaming {
		r.finish(p)
	}
}

// afterPanic answers a request that this process panicked under.
func (r *Router) afterPanic(request *fasthttp.RequestCtx, p *proxied, cause any) {
	id := drawID()
	if p != nil {
		id = p.shown
	}
	r.metrics.panics.Inc()
	logging.Panicked(r.logger, "handle request", request.RemoteAddr().String(), cause, zap.String("request", id))
	request.SetConnectionClose()
	r.metrics.count(wire.OutcomeUnknown, reasonPanicked)
	r.writeOutcome(request, id, wire.OutcomeUnknown, reasonPanicked, fasthttp.StatusBadGateway,
		"this router failed while it handled the request, and it is unknown whether it ran: look before you send it again")
	if p == nil {
		return
	}
	if p.at != 0 {
		p.service.pool.release(p.at, admission.OutcomeNeutral, 0)
	}
	if p.watched != nil {
		r.hangups.Remove(p.watched)
	}
}

// finish forgets a request once nothing reads its body or answer any more.
func (r *Router) finish(p *proxied) {
	r.hangups.Remove(p.watched)
	fasthttp.ReleaseRequest(p.out)
}

// proxy makes attempts until there is an answer or a reason to stop. It returns
// true if an answer is still being streamed.
func (r *Router) proxy(request *fasthttp.RequestCtx, p *proxied) bool {
	held := newHold(p)
	open := false // an attempt whose outcome is unknown has been made
	var avoid []admission.InstanceID
	for number := 1; ; number++ {
		node, refused := r.choose(p, held, avoid, number > 1)
		if refused.refused() {
			r.end(request, p, open, refused)
			return false
		}
		id := admission.InstanceID(node.Session)
		if refused := r.keptBack(p); refused.refused() {
			p.service.pool.release(id, admission.OutcomeNeutral, 0)
			r.end(request, p, open, refused)
			return false
		}
		p.at, p.gated = id, node.Gated
		sent := clock.Now()
		result := r.send(p, node)
		if result.load.Slots > 0 {
			p.service.pool.observe(id, result.load)
		}
		if result.state == attemptAnswered {
			return r.answer(request, p, result, id, sent)
		}
		p.at = 0
		p.service.pool.release(id, instanceOutcome(p, result), clock.Now()-sent)
		p.noteEnds(result)
		r.noteBroken(p, node, result)
		r.noteAttempt(p, node, result)
		open = open || result.state == attemptOpen
		if by := result.supersededBy(); by > 0 && p.routed != nil {
			if refused := r.rematch(request, p, by); refused.refused() {
				r.end(request, p, open, refused)
				return false
			}
			held, avoid, number = newHold(p), nil, 0
			continue
		}
		if !r.mayRetry(p, held, result, number) {
			r.endAfter(request, p, open, result)
			return false
		}
		avoid = append(avoid, id)
	}
}

// countAsked counts a request as load of its shard, by what requests of its kind take
// wherever they run. Measured by what its owner has run, a shard would look light at an
// owner that is full, and heavy at one that is slow, and would be the same wherever it
// went; one that returns after a refusal has been counted before.
func (r *Router) countAsked(p *proxied) {
	if p.service.spec.Keyed && !p.returning {
		r.work.add(p.service.name, p.shard, len(p.service.shards), p.usualWork())
	}
}

func instanceOutcome(p *proxied, result *attempt) admission.Outcome {
	switch {
	case result.reason == refuseCallerGone.reason, result.reason == refuseDeadline.reason:
		return admission.OutcomeNeutral
	case result.supersededBy() > 0:
		return admission.OutcomeNeutral
	case result.reason == wire.BackendReasonQuarantined:
		return admission.OutcomeNeutral
	case result.state == attemptNotRun && result.reason == wire.BackendReasonFull:
		return admission.OutcomeShed
	case result.state == attemptNotRun && !result.reached && !p.service.spec.Keyed:
		return admission.OutcomeRefused
	case result.state == attemptNotRun:
		return admission.OutcomeNeutral
	}
	return admission.OutcomeFailed
}

// preferredZone is the router's own, unless the service is spread over all zones.
func (r *Router) preferredZone(p *proxied) string {
	if p.service.spec.Locality == catalog.LocalityAny {
		return ""
	}
	return r.options.Settings.Zone
}

// remoteCost is how much longer an instance of the router's zone may be expected to take
// before one of another zone is chosen.
func (p *proxied) remoteCost() float64 {
	if p.routed == nil {
		return unroutedRemoteCost
	}
	return p.routed.learned.remoteCost(p.large())
}

// large reports whether the request's answer is a large one.
func (p *proxied) large() bool {
	return p.routed != nil && p.routed.route.Kind == routing.KindDownload
}

// unroutedRemoteCost stands for requests whose route has no target latency.
const unroutedRemoteCost = 1.5

// choose waits for the owner or for an instance, and for a slot there.
func (r *Router) choose(p *proxied, held *hold, avoid []admission.InstanceID, ahead bool) (*wire.NodeView, refusal) {
	want := admission.Want{
		Zone: r.preferredZone(p), Deadline: p.deadline, Ahead: ahead, Avoid: avoid,
		Group: p.service.name, GroupLimit: p.service.spec.QueueLength, RemoteCost: p.remoteCost(), Large: p.large(),
	}
	for {
		var node *wire.NodeView
		if p.service.spec.Keyed {
			var refused refusal
			if node, refused = r.waitOwner(p, held); refused.refused() {
				return nil, refused
			}
			want.Instance = admission.InstanceID(node.Session)
		}
		id, refused := p.service.pool.acquire(want, p.tracker.Cancelled())
		if refused.refused() {
			if p.service.spec.Keyed && refused.reason == refuseNoInstance.reason && held.remaining() > 0 {
				// The owner has just gone: wait for the next one.
				held.pause(r, p, ownerRetryMin)
				continue
			}
			return nil, refused
		}
		if !p.service.spec.Keyed {
			node = r.table.node(wireSession(id))
		} else if owner, _, _ := r.table.owner(p.service, p.shard); owner.owner != node.Session {
			// Ownership moved while the request waited for a slot.
			p.service.pool.release(id, admission.OutcomeNeutral, 0)
			continue
		}
		if node == nil {
			p.service.pool.release(id, admission.OutcomeNeutral, 0)
			continue
		}
		return node, refusal{}
	}
}

// waitOwner returns the owner of the request's shard, waiting for one within
// the route's hold time.
func (r *Router) waitOwner(p *proxied, held *hold) (*wire.NodeView, refusal) {
	for {
		entry, node, changed := r.table.owner(p.service, p.shard)
		if node != nil && (!entry.releasing || held.sentToReleasing < entry.epoch) && entry.epoch != held.refusedEpoch {
			if entry.releasing {
				// One attempt to an owner that is letting go: it may still run it.
				held.sentToReleasing = entry.epoch
			}
			p.epoch = entry.epoch
			return node, refusal{}
		}
		if node != nil && entry.epoch == held.refusedEpoch && !entry.releasing {
			// The owner said that it has no grant; it may be on the way.
			held.pause(r, p, held.backoff())
			if held.remaining() <= 0 {
				return nil, refuseNoOwner
			}
			p.epoch = entry.epoch
			return node, refusal{}
		}
		remaining := held.remaining()
		if remaining <= 0 {
			return nil, refuseNoOwner
		}
		timer := clock.NewTimer(remaining)
		select {
		case <-changed:
		case <-timer.C:
		case <-p.tracker.Cancelled():
			timer.Stop()
			return nil, refuseCallerGone
		}
		timer.Stop()
	}
}

// mayRetry applies the rules of docs/design/0004-requests.md: never after an open outcome of a
// request that may not be repeated.
func (r *Router) mayRetry(p *proxied, held *hold, result *attempt, number int) bool {
	if p.bodyUsed || clock.Now()+minimumRemaining >= p.deadline || p.endangers(result) {
		return false
	}
	switch result.state {
	case attemptNotRun:
		if p.service.spec.Keyed && result.reason == wire.BackendReasonFull && !result.shedsWithRoom() {
			// Nobody else may run it, and the owner has no room for as long as it says.
			return false
		}
		if result.reason == wire.BackendReasonNotOwner || p.service.spec.Keyed && leaving(result.reason) {
			held.refusedEpoch = p.epoch
			return held.remaining() > 0
		}
	case attemptOpen:
		if !p.repeatable || result.reason == refuseCallerGone.reason {
			return false
		}
	case attemptNotSent:
		if result.reason == refuseDeadline.reason {
			return false
		}
	case attemptAnswered:
		return false
	}
	if result.reached {
		p.reached++
	}
	if p.reached >= p.route.MaxAttempts || number >= p.route.MaxAttempts+maxRefusedInFront {
		return false
	}
	if p.reached == 0 {
		// No back end has seen the request: it costs nobody anything to ask another.
		return true
	}
	if !p.service.budget.spend() {
		r.metrics.budgetEmpty.Inc()
		return false
	}
	r.metrics.retries.Inc()
	return true
}

// shedsWithRoom reports whether a back end has refused the request though not many of its
// slots are taken: it does not want for room, and may take the next one. Where half of its
// answers were such refusals, asking once more won 5 to 7 in 100 of the requests' worth.
func (a *attempt) shedsWithRoom() bool {
	return a.reached && a.load.Slots > 0 && float64(a.load.Running) < roomShare*float64(a.load.Slots)
}

// roomShare of its slots are taken at a back end that is nearly full: some refuse before
// all of them are.
const roomShare = 0.8

// leaving reports whether an owner refuses as its shards are about to be another's.
func leaving(reason string) bool {
	return reason == wire.BackendReasonDraining || reason == wire.BackendReasonZoneDrained
}

// end refuses a request; after an attempt with an open outcome the truth is
// that it is unknown whether the request ran.
func (r *Router) end(request *fasthttp.RequestCtx, p *proxied, open bool, refused refusal) {
	if open {
		r.unknown(request, p, reasonNoAnswer)
		return
	}
	r.refuse(request, p.shown, p, refused)
}

func (r *Router) endAfter(request *fasthttp.RequestCtx, p *proxied, open bool, result *attempt) {
	if p.body != nil && p.body.exceeded {
		// The back end saw a request without an end, and does not run those.
		r.refuse(request, p.shown, p, refuseBodyTooBig)
		return
	}
	if open {
		reason := reasonNoAnswer
		if result.state == attemptOpen {
			reason = result.reason
		}
		r.unknown(request, p, reason)
		return
	}
	r.refuse(request, p.shown, p, refusalOf(result))
}

func refusalOf(result *attempt) refusal {
	switch {
	case result.reason == refuseDeadline.reason:
		return refuseDeadline
	case result.state == attemptNotSent:
		return refuseUnreachable
	case result.reason == wire.BackendReasonQuarantined:
		return refuseQuarantined
	case result.reason == wire.BackendReasonNotOwner:
		refused := refuseNoOwner
		if result.retryAfter > 0 {
			refused.retryAfter = result.retryAfter
		}
		return refused
	}
	refused := refuseBackend
	if result.reason != "" {
		refused.reason = "back-end-" + result.reason
	}
	refused.retryAfter = max(refused.retryAfter, result.retryAfter)
	return refused
}

func (r *Router) noteAttempt(p *proxied, node *wire.NodeView, result *attempt) {
	if result.state == attemptOpen || result.state == attemptNotSent {
		r.logger.Info("attempt_failed", append(logging.Step("attempt", node.Name, result.err),
			zap.String("request", p.shown), zap.String("service", p.service.name), zap.String("reason", result.reason),
			zap.Bool("sent", result.state == attemptOpen), zap.Int("attempt", p.attempts), zap.Stringer("identity", p.identity))...)
	}
}
