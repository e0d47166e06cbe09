package router

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
	"limehold/wire"
)

const (
	// maxSupersededWait bounds how long a request waits for a route table that an ingress
	// already has and this router has not. Updates reach all routers within some tens of
	// milliseconds while their connections to control work.
	maxSupersededWait = 300 * time.Millisecond
	// maxRematches bounds how often a request is matched again.
	maxRematches = 2
)

// RoutesTo reports whether the current route table sends requests of a host and path to a
// service, and the version of the table that decides. matched is the version by which the
// request was matched: if the current table is not newer, RoutesTo returns matched and true.
func (r *Router) RoutesTo(host, path []byte, service string, matched uint64) (version uint64, matches bool) {
	r.table.mutex.RLock()
	routes := r.table.routes
	r.table.mutex.RUnlock()
	if routes == nil || routes.document.Version <= matched {
		return matched, true
	}
	version = routes.document.Version
	route := routes.index.Route(string(host), string(path))
	if route == nil {
		return version, false
	}
	for _, share := range route.Split {
		if share.Service == service && share.Weight > 0 {
			return version, true
		}
	}
	return version, false
}

// supersededBy returns the version of the route table by which an ingress rejected an
// attempt, 0 if the attempt was not rejected as superseded.
func (a *attempt) supersededBy() uint64 {
	if a.state != attemptNotRun || a.reason != wire.BackendReasonSuperseded {
		return 0
	}
	return a.routeVersion
}

// parseRouteVersion records the version that a rejection names.
func (a *attempt) parseRouteVersion(header *fasthttp.ResponseHeader) {
	version, err := strconv.ParseUint(string(header.Peek(wire.HeaderRouteVersion)), 10, 64)
	if err == nil {
		a.routeVersion = version
	}
}

// rematch matches a request again whose route has changed in a newer version of the table,
// which an ingress reported. If the router does not receive that version in time, it rejects
// the request, and all further requests of the route until it has a newer table, because the
// services that its own table names no longer serve the route.
func (r *Router) rematch(request *fasthttp.RequestCtx, p *proxiedRequest, version uint64) rejection {
	p.rematches++
	if p.bodyUsed || p.rematches > maxRematches {
		return rejectNotCurrent
	}
	former := p.routed
	waitStart := clock.Now()
	arrived := r.awaitRouteTable(p, version)
	r.logger.Info("route_superseded", logging.RequestID(p.displayID), zap.String("route", p.routeName()), zap.Uint64("version", p.tableVersion()),
		zap.Uint64("by", version), zap.Bool("known", arrived), zap.Duration("waited", clock.Now()-waitStart), zap.Duration("view_age", p.viewAge))
	if !arrived {
		former.supersededBy.Store(version)
		return rejectNotCurrent
	}
	p.viewWasCurrent = r.viewIsCurrent()
	routed, found := r.table.findRoute(string(request.Host()), string(request.URI().PathOriginal()))
	if found == nil {
		return rejectUnmatched(p.viewWasCurrent)
	}
	p.routed = routed
	p.viewAge = r.freshness.age(clock.Now())
	if rejected := r.assign(request, p, found, ""); rejected.isSet() {
		return rejected
	}
	r.setMatchHeaders(request, p)
	return rejection{}
}

// awaitRouteTable waits until the route table has at least the given version. It reports
// whether that happened in time.
func (r *Router) awaitRouteTable(p *proxiedRequest, version uint64) bool {
	timer := clock.NewTimer(max(0, min(maxSupersededWait, p.deadline-clock.Now())))
	defer timer.Stop()
	for {
		current, changed := r.table.routeTableVersion()
		if current >= version {
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

// routeTableVersion returns the version of the route table, and a channel that is closed by the
// next update.
func (t *table) routeTableVersion() (version uint64, changed <-chan struct{}) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	if t.routes != nil {
		version = t.routes.document.Version
	}
	return version, t.changed
}
