package ingress

import (
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/bulletin"
	"limehold/clock"
	"limehold/hangup"
	"limehold/logging"
	"limehold/ownership"
	"limehold/quarantine"
	"limehold/settings"
	"limehold/upstream"
	"limehold/wire"
)

// passage is one request on its way through the ingress.
type passage struct {
	names     settings.Headers
	requestID string
	attemptID string
	// identity recognises the request when it comes again.
	identity quarantine.Identity
	// trial is the number of the trial that the request may run as; zero: as none.
	trial uint64
	// ownTurn is set while it keeps others from running that instances have ended under.
	ownTurn bool
	// admitted is set while it holds a slot.
	admitted bool
	service  string
	route    string
	// version of the route table that matched the request; zero: it is not known.
	version   uint64
	shard     uint32
	epoch     uint64
	keyed     bool
	head      bool
	priority  int
	returning bool
	target    time.Duration
	deadline  time.Duration
	// ends is when the router stops that asks for the request; zero: that is not known.
	ends    time.Duration
	arrived time.Duration
	sent    time.Duration
	// coming is what the link expects of the answer; see link.begin.
	coming  float64
	seen    view
	out     *fasthttp.Request
	watched *hangup.Watched

	tracker *upstream.Tracker
}

// handle is the routers' handler. A request that it panics under ends with an open outcome, and
// gives back what it holds.
func (i *Ingress) handle(request *fasthttp.RequestCtx) {
	var p *passage
	defer func() {
		if cause := recover(); cause != nil {
			i.afterPanic(request, p, cause)
		}
	}()
	if request.IsConnect() {
		i.relay(request)
		return
	}
	if i.stopping.Load() {
		request.SetConnectionClose()
	}
	var ok bool
	if p, ok = i.read(request); !ok {
		request.Error("this is an ingress: send requests to a router\n", fasthttp.StatusBadRequest)
		return
	}
	if inForce, leads := i.leads(request, p); !leads {
		i.refuse(request, p, wire.BackendReasonSuperseded, 0)
		request.Response.Header.Set(wire.HeaderRouteVersion, strconv.FormatUint(inForce, 10))
		return
	}
	standing, quarantined := i.standing(p)
	if quarantined {
		i.refuse(request, p, wire.BackendReasonQuarantined, 0)
		return
	}
	p.watched = i.hangups.Add(request.Conn(), p.tracker.Cancel)
	if standing.RunsApart() && !i.awaitTurn(p) {
		i.refuse(request, p, wire.BackendReasonFull, i.gate.retryAfter())
		i.hangups.Remove(p.watched)
		return
	}
	if i.admit(request, p) {
		i.pass(request, p)
		return
	}
	i.leaveTurn(p)
	i.hangups.Remove(p.watched)
}

// admit waits until the request may go to the instance, or refuses it.
func (i *Ingress) admit(request *fasthttp.RequestCtx, p *passage) bool {
	retryAfter := i.awaitKeys(p)
	if reason := i.refusal(p, clock.Now()); reason != "" {
		i.refuse(request, p, reason, retryAfter)
		return false
	}
	if excess := i.linkExcess(p); excess > 0 {
		i.refuse(request, p, wire.BackendReasonFull, excess)
		return false
	}
	p.coming = i.link.begin(p.route)
	switch i.gate.enter(p.asked(), p.tracker.Cancelled()) {
	case entryFull:
		i.refuse(request, p, wire.BackendReasonFull, i.gate.retryAfter())
	case entryClosed:
		i.refuse(request, p, wire.BackendReasonDraining, 0)
	case entryCancelled:
		i.refuse(request, p, reasonCallerGone, 0)
	case entryAdmitted:
		p.admitted = true
		return true
	}
	i.link.end(p.coming)
	return false
}

