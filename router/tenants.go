package router

import (
	"github.com/valyala/fasthttp"

	"limehold/routing"
	"limehold/tenancy"
)

// authenticate finds the tenant of a request by its API key. It rejects a request without a known key unless the
// route is public. Keys that the router does not know may be newer than its view.
func (r *Router) authenticate(request *fasthttp.RequestCtx, p *proxiedRequest) rejection {
	if p.routed == nil || !p.routed.tenants.Defined() {
		return rejection{}
	}
	p.tenant = p.routed.tenants.Authenticate(request.Request.Header.Peek(fasthttp.HeaderAuthorization))
	switch {
	case p.tenant != nil || p.routed.route.Public:
		return rejection{}
	case !p.viewWasCurrent:
		return rejectNotCurrent
	}
	return rejectUnknownAPIKey
}

// setTenantHeaders tells the backend the tenant in place of its API key, whatever the caller has sent.
func (r *Router) setTenantHeaders(p *proxiedRequest, out *fasthttp.Request) {
	name := r.options.Settings.Headers.Tenant
	if name != "" {
		out.Header.Del(name)
	}
	if !p.routed.tenants.Defined() {
		return
	}
	out.Header.Del(fasthttp.HeaderAuthorization)
	if name != "" && p.tenant != nil {
		out.Header.Set(name, p.tenant.Name)
	}
}

// priority returns the priority of a request that matched the route table; 0 is the highest.
func (p *proxiedRequest) priority() int {
	if p.tenant != nil && p.tenant.HasPriority {
		return p.tenant.Priority
	}
	return p.routed.route.Priority
}

// tenantName returns the name of the request's tenant, "" if there is none.
func (p *proxiedRequest) tenantName() string {
	if p == nil || p.tenant == nil {
		return ""
	}
	return p.tenant.Name
}

// zonesFor returns the zones in which a request may be served, nil if it may be served in all.
func (r *Router) zonesFor(p *proxiedRequest) []string {
	var route *routing.Route
	if p.routed != nil {
		route = p.routed.route
	}
	if !tenancy.Restricts(route, p.tenant) {
		return nil
	}
	zones := []string{}
	for zone, region := range r.options.Settings.Regions {
		if tenancy.Allows(route, p.tenant, region) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// zonesOfRegion returns the zones of the region of a zone, nil if the zone is in none.
func zonesOfRegion(regions map[string]string, zone string) []string {
	own := regions[zone]
	if own == "" {
		return nil
	}
	var zones []string
	for other, region := range regions {
		if region == own {
			zones = append(zones, other)
		}
	}
	return zones
}
