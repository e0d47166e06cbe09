package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/routing"
)

func tenantItem(name string, change func(*routing.Tenant), keys ...string) routing.Item {
	tenant := &routing.Tenant{Name: name}
	for _, key := range keys {
		tenant.Keys = append(tenant.Keys, routing.DigestKey([]byte(key)))
	}
	if change != nil {
		change(tenant)
	}
	return routing.Item{Section: routing.SectionTenants, Name: name, Tenant: tenant}
}

// startTenantRouter starts a router with a route that is changed and two tenants, the first of which is changed too.
// It returns the headers with which the backend is called.
func startTenantRouter(t *testing.T, changeRoute func(*routing.Route), changeTenant func(*routing.Tenant)) (*Router, chan http.Header) {
	t.Helper()
	received := make(chan http.Header, 16)
	router, _ := startRouter(t, routing.KindSafe, 1, func(header http.Header) cannedResponse {
		received <- header.Clone()
		return okResponse
	})
	router.options.Settings.Headers.Tenant = "X-Tenant"
	router.options.Settings.Regions = map[string]string{"a": "north", "b": "south"}
	change := routesFor(routing.KindSafe, 2*time.Second)
	change.Version = 2
	changeRoute(change.Upsert[0].Route)
	change.Upsert = append(change.Upsert, tenantItem("first", changeTenant, "key-one", "key-two"), tenantItem("second", nil, "key-three"))
	router.table.mutex.Lock()
	router.table.routes = router.table.routes.withChange(change)
	router.table.mutex.Unlock()
	return router, received
}

// askWith sends a request with the given header fields and returns the response.
func askWith(t *testing.T, router *Router, fields map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+"/moved/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "shop.example"
	for name, value := range fields {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response
}

func TestAPIKeysSelectTheTenant(t *testing.T) {
	for name, c := range map[string]struct {
		public bool
		// stale is set if the router's view has not been confirmed.
		stale         bool
		authorization string
		status        int
		tenant        string
	}{
		"known":                 {authorization: "Bearer key-two", status: http.StatusOK, tenant: "first"},
		"of another tenant":     {authorization: "Bearer key-three", status: http.StatusOK, tenant: "second"},
		"unknown":               {authorization: "Bearer key-four", status: http.StatusUnauthorized},
		"none":                  {status: http.StatusUnauthorized},
		"unknown, old view":     {authorization: "Bearer key-four", stale: true, status: http.StatusServiceUnavailable},
		"known, old view":       {authorization: "Bearer key-one", stale: true, status: http.StatusOK, tenant: "first"},
		"none, public":          {public: true, status: http.StatusOK},
		"unknown, public":       {public: true, authorization: "Bearer key-four", status: http.StatusOK},
		"known, on public":      {public: true, authorization: "Bearer key-one", status: http.StatusOK, tenant: "first"},
		"known, with more text": {authorization: "Bearer key-one key-three", status: http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router, received := startTenantRouter(t, func(route *routing.Route) { route.Public = c.public }, nil)
			if c.stale {
				router.freshness = freshness{}
				router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() - unmatchedBound, revision: 1}, 1)
			}
			fields := map[string]string{"X-Tenant": "forged"}
			if c.authorization != "" {
				fields["Authorization"] = c.authorization
			}
			response := askWith(t, router, fields)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("WWW-Authenticate") != "", c.status == http.StatusUnauthorized)
			if c.status != http.StatusOK {
				is.Equal(len(received), 0)
				return
			}
			header := <-received
			is.Equal(header.Get("X-Tenant"), c.tenant)
			is.Equal(header.Get("Authorization"), "")
		})
	}
}

// Guards against keys that go on working on kept connections after they were taken away.
func TestKeyThatWasTakenAwayEnds(t *testing.T) {
	is := is.New(t)
	router, _ := startTenantRouter(t, func(*routing.Route) {}, nil)
	fields := map[string]string{"Authorization": "Bearer key-one"}
	is.Equal(askWith(t, router, fields).StatusCode, http.StatusOK)
	router.table.mutex.Lock()
	router.table.routes = router.table.routes.withChange(&routing.Change{Base: 2, Version: 3, Upsert: []routing.Item{tenantItem("first", nil, "key-two")}})
	router.table.mutex.Unlock()
	is.Equal(askWith(t, router, fields).StatusCode, http.StatusUnauthorized)
	fields["Authorization"] = "Bearer key-two"
	is.Equal(askWith(t, router, fields).StatusCode, http.StatusOK)
}

func TestPriorityOfTheTenantGoesFirst(t *testing.T) {
	for name, c := range map[string]struct {
		tenant func(*routing.Tenant)
		want   string
	}{
		"tenant without one": {nil, "3"},
		"tenant's is higher": {func(t *routing.Tenant) { t.Priority, t.HasPriority = 0, true }, "0"},
		"tenant's is lower":  {func(t *routing.Tenant) { t.Priority, t.HasPriority = 7, true }, "7"},
	} {
		t.Run(name, func(t *testing.T) {
			router, received := startTenantRouter(t, func(route *routing.Route) { route.Priority = 3 }, c.tenant)
			askWith(t, router, map[string]string{"Authorization": "Bearer key-one"})
			if got := (<-received).Get("Limehold-Priority"); got != c.want {
				t.Errorf("priority is %q, want %q", got, c.want)
			}
		})
	}
}

// The instances of the router are in zone a, region north.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, c := range map[string]struct {
		route, tenant []string
		reason        string
	}{
		"no bounds":             {nil, nil, ""},
		"route's region":        {[]string{"north", "west"}, nil, ""},
		"another of the route":  {[]string{"south"}, nil, "region"},
		"another of the tenant": {[]string{"north"}, []string{"south"}, "region"},
		"unknown region":        {[]string{"nowhere"}, nil, "region"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router, received := startTenantRouter(t, func(route *routing.Route) { route.Regions = c.route }, func(tenant *routing.Tenant) { tenant.Regions = c.tenant })
			response := askWith(t, router, map[string]string{"Authorization": "Bearer key-one"})
			is.Equal(response.Header.Get("Limehold-Reason"), c.reason)
			is.Equal(len(received) == 0, c.reason != "")
			is.Equal(response.StatusCode == http.StatusServiceUnavailable, c.reason != "")
		})
	}
}
