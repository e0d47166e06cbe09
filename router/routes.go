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
	"limehold/routing"
	"limehold/wire"
)

// routeTable is a version of the route table as the router uses it. It does not
// change; the next version takes over what has not changed in between.
type routeTable struct {
	document routing.Document
	index    *routing.Index
	routes   map[*routing.Route]*routedRoute
	services map[string]*routing.Service
}

// routedRoute is one route with what the router needs of it.
type routedRoute struct {
	route  *routing.Route
	limits catalog.Route
	split  *splitter
	// learned is what its requests have shown.
	learned *learned
	// version of the route table that the route was taken from.
	version uint64
	// supersededBy is a newer version under which the route leads elsewhere, as an ingress
	// has told; zero: none is known.
	supersededBy atomic.Uint64
}

// changed returns the table after a change.
func (t *routeTable) changed(change *routing.Change) *routeTable {
	var before routing.Document
	earlier := map[string]*routedRoute{}
	if t != nil {
		before = t.document
		for _, known := range t.routes {
			earlier[known.route.Name] = known
		}
	}
	next := &routeTable{document: before.Edited(change), routes: map[*routing.Route]*routedRoute{}, services: map[string]*routing.Service{}}
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
		known := &routedRoute{route: route, limits: limitsOf(route, limits), version: next.document.Version}
		known.keep(earlier[route.Name])
		next.routes[route] = known
	}
	return next
}

// keep takes over what the route has learned under an earlier version of the table.
func (r *routedRoute) keep(earlier *routedRoute) {
	if earlier == nil {
		r.split, r.learned = newSplitter(r.route.Split), &learned{}
		return
	}
	r.learned = earlier.learned
	r.split = earlier.split
	if !r.split.serves(r.route.Split) {
		r.split = newSplitter(r.route.Split)
	}
}

// learned is what the requests of one route have shown; all versions of it share it.
type learned struct {
	mutex    sync.Mutex
	returns  admission.Returns
	locality admission.Locality
	// work is the smoothed time that a request takes from the owner's ingress on.
	work time.Duration
}

// returning reports whether a request that allows so much time was refused before.
func (l *learned) returning(allowed time.Duration) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.returns.Observe(allowed)
}

// noteLate takes whether a request was answered late, or refused.
func (l *learned) noteLate(late bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.locality.Observe(late)
}

const (
	// firstWork stands for the work of a request before one was answered.
	firstWork = 50 * time.Millisecond
	// workKeep is how much of the smoothed work a request leaves.
	workKeep = 0.98
)

// noteWork takes what a request took.
func (l *learned) noteWork(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.work == 0 {
		l.work = took
	}
	l.work = time.Duration(float64(l.work)*workKeep + float64(took)*(1-workKeep))
}

// usualWork is what a request takes.
func (l *learned) usualWork() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.work == 0 {
		return firstWork
	}
	return l.work
}

func (l *learned) remoteCost(large bool) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.locality.RemoteCost(large)
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

// splitter spreads requests over the shares of a route by smooth weighted round
// robin: every run of requests gets each share's part as exactly as it can be.
type splitter struct {
	mutex  sync.Mutex
	shares []routing.Share
	credit []float64
}

// newSplitter begins anywhere in the round: where hundreds of routers see a few requests
// each, the largest share would otherwise get the first one of every router.
func newSplitter(shares []routing.Share) *splitter {
	return newSplitterAt(shares, rand.IntN(splitterStarts))
}

// newSplitterAt begins at a place in the round.
func newSplitterAt(shares []routing.Share, start int) *splitter {
	s := &splitter{shares: shares, credit: make([]float64, len(shares))}
	if len(shares) > 1 {
		for range start {
			s.next()
		}
	}
	return s
}

// splitterStarts is how many places there are to begin at: weights are mostly percentages,
// whose round has a hundred steps.
const splitterStarts = 100

// serves reports whether the splitter spreads over the same shares.
func (s *splitter) serves(shares []routing.Share) bool {
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

// next returns the service that the next request goes to; empty: there is none.
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

// findRoute returns the route of a host and path, and the service that the next
// of its requests goes to.
func (t *table) findRoute(host, path string) (*routedRoute, *service) {
	known := t.route(host, path)
	if known == nil {
		return nil, nil
	}
	name := known.split.next()
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return known, t.services[name]
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

// hasRoutes reports whether the router knows a route table.
func (t *table) hasRoutes() bool {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.routes != nil
}

// setRouted adds what an ingress, and the instance behind it, has to know of a
// request that came by way of the route table.
func (r *Router) setRouted(request *fasthttp.RequestCtx, p *proxied, out *fasthttp.Request) {
	names := r.options.Settings.Headers
	if names.Caller != "" {
		out.Header.Set(names.Caller, r.options.CallerService)
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
	out.Header.Set(wire.HeaderPriority, strconv.Itoa(route.Priority))
	out.Header.Set(wire.HeaderRepeatable, strconv.FormatBool(p.repeatable))
	if p.returning {
		out.Header.Set(wire.HeaderReturning, strconv.FormatBool(true))
	}
}

// RoutedService is what the route table says of a service; the zero value: nothing.
func (r *Router) RoutedService(name string) routing.Service {
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