// afterPanic answers a request that this process panicked under.
func (i *Ingress) afterPanic(request *fasthttp.RequestCtx, p *passage, cause any) {
	i.panics.Inc()
	if p == nil {
		logging.Panicked(i.logger, "read request", request.RemoteAddr().String(), cause)
		request.Error("this ingress failed\n", fasthttp.StatusInternalServerError)
		return
	}
	logging.Panicked(i.logger, "pass request", request.RemoteAddr().String(), cause, zap.String("request", p.requestID), zap.String("attempt", p.attemptID))
	request.SetConnectionClose()
	i.write(request, p, fasthttp.StatusBadGateway, wire.OutcomeUnknown, reasonPanicked)
	if p.admitted {
		i.leave(p)
	}
	i.leaveTurn(p)
	if p.watched != nil {
		i.hangups.Remove(p.watched)
	}
}

// leads reports whether the route table still sends the request here. A router whose view is
// old cannot know that its route has changed; this is the last place where it shows, as a
// fence does for keys. What waits here when the table changes was in time.
func (i *Ingress) leads(request *fasthttp.RequestCtx, p *passage) (inForce uint64, leads bool) {
	if i.options.Leads == nil || p.version == 0 {
		return 0, true
	}
	return i.options.Leads(request.Host(), request.URI().PathOriginal(), p.service, p.version)
}

// linkExcess is by how much longer than it may the request's answer is expected to wait for the
// link, on which it has to be in time after it has run; zero: it may run.
func (i *Ingress) linkExcess(p *passage) time.Duration {
	wait := i.link.wait(p.route, clock.Now())
	if wait == 0 {
		return 0
	}
	allowed := i.gate.linkPatience(p.asked())
	if p.returning {
		allowed /= linkReturning
	}
	if ends := i.link.endOf(p.ends); ends > 0 {
		// Whoever stops then has to have the whole answer.
		left := ends - clock.Now() - i.gate.routeTimeOf(p.route)
		allowed = min(allowed, left*linkBeforeStop/permille)
	}
	return max(0, wait-max(0, allowed))
}

// linkBeforeStop is how many thousandths of the time that is left before a stop the answers
// may be expected to take on the link: refusals and other small answers do not wait for it,
// and took a third of it where 60 callers came back to a full one at once.
const linkBeforeStop = 600

// linkReturning is by how much shorter the link's backlog has to be for a request that was
// refused before: where more is asked of the link than it carries, those that are made for
// the first time can still be served in full time.
const linkReturning = 4

// awaitKeys waits for the instance to be told of the request's key, if that is due within
// the time for which the request could wait for a slot. Otherwise it returns at once, with
// the time after which the request should come back.
func (i *Ingress) awaitKeys(p *passage) time.Duration {
	if !p.keyed || !i.instance.keys.byHeartbeat() || i.stopping.Load() {
		return 0
	}
	key := ownership.Key{Service: p.service, Shard: p.shard}
	if !i.instance.keys.expects(key, p.epoch) {
		return 0
	}
	return i.instance.keys.await(key, p.epoch, i.gate.patienceOf(p.asked()), p.tracker.Cancelled())
}

// read takes what the router says of the request.
func (i *Ingress) read(request *fasthttp.RequestCtx) (*passage, bool) {
	header := &request.Request.Header
	names := i.options.Settings.Headers
	p := &passage{
		names: names, requestID: string(header.Peek(names.RequestID)), attemptID: string(header.Peek(wire.HeaderAttempt)),
		service: string(header.Peek(wire.HeaderService)), route: string(header.Peek(wire.HeaderRoute)),
		head: request.IsHead(), arrived: clock.Now(), tracker: upstream.NewTracker(),
	}
	numbers := headerNumbers{header: header}
	p.epoch = numbers.count(wire.HeaderEpoch)
	p.version = numbers.count(wire.HeaderRouteVersion)
	p.shard = uint32(numbers.count(wire.HeaderShard))
	p.keyed = p.epoch > 0
	p.priority = int(numbers.signed(wire.HeaderPriority))
	p.returning = len(header.Peek(wire.HeaderReturning)) > 0
	p.target = time.Duration(numbers.count(wire.HeaderTarget)) * time.Millisecond
	p.trial = numbers.count(wire.HeaderTrial)
	p.deadline = p.arrived + time.Duration(numbers.count(wire.HeaderDeadline))*time.Millisecond
	if left := numbers.count(wire.HeaderEnds); left > 0 {
		p.ends = p.arrived + time.Duration(left)*time.Millisecond
	}
	p.identity = bulletin.Identify(&request.Request, names.Caller)
	if numbers.err != nil {
		i.logger.Warn("request_unreadable", append(logging.Step("read headers", request.RemoteAddr().String(), numbers.err), zap.String("request", p.requestID))...)
	}
	return p, numbers.err == nil && p.attemptID != "" && p.service != "" && len(header.Peek(wire.HeaderDeadline)) > 0
}

