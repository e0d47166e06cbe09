package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/admission"
	"limehold/catalog"
	"limehold/clock"
	"limehold/codec"
	"limehold/fleet"
	"limehold/membership"
	"limehold/metrics"
	"limehold/quarantine"
	"limehold/routing"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

// cannedResponse is the response of an ingress to a request.
type cannedResponse struct{ status, outcome, reason string }

// startRouter starts a router in front of some nodes of a service, all of which respond
// alike. It returns the router and a count of the attempts that the nodes receive.
func startRouter(t *testing.T, kind routing.Kind, nodes int, respond func(http.Header) cannedResponse) (*Router, *atomic.Int64) {
	t.Helper()
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), ExpectRouteTable: true})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = router.server.Serve(router.listener) }()
	t.Cleanup(func() { _ = router.server.Shutdown() })
	attempts := &atomic.Int64{}
	spec := catalog.NewSpec()
	spec.Pool = "orders"
	spec.Complete()
	snapshot := &wire.Update{Snapshot: true, Revision: 1, Services: []wire.ServiceView{{Name: "orders", Revision: 1, Spec: spec}}}
	snapshot.Routes = routesFor(kind, 2*time.Second)
	for n := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			attempts.Add(1)
			_, _ = io.Copy(io.Discard, request.Body)
			response := respond(request.Header)
			writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
			writer.Header().Set(wire.HeaderOutcome, response.outcome)
			writer.Header().Set(wire.HeaderReason, response.reason)
			if response.outcome == wire.OutcomeNotRun {
				writer.Header().Set(wire.HeaderFromIngress, "1")
			}
			status := http.StatusOK
			_, _ = fmt.Sscan(response.status, &status)
			writer.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		snapshot.Nodes = append(snapshot.Nodes, wire.NodeView{
			Session: membership.SessionID(n + 1), Name: fmt.Sprint("node-", n), Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Pool: "orders", Slots: 10, Connections: 10, SelfLimited: true,
		})
	}
	if !router.table.apply(snapshot) {
		t.Fatal("the first update was not applied")
	}
	router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)
	for range 100 {
		// Fills the retry budget, so that it does not limit attempts.
		router.table.services["orders"].budget.deposit()
	}
	return router, attempts
}

// routesFor returns a route table of one route.
func routesFor(kind routing.Kind, timeout time.Duration) *routing.Change {
	return &routing.Change{Version: 1, ReplaceAll: true, Upsert: []routing.Item{{Section: routing.SectionRoutes, Name: "r", Route: &routing.Route{
		Name: "r", Host: "shop.example", PathPrefix: "/moved/", Kind: kind, Timeout: timeout, MaxAttempts: 4, Split: []routing.Share{shareOf("orders")},
	}}}}
}

// requestIdentity returns the identity of the requests that askRouter sends.
func requestIdentity(router *Router) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Host: []byte("shop.example"), Target: []byte("/moved/1"), Caller: [][]byte{{}, {}, {}}}
	identity, _ := request.Identity(nil)
	return identity
}

// applyView applies an update with one quarantine record to the router.
func applyView(router *Router, view quarantine.View) {
	revision := router.table.currentRevision()
	router.table.apply(&wire.Update{From: revision, Revision: revision + 1, Quarantine: []quarantine.View{view}})
}

var (
	crashedResponse     = cannedResponse{"502", wire.OutcomeUnknown, wire.BackendReasonCrashed}
	noResponse          = cannedResponse{"502", wire.OutcomeUnknown, reasonNoAnswer}
	okResponse          = cannedResponse{"200", wire.OutcomeOK, ""}
	quarantinedResponse = cannedResponse{"503", wire.OutcomeNotRun, wire.BackendReasonQuarantined}
)

// A request is not sent again after two crashes, and its answer states whether it may have run.
func TestAttemptsOfARequestUnderWhichInstancesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		kind     routing.Kind
		answers  []cannedResponse
		attempts int64
		status   int
		outcome  string
	}{
		"one ends, another serves it":             {routing.KindSafe, []cannedResponse{crashedResponse, okResponse}, 2, http.StatusOK, wire.OutcomeOK},
		"two end":                                 {routing.KindSafe, []cannedResponse{crashedResponse, crashedResponse, okResponse}, 2, http.StatusBadGateway, wire.OutcomeUnknown},
		"connections break, no instance ends":     {routing.KindSafe, []cannedResponse{noResponse, noResponse, okResponse}, 3, http.StatusOK, wire.OutcomeOK},
		"it must not run again":                   {routing.KindUnsafe, []cannedResponse{crashedResponse, okResponse}, 1, http.StatusBadGateway, wire.OutcomeUnknown},
		"the ingress knows that it is not to run": {routing.KindSafe, []cannedResponse{quarantinedResponse, okResponse}, 1, http.StatusBadRequest, wire.OutcomeNotRun},
		"and so for one that must not run again":  {routing.KindUnsafe, []cannedResponse{quarantinedResponse, okResponse}, 1, http.StatusBadRequest, wire.OutcomeNotRun},
		// The request may have run at the first instance, so "not run" would be false.
		"one ends, the next ingress knows": {routing.KindSafe, []cannedResponse{crashedResponse, quarantinedResponse}, 2, http.StatusBadGateway, wire.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mutex sync.Mutex
			left := c.answers
			router, attempts := startRouter(t, c.kind, 5, func(http.Header) cannedResponse {
				mutex.Lock()
				defer mutex.Unlock()
				next := left[0]
				left = left[1:]
				return next
			})
			status, header := askFor(t, router)
			is.Equal(attempts.Load(), c.attempts)
			is.Equal(status, c.status)
			is.Equal(header.Get(wire.HeaderOutcome), c.outcome)
		})
	}
}

