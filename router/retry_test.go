package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold/catalog"
	"limehold/clock"
	"limehold/membership"
	"limehold/metrics"
	"limehold/routing"
	"limehold/settings"
	"limehold/wire"
)

// refusingBackends refuse the first arrivals of each request and serve the others.
type refusingBackends struct {
	reason   string
	refusals int
	// fromIngress is set if it is the ingress that refuses, so that the request does not reach the instance.
	fromIngress bool

	mutex    sync.Mutex
	arrivals map[string]int
}

func (b *refusingBackends) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(wire.HeaderRequestID)
	b.mutex.Lock()
	b.arrivals[id]++
	refused := b.arrivals[id] <= b.refusals
	b.mutex.Unlock()
	writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
	writer.Header().Set(wire.HeaderLoad, "1,0,10,10,1000,0,0")
	if !refused {
		writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
		return
	}
	writer.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	writer.Header().Set(wire.HeaderReason, b.reason)
	if b.fromIngress {
		writer.Header().Set(wire.HeaderFromIngress, strconv.FormatBool(true))
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// repeats returns the number of arrivals beyond the first of their request.
func (b *refusingBackends) repeats() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	repeats := 0
	for _, count := range b.arrivals {
		repeats += count - 1
	}
	return repeats
}

// limitedRetries are the settings of a deployment that limits its retries.
const (
	limitedRetrySlack = 58
	limitedRetryRatio = 0.2
)

// startLimitedRouters starts routers of a deployment that limits its retries, in front of the same nodes of one
// service. changes are applied to the settings of each.
func startLimitedRouters(t *testing.T, count int, keyed bool, backends http.Handler, changes ...func(*settings.Settings)) []*Router {
	t.Helper()
	spec := catalog.NewSpec()
	spec.Pool, spec.RetryBudgetPercent, spec.Keyed, spec.Shards = "orders", 17, keyed, 4
	spec.Key = catalog.KeyRule{Source: catalog.KeyFromHeader, Name: "X-Key"}
	spec.Complete()
	snapshot := &wire.Update{Snapshot: true, Revision: 1, Services: []wire.ServiceView{{Name: "orders", Revision: 1, Spec: spec}}, Routes: routesFor(routing.KindSafe, 2*time.Second)}
	owned := wire.ServiceShards{Service: "orders"}
	for n := range count {
		server := httptest.NewServer(backends)
		t.Cleanup(server.Close)
		session := membership.SessionID(n + 1)
		snapshot.Nodes = append(snapshot.Nodes, wire.NodeView{
			Session: session, Name: fmt.Sprint("node-", n), Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Pool: "orders", Slots: 1000, Connections: 1000, SelfLimited: true,
		})
		owned.Shards = append(owned.Shards, wire.ShardView{Shard: uint32(n), Owner: session, Epoch: 1})
	}
	if keyed {
		snapshot.Shards = []wire.ServiceShards{owned}
	}
	var routers []*Router
	for n := range count {
		config := settings.Default()
		config.Name, config.Zone = fmt.Sprint("router-", n), "a"
		config.Router.RetrySlack, config.Router.RetryRatio = limitedRetrySlack, limitedRetryRatio
		for _, change := range changes {
			change(&config)
		}
		router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), ExpectRouteTable: true})
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = router.server.Serve(router.listener) }()
		t.Cleanup(func() { _ = router.server.Shutdown() })
		if !router.table.apply(snapshot) {
			t.Fatal("the snapshot was not applied")
		}
		router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)
		routers = append(routers, router)
	}
	return routers
}

// Guards against refusals by instances themselves after which requests are sent again without limit, because only
// some of the reasons were charged to the retry budget.
func TestRepeatsAfterAnyRefusalStayWithinTheLimit(t *testing.T) {
	const routers, requests = 4, 1000
	for name, c := range map[string]struct {
		reason      string
		keyed       bool
		fromIngress bool
	}{
		"not the owner":                 {reason: wire.BackendReasonNotOwner, keyed: true},
		"draining":                      {reason: wire.BackendReasonDraining, keyed: true},
		"zone drained":                  {reason: wire.BackendReasonZoneDrained, keyed: true},
		"full, with free slots":         {reason: wire.BackendReasonFull, keyed: true},
		"full, any instance may run it": {reason: wire.BackendReasonFull},
		"not the owner, by the ingress": {reason: wire.BackendReasonNotOwner, keyed: true, fromIngress: true},
	} {
		t.Run(name, func(t *testing.T) {
			backends := &refusingBackends{reason: c.reason, refusals: 1, fromIngress: c.fromIngress, arrivals: map[string]int{}}
			started := startLimitedRouters(t, routers, c.keyed, backends)
			var group errgroup.Group
			group.SetLimit(32)
			for number := range requests {
				group.Go(func() error { return askLimited(started[number%routers], number) })
			}
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			repeats := backends.repeats()
			if c.fromIngress {
				// No instance received the first attempt, so all requests may be sent again.
				if repeats != requests {
					t.Errorf("%d of %d requests were sent again after a refusal by the ingress", repeats, requests)
				}
				return
			}
			if limit := limitedRetryRatio*requests + limitedRetrySlack; float64(repeats) > limit {
				t.Errorf("%d arrivals beyond the first of %d requests, %.0f are allowed", repeats, requests, limit)
			}
			if least := 0.16 * requests; float64(repeats) < least {
				t.Errorf("only %d of %d requests were sent again", repeats, requests)
			}
		})
	}
}

// Guards against a request that reaches instances more often than its route allows, because refusals by the owner
// itself were no attempts.
func TestRefusalsByTheOwnerAreAttempts(t *testing.T) {
	backends := &refusingBackends{reason: wire.BackendReasonNotOwner, refusals: 100, arrivals: map[string]int{}}
	router := startLimitedRouters(t, 1, true, backends)[0]
	for range 100 {
		router.table.services["orders"].budget.deposit()
	}
	if err := askLimited(router, 0); err != nil {
		t.Fatal(err)
	}
	most := routesFor(routing.KindSafe, time.Second).Upsert[0].Route.MaxAttempts
	if arrivals := backends.repeats() + 1; arrivals > most {
		t.Errorf("%d arrivals, the route allows %d", arrivals, most)
	}
}

// askLimited sends one request of a service that is divided by key.
func askLimited(router *Router, number int) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+"/moved/1", nil)
	if err != nil {
		return err
	}
	request.Host = "shop.example"
	request.Header.Set("X-Key", strconv.Itoa(number))
	request.Header.Set(wire.HeaderRequestID, fmt.Sprint("request-", number))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// An ingress rejects a request whose run would most likely outlast its deadline at its instance. Another instance may
// be faster, but the owner of a key is the only one that may run a keyed request.
func TestRequestTooLongForOneInstanceMayRunAtAnother(t *testing.T) {
	for name, c := range map[string]struct {
		keyed    bool
		arrivals int
	}{
		"any instance may run it": {false, 2},
		"only the owner may":      {true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			backends := &refusingBackends{reason: wire.BackendReasonDeadline, refusals: 1, fromIngress: true, arrivals: map[string]int{}}
			router := startLimitedRouters(t, 2, c.keyed, backends)[0]
			if err := askLimited(router, 0); err != nil {
				t.Fatal(err)
			}
			if arrivals := backends.repeats() + 1; arrivals != c.arrivals {
				t.Errorf("%d attempts, want %d", arrivals, c.arrivals)
			}
		})
	}
}
