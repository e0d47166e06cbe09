package router

import (
	"bytes"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/admission"
	"limehold/catalog"
	"limehold/clock"
	"limehold/hangup"
	"limehold/quarantine"
	"limehold/upstream"
	"limehold/wire"
)

// proxied is one caller's request on its way through the router.
type proxied struct {
	// id is drawn here and names the attempts; shown is the caller's own ID if it
	// gave one.
	id       string
	shown    string
	attempts int
	// rematches counts how often the request's route was found to have changed.
	rematches int
	// reached counts the attempts that came as far as a back end.
	reached int
	service *service
	route   *catalog.Route
	// routed is set when the request came by way of the route table.
	routed     *routedRoute
	repeatable bool
	// identity recognises the request when it comes again.
	identity quarantine.Identity
	// ends counts the instances that have ended while they ran it, trial is the number of the
	// trial that it is; zero: none.
	ends  int
	trial uint64
	// at is the instance whose slot the request holds; zero: none.
	at admission.InstanceID
	// gated is set while it is at an instance with an ingress.
	gated bool
	// returning is set when the caller has made the request before and was refused.
	returning bool
	head      bool
	shard     uint32
	epoch     uint64
	deadline  time.Duration
	// latest is until when the caller waits; zero: it does not say.
	latest time.Duration
	// viewAge is how old the router's view was when it matched the request.
	viewAge  time.Duration
	out      *fasthttp.Request
	bodyUsed bool
	// body is set when the request's body is streamed.
	body    *limitedBody
	caller  net.Conn
	started time.Duration

	watched *hangup.Watched
	tracker *upstream.Tracker
}

// routeName is the name of the request's route in the route table; empty: none.
func (p *proxied) routeName() string {
	if p == nil || p.routed == nil {
		return ""
	}
	return p.routed.route.Name
}

// tableVersion is the version of the route table that the request was handled by.
func (p *proxied) tableVersion() uint64 {
	if p == nil || p.routed == nil {
		return 0
	}
	return p.routed.version
}

// noteEnd tells the request's route whether it was served in time.
func (p *proxied) noteEnd(served bool) {
	if p.routed == nil || p.routed.route.TargetLatency == 0 {
		return
	}
	p.routed.learned.noteLate(!served || clock.Now()-p.started > p.routed.route.TargetLatency)
}

// noteWork tells the request's route what it took.
func (p *proxied) noteWork(took time.Duration) {
	if p.service.spec.Keyed {
		p.kind().noteWork(took)
	}
}

// usualWork is what requests like this one take.
func (p *proxied) usualWork() time.Duration { return p.kind().usualWork() }

// kind is what was learned of requests like this one: of its route in the route table, or
// of its service.
func (p *proxied) kind() *learned {
	if p.routed != nil {
		return p.routed.learned
	}
	return p.service.learned
}

// matchedAtAge is how old the router's view was when it matched the request.
func (p *proxied) matchedAtAge() time.Duration {
	if p == nil {
		return 0
	}
	return p.viewAge
}

func (p *proxied) attemptCount() int {
	if p == nil {
		return 0
	}
	return p.attempts
}

func (p *proxied) nextAttemptID() string {
	p.attempts++
	return p.id + "." + strconv.Itoa(p.attempts)
}

// maxRequestIDLength bounds a caller's own request ID.
const maxRequestIDLength = 128

// requestID takes the caller's ID for display and draws one of ours for the
// attempts: a caller may use its own ID twice.
func drawID() string {
	var random [16]byte
	for i := 0; i < len(random); i += 8 {
		value := rand.Uint64()
		for j := range 8 {
			random[i+j] = byte(value >> (8 * j))
		}
	}
	return hex.EncodeToString(random[:])
}

func (r *Router) callerID(request *fasthttp.RequestCtx, drawn string) string {
	given := request.Request.Header.Peek(r.options.Settings.Headers.RequestID)
	if len(given) == 0 || len(given) > maxRequestIDLength {
		return drawn
	}
	return string(given)
}

