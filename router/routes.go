package router

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/admission"
	"limehold/catalog"
	"limehold/pace"
	"limehold/routing"
	"limehold/tenancy"
	"limehold/wire"
)

// routeTable is one version of the route table with its index. It is immutable;
// the next version reuses the state of routes that both versions have.
type routeTable struct {
	document routing.Document
	index    *routing.Index
	routes   map[*routing.Route]*routedRoute
	services map[string]*routing.Service
	tenants  *tenancy.Directory
}

// routedRoute is one route with its limits and state.
type routedRoute struct {
	route  *routing.Route
	limits catalog.Route
	split  *splitter
	// stats is shared by all versions of the route.
	stats *routeStats
	// version is that of the route table which contains this route, and tenants are those of that version.
	version uint64
	tenants *tenancy.Directory
	// supersededBy is a newer version in which the route leads elsewhere, as reported by an
	// ingress; 0 if none was reported.
	supersededBy atomic.Uint64
}

// withChange returns the table after a change. The receiver may be nil.
func (t *routeTable) withChange(change *routing.Change) *routeTable {
	var previous routing.Document
	previousRoutes := map[string]*routedRoute{}
	if t != nil {
		previous = t.document
		for _, routed := range t.routes {
			previousRoutes[routed.route.Name] = routed
		}
	}
	next := &routeTable{document: previous.WithChange(change), routes: map[*routing.Route]*routedRoute{}, services: map[string]*routing.Service{}}
	next.tenants = tenancy.NewDirectory(&next.document)
	next.index = routing.NewIndex(&next.document)
	limits := next.document.Limits()
	for i := range next.document.Items {
		if service := next.document.Items[i].Service; service != nil {
			next.services[service.Name] = service
		}
		route := next.document.Items[i].Route
		if route == nil {
			continue
		}
		routed := &routedRoute{route: route, limits: limitsOf(route, limits), version: next.document.Version, tenants: next.tenants}
		routed.inherit(previousRoutes[route.Name])
		next.routes[route] = routed
	}
	return next
}

// inherit takes over the state of the route from an earlier version of the table.
func (r *routedRoute) inherit(earlier *routedRoute) {
	if earlier == nil {
		r.split, r.stats = newSplitter(r.route.Split), &routeStats{}
		return
	}
	r.stats = earlier.stats
	r.split = earlier.split
	if !r.split.hasShares(r.route.Split) {
		r.split = newSplitter(r.route.Split)
	}
}

// routeStats holds statistics of the requests of one route or service; all versions of it
// share them.
type routeStats struct {
	mutex    sync.Mutex
	returns  admission.RetryDetector
	locality admission.Locality
	// serviceTime is the smoothed time from sending a request until its response starts to be
	// forwarded.
	serviceTime time.Duration
	// usualRun is the usual time of the requests' runs at instances, without their waits for a slot.
	usualRun pace.Usual
}

// isReturning records the time that a caller allows for a request, and reports whether it
// shows that the request was rejected before.
func (s *routeStats) isReturning(allowed time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.returns.Observe(allowed)
}

// recordLate records whether a request was answered late or rejected.
func (s *routeStats) recordLate(late bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.locality.Observe(late)
}

const (
	// initialServiceTime is assumed until the first request has been answered.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeDecay is the weight of the previous smoothed value at each request.
	serviceTimeDecay = 0.98
)

// recordServiceTime adds the service time of a request to the moving average.
func (s *routeStats) recordServiceTime(took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.serviceTime == 0 {
		s.serviceTime = took
	}
	s.serviceTime = time.Duration(float64(s.serviceTime)*serviceTimeDecay + float64(took)*(1-serviceTimeDecay))
}

func (s *routeStats) smoothedServiceTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.serviceTime == 0 {
		return initialServiceTime
	}
	return s.serviceTime
}

func (s *routeStats) remoteCost(large bool) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.locality.RemoteCost(large)
}

func limitsOf(route *routing.Route, limits *routing.Limits) catalog.Route {
	built := catalog.NewRoute()
	built.Timeout = catalog.Duration(route.Timeout)
	built.Hold = catalog.Duration(route.Timeout)
	built.MaxAttempts = route.MaxAttempts
	if limits != nil && limits.BodyBytes > 0 {
		built.MaxRequestBytes = limits.BodyBytes
	}
	return built
}

