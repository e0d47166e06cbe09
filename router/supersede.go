package router

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/wire"
)

const (
	// supersededWait is how long a request waits for a route table that an ingress has
	// already, and this router not yet: updates reach all routers within some tens of
	// milliseconds while their ways to control are sound.
	supersededWait = 300 * time.Millisecond
	// maxRematches bounds how often a request is matched again.
	maxRematches = 2
)

// Leads reports whether the route table in force here sends requests of a host and path to
// a service, and the table's version. They were matched by the version matched: a table
// that is not newer says nothing against them.
func (r *Router) Leads(host, path []byte, service string, matched uint64) (inForce uint64, leads bool) {
	r.table.mutex.RLock()
	routes := r.table.routes
	r.table.mutex.RUnlock()
	if routes == nil || routes.document.Version <= matched {
		return matched, true
	}
	inForce = routes.document.Version
	route := routes.index.Route(string(host), string(path))
	if route == nil {
		return inForce, false
	}
	for _, share := range route.Split {
		if share.Service == service && share.Weight > 0 {
			return inForce, true
		}
	}
	return inForce, false
}

// supersededBy is the version of the route table by which an ingress refused an attempt;
// zero: it was not refused as superseded.
func (a *attempt) supersededBy() uint64 {
	if a.state != attemptNotRun || a.reason != wire.BackendReasonSuperseded {
		return 0
	}
	return a.routeVersion
}

// takeRouteVersion notes the version that a refusal names.
func (a *attempt) takeRouteVersion(header *fasthttp.ResponseHeader) {
	version, err := strconv.ParseUint(string(header.Peek(wire.HeaderRouteVersion)), 10, 64)
	if err == nil {
		a.routeVersion = version
	}
}

// rematch matches a request again whose route has changed, by the route table that an
// ingress knows; a router that does not get it in time refuses the request, and all that
// follow on the route until it has a newer table: what it would send them to is known not
// to serve them.
func (r *Router) rematch(request *fasthttp.RequestCtx, p *proxied, by uint64) refusal {
	p.rematches++
	if p.bodyUsed || p.rematches > maxRematches {
		return refuseNotCurrent
	}
	former := p.routed
	before := clock.Now()
	known := r.awaitRoutes(p, by)
	r.logger.Info("route_superseded", zap.String("request", p.shown), zap.String("route", p.routeName()), zap.Uint64("version", p.tableVersion()),
		zap.Uint64("by", by), zap.Bool("known", known), zap.Duration("waited", clock.Now()-before), zap.Duration("view_age", p.viewAge))
	if !known {
		former.supersededBy.Store(by)
		return refuseNotCurrent
	}
	routed, found := r.table.findRoute(string(request.Host()), string(request.URI().PathOriginal()))
	if found == nil {
		return r.refuseUnmatched()
	}
	p.routed = routed
	p.viewAge = r.freshness.age(clock.Now())
	if refused := r.assign(request, p, found, ""); refused.refused() {
		return refused
	}
	p.service.budget.earn()
	r.describe(request, p)
	return refusal{}
}

// awaitRoutes waits until the route table is of a version at least. It reports whether it
// is.
func (r *Router) awaitRoutes(p *proxied, version uint64) bool {
	timer := clock.NewTimer(max(0, min(supersededWait, p.deadline-clock.Now())))
	defer timer.Stop()
	for {
		have, changed := r.table.routesInForce()
		if have >= version {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-p.tracker.Cancelled():
			return false
		}
	}
}

// routesInForce is the version of the route table, and a channel that is closed by the next
// update.
func (t *table) routesInForce() (version uint64, changed <-chan struct{}) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.routes != nil {
		version = t.routes.document.Version
	}
	return version, t.changed
}
