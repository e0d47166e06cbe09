package router

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/admission"
	"limehold/clock"
	"limehold/logging"
	"limehold/wire"
)

// answer passes an answer on. Small ones are there whole; others are streamed
// and hold the slot until their end.
func (r *Router) answer(request *fasthttp.RequestCtx, p *proxied, result *attempt, id admission.InstanceID, sent time.Duration) bool {
	latency := clock.Now() - sent
	p.noteWork(latency)
	response := &request.Response
	result.response.Header.CopyTo(&response.Header)
	dropAnswerHeaders(&response.Header)
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeOK)
	r.setCallerID(response, p)
	setRevision(response, p)
	if r.draining.Load() {
		request.SetConnectionClose()
	}
	r.metrics.count(wire.OutcomeOK, "")
	r.options.noteSent(max(0, result.response.Header.ContentLength()))
	if line := r.logger.Check(zap.InfoLevel, logging.EventAnswered); line != nil {
		line.Write(zap.String("request", p.shown), zap.String("service", p.service.name), zap.String("route", p.routeName()),
			zap.Uint64("version", p.tableVersion()), zap.Duration("view_age", p.viewAge), zap.Int("status", response.StatusCode()), zap.Int("attempts", p.attempts),
			zap.Uint64("session", uint64(id)), zap.Duration("took", clock.Now()-p.started))
	}
	r.metrics.latency.Observe((clock.Now() - p.started).Seconds())
	// From here on the slot is given back with the answer.
	p.at = 0
	if result.whole {
		if p.head {
			response.Header.SetContentLength(result.response.Header.ContentLength())
			response.SkipBody = true
		} else {
			// The slice was made for this answer by readWhole and belongs to no pool.
			response.SetBodyRaw(result.response.Body())
		}
		fasthttp.ReleaseResponse(result.response)
		r.survived(p, response.StatusCode())
		p.service.pool.release(id, admission.OutcomeGood, latency)
		p.noteEnd(true)
		return false
	}
	p.tracker.Track(result.conn)
	// A body may be longer on its way than the route's timeout.
	if err := result.conn.ClearDeadline(); err != nil {
		r.logger.Info("deadline_not_cleared", append(logging.Step("clear deadline", result.conn.Address, err), zap.String("request", p.shown))...)
	}
	status := response.StatusCode()
	body := &answerBody{router: r, request: p, attempt: result, stream: result.response.BodyStream(), release: func(outcome admission.Outcome) {
		p.service.pool.release(id, outcome, latency)
		if outcome == admission.OutcomeGood {
			r.survived(p, status)
		}
		p.noteEnd(outcome == admission.OutcomeGood)
		r.finish(p)
	}}
	response.SetBodyStream(body, result.response.Header.ContentLength())
	return true
}

func dropAnswerHeaders(header *fasthttp.ResponseHeader) {
	for _, name := range namedIn(header.Peek("Connection")) {
		header.Del(name)
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for _, name := range []string{wire.HeaderAttempt, wire.HeaderEpoch, wire.HeaderShard, wire.HeaderService, wire.HeaderReason, wire.HeaderRevision, wire.HeaderLoad} {
		header.Del(name)
	}
}

// refuse answers a request that was not run.
func (r *Router) refuse(request *fasthttp.RequestCtx, id string, p *proxied, refused refusal) {
	r.metrics.count(wire.OutcomeNotRun, refused.reason)
	r.options.noteSent(0)
	if p != nil && p.routed != nil && refused.mayComeBack() {
		p.noteEnd(false)
		// To the callers of a route table only this status promises "not run".
		refused.status = fasthttp.StatusServiceUnavailable
		refused.retryAfter = max(refused.retryAfter, r.options.Settings.Router.RetryAfter)
	}
	r.writeOutcome(request, id, wire.OutcomeNotRun, refused.reason, refused.status, refused.advice)
	setRevision(&request.Response, p)
	if refused.retryAfter > 0 {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, r.retryAfterText(refused.retryAfter))
	}
	if len(request.Request.Header.Peek(headerRefused)) > 0 || p != nil && p.body != nil {
		closeAfterRefusal(request)
	}
	service := ""
	if p != nil {
		service = p.service.name
	}
	if line := r.logger.Check(zap.InfoLevel, "request_refused"); line != nil {
		line.Write(zap.String("request", id), zap.String("service", service), zap.String("route", p.routeName()), zap.Uint64("version", p.tableVersion()),
			zap.Duration("view_age", p.matchedAtAge()), zap.String("reason", refused.reason), zap.Int("status", refused.status), zap.Duration("retry_after", refused.retryAfter),
			zap.Int("attempts", p.attemptCount()), zap.Bool("returning", p != nil && p.returning))
	}
}

// unknown answers a request whose outcome is open.
func (r *Router) unknown(request *fasthttp.RequestCtx, p *proxied, reason string) {
	r.metrics.count(wire.OutcomeUnknown, reason)
	r.writeOutcome(request, p.shown, wire.OutcomeUnknown, reason, fasthttp.StatusBadGateway,
		"the request was sent, and it is unknown whether it ran: look before you send it again")
	setRevision(&request.Response, p)
	r.logger.Info("request_unknown", zap.String("request", p.shown), zap.String("service", p.service.name), zap.String("route", p.routeName()),
		zap.Uint64("version", p.tableVersion()), zap.Duration("view_age", p.viewAge), zap.String("reason", reason), zap.Bool("repeatable", p.repeatable),
		zap.Int("attempts", p.attempts), zap.Duration("took", clock.Now()-p.started), zap.Stringer("identity", p.identity))
}

// setRevision tells the caller which revision of the service's configuration
// the request was handled under.
func setRevision(response *fasthttp.Response, p *proxied) {
	if p != nil {
		response.Header.Set(wire.HeaderRevision, strconv.FormatUint(p.service.revision, 10))
	}
}

// retryAfterText writes seconds, with a fraction only where callers understand it.
func (r *Router) retryAfterText(after time.Duration) string {
	if !r.options.Settings.Router.FractionalRetryAfter {
		return strconv.Itoa(int(math.Ceil(after.Seconds())))
	}
	return strconv.FormatFloat(after.Seconds(), 'f', -1, 64)
}

// setCallerID gives the caller its request's ID back.
func (r *Router) setCallerID(response *fasthttp.Response, p *proxied) {
	response.Header.Set(r.options.Settings.Headers.RequestID, p.shown)
}

func (r *Router) writeOutcome(request *fasthttp.RequestCtx, id, outcome, reason string, status int, advice string) {
	request.Response.Reset()
	request.SetStatusCode(status)
	request.SetContentType("application/json")
	request.Response.Header.Set(wire.HeaderOutcome, outcome)
	request.Response.Header.Set(wire.HeaderReason, reason)
	request.Response.Header.Set(r.options.Settings.Headers.RequestID, id)
	if r.draining.Load() {
		request.SetConnectionClose()
	}
	request.SetBodyString(`{"outcome":"` + outcome + `","reason":"` + reason + `","message":"` + advice + `","request":` + strconv.Quote(id) + "}\n")
}