// splitter distributes requests over the shares of a route by smooth weighted round
// robin: any run of requests matches the weights as closely as whole requests allow.
type splitter struct {
	mutex  sync.Mutex
	shares []routing.Share
	credit []float64
}

// newSplitter returns a splitter that starts at a random position of the round. Otherwise, with
// hundreds of routers that receive a few requests each, the largest share would receive the
// first request of every router.
func newSplitter(shares []routing.Share) *splitter {
	return newSplitterAt(shares, rand.IntN(splitterPositions))
}

// newSplitterAt returns a splitter that starts at the given position of the round.
func newSplitterAt(shares []routing.Share, start int) *splitter {
	s := &splitter{shares: shares, credit: make([]float64, len(shares))}
	if len(shares) > 1 {
		for range start {
			s.next()
		}
	}
	return s
}

// splitterPositions is the number of start positions. Weights are usually percentages, whose
// round has a hundred steps.
const splitterPositions = 100

// hasShares reports whether the splitter distributes over the given shares.
func (s *splitter) hasShares(shares []routing.Share) bool {
	if len(shares) != len(s.shares) {
		return false
	}
	for i := range shares {
		if shares[i] != s.shares[i] {
			return false
		}
	}
	return true
}

// next returns the service for the next request, "" if there are no shares.
func (s *splitter) next() string {
	switch len(s.shares) {
	case 0:
		return ""
	case 1:
		return s.shares[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	total, best := 0.0, 0
	for i := range s.shares {
		s.credit[i] += s.shares[i].Weight
		total += s.shares[i].Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.shares[best].Service
}

// findRoute returns the route of a host and path, and the service that its split selects for
// this request. Both are nil if no route matches; the service is nil if the table lacks it.
func (t *table) findRoute(host, path string) (*routedRoute, *service) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.routes == nil {
		return nil, nil
	}
	routed := t.routes.routes[t.routes.index.Route(host, path)]
	if routed == nil {
		return nil, nil
	}
	return routed, t.services[routed.split.next()]
}

// route returns the route of a host and path, or nil.
func (t *table) route(host, path string) *routedRoute {
	t.mutex.RLock()
	routes := t.routes
	t.mutex.RUnlock()
	if routes == nil {
		return nil
	}
	return routes.routes[routes.index.Route(host, path)]
}

// hasRoutes reports whether the router has received a route table.
func (t *table) hasRoutes() bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.routes != nil
}

// setRouteHeaders adds the headers that ingress and instance need for a request that
// matched the route table.
func (r *Router) setRouteHeaders(request *fasthttp.RequestCtx, p *proxiedRequest, out *fasthttp.Request) {
	names := r.options.Settings.Headers
	if names.Caller != "" {
		out.Header.Set(names.Caller, r.options.LocalService)
	}
	if p.routed == nil {
		return
	}
	if names.Key != "" {
		if key := request.Request.Header.Peek(names.Key); len(key) > 0 {
			out.Header.SetBytesV(names.Key, key)
		}
	}
	route := p.routed.route
	out.Header.Set(wire.HeaderRoute, route.Name)
	out.Header.Set(wire.HeaderRouteVersion, strconv.FormatUint(p.routed.version, 10))
	out.Header.Set(wire.HeaderPriority, strconv.Itoa(p.priority()))
	r.setTenantHeaders(p, out)
	out.Header.Set(wire.HeaderRepeatable, strconv.FormatBool(p.repeatable))
	if r.options.IsCall != nil && r.options.IsCall(p.displayID) {
		out.Header.Set(wire.HeaderCall, strconv.FormatBool(true))
	}
	if p.rejectedBefore {
		out.Header.Set(wire.HeaderRejectedBefore, strconv.FormatBool(true))
	}
}

// RouteTableService returns the route table's entry for a service, the zero value if there is none.
func (r *Router) RouteTableService(name string) routing.Service {
	r.table.mutex.RLock()
	defer r.table.mutex.RUnlock()
	if r.table.routes == nil {
		return routing.Service{}
	}
	service := r.table.routes.services[name]
	if service == nil {
		return routing.Service{}
	}
	return *service
}
