package ingress

import (
	"bytes"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/crashreport"
	"limehold/disconnect"
	"limehold/loadview"
	"limehold/logging"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/settings"
	"limehold/upstream"
	"limehold/wire"
)

// proxyRequest is one request that passes through the ingress.
type proxyRequest struct {
	names     settings.Headers
	requestID string
	attemptID string
	// identity is the same for each repetition of the request.
	identity quarantine.Identity
	// trial is the number of the trial as which the request may run; 0 if none.
	trial uint64
	// told is what the router has been told of the instance's state, and hasTold whether it has been told anything.
	told    wire.InstanceState
	hasTold bool
	// loads are the load reports of other instances that the router has sent along; sharesLoads is set if it expects
	// such reports in the answer.
	loads       []loadview.Entry
	sharesLoads bool
	// isolated is set while no other isolated request may run; see isolation.
	isolated bool
	// admitted is set while the request holds a slot.
	admitted bool
	service  string
	route    string
	// version is that of the route table that matched the request; 0 if unknown.
	version        uint64
	shard          uint32
	epoch          uint64
	keyed          bool
	isHead         bool
	priority       int
	rejectedBefore bool
	isRepeat       bool
	isCall         bool
	// usualRun is for how long requests of the route usually run at instances of the service; 0 if unknown.
	usualRun time.Duration
	target   time.Duration
	deadline time.Duration
	// routerStopsAt is when the router that sent the request stops; 0 if unknown.
	routerStopsAt time.Duration
	arrived       time.Duration
	sent          time.Duration
	// reservedBytes is the response size that is reserved on the link; see link.reserve.
	reservedBytes float64
	// unframedBytes is the memory that a response without a length takes.
	unframedBytes int
	// upload is the transfer of the request's body if that was announced.
	upload *upload
	// body is the announced body.
	body     []byte
	instance instanceState
	outgoing *fasthttp.Request
	watched  *disconnect.Request

	tracker *upstream.Tracker
}

// handle is the HTTP handler for requests of routers. If it panics, handlePanic answers the request and
// releases its resources.
func (i *Ingress) handle(request *fasthttp.RequestCtx) {
	var p *proxyRequest
	defer func() {
		if cause := recover(); cause != nil {
			i.handlePanic(request, p, cause)
		}
	}()
	if request.IsConnect() {
		i.relay(request)
		return
	}
	var ok bool
	if p, ok = i.parse(request); !ok {
		request.Error("this is an ingress: send requests to a router\n", fasthttp.StatusBadRequest)
		return
	}
	defer i.releaseUnlessWatched(p)
	if !i.receiveBody(request, p) {
		return
	}
	if inForce, matches := i.routesHere(request, p); !matches {
		i.reject(request, p, wire.BackendReasonSuperseded, 0)
		request.Response.Header.Set(wire.HeaderRouteVersion, strconv.FormatUint(inForce, 10))
		return
	}
	if p.hasTold {
		i.instance.adoptState(p.told)
	}
	history, quarantined := i.quarantineStatus(p)
	if quarantined {
		i.reject(request, p, wire.BackendReasonQuarantined, 0)
		return
	}
	p.watched = i.disconnects.Add(request.Conn(), p.tracker.Cancel)
	if history.RunsAlone() && !i.acquireIsolation(p) {
		i.reject(request, p, wire.BackendReasonFull, i.gate.retryAfter())
		i.releaseRequest(p)
		return
	}
	if i.admit(request, p) {
		i.forward(request, p)
		return
	}
	i.releaseIsolation(p)
	i.releaseRequest(p)
}