// askFor sends a request and returns the status and header of the response.
func askFor(t *testing.T, router *Router) (int, http.Header) {
	t.Helper()
	return askForPath(t, router, "/moved/1")
}

func askForPath(t *testing.T, router *Router, path string) (int, http.Header) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "shop.example"
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode, response.Header
}

// A quarantined request is rejected at once, with a status that callers do not retry; one that
// is only suspected, or has been released, is sent.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		rows   []quarantine.View
		status int
	}{
		"quarantined": {[]quarantine.View{{Opened: 1, Crashes: 3, Quarantined: true}}, http.StatusBadRequest},
		"suspected":   {[]quarantine.View{{Opened: 1, Crashes: 2}}, http.StatusOK},
		"released":    {[]quarantine.View{{Opened: 1, Crashes: 3, Quarantined: true}, {Removed: true}}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router, attempts := startRouter(t, routing.KindSafe, 2, func(http.Header) cannedResponse { return okResponse })
			for _, row := range c.rows {
				row.Digest = requestIdentity(router).Any
				applyView(router, row)
			}
			status, header := askFor(t, router)
			is.Equal(status, c.status)
			if status == http.StatusOK {
				return
			}
			is.Equal(attempts.Load(), int64(0))
			is.Equal(header.Get(wire.HeaderOutcome), wire.OutcomeNotRun)
			is.Equal(header.Get(wire.HeaderReason), wire.BackendReasonQuarantined)
			is.Equal(header.Get("Retry-After"), "")
		})
	}
}

// A request that is quarantined while it is in flight is not sent again, and is not reported as
// "not run" if it may have run.
func TestQuarantineIsLearnedOnTheWay(t *testing.T) {
	for name, c := range map[string]struct {
		first   cannedResponse
		status  int
		outcome string
	}{
		"its first attempt may have run": {noResponse, http.StatusBadGateway, wire.OutcomeUnknown},
		"its first attempt was refused":  {cannedResponse{"503", wire.OutcomeNotRun, wire.BackendReasonFull}, http.StatusBadRequest, wire.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var router *Router
			router, attempts := startRouter(t, routing.KindSafe, 3, func(http.Header) cannedResponse {
				applyView(router, quarantine.View{Digest: requestIdentity(router).Any, Opened: 1, Crashes: 3, Quarantined: true})
				return c.first
			})
			status, header := askFor(t, router)
			is.Equal(attempts.Load(), int64(1))
			is.Equal(status, c.status)
			is.Equal(header.Get(wire.HeaderOutcome), c.outcome)
		})
	}
}

// A request that is quarantined while it waits for a slot of an instance without an ingress is
// not sent.
func TestQuarantineIsLearnedWhileWaiting(t *testing.T) {
	is := is.New(t)
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	router, attempts := startRouter(t, routing.KindSafe, 1, func(http.Header) cannedResponse {
		started <- struct{}{}
		<-proceed
		return okResponse
	})
	withoutIngress(t, router, 1)
	running, queued := make(chan int, 1), make(chan int, 1)
	ask := func(path string, answered chan int) {
		status, _ := askForPath(t, router, path)
		answered <- status
	}
	go ask("/moved/other", running)
	<-started
	go ask("/moved/1", queued)
	waiting, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(await(waiting, func() bool {
		count := 0
		router.table.services["orders"].pool.withGate(func(gate *admission.Gate) { count = gate.QueueLen() })
		return count == 1
	}))
	applyView(router, quarantine.View{Digest: requestIdentity(router).Any, Opened: 1, Crashes: 3, Quarantined: true})
	close(proceed)
	is.Equal(<-running, http.StatusOK)
	is.Equal(<-queued, http.StatusBadRequest)
	is.Equal(attempts.Load(), int64(1))
}

// withoutIngress removes the ingress of a router's only node, and sets the node's slots.
func withoutIngress(t *testing.T, router *Router, slots int) {
	t.Helper()
	node := *router.table.node(1)
	node.SelfLimited, node.Slots = false, slots
	if !router.table.apply(&wire.Update{From: 1, Revision: 2, Nodes: []wire.NodeView{node}}) {
		t.Fatal("the update was not applied")
	}
}