// prepare finds service, route, key and deadline of a request, or refuses it.
func (r *Router) prepare(request *fasthttp.RequestCtx) (*proxied, refusal) {
	if early, refused := earlyRefusals[string(request.Request.Header.Peek(headerRefused))]; refused {
		return nil, early
	}
	// A route table's prefixes are compared with the path as it was sent, which is
	// also what back ends get; a service's own prefix with the path that all agree on.
	path := string(request.URI().PathOriginal())
	if !r.table.hasRoutes() {
		if !plainPath(request.URI().PathOriginal()) {
			return nil, refuseBadRequest
		}
		path = string(request.Path())
	}
	now := clock.Now()
	p := &proxied{
		id: drawID(), head: request.IsHead(), caller: request.Conn(),
		started: now, tracker: upstream.NewTracker(),
	}
	p.shown = r.callerID(request, p.id)
	p.viewAge = r.freshness.age(now)
	found, rest := r.table.find(string(request.Host()), path)
	if found == nil {
		p.routed, found = r.table.findRoute(string(request.Host()), path)
	}
	if found == nil {
		return nil, r.refuseUnmatched()
	}
	if wanted, ok := r.callerTimeout(request); ok {
		p.latest = now + wanted
		p.returning = p.routed != nil && p.routed.learned.returning(wanted)
	}
	return p, r.assign(request, p, found, rest)
}

// assign gives a request to a service, or refuses it; rest is the path behind the service's
// own prefix.
func (r *Router) assign(request *fasthttp.RequestCtx, p *proxied, found *service, rest string) refusal {
	p.service = found
	if p.routed != nil {
		p.route, p.repeatable = &p.routed.limits, p.routed.route.Kind.Repeatable()
	} else {
		p.route, p.repeatable = found.spec.RouteFor(string(request.Method()), rest)
	}
	p.deadline = p.started + p.route.Timeout.Std()
	if p.latest > 0 {
		p.deadline = min(p.deadline, p.latest)
	}
	if found.retiring {
		return refuseRetiring
	}
	if !r.freshness.within(clock.Now(), found.spec.StalenessBound.Std()) || p.routed != nil && p.routed.supersededBy.Load() > 0 {
		return refuseNotCurrent
	}
	if int64(request.Request.Header.ContentLength()) > p.route.MaxRequestBytes {
		return refuseBodyTooBig
	}
	if found.spec.Keyed {
		key := r.findKey(request, found.spec.Key, rest)
		shard, ok := shardOf(found, key)
		if !ok {
			return refuseNoKey
		}
		p.shard = shard
	}
	return refusal{}
}

// refuseUnmatched says that there is no such service only if the router's view
// is known to be current.
func (r *Router) refuseUnmatched() refusal {
	if !r.freshness.within(clock.Now(), unmatchedBound) || r.options.RouteTable && !r.table.hasRoutes() {
		return refuseNotCurrent
	}
	return refuseNoService
}

// unmatchedBound is the age of the router's view up to which it may say that a
// service does not exist. An accepted configuration is in force within two seconds: a
// view that is older may lack the route.
const unmatchedBound = 1500 * time.Millisecond

// plainPath refuses paths that the router and a back end might read differently.
func plainPath(path []byte) bool {
	if len(path) == 0 || path[0] != '/' {
		return false
	}
	if bytes.IndexByte(path, '%') < 0 && bytes.IndexByte(path, '\\') < 0 && !bytes.Contains(path, []byte("//")) && !bytes.Contains(path, []byte("/.")) {
		return true
	}
	lower := bytes.ToLower(path)
	for _, part := range []string{"//", "/./", "/../", "%2f", "%2e", "%5c", "%00", "\\"} {
		if bytes.Contains(lower, []byte(part)) {
			return false
		}
	}
	return !bytes.HasSuffix(lower, []byte("/..")) && !bytes.HasSuffix(lower, []byte("/."))
}