// admit waits until the instance is notified of the request's key and the request has a slot. It reports
// whether the request holds a slot; if not, the request has been rejected.
func (i *Ingress) admit(request *fasthttp.RequestCtx, p *proxyRequest) bool {
	retryAfter := i.awaitKeys(p)
	reason := i.rejectReason(p, clock.Now())
	if p.instance.service == p.service {
		i.hearLoads(p)
	}
	if reason != "" {
		i.reject(request, p, reason, retryAfter)
		return false
	}
	if excess := i.reserveLink(p); excess > 0 {
		i.reject(request, p, wire.BackendReasonFull, excess)
		return false
	}
	switch i.gate.enter(p.slotRequest(), p.tracker.Cancelled()) {
	case decisionFull:
		i.reject(request, p, wire.BackendReasonFull, i.gate.retryAfter())
	case decisionVain:
		i.reject(request, p, wire.BackendReasonDeadline, 0)
	case decisionClosed:
		i.reject(request, p, wire.BackendReasonDraining, 0)
	case decisionCancelled:
		i.reject(request, p, reasonCallerGone, 0)
	case decisionAdmitted:
		p.admitted = true
		return true
	}
	i.link.cancelReservation(p.reservedBytes)
	return false
}

// handlePanic answers a request during which the handler panicked and releases its resources.
func (i *Ingress) handlePanic(request *fasthttp.RequestCtx, p *proxyRequest, cause any) {
	i.panics.Inc()
	if p == nil {
		logging.LogPanic(i.logger, "read request", request.RemoteAddr().String(), cause)
		request.Error("this ingress failed\n", fasthttp.StatusInternalServerError)
		return
	}
	logging.LogPanic(i.logger, "forward request", request.RemoteAddr().String(), cause, logging.RequestID(p.requestID), zap.String("attempt", p.attemptID))
	request.SetConnectionClose()
	i.write(request, p, fasthttp.StatusBadGateway, wire.OutcomeUnknown, reasonPanicked)
	if p.admitted {
		i.releaseSlot(p)
	}
	i.releaseIsolation(p)
	if p.watched != nil {
		i.disconnects.Remove(p.watched)
	}
	i.releaseUpload(p)
}

// routesHere reports whether the route table in force here still sends the request to its service, and
// returns the version of that table; 0 if there is nothing to check. A router with an older table cannot
// detect that its route has changed: the ingress checks that, as it checks the epoch of a key. A request
// that already waits here when the table changes is still served.
func (i *Ingress) routesHere(request *fasthttp.RequestCtx, p *proxyRequest) (inForce uint64, matches bool) {
	if i.options.RoutesTo == nil || p.version == 0 {
		return 0, true
	}
	return i.options.RoutesTo(request.Host(), request.URI().PathOriginal(), p.service, p.version)
}

// reserveLink reserves the expected size of the response on the link. If the response's expected wait there exceeds the
// limit, it reserves nothing and returns by how much.
func (i *Ingress) reserveLink(p *proxyRequest) (excess time.Duration) {
	p.reservedBytes, excess = i.link.reserve(p.route, clock.Now(), i.maxLinkWait(p))
	return excess
}

// maxLinkWait returns the limit for the expected wait of the response for the link.
func (i *Ingress) maxLinkWait(p *proxyRequest) time.Duration {
	allowed := i.gate.maxLinkWait(p.slotRequest())
	if p.rejectedBefore {
		allowed /= returningLinkDivisor
	}
	if stop := i.link.completeBy(p.routerStopsAt); stop > 0 {
		// The response has to be complete before the router or this process stops.
		remaining := stop - clock.Now() - i.gate.routeRunTime(p.route)
		allowed = min(allowed, remaining*stopLinkPermille/permille)
	}
	return max(0, allowed)
}

// stopLinkPermille is how many thousandths of the time before a stop the responses may be expected to take
// on the link. The rest is for rejections and other small responses, which do not wait for the link and may
// take half of it.
const stopLinkPermille = 500

// returningLinkDivisor divides the allowed wait for the link for a request that was rejected before. While
// the link is overloaded, this prefers requests that are sent for the first time and can still be served
// within their whole target latency.
const returningLinkDivisor = 4

// awaitKeys waits until the instance is notified of the request's key, if that is due within the time for
// which the request could wait for a slot. It returns the time after which the request should be retried
// if the instance has not been notified; 0 if that is unknown or not needed.
func (i *Ingress) awaitKeys(p *proxyRequest) time.Duration {
	if !p.keyed || !i.instance.keys.usesHeartbeats() || i.stopping.Load() {
		return 0
	}
	key := ownership.Key{Service: p.service, Shard: p.shard}
	if !i.instance.keys.expectsKey(key, p.epoch) {
		return 0
	}
	return i.instance.keys.awaitKey(key, p.epoch, i.gate.maxWait(p.slotRequest()), p.tracker.Cancelled())
}

