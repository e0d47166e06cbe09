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

// routesOf returns a route table of one route, or of none if there are no shares.
func routesOf(version uint64, shares ...routing.Share) *routing.Change {
	change := &routing.Change{Version: version, ReplaceAll: true}
	if len(shares) > 0 {
		change.Upsert = []routing.Item{{Section: routing.SectionRoutes, Name: "moved", Route: &routing.Route{
			Name: "moved", Host: "shop.example", PathPrefix: "/moved/", Kind: routing.KindSafe, Timeout: 2 * time.Second, MaxAttempts: 2, Split: shares,
		}}}
	}
	return change
}

func shareOf(service string) routing.Share { return routing.Share{Service: service, Weight: 1} }

// A newer table decides whether a request still leads to a service; one that is not newer
// does not.
func TestNewerTableSaysWhereRequestsLead(t *testing.T) {
	for name, c := range map[string]struct {
		table   *routing.Change
		matched uint64
		version uint64
		leads   bool
	}{
		"no table":                        {nil, 3, 3, true},
		"the same table":                  {routesOf(3, shareOf("new")), 3, 3, true},
		"an older table":                  {routesOf(2, shareOf("new")), 3, 3, true},
		"newer, the route is as it was":   {routesOf(4, shareOf("former")), 3, 4, true},
		"newer, the route has moved":      {routesOf(4, shareOf("new")), 3, 4, false},
		"newer, the route is split":       {routesOf(4, shareOf("new"), shareOf("former")), 3, 4, true},
		"newer, its part has shrunk to 0": {routesOf(4, shareOf("new"), routing.Share{Service: "former"}), 3, 4, false},
		"newer, the route is gone":        {routesOf(4), 3, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Router{table: testTable()}
			is.True(r.table.apply(&wire.Update{Snapshot: true, Revision: 1, Routes: c.table}))
			version, leads := r.RoutesTo([]byte("Shop.example:80"), []byte("/moved/1"), "former", c.matched)
			is.Equal(version, c.version)
			is.Equal(leads, c.leads)
		})
	}
}

// startNode starts an instance with its ingress, which rejects requests that were matched by a
// table older than tableVersion.
func startNode(t *testing.T, tableVersion uint64, requests *atomic.Int64, rejections chan<- struct{}) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		requests.Add(1)
		writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
		if request.Header.Get(wire.HeaderRouteVersion) < strconv.FormatUint(tableVersion, 10) {
			writer.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
			writer.Header().Set(wire.HeaderReason, wire.BackendReasonSuperseded)
			writer.Header().Set(wire.HeaderFromIngress, "1")
			writer.Header().Set(wire.HeaderRouteVersion, strconv.FormatUint(tableVersion, 10))
			writer.WriteHeader(http.StatusServiceUnavailable)
			rejections <- struct{}{}
			return
		}
		writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
		_, _ = io.WriteString(writer, request.Header.Get(wire.HeaderService))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// A request that an ingress rejects as superseded is matched again once the newer table arrives,
// and rejected if it does not arrive in time; then the former service receives no more requests.
func TestRequestIsMatchedAgainByTheTableThatItsIngressKnows(t *testing.T) {
	for name, c := range map[string]struct {
		// next is the table that arrives while the request waits, nil if none does.
		next           *routing.Change
		status         int
		body           string
		formerRequests int64
		rejectsNext    bool
	}{
		"the newer table comes":         {routesOf(2, shareOf("new")), http.StatusOK, "new", 1, false},
		"a table newer still comes":     {routesOf(3, shareOf("new")), http.StatusOK, "new", 1, false},
		"the route is gone in it":       {routesOf(2), http.StatusNotFound, "", 1, false},
		"the newer table does not come": {nil, http.StatusServiceUnavailable, "", 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := settings.Default()
			config.Name, config.Zone = "router-1", "a"
			router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), ExpectRouteTable: true})
			is.NoErr(err)
			go func() { _ = router.server.Serve(router.listener) }()
			defer func() { _ = router.server.Shutdown() }()
			var former, moved atomic.Int64
			rejections := make(chan struct{}, 8)
			snapshot := &wire.Update{Snapshot: true, Revision: 1, Routes: routesOf(1, shareOf("former"))}
			for i, service := range []string{"former", "new"} {
				spec := catalog.NewSpec()
				spec.Pool = service
				spec.Complete()
				snapshot.Services = append(snapshot.Services, wire.ServiceView{Name: service, Revision: 1, Spec: spec})
				requests := &former
				if service == "new" {
					requests = &moved
				}
				snapshot.Nodes = append(snapshot.Nodes, wire.NodeView{
					Session: membership.SessionID(i + 1), Name: service, Zone: "a", Address: startNode(t, 2, requests, rejections), Pool: service, Slots: 10, Connections: 10, SelfLimited: true,
				})
			}
			is.True(router.table.apply(snapshot))
			router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)

			if c.next != nil {
				go func() {
					<-rejections
					router.table.apply(&wire.Update{From: 1, Revision: 2, Routes: c.next})
				}()
			}
			status, body := askRouter(t, router)
			is.Equal(status, c.status)
			if c.body != "" {
				is.Equal(body, c.body)
			}
			is.Equal(former.Load(), c.formerRequests)
			if c.rejectsNext {
				status, _ := askRouter(t, router)
				is.Equal(status, http.StatusServiceUnavailable)
				is.Equal(former.Load(), c.formerRequests) // rejected without an attempt
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
