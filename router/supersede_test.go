package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/clock"
	"limehold/membership"
	"limehold/metrics"
	"limehold/routing"
	"limehold/settings"
	"limehold/wire"
)

// routesOf is a route table of one route; no shares: it has none.
func routesOf(version uint64, shares ...routing.Share) *routing.Change {
	change := &routing.Change{Version: version, Whole: true}
	if len(shares) > 0 {
		change.Upsert = []routing.Item{{Section: routing.SectionRoutes, Name: "moved", Route: &routing.Route{
			Name: "moved", Host: "shop.example", PathPrefix: "/moved/", Kind: routing.KindSafe, Timeout: 2 * time.Second, MaxAttempts: 2, Split: shares,
		}}}
	}
	return change
}

func to(service string) routing.Share { return routing.Share{Service: service, Weight: 1} }

// What a newer table says of a request goes; one that is not newer says nothing.
func TestNewerTableSaysWhereRequestsLead(t *testing.T) {
	for name, c := range map[string]struct {
		table   *routing.Change
		matched uint64
		inForce uint64
		leads   bool
	}{
		"no table":                        {nil, 3, 3, true},
		"the same table":                  {routesOf(3, to("new")), 3, 3, true},
		"an older table":                  {routesOf(2, to("new")), 3, 3, true},
		"newer, the route is as it was":   {routesOf(4, to("former")), 3, 4, true},
		"newer, the route has moved":      {routesOf(4, to("new")), 3, 4, false},
		"newer, the route is split":       {routesOf(4, to("new"), to("former")), 3, 4, true},
		"newer, its part has shrunk to 0": {routesOf(4, to("new"), routing.Share{Service: "former"}), 3, 4, false},
		"newer, the route is gone":        {routesOf(4), 3, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Router{table: testTable()}
			is.True(r.table.apply(&wire.Update{Snapshot: true, Revision: 1, Routes: c.table}))
			inForce, leads := r.Leads([]byte("Shop.example:80"), []byte("/moved/1"), "former", c.matched)
			is.Equal(inForce, c.inForce)
			is.Equal(leads, c.leads)
		})
	}
}

// startNode is an instance with its ingress: it refuses requests that an older table has
// matched, if it knows a newer one.
func startNode(t *testing.T, known uint64, asked *atomic.Int64, refusing chan<- struct{}) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		asked.Add(1)
		writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
		if request.Header.Get(wire.HeaderRouteVersion) < strconv.FormatUint(known, 10) {
			writer.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
			writer.Header().Set(wire.HeaderReason, wire.BackendReasonSuperseded)
			writer.Header().Set(wire.HeaderInFront, "1")
			writer.Header().Set(wire.HeaderRouteVersion, strconv.FormatUint(known, 10))
			writer.WriteHeader(http.StatusServiceUnavailable)
			refusing <- struct{}{}
			return
		}
		writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
		_, _ = io.WriteString(writer, request.Header.Get(wire.HeaderService))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A request whose ingress knows of a newer table is matched again once that table has come,
// and is refused as not run if it does not; the former service gets nothing more then.
func TestRequestIsMatchedAgainByTheTableThatItsIngressKnows(t *testing.T) {
	for name, c := range map[string]struct {
		// next is the table that comes while the request waits; nil: none does.
		next         *routing.Change
		status       int
		body         string
		formerAsked  int64
		againRefused bool
	}{
		"the newer table comes":         {routesOf(2, to("new")), http.StatusOK, "new", 1, false},
		"a table newer still comes":     {routesOf(3, to("new")), http.StatusOK, "new", 1, false},
		"the route is gone in it":       {routesOf(2), http.StatusNotFound, "", 1, false},
		"the newer table does not come": {nil, http.StatusServiceUnavailable, "", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := settings.Default()
			config.Name, config.Zone = "router-1", "a"
			router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), RouteTable: true})
			is.NoErr(err)
			go func() { _ = router.server.Serve(router.listener) }()
			defer func() { _ = router.server.Shutdown() }()
			var former, moved atomic.Int64
			refusing := make(chan struct{}, 8)
			first := &wire.Update{Snapshot: true, Revision: 1, Routes: routesOf(1, to("former"))}
			for i, service := range []string{"former", "new"} {
				spec := catalog.NewSpec()
				spec.Pool = service
				spec.Complete()
				first.Services = append(first.Services, wire.ServiceView{Name: service, Revision: 1, Spec: spec})
				asked := &former
				if service == "new" {
					asked = &moved
				}
				first.Nodes = append(first.Nodes, wire.NodeView{
					Session: membership.SessionID(i + 1), Name: service, Zone: "a", Address: startNode(t, 2, asked, refusing), Pool: service, Slots: 10, Connections: 10, Gated: true,
				})
			}
			is.True(router.table.apply(first))
			router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)

			if c.next != nil {
				go func() {
					<-refusing
					router.table.apply(&wire.Update{From: 1, Revision: 2, Routes: c.next})
				}()
			}
			status, body := askRouter(t, router)
			is.Equal(status, c.status)
			if c.body != "" {
				is.Equal(body, c.body)
			}
			is.Equal(former.Load(), c.formerAsked)
			if c.againRefused {
				status, _ := askRouter(t, router)
				is.Equal(status, http.StatusServiceUnavailable)
				is.Equal(former.Load(), c.formerAsked) // it was refused at once
			}
		})
	}
}

func askRouter(t *testing.T, router *Router) (status int, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+"/moved/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "shop.example"
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}