// parse parses the headers that the router has added to the request.
func (i *Ingress) parse(request *fasthttp.RequestCtx) (*proxyRequest, bool) {
	header := &request.Request.Header
	names := i.options.Settings.Headers
	p := &proxyRequest{
		names: names, requestID: string(header.Peek(names.RequestID)), attemptID: string(header.Peek(wire.HeaderAttempt)),
		service: string(header.Peek(wire.HeaderService)), route: string(header.Peek(wire.HeaderRoute)),
		isHead: request.IsHead(), arrived: clock.Now(), tracker: upstream.NewTracker(),
	}
	numbers := headerNumbers{header: header}
	p.epoch = numbers.unsigned(wire.HeaderEpoch)
	p.version = numbers.unsigned(wire.HeaderRouteVersion)
	p.shard = uint32(numbers.unsigned(wire.HeaderShard))
	p.keyed = p.epoch > 0
	p.priority = int(numbers.signed(wire.HeaderPriority))
	p.rejectedBefore = len(header.Peek(wire.HeaderRejectedBefore)) > 0
	p.isCall = i.options.Settings.Ingress.CallsFirst && len(header.Peek(wire.HeaderCall)) > 0
	p.isRepeat = len(header.Peek(wire.HeaderRepeat)) > 0
	p.usualRun = time.Duration(numbers.unsigned(wire.HeaderUsualRun)) * time.Microsecond
	p.target = time.Duration(numbers.unsigned(wire.HeaderTarget)) * time.Millisecond
	p.trial = numbers.unsigned(wire.HeaderTrial)
	p.deadline = p.arrived + time.Duration(numbers.unsigned(wire.HeaderDeadline))*time.Millisecond
	if left := numbers.unsigned(wire.HeaderStopsIn); left > 0 {
		p.routerStopsAt = p.arrived + time.Duration(left)*time.Millisecond
	}
	i.parseInstanceState(p, header)
	i.parseLoadView(p, header)
	p.identity = crashreport.Identify(&request.Request, names.Caller, names.Tenant)
	if numbers.err != nil {
		i.logger.Warn("request_unreadable", append(logging.ErrorFields("read headers", request.RemoteAddr().String(), numbers.err), logging.RequestID(p.requestID))...)
	}
	return p, numbers.err == nil && p.attemptID != "" && p.service != "" && len(header.Peek(wire.HeaderDeadline)) > 0
}

// parseInstanceState parses what the router has been told of the instance. The request is served without it.
func (i *Ingress) parseInstanceState(p *proxyRequest, header *fasthttp.RequestHeader) {
	text := header.Peek(wire.HeaderInstanceState)
	if len(text) == 0 {
		return
	}
	state, err := wire.ParseInstanceState(string(text))
	if err != nil {
		i.logger.Warn("instance_state_unreadable", append(logging.ErrorFields("read instance state", "router", err), logging.RequestID(p.requestID))...)
		return
	}
	p.told, p.hasTold = state, true
}

// parseLoadView parses the load reports of other instances. The request is served without them.
func (i *Ingress) parseLoadView(p *proxyRequest, header *fasthttp.RequestHeader) {
	text := header.Peek(wire.HeaderLoadView)
	if len(text) == 0 {
		return
	}
	var err error
	if p.loads, err = loadview.ParseEntries(text); err != nil {
		i.logger.Info("load_reports_unreadable", append(logging.ErrorFields("read load reports", "router", err), logging.RequestID(p.requestID))...)
		return
	}
	p.sharesLoads = true
}

// headerNumbers parses numbers in headers and keeps the first error.
type headerNumbers struct {
	header *fasthttp.RequestHeader
	err    error
}