// An update that is older than the current revision does not restore a released quarantine.
func TestOlderUpdatesDoNotReleaseOrQuarantine(t *testing.T) {
	is := is.New(t)
	router, _ := startRouter(t, routing.KindSafe, 1, func(http.Header) cannedResponse { return okResponse })
	row := quarantine.View{Digest: requestIdentity(router).Any, Opened: 2, Crashes: 3, Quarantined: true}
	router.table.apply(&wire.Update{From: 1, Revision: 2, Quarantine: []quarantine.View{row}})
	router.table.apply(&wire.Update{From: 2, Revision: 3, Quarantine: []quarantine.View{{Digest: row.Digest, Removed: true}}})
	router.table.apply(&wire.Update{From: 1, Revision: 2, Quarantine: []quarantine.View{row}})
	status, _ := askFor(t, router)
	is.Equal(status, http.StatusOK)
}

// decidingMember is a control member that decides on trials, and rejects the first reports.
type decidingMember struct {
	grantsTrial bool
	// rejections is the number of reports that are still to be rejected.
	rejections    atomic.Int64
	trialRequests atomic.Int64
	accepted      chan fleet.Report
}

// Inline implements transport.Handler.
func (d *decidingMember) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (d *decidingMember) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	switch kind {
	case wire.KindConfirm:
		return &wire.ConfirmReply{}, nil
	case wire.KindTrial:
		d.trialRequests.Add(1)
		return &wire.TrialReply{Granted: d.grantsTrial}, nil
	case wire.KindReport:
		if d.rejections.Add(-1) >= 0 {
			return nil, &wire.Error{Code: wire.CodeNotLeader}
		}
		report := &wire.Report{}
		if err := codec.Unmarshal(payload, report); err != nil {
			return nil, err
		}
		for _, item := range report.Reports {
			d.accepted <- item
		}
	}
	return struct{}{}, nil
}

// followMember makes a router follow a member.
func followMember(t *testing.T, router *Router, member transport.Handler) {
	t.Helper()
	server, err := transport.Listen("127.0.0.1:0", member, transport.Options{Local: wire.Hello{Version: wire.ProtocolVersion, Role: wire.RoleControl, Cluster: "limehold"}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { _ = server.Run(ctx) })
	router.options.Settings.Router.Control = []string{server.Address()}
	all.Go(func() { _ = router.follow(ctx) })
	all.Go(func() { _ = router.sendReports(ctx) })
	t.Cleanup(func() {
		stop()
		all.Wait()
	})
	waiting, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	if err := await(waiting, func() bool { return router.follower.conn() != nil }); err != nil {
		t.Fatal(err)
	}
}

// A trial is a single attempt of one request, by the router to which control grants the trial.
func TestTrialIsOneAttempt(t *testing.T) {
	offered := quarantine.Trial{Number: 5}
	for name, c := range map[string]struct {
		trial         quarantine.Trial
		grantsTrial   bool
		answer        cannedResponse
		statuses      []int // of the same request, sent repeatedly
		trialRequests int64
		attempts      int64
	}{
		"none is offered":        {quarantine.Trial{}, true, okResponse, []int{400, 400}, 0, 0},
		"it is another router's": {quarantine.Trial{Number: 5, Holder: "router-2"}, true, okResponse, []int{400, 400}, 0, 0},
		"it is given":            {offered, true, okResponse, []int{200, 400}, 1, 1},
		"it is not given":        {offered, false, okResponse, []int{400, 400}, 1, 0},
		"it fails":               {offered, true, crashedResponse, []int{502, 400}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var numbers []string
			router, attempts := startRouter(t, routing.KindSafe, 3, func(header http.Header) cannedResponse {
				numbers = append(numbers, header.Get(wire.HeaderTrial))
				return c.answer
			})
			member := &decidingMember{grantsTrial: c.grantsTrial}
			followMember(t, router, member)
			applyView(router, quarantine.View{Digest: requestIdentity(router).Any, Opened: 1, Crashes: 3, Quarantined: true, Trial: c.trial})
			for _, wanted := range c.statuses {
				status, _ := askFor(t, router)
				is.Equal(status, wanted)
			}
			is.Equal(member.trialRequests.Load(), c.trialRequests)
			is.Equal(attempts.Load(), c.attempts)
			for _, number := range numbers {
				is.Equal(number, "5")
			}
		})
	}
}

// Reports are sent again until control accepts them.
func TestReportsAreToldUntilTheyAreTaken(t *testing.T) {
	is := is.New(t)
	router, _ := startRouter(t, routing.KindSafe, 1, func(http.Header) cannedResponse { return okResponse })
	member := &decidingMember{accepted: make(chan fleet.Report, 64)}
	member.rejections.Store(2)
	followMember(t, router, member)
	router.crashReports.Report(fleet.Report{Crash: &quarantine.CrashReport{Instance: "i-1"}})
	router.crashReports.Report(fleet.Report{Crash: &quarantine.CrashReport{Instance: "i-2"}})
	received := map[string]bool{}
	for len(received) < 2 {
		select {
		case report := <-member.accepted:
			received[report.Crash.Instance] = true
		case <-time.After(10 * time.Second):
			t.Fatal("reports were not sent again")
		}
	}
	waiting, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(await(waiting, func() bool {
		reports, _ := router.crashReports.Pending(8)
		return len(reports) == 0
	}))
}