// headerNumbers reads numbers out of headers, and keeps the first error.
type headerNumbers struct {
	header *fasthttp.RequestHeader
	err    error
}

// signed returns a header's number; zero where there is no such header.
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

// count is signed for what cannot be below zero.
func (n *headerNumbers) count(name string) uint64 {
	number := n.signed(name)
	if number < 0 && n.err == nil {
		n.err = eris.Errorf("header %s is %d: it cannot be below 0", name, number)
	}
	return uint64(max(0, number))
}

// asked is what the gate has to know of the request.
func (p *passage) asked() asked {
	return asked{route: p.route, priority: p.priority, returning: p.returning, target: p.target, left: p.deadline - clock.Now()}
}

// refusal returns why the request may not go to the instance; empty: it may.
func (i *Ingress) refusal(p *passage, now time.Duration) string {
	p.seen = i.instance.view(now)
	i.instance.boundCold(p.service, now)
	zoneRefused := i.instance.zoneRefusal(p.keyed, now)
	switch {
	case i.stopping.Load():
		return wire.BackendReasonDraining
	case p.seen.refused != "":
		return p.seen.refused
	case p.seen.service != p.service:
		return reasonOtherService
	case zoneRefused != "":
		return zoneRefused
	case p.deadline-now < minimumRemaining:
		return wire.BackendReasonDeadline
	case p.keyed && !i.instance.keys.holds(ownership.Key{Service: p.service, Shard: p.shard}, p.epoch, now):
		return wire.BackendReasonNotOwner
	}
	return ""
}

// pass sends an admitted request to the instance and its answer back. What was true
// when the request began to wait is looked at once more.
func (i *Ingress) pass(request *fasthttp.RequestCtx, p *passage) {
	i.waits.Observe((clock.Now() - p.arrived).Seconds())
	reason, retryAfter := i.refusal(p, clock.Now()), time.Duration(0)
	if reason == "" {
		reason = i.lastLook(p)
	}
	if reason == "" && p.coming == 0 {
		// The route's answers may have turned out to be large while the request waited for its
		// slot: 70 requests that came before the first answer took a link for 5 s.
		if retryAfter = i.linkExcess(p); retryAfter > 0 {
			reason = wire.BackendReasonFull
		}
	}
	if reason != "" {
		i.refuse(request, p, reason, retryAfter)
		i.end(p)
		return
	}
	i.buildOut(request, p)
	p.sent = clock.Now()
	result := i.send(p)
	if result.broke() && i.nobodyListens() {
		result.reason = wire.BackendReasonEnded
	}
	i.noteEnd(p, result)
	i.runs.Observe((clock.Now() - p.sent).Seconds())
	switch result.state {
	case exchangeAnswered:
		i.answer(request, p, result)
		return
	case exchangeNotRun:
		i.write(request, p, fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, result.reason)
	case exchangeNotSent:
		i.refuse(request, p, result.reason, 0)
	case exchangeOpen:
		i.write(request, p, fasthttp.StatusBadGateway, wire.OutcomeUnknown, result.reason)
	}
	if result.err != nil {
		i.logger.Info("exchange_failed", append(logging.Step("exchange", p.seen.id, result.err),
			zap.String("request", p.requestID), zap.String("attempt", p.attemptID), zap.String("reason", result.reason),
			zap.Bool("sent", result.state == exchangeOpen), zap.Stringer("identity", p.identity))...)
	}
	i.end(p)
}