// signed returns a header's number; 0 if there is no such header.
func (n *headerNumbers) signed(name string) int64 {
	text := n.header.Peek(name)
	if len(text) == 0 {
		return 0
	}
	number, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil && n.err == nil {
		n.err = eris.Wrapf(err, "header %s", name)
	}
	return number
}

// unsigned is signed for headers whose number must not be negative.
func (n *headerNumbers) unsigned(name string) uint64 {
	number := n.signed(name)
	if number < 0 && n.err == nil {
		n.err = eris.Errorf("header %s is %d: must not be negative", name, number)
	}
	return uint64(max(0, number))
}

// slotRequest describes the request to the gate.
func (p *proxyRequest) slotRequest() slotRequest {
	return slotRequest{route: p.route, priority: p.priority, rejectedBefore: p.rejectedBefore, isCall: p.isCall, target: p.target, remaining: p.deadline - clock.Now()}
}

// rejectReason returns why the request may not be sent to the instance; empty if it may. It first stores
// the state of the instance in the request and updates the rate limit of the cold instance.
func (i *Ingress) rejectReason(p *proxyRequest, now time.Duration) string {
	p.instance = i.instance.state(now)
	i.instance.updateColdLimit(p.service, now)
	zoneReason := i.instance.zoneRejectReason(p.keyed, now)
	switch {
	case i.stopping.Load():
		return wire.BackendReasonDraining
	case p.instance.rejectReason != "":
		return p.instance.rejectReason
	case p.instance.service != p.service:
		return reasonOtherService
	case zoneReason != "":
		return zoneReason
	case p.deadline-now < minimumRemaining:
		return wire.BackendReasonDeadline
	case p.keyed && !i.instance.keys.holds(ownership.Key{Service: p.service, Shard: p.shard}, p.epoch, now):
		return wire.BackendReasonNotOwner
	}
	return ""
}

// forward sends an admitted request to the instance and the response to the router. It first repeats the
// checks that were made before the request waited.
func (i *Ingress) forward(request *fasthttp.RequestCtx, p *proxyRequest) {
	i.waits.Observe((clock.Now() - p.arrived).Seconds())
	reason, retryAfter := i.rejectReason(p, clock.Now()), time.Duration(0)
	if reason == "" {
		reason = i.recheckQuarantine(p)
	}
	if reason == "" && p.reservedBytes == 0 {
		// The route's responses may have turned out to be large while the request waited for its slot: 70
		// requests that arrived before the first response occupied a link for 5 s.
		if retryAfter = i.reserveLink(p); retryAfter > 0 {
			reason = wire.BackendReasonFull
		}
	}
	if reason != "" {
		i.reject(request, p, reason, retryAfter)
		i.release(p)
		return
	}
	i.buildOutgoing(request, p)
	if i.options.OnRun != nil {
		i.options.OnRun(p.requestID, p.deadline)
	}
	if p.isRepeat && i.options.OnRepeat != nil {
		i.options.OnRepeat(p.requestID, p.deadline)
	}
	p.sent = clock.Now()
	result := i.send(p)
	if result.connectionBroke() && i.instanceRefusesConnections() {
		result.reason = wire.BackendReasonCrashed
	}
	i.recordOutcome(p, result)
	ran := clock.Now() - p.sent
	i.runs.Observe(ran.Seconds())
	i.recordPace(p, result, ran)
	switch result.state {
	case exchangeResponded:
		showsPace := result.showsPace(p)
		i.respond(request, p, result)
		if showsPace {
			request.Response.Header.Set(wire.HeaderRun, strconv.FormatInt(max(1, ran.Microseconds()), 10))
		} else {
			request.Response.Header.Del(wire.HeaderRun) // the instance cannot set it
		}
		return
	case exchangeNotRun:
		i.write(request, p, fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, result.reason)
		if result.reason == wire.BackendReasonFull {
			setRetryAfter(&request.Response, i.gate.retryAfterRefusal())
		}
	case exchangeNotSent:
		i.reject(request, p, result.reason, 0)
	case exchangeUnknown:
		i.write(request, p, fasthttp.StatusBadGateway, wire.OutcomeUnknown, result.reason)
	}
	if result.err != nil {
		i.logger.Info("exchange_failed", append(logging.ErrorFields("exchange", p.instance.id, result.err),
			logging.RequestID(p.requestID), zap.String("attempt", p.attemptID), zap.String("reason", result.reason),
			zap.Bool("sent", result.state == exchangeUnknown), zap.Stringer("identity", p.identity))...)
	}
	i.release(p)
}