func (r *Router) callerTimeout(request *fasthttp.RequestCtx) (time.Duration, bool) {
	text := request.Request.Header.Peek(r.options.Settings.Headers.Deadline)
	if len(text) == 0 {
		return 0, false
	}
	millis, err := strconv.ParseInt(string(text), 10, 32)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

func (r *Router) findKey(request *fasthttp.RequestCtx, rule catalog.KeyRule, rest string) []byte {
	switch rule.Source {
	case catalog.KeyFromHeader:
		if rule.Name == "" {
			return request.Request.Header.Peek(r.options.Settings.Headers.Key)
		}
		return request.Request.Header.Peek(rule.Name)
	case catalog.KeyFromQuery:
		return request.QueryArgs().Peek(rule.Name)
	case catalog.KeyFromPath:
		segments := strings.Split(strings.TrimPrefix(rest, "/"), "/")
		if rule.Segment < len(segments) {
			return []byte(segments[rule.Segment])
		}
	}
	return nil
}

// hopByHop headers concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// buildOut makes the request that back ends get: the caller's, without
// hop-by-hop headers and without anything that claims to be ours.
func (r *Router) buildOut(request *fasthttp.RequestCtx, p *proxied) {
	out := fasthttp.AcquireRequest()
	request.Request.Header.CopyTo(&out.Header)
	dropHeaders(&out.Header, request.Request.Header.Peek("Connection"))
	out.SetRequestURIBytes(request.Request.RequestURI())
	out.Header.SetHostBytes(request.Host())
	out.Header.Set(r.options.Settings.Headers.RequestID, p.shown)
	p.out = out
	r.describe(request, p)
}

// describe tells back ends, and the ingresses before them, what the request was matched to.
func (r *Router) describe(request *fasthttp.RequestCtx, p *proxied) {
	p.out.Header.Set(wire.HeaderService, p.service.name)
	p.out.Header.Set(wire.HeaderShard, strconv.FormatUint(uint64(p.shard), 10))
	r.setRouted(request, p, p.out)
}

// takeBody reads a short body into memory, so that the request can be sent again
// after a refusal; a longer one is streamed and sent once. It fails when the
// caller's body breaks off or exceeds the limit before anything has been sent.
func (p *proxied) takeBody(request *fasthttp.RequestCtx) refusal {
	if !request.Request.IsBodyStream() {
		p.out.SetBodyRaw(request.Request.Body())
		return refusal{}
	}
	p.body = &limitedBody{inner: request.RequestBodyStream(), left: p.route.MaxRequestBytes}
	length := request.Request.Header.ContentLength()
	if length > bufferedBody {
		p.out.SetBodyStream(p.body, length)
		return refusal{}
	}
	begun := bytes.NewBuffer(make([]byte, 0, max(0, length)))
	_, err := io.CopyN(begun, p.body, bufferedBody+1)
	switch {
	case err == io.EOF:
		p.body = nil
		p.out.SetBodyRaw(begun.Bytes())
		return refusal{}
	case p.body.exceeded:
		return refuseBodyTooBig
	case err != nil:
		return refuseBadRequest
	}
	p.out.SetBodyStream(io.MultiReader(begun, p.body), length)
	return refusal{}
}

// namedIn lists the headers that a Connection header names.
func namedIn(connection []byte) []string {
	if len(connection) == 0 {
		return nil
	}
	var names []string
	for name := range strings.SplitSeq(string(connection), ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func dropHeaders(header *fasthttp.RequestHeader, connection []byte) {
	for _, name := range namedIn(connection) {
		header.Del(name)
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	var own []string
	for name := range header.All() {
		if len(name) >= len(wire.HeaderPrefix) && strings.EqualFold(string(name[:len(wire.HeaderPrefix)]), wire.HeaderPrefix) {
			own = append(own, string(name))
		}
	}
	for _, name := range own {
		header.Del(name)
	}
}
