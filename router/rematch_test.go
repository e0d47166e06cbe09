package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
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

// firstOutcome is what becomes of the first attempt at a request.
type firstOutcome string

const (
	outcomeNotRun  firstOutcome = "not run"
	outcomeRan     firstOutcome = "run, answer lost"
	outcomeRefused firstOutcome = "superseded"
)

// rematchBackends are instances of two services whose ingresses know a newer route table than the router. The first
// attempt at the former service has the given outcome, later ones are rejected as superseded.
type rematchBackends struct {
	first   firstOutcome
	runs    atomic.Int64
	arrived atomic.Int64
	// superseded is called before an attempt is rejected as superseded.
	superseded func()
}

func (b *rematchBackends) serveFormer(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
	first := b.arrived.Add(1) == 1
	if first && b.first == outcomeRan {
		b.runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	writer.Header().Set(wire.HeaderFromIngress, "1")
	if first && b.first == outcomeNotRun {
		writer.Header().Set(wire.HeaderReason, wire.BackendReasonFull)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.superseded()
	writer.Header().Set(wire.HeaderReason, wire.BackendReasonSuperseded)
	writer.Header().Set(wire.HeaderRouteVersion, "2")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func (b *rematchBackends) serveNew(writer http.ResponseWriter, request *http.Request) {
	b.runs.Add(1)
	writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
	writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
}

// tableOfKind returns a route table whose route is of a kind.
func tableOfKind(version uint64, kind routing.Kind, service string) *routing.Change {
	change := routesOf(version, shareOf(service))
	change.Upsert[0].Route.Kind = kind
	return change
}

// startRematchRouter starts a router with the table of the former route; the newer one arrives with the first
// rejection that names it.
func startRematchRouter(t *testing.T, backends *rematchBackends, former, newer routing.Kind) *Router {
	t.Helper()
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), ExpectRouteTable: true})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = router.server.Serve(router.listener) }()
	t.Cleanup(func() { _ = router.server.Shutdown() })
	backends.superseded = func() {
		router.table.apply(&wire.Update{From: 1, Revision: 2, Routes: tableOfKind(2, newer, "new")})
	}
	snapshot := &wire.Update{Snapshot: true, Revision: 1, Routes: tableOfKind(1, former, "former")}
	session := membership.SessionID(0)
	for service, handler := range map[string]http.HandlerFunc{"former": backends.serveFormer, "new": backends.serveNew} {
		spec := catalog.NewSpec()
		spec.Pool, spec.RetryBudgetPercent = service, 100
		spec.Complete()
		snapshot.Services = append(snapshot.Services, wire.ServiceView{Name: service, Revision: 1, Spec: spec})
		for range 2 {
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			session++
			snapshot.Nodes = append(snapshot.Nodes, wire.NodeView{
				Session: session, Name: fmt.Sprint(service, "-", session), Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Pool: service, Slots: 10, Connections: 10, SelfLimited: true,
			})
		}
	}
	if !router.table.apply(snapshot) {
		t.Fatal("the snapshot was not applied")
	}
	router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)
	return router
}

// Guards against a request that earns a part of a retry at each service that it is matched to.
func TestRematchedRequestEarnsOnce(t *testing.T) {
	is := is.New(t)
	router := startRematchRouter(t, &rematchBackends{first: outcomeRefused}, routing.KindSafe, routing.KindSafe)
	credit := func() float64 {
		return router.table.services["former"].budget.credit() + router.table.services["new"].budget.credit()
	}
	before := credit()
	status, _ := askRouter(t, router)
	is.Equal(status, http.StatusOK)
	is.Equal(credit()-before, 1.0) // the budgets of the test are of 100 percent
}

// Guards against a second run of a request that may have run and is then matched to a route which does not allow
// that.
func TestRematchedRequestRunsOnceUnlessBothRoutesAllowMore(t *testing.T) {
	kinds := []routing.Kind{routing.KindSafe, routing.KindUnsafe, routing.KindDownload}
	for _, former := range kinds {
		for _, newer := range kinds {
			for _, first := range []firstOutcome{outcomeNotRun, outcomeRan, outcomeRefused} {
				t.Run(fmt.Sprintf("%s, then %s, first %s", former, newer, first), func(t *testing.T) {
					is := is.New(t)
					backends := &rematchBackends{first: first}
					router := startRematchRouter(t, backends, former, newer)
					status, _ := askRouter(t, router)
					runs := backends.runs.Load()
					switch {
					case first != outcomeRan:
						is.Equal(status, http.StatusOK)
						is.Equal(runs, int64(1))
					case former.Repeatable() && newer.Repeatable():
						is.Equal(status, http.StatusOK)
						is.Equal(runs, int64(2))
					default:
						is.Equal(status, http.StatusBadGateway) // not a status that promises that it did not run
						is.Equal(runs, int64(1))
					}
				})
			}
		}
	}
}