// recordOutcome records how an exchange ended, as far as that shows the state of the instance.
func (i *Ingress) recordOutcome(p *proxyRequest, result *exchange) {
	switch {
	case result.state == exchangeResponded:
		i.instance.success.record(result.response.StatusCode() < fasthttp.StatusInternalServerError, clock.Now())
		if result.bodyRead {
			i.recordSuccess(p, result.response.StatusCode())
		}
	case result.state == exchangeUnknown && result.reason != reasonCallerGone:
		i.instance.success.record(false, clock.Now())
	}
	if result.connectionBroke() {
		i.recordBroken(p)
	}
	i.recordRunTime(p, result)
}

// recordRunTime records how long the run took, by which the gate rejects requests that cannot end in time. Runs that
// failed earlier tell nothing of it.
func (i *Ingress) recordRunTime(p *proxyRequest, result *exchange) {
	ran := clock.Now() - p.sent
	switch {
	case result.state == exchangeUnknown && result.reason == reasonLateAnswer,
		result.state == exchangeResponded && result.response.StatusCode() == fasthttp.StatusGatewayTimeout:
		i.gate.recordRunTime(p.route, ran, true)
	case result.state == exchangeResponded && result.response.StatusCode() < fasthttp.StatusInternalServerError:
		i.gate.recordRunTime(p.route, ran, false)
	}
}

// release releases the request's slot and its other resources.
func (i *Ingress) release(p *proxyRequest) {
	i.releaseSlot(p)
	i.releaseRequest(p)
}

// releaseSlot releases the request's slot: the instance has finished with the request.
func (i *Ingress) releaseSlot(p *proxyRequest) {
	ran := time.Duration(0)
	if p.sent > 0 {
		ran = clock.Now() - p.sent
	}
	p.admitted = false
	i.releaseIsolation(p)
	i.gate.leave(p.route, p.rejectedBefore, ran)
	i.link.cancelReservation(p.reservedBytes)
}

// releaseRequest stops watching whether the caller disconnects, and releases the outgoing request.
func (i *Ingress) releaseRequest(p *proxyRequest) {
	i.disconnects.Remove(p.watched)
	i.unframed.release(p.unframedBytes)
	p.unframedBytes = 0
	i.releaseUpload(p)
	if p.outgoing != nil && p.upload == nil {
		// A request with an announced body may still be sent; it is left to the garbage collector.
		fasthttp.ReleaseRequest(p.outgoing)
	}
}

// buildOutgoing builds the request for the instance: the router's request with the instance's ID, without
// the connection header and the headers that only routers and ingresses use.
func (i *Ingress) buildOutgoing(request *fasthttp.RequestCtx, p *proxyRequest) {
	out := fasthttp.AcquireRequest()
	request.Request.Header.CopyTo(&out.Header)
	for _, name := range internalHeaders {
		out.Header.Del(name)
	}
	out.Header.Del("Connection")
	out.Header.Del(fasthttp.HeaderExpect)
	out.SetRequestURIBytes(request.Request.RequestURI())
	out.Header.SetHostBytes(request.Host())
	if p.names.Instance != "" {
		out.Header.Set(p.names.Instance, p.instance.id)
	}
	switch {
	case p.body != nil:
		out.SetBodyRaw(p.body)
	case request.Request.IsBodyStream():
		out.SetBodyStream(request.RequestBodyStream(), request.Request.Header.ContentLength())
	default:
		out.SetBodyRaw(request.Request.Body())
	}
	p.outgoing = out
}