// noteEnd takes how a run ended, as far as that says something of the instance.
func (i *Ingress) noteEnd(p *passage, result *exchange) {
	switch {
	case result.state == exchangeAnswered:
		i.instance.success.ended(result.response.StatusCode() < fasthttp.StatusInternalServerError, clock.Now())
		if result.whole {
			i.survived(p, result.response.StatusCode())
		}
	case result.state == exchangeOpen && result.reason != reasonCallerGone:
		i.instance.success.ended(false, clock.Now())
	}
	if result.broke() {
		i.runBroke(p)
	}
}

// end gives the request's slot back, and forgets it.
func (i *Ingress) end(p *passage) {
	i.leave(p)
	i.forget(p)
}

// leave gives the request's slot back: the instance does nothing for it any more.
func (i *Ingress) leave(p *passage) {
	ran := time.Duration(0)
	if p.sent > 0 {
		ran = clock.Now() - p.sent
	}
	p.admitted = false
	i.leaveTurn(p)
	i.gate.leave(p.route, p.returning, ran)
	i.link.end(p.coming)
}

// forget drops what is kept of a request while its caller may leave.
func (i *Ingress) forget(p *passage) {
	i.hangups.Remove(p.watched)
	if p.out != nil {
		fasthttp.ReleaseRequest(p.out)
	}
}

// buildOut makes the request that the instance gets: the router's, without what is
// between routers and ingresses only.
func (i *Ingress) buildOut(request *fasthttp.RequestCtx, p *passage) {
	out := fasthttp.AcquireRequest()
	request.Request.Header.CopyTo(&out.Header)
	for _, name := range betweenUs {
		out.Header.Del(name)
	}
	out.Header.Del("Connection")
	out.SetRequestURIBytes(request.Request.RequestURI())
	out.Header.SetHostBytes(request.Host())
	if p.names.Instance != "" {
		out.Header.Set(p.names.Instance, p.seen.id)
	}
	if request.Request.IsBodyStream() {
		out.SetBodyStream(request.RequestBodyStream(), request.Request.Header.ContentLength())
	} else {
		out.SetBodyRaw(request.Request.Body())
	}
	p.out = out
}

// betweenUs are the headers that routers add for ingresses.
var betweenUs = []string{
	wire.HeaderAttempt, wire.HeaderService, wire.HeaderShard, wire.HeaderEpoch, wire.HeaderRoute, wire.HeaderRouteVersion,
	wire.HeaderPriority, wire.HeaderTarget, wire.HeaderReturning, wire.HeaderRepeatable, wire.HeaderDeadline, wire.HeaderTrial, wire.HeaderEnds,
}

// answer passes an answer on. Small ones are there whole; others are streamed and
// hold the slot until their end.
func (i *Ingress) answer(request *fasthttp.RequestCtx, p *passage, result *exchange) {
	response := &request.Response
	result.response.Header.CopyTo(&response.Header)
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		response.Header.Del(name)
	}
	response.Header.Set(wire.HeaderAttempt, p.attemptID)
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeOK)
	i.tellLoad(response)
	if i.stopping.Load() {
		request.SetConnectionClose()
	}
	i.outcomes.WithLabelValues(wire.OutcomeOK, "").Inc()
	ran := clock.Now() - p.sent
	if result.whole {
		body := result.response.Body()
		if p.head {
			response.Header.SetContentLength(result.response.Header.ContentLength())
			response.SkipBody = true
		}
		fasthttp.ReleaseResponse(result.response)
		i.link.learn(p.route, len(body))
		i.leave(p)
		i.sendWhole(response, p, body)
		i.logPassed(p, response.StatusCode(), len(body), ran)
		return
	}
	i.logPassed(p, response.StatusCode(), result.response.Header.ContentLength(), ran)
	p.tracker.Track(result.conn)
	body := &answerBody{ingress: i, passage: p, exchange: result, stream: result.response.BodyStream()}
	response.SetBodyStream(body, result.response.Header.ContentLength())
}

