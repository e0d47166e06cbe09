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

// forwardResponse passes a backend's response to the caller and reports whether
// it is streamed. A complete response is written at once; a streamed one holds
// the slot until its end.
func (r *Router) forwardResponse(request *fasthttp.RequestCtx, p *proxiedRequest, result *attempt, id admission.InstanceID, sent time.Duration) bool {
	latency := clock.Now() - sent
	p.recordServiceTime(latency)
	p.recordRun(&result.response.Header)
	response := &request.Response
	result.response.Header.CopyTo(&response.Header)
	removeResponseHeaders(&response.Header)
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeOK)
	r.setRequestID(response, p)
	setRevision(response, p)
	r.metrics.count(wire.OutcomeOK, "")
	r.options.bodySent(max(0, result.response.Header.ContentLength()))
	if entry := r.logger.Check(zap.InfoLevel, logging.EventRequestAnswered); entry != nil {
		entry.Write(logging.RequestID(p.displayID), zap.String("service", p.service.name), zap.String("route", p.routeName()),
			zap.Uint64("version", p.tableVersion()), zap.Duration("view_age", p.viewAge), zap.Int("status", response.StatusCode()), zap.Int("attempts", p.attempts),
			zap.Uint64("session", uint64(id)), zap.Duration("took", clock.Now()-p.started))
	}
	r.metrics.latency.Observe((clock.Now() - p.started).Seconds())
	// From here on the slot is released together with the response.
	p.slotAt = 0
	if result.complete {
		if p.head {
			response.Header.SetContentLength(result.response.Header.ContentLength())
			response.SkipBody = true
		} else {
			// readFullBody allocated the slice for this response; no pool owns it.
			response.SetBodyRaw(result.response.Body())
		}
		fasthttp.ReleaseResponse(result.response)
		r.recordSuccess(p, response.StatusCode())
		p.service.pool.release(id, admission.OutcomeSuccess, latency)
		p.recordResult(true)
		return false
	}
	p.tracker.Track(result.conn)
	// Transferring a body may take longer than the route's timeout.
	if err := result.conn.ClearDeadline(); err != nil {
		r.logger.Info("deadline_not_cleared", append(logging.ErrorFields("clear deadline", result.conn.Address, err), logging.RequestID(p.displayID))...)
	}
	status := response.StatusCode()
	body := &responseBody{router: r, request: p, attempt: result, stream: result.response.BodyStream(), release: func(outcome admission.Outcome) {
		p.service.pool.release(id, outcome, latency)
		if outcome == admission.OutcomeSuccess {
			r.recordSuccess(p, status)
		}
		p.recordResult(outcome == admission.OutcomeSuccess)
		r.finish(p)
	}}
	response.SetBodyStream(body, result.response.Header.ContentLength())
	return true
}

// removeResponseHeaders removes hop-by-hop headers and the headers that concern
// only the router and the ingress.
func removeResponseHeaders(header *fasthttp.ResponseHeader) {
	for _, name := range connectionOptions(header.Peek("Connection")) {
		header.Del(name)
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for _, name := range []string{wire.HeaderAttempt, wire.HeaderEpoch, wire.HeaderShard, wire.HeaderService, wire.HeaderReason, wire.HeaderRevision, wire.HeaderLoad, wire.HeaderInstanceState, wire.HeaderRun, wire.HeaderLoadView} {
		header.Del(name)
	}
}

// reject responds to a request that was not run.
func (r *Router) reject(request *fasthttp.RequestCtx, id string, p *proxiedRequest, rejected rejection) {
	r.metrics.count(wire.OutcomeNotRun, rejected.reason)
	r.quotas.giveBack(p)
	r.options.bodySent(0)
	if p != nil && p.routed != nil && rejected.isRetryable() {
		p.recordResult(false)
		// Callers that use the route table read only this status as "not run".
		rejected.status = fasthttp.StatusServiceUnavailable
		rejected.retryAfter = max(rejected.retryAfter, r.options.Settings.Router.RetryAfter)
	}
	r.writeOutcome(request, id, wire.OutcomeNotRun, rejected.reason, rejected.status, rejected.advice)
	setRevision(&request.Response, p)
	if rejected.status == fasthttp.StatusUnauthorized {
		request.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	if rejected.retryAfter > 0 {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, r.retryAfterText(rejected.retryAfter))
	}
	if len(request.Request.Header.Peek(headerRejected)) > 0 || p != nil && p.body != nil {
		// The body is not read. The connection stays readable for a while behind the rejection.
		request.SetConnectionClose()
	}
	service := ""
	if p != nil {
		service = p.service.name
	}
	if entry := r.logger.Check(zap.InfoLevel, "request_refused"); entry != nil {
		entry.Write(logging.RequestID(id), zap.String("service", service), zap.String("route", p.routeName()), zap.Uint64("version", p.tableVersion()),
			zap.Duration("view_age", p.viewAgeAtMatch()), zap.String("reason", rejected.reason), zap.Int("status", rejected.status), zap.Duration("retry_after", rejected.retryAfter),
			zap.Int("attempts", p.attemptCount()), zap.Bool("returning", p != nil && p.rejectedBefore), zap.String("tenant", p.tenantName()))
	}
}

// reportUnknown responds to a request when it is unknown whether it ran.
func (r *Router) reportUnknown(request *fasthttp.RequestCtx, p *proxiedRequest, reason string) {
	r.metrics.count(wire.OutcomeUnknown, reason)
	r.writeOutcome(request, p.displayID, wire.OutcomeUnknown, reason, fasthttp.StatusBadGateway,
		"the request was sent, and it is unknown whether it ran: look before you send it again")
	setRevision(&request.Response, p)
	r.logger.Info("request_unknown", logging.RequestID(p.displayID), zap.String("service", p.service.name), zap.String("route", p.routeName()),
		zap.Uint64("version", p.tableVersion()), zap.Duration("view_age", p.viewAge), zap.String("reason", reason), zap.Bool("repeatable", p.repeatable),
		zap.Int("attempts", p.attempts), zap.Duration("took", clock.Now()-p.started), zap.Stringer("identity", p.identity))
}

// setRevision reports to the caller the revision of the service's configuration
// under which the request was handled.
func setRevision(response *fasthttp.Response, p *proxiedRequest) {
	if p != nil {
		response.Header.Set(wire.HeaderRevision, strconv.FormatUint(p.service.revision, 10))
	}
}

// retryAfterText formats a delay in seconds, rounded up to whole seconds unless
// the settings allow a fraction.
func (r *Router) retryAfterText(after time.Duration) string {
	if !r.options.Settings.Router.FractionalRetryAfter {
		return strconv.Itoa(int(math.Ceil(after.Seconds())))
	}
	return strconv.FormatFloat(after.Seconds(), 'f', -1, 64)
}

// setRequestID sets the request ID header that the caller sees.
func (r *Router) setRequestID(response *fasthttp.Response, p *proxiedRequest) {
	response.Header.Set(r.options.Settings.Headers.RequestID, p.displayID)
}

// writeOutcome writes a response that the router itself generates.
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