// internalHeaders lists the headers that routers add for ingresses.
var internalHeaders = []string{
	wire.HeaderAttempt, wire.HeaderService, wire.HeaderShard, wire.HeaderEpoch, wire.HeaderRoute, wire.HeaderRouteVersion,
	wire.HeaderPriority, wire.HeaderTarget, wire.HeaderRejectedBefore, wire.HeaderRepeatable, wire.HeaderDeadline, wire.HeaderTrial, wire.HeaderRepeat, wire.HeaderCall, wire.HeaderInstanceState, wire.HeaderStopsIn, wire.HeaderUsualRun, wire.HeaderLoadView,
}

// respond sends the instance's response to the router. If the body was read completely, the slot is
// released first; otherwise the body is streamed and holds the slot until its end.
func (i *Ingress) respond(request *fasthttp.RequestCtx, p *proxyRequest, result *exchange) {
	response := &request.Response
	result.response.Header.CopyTo(&response.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		response.Header.Del(name)
	}
	response.Header.Set(wire.HeaderAttempt, p.attemptID)
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeOK)
	i.setStateHeaders(response, p)
	i.outcomes.WithLabelValues(wire.OutcomeOK, "").Inc()
	ran := clock.Now() - p.sent
	if result.bodyRead {
		body := result.response.Body()
		if p.isHead {
			response.Header.SetContentLength(result.response.Header.ContentLength())
			response.SkipBody = true
		}
		fasthttp.ReleaseResponse(result.response)
		i.link.recordSize(p.route, len(body))
		i.releaseSlot(p)
		i.sendBuffered(response, p, body)
		i.logForwarded(p, response.StatusCode(), len(body), ran)
		return
	}
	i.logForwarded(p, response.StatusCode(), result.response.Header.ContentLength(), ran)
	p.tracker.Track(result.conn)
	body := &responseBody{ingress: i, request: p, exchange: result, stream: result.response.BodyStream()}
	response.SetBodyStream(body, result.response.Header.ContentLength())
}

// logForwarded logs how long the request waited for a slot, ran, and waited for the link. The size in bytes
// is negative if the instance does not announce it.
func (i *Ingress) logForwarded(p *proxyRequest, status, size int, ran time.Duration) {
	if line := i.logger.Check(zap.InfoLevel, logging.EventRequestPassed); line != nil {
		line.Write(logging.RequestID(p.requestID), zap.String("attempt", p.attemptID), zap.String("instance", p.instance.id),
			zap.String("route", p.route), zap.Int("priority", p.priority), zap.Int("status", status), zap.Int("size", size), zap.Duration("target", p.target),
			zap.Duration("waited", p.sent-p.arrived), zap.Duration("ran", ran), zap.Duration("link", clock.Now()-p.sent-ran))
	}
}

// sendBuffered sends a response whose body was read completely: one that may be held waits for its turn
// and is sent at the link's rate. body was allocated by readBody or readUnframed and belongs to no pool.
func (i *Ingress) sendBuffered(response *fasthttp.Response, p *proxyRequest, body []byte) {
	if p.isHead || !i.link.canHold(len(body)) {
		if p.unframedBytes > 0 && !p.isHead {
			i.RecordSent(len(body))
			response.SetBodyStream(&unframedBody{bytes.NewReader(body), func() { i.releaseRequest(p) }}, len(body))
			return
		}
		if !p.isHead {
			response.SetBodyRaw(body)
		}
		i.RecordSent(len(body))
		i.releaseRequest(p)
		return
	}
	startsAt := i.link.awaitTurn(&transfer{size: float64(len(body)), due: p.arrived + p.target, routerStopsAt: p.routerStopsAt}, p.tracker.Cancelled())
	response.SetBodyStream(&pacedBody{link: i.link, unsent: body, nextChunkAt: startsAt, onClose: func() { i.releaseRequest(p) }}, len(body))
}

// RecordSent records the size in bytes of a body that the process has sent over the machine's link to any
// receiver, so that the turns of large responses on the link begin later by up to its transfer time.
func (i *Ingress) RecordSent(body int) { i.link.recordSent(body+overheadBytes, clock.Now()) }