// logPassed says how long the request waited for a slot, ran, and waited for the link. The
// size in bytes is negative where the instance does not say it.
func (i *Ingress) logPassed(p *passage, status, size int, ran time.Duration) {
	if line := i.logger.Check(zap.InfoLevel, logging.EventPassed); line != nil {
		line.Write(zap.String("request", p.requestID), zap.String("attempt", p.attemptID), zap.String("instance", p.seen.id),
			zap.String("route", p.route), zap.Int("priority", p.priority), zap.Int("status", status), zap.Int("size", size), zap.Duration("target", p.target),
			zap.Duration("waited", p.sent-p.arrived), zap.Duration("ran", ran), zap.Duration("link", clock.Now()-p.sent-ran))
	}
}

// sendWhole has an answer sent that is there whole: a large one when it is its turn, and at
// the link's rate. The slice was made for this answer by readWhole and belongs to no pool.
func (i *Ingress) sendWhole(response *fasthttp.Response, p *passage, body []byte) {
	if p.head || !i.link.mayHold(len(body)) {
		if !p.head {
			response.SetBodyRaw(body)
		}
		i.NoteSent(len(body))
		i.forget(p)
		return
	}
	begins := i.link.await(&transfer{size: float64(len(body)), due: p.arrived + p.target, ends: p.ends}, p.tracker.Cancelled())
	response.SetBodyStream(&pacedBody{link: i.link, rest: body, begun: begins, closed: func() { i.forget(p) }}, len(body))
}

// NoteSent takes how long a body was that the process sent over the machine's link, to
// whomever: large answers make room for it.
func (i *Ingress) NoteSent(body int) { i.link.sent(body+headBytes, clock.Now()) }

// headBytes is about the size of what goes with a body: header fields, and the packets by
// which it is acknowledged.
const headBytes = 600

// refuse answers a request that the instance has not seen.
func (i *Ingress) refuse(request *fasthttp.RequestCtx, p *passage, reason string, retryAfter time.Duration) {
	i.write(request, p, fasthttp.StatusServiceUnavailable, wire.OutcomeNotRun, reason)
	i.NoteSent(0)
	request.Response.Header.Set(wire.HeaderInFront, "1")
	if line := i.logger.Check(zap.InfoLevel, "attempt_refused"); line != nil {
		load := i.gate.load()
		line.Write(zap.String("request", p.requestID), zap.String("attempt", p.attemptID), zap.String("reason", reason),
			zap.String("instance", p.seen.id), zap.Int("running", load.running), zap.Int("waiting", load.waiting), zap.Int("slots", load.slots),
			zap.Bool("returning", p.returning), zap.String("route", p.route), zap.Uint64("version", p.version), zap.Duration("target", p.target), zap.Uint32("shard", p.shard), zap.Uint64("epoch", p.epoch), zap.Duration("waited", clock.Now()-p.arrived))
	}
	if retryAfter > 0 {
		request.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if request.Request.IsBodyStream() {
		request.SetConnectionClose()
	}
}

// tellLoad lets routers choose by how busy the instance is.
func (i *Ingress) tellLoad(response *fasthttp.Response) {
	load := i.gate.load()
	text := strconv.AppendInt(nil, int64(load.running), 10)
	wellPermille := int64(i.instance.success.share(clock.Now()) * permille)
	for _, number := range []int64{int64(load.waiting), int64(load.slots), load.runTime.Milliseconds(), wellPermille, i.link.load(clock.Now()).Milliseconds()} {
		text = append(text, ',')
		text = strconv.AppendInt(text, number, 10)
	}
	response.Header.SetBytesV(wire.HeaderLoad, text)
}

func (i *Ingress) write(request *fasthttp.RequestCtx, p *passage, status int, outcome, reason string) {
	i.outcomes.WithLabelValues(outcome, reason).Inc()
	request.Response.Reset()
	request.SetStatusCode(status)
	request.Response.Header.Set(wire.HeaderAttempt, p.attemptID)
	request.Response.Header.Set(wire.HeaderOutcome, outcome)
	request.Response.Header.Set(wire.HeaderReason, reason)
	i.tellLoad(&request.Response)
	if i.stopping.Load() {
		request.SetConnectionClose()
	}
}
