package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/fleet"
	"limehold/quota"
	"limehold/routing"
)

// routeTenants serves the operators' requests on tenants.
func (m *Member) routeTenants(ctx context.Context, request *fasthttp.RequestCtx, method string) (any, error) {
	if method != http.MethodGet {
		return nil, methodNotAllowed(method)
	}
	usage := map[string]quota.Usage{}
	for _, used := range m.leaderView(ctx).Quotas {
		usage[used.Tenant] = used
	}
	list := []adminapi.Tenant{}
	err := m.read(ctx, request, func(state *fleet.State) {
		for i := range state.Routing.Document.Items {
			if tenant := state.Routing.Document.Items[i].Tenant; tenant != nil {
				list = append(list, tenantStatus(tenant, usage))
			}
		}
	})
	slices.SortFunc(list, func(a, b adminapi.Tenant) int { return cmp.Compare(a.Name, b.Name) })
	return list, err
}

// tenantStatus describes a tenant, without its API keys.
func tenantStatus(tenant *routing.Tenant, usage map[string]quota.Usage) adminapi.Tenant {
	status := adminapi.Tenant{Name: tenant.Name, APIKeys: len(tenant.Keys), Regions: tenant.Regions, Rate: tenant.Rate, Burst: tenant.Burst}
	if tenant.HasPriority {
		status.Priority = &tenant.Priority
	}
	if used, known := usage[tenant.Name]; known {
		status.Quota = &adminapi.QuotaUsage{Available: used.Level, Capacity: used.Capacity, Granted: used.Granted, Refused: used.Refused}
	}
	return status
}