// overheadBytes is the approximate size of what is sent besides a body: header fields and the packets that
// acknowledge it.
const overheadBytes = 600

// reject answers a request that was not sent to the instance with the reason for that.
func (i *Ingress) reject(request *fasthttp.RequestCtx, p *proxyRequest, reason string, retryAfter time.Duration) {
	if reason == wire.BackendReasonFull {
		i.instance.load.recordRefusal(clock.Now())
	}
	i.write(request, p, fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, reason)
	i.RecordSent(0)
	request.Response.Header.Set(wire.HeaderFromIngress, "1")
	if line := i.logger.Check(zap.InfoLevel, "attempt_refused"); line != nil {
		load := i.gate.load()
		line.Write(logging.RequestID(p.requestID), zap.String("attempt", p.attemptID), zap.String("reason", reason),
			zap.String("instance", p.instance.id), zap.Int("running", load.running), zap.Int("waiting", load.waiting), zap.Int("slots", load.slots), zap.Float64("limit", i.gate.namedLimit()),
			zap.Bool("returning", p.rejectedBefore), zap.String("route", p.route), zap.Uint64("version", p.version), zap.Duration("target", p.target), zap.Uint32("shard", p.shard), zap.Uint64("epoch", p.epoch), zap.Duration("waited", clock.Now()-p.arrived), zap.Duration("retry_after", retryAfter))
	}
	setRetryAfter(&request.Response, retryAfter)
	if request.Request.IsBodyStream() && p.body == nil {
		request.SetConnectionClose()
	}
}

// loadReport returns the load of the instance and of its machine's link.
func (i *Ingress) loadReport(now time.Duration) loadview.Report {
	report := i.instance.currentLoad(now)
	report.LinkBusy, report.InboundBusy = i.link.load(now), i.inbound.load()
	return report
}

// hearLoads records the load reports that a request has brought.
func (i *Ingress) hearLoads(p *proxyRequest) {
	i.loadsMutex.Lock()
	defer i.loadsMutex.Unlock()
	i.loads.HearOf(p.loads, p.arrived)
}

// exchangeLoads returns the report as this process's newest, and those of other instances for the answer to a request.
func (i *Ingress) exchangeLoads(report loadview.Report, p *proxyRequest, now time.Duration) (loadview.Report, []loadview.Entry) {
	i.loadsMutex.Lock()
	defer i.loadsMutex.Unlock()
	return i.loads.Number(report), i.loads.Freshest(now, p.loads)
}

// setRetryAfter sets the time after which the request should return, unless it is 0.
func setRetryAfter(response *fasthttp.Response, after time.Duration) {
	if after > 0 {
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

// setStateHeaders sets the headers by which routers choose the least busy instance, and the one with what the
// instance has said of itself.
func (i *Ingress) setStateHeaders(response *fasthttp.Response, p *proxyRequest) {
	now := clock.Now()
	report := i.loadReport(now)
	response.Header.Del(wire.HeaderLoadView)
	if p.sharesLoads {
		numbered, others := i.exchangeLoads(report, p, now)
		response.Header.SetBytesV(wire.HeaderLoad, numbered.AppendText(nil))
		response.Header.SetBytesV(wire.HeaderLoadView, loadview.AppendEntries(nil, others))
	} else {
		response.Header.SetBytesV(wire.HeaderLoad, report.AppendLoad(nil))
	}
	if state := i.instance.reportedState(now); state.IsSet() {
		response.Header.Set(wire.HeaderInstanceState, state.String())
	} else {
		response.Header.Del(wire.HeaderInstanceState)
	}
}

func (i *Ingress) write(request *fasthttp.RequestCtx, p *proxyRequest, status int, outcome, reason string) {
	i.outcomes.WithLabelValues(outcome, reason).Inc()
	request.Response.Reset()
	request.SetStatusCode(status)
	request.Response.Header.Set(wire.HeaderAttempt, p.attemptID)
	request.Response.Header.Set(wire.HeaderOutcome, outcome)
	request.Response.Header.Set(wire.HeaderReason, reason)
	i.setStateHeaders(&request.Response, p)
}
