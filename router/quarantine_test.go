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

// answering is how an ingress answers the requests that it gets.
type answering struct{ status, outcome, reason string }

// suspectRouter is a router before some nodes of a service, all of which answer alike. It
// returns how many attempts they got.
func suspectRouter(t *testing.T, kind routing.Kind, nodes int, answer func(http.Header) answering) (*Router, *atomic.Int64) {
	t.Helper()
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), RouteTable: true})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = router.server.Serve(router.listener) }()
	t.Cleanup(func() { _ = router.server.Shutdown() })
	attempts := &atomic.Int64{}
	spec := catalog.NewSpec()
	spec.Pool = "orders"
	spec.Complete()
	first := &wire.Update{Snapshot: true, Revision: 1, Services: []wire.ServiceView{{Name: "orders", Revision: 1, Spec: spec}}}
	first.Routes = routesFor(kind, 2*time.Second)
	for n := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			attempts.Add(1)
			_, _ = io.Copy(io.Discard, request.Body)
			said := answer(request.Header)
			writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
			writer.Header().Set(wire.HeaderOutcome, said.outcome)
			writer.Header().Set(wire.HeaderReason, said.reason)
			if said.outcome == wire.OutcomeNotRun {
				writer.Header().Set(wire.HeaderInFront, "1")
			}
			status := http.StatusOK
			_, _ = fmt.Sscan(said.status, &status)
			writer.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		first.Nodes = append(first.Nodes, wire.NodeView{
			Session: membership.SessionID(n + 1), Name: fmt.Sprint("node-", n), Zone: "a", Address: strings.TrimPrefix(server.URL, "http://"), Pool: "orders", Slots: 10, Connections: 10, Gated: true,
		})
	}
	if !router.table.apply(first) {
		t.Fatal("the first update was not taken")
	}
	router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)
	for range 100 {
		// Retries are not what is bounded here.
		router.table.services["orders"].budget.earn()
	}
	return router, attempts
}

// routesFor is a route table of one route.
func routesFor(kind routing.Kind, timeout time.Duration) *routing.Change {
	return &routing.Change{Version: 1, Whole: true, Upsert: []routing.Item{{Section: routing.SectionRoutes, Name: "r", Route: &routing.Route{
		Name: "r", Host: "shop.example", PathPrefix: "/moved/", Kind: kind, Timeout: timeout, MaxAttempts: 4, Split: []routing.Share{to("orders")},
	}}}}
}

// asked is the identity of the requests that askRouter sends.
func asked(router *Router) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Host: []byte("shop.example"), Target: []byte("/moved/1"), Caller: [][]byte{{}, {}, {}}}
	identity, _ := request.Identity(nil)
	return identity
}

// learn has the router told of its requests by an update.
func learn(router *Router, row quarantine.Row) {
	revision := router.table.inForce()
	router.table.apply(&wire.Update{From: revision, Revision: revision + 1, Quarantine: []quarantine.Row{row}})
}

var (
	endedUnder = answering{"502", wire.OutcomeUnknown, wire.BackendReasonEnded}
	cutOff     = answering{"502", wire.OutcomeUnknown, reasonNoAnswer}
	servedWell = answering{"200", wire.OutcomeOK, ""}
	keptOut    = answering{"503", wire.OutcomeNotRun, wire.BackendReasonQuarantined}
)

// What one request may do by its own attempts, and what its caller is told.
func TestAttemptsOfARequestUnderWhichInstancesEnd(t *testing.T) {
	for name, c := range map[string]struct {
		kind     routing.Kind
		answers  []answering
		attempts int64
		status   int
		outcome  string
	}{
		"one ends, another serves it":             {routing.KindSafe, []answering{endedUnder, servedWell}, 2, http.StatusOK, wire.OutcomeOK},
		"two end":                                 {routing.KindSafe, []answering{endedUnder, endedUnder, servedWell}, 2, http.StatusBadGateway, wire.OutcomeUnknown},
		"connections break, no instance ends":     {routing.KindSafe, []answering{cutOff, cutOff, servedWell}, 3, http.StatusOK, wire.OutcomeOK},
		"it must not run again":                   {routing.KindUnsafe, []answering{endedUnder, servedWell}, 1, http.StatusBadGateway, wire.OutcomeUnknown},
		"the ingress knows that it is not to run": {routing.KindSafe, []answering{keptOut, servedWell}, 1, http.StatusBadRequest, wire.OutcomeNotRun},
		"and so for one that must not run again":  {routing.KindUnsafe, []answering{keptOut, servedWell}, 1, http.StatusBadRequest, wire.OutcomeNotRun},
		// It has run: "not run" would be false by now.
		"one ends, the next ingress knows": {routing.KindSafe, []answering{endedUnder, keptOut}, 2, http.StatusBadGateway, wire.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mutex sync.Mutex
			left := c.answers
			router, attempts := suspectRouter(t, c.kind, 5, func(http.Header) answering {
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

// askFor sends a request and returns how it was answered.
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

// A router that knows of the quarantine refuses at once, with a status that invites nobody
// back; what is only suspected, or released, goes on.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		rows   []quarantine.Row
		status int
	}{
		"quarantined": {[]quarantine.Row{{Opened: 1, Ends: 3, Quarantined: true}}, http.StatusBadRequest},
		"suspected":   {[]quarantine.Row{{Opened: 1, Ends: 2}}, http.StatusOK},
		"released":    {[]quarantine.Row{{Opened: 1, Ends: 3, Quarantined: true}, {Gone: true}}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			router, attempts := suspectRouter(t, routing.KindSafe, 2, func(http.Header) answering { return servedWell })
			for _, row := range c.rows {
				row.Digest = asked(router).Any
				learn(router, row)
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

// What becomes quarantined while a request is on its way keeps it from being sent, or sent
// again, and what has run is not called "not run".
func TestQuarantineIsLearnedOnTheWay(t *testing.T) {
	for name, c := range map[string]struct {
		first   answering
		status  int
		outcome string
	}{
		"its first attempt may have run": {cutOff, http.StatusBadGateway, wire.OutcomeUnknown},
		"its first attempt was refused":  {answering{"503", wire.OutcomeNotRun, wire.BackendReasonFull}, http.StatusBadRequest, wire.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var router *Router
			router, attempts := suspectRouter(t, routing.KindSafe, 3, func(http.Header) answering {
				learn(router, quarantine.Row{Digest: asked(router).Any, Opened: 1, Ends: 3, Quarantined: true})
				return c.first
			})
			status, header := askFor(t, router)
			is.Equal(attempts.Load(), int64(1))
			is.Equal(status, c.status)
			is.Equal(header.Get(wire.HeaderOutcome), c.outcome)
		})
	}
}

// The same for a request that waits for room at an instance without an ingress, before its
// first attempt.
func TestQuarantineIsLearnedWhileWaiting(t *testing.T) {
	is := is.New(t)
	began, goOn := make(chan struct{}, 1), make(chan struct{})
	router, attempts := suspectRouter(t, routing.KindSafe, 1, func(http.Header) answering {
		began <- struct{}{}
		<-goOn
		return servedWell
	})
	withoutIngress(t, router, 1)
	running, held := make(chan int, 1), make(chan int, 1)
	ask := func(path string, answered chan int) {
		status, _ := askForPath(t, router, path)
		answered <- status
	}
	go ask("/moved/other", running)
	<-began
	go ask("/moved/1", held)
	waiting, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(await(waiting, func() bool {
		count := 0
		router.table.services["orders"].pool.with(func(gate *admission.Gate) { count = gate.Waiting() })
		return count == 1
	}))
	learn(router, quarantine.Row{Digest: asked(router).Any, Opened: 1, Ends: 3, Quarantined: true})
	close(goOn)
	is.Equal(<-running, http.StatusOK)
	is.Equal(<-held, http.StatusBadRequest)
	is.Equal(attempts.Load(), int64(1))
}

// withoutIngress takes the ingress from a router's only node, and leaves it that many slots.
func withoutIngress(t *testing.T, router *Router, slots int) {
	t.Helper()
	node := *router.table.node(1)
	node.Gated, node.Slots = false, slots
	if !router.table.apply(&wire.Update{From: 1, Revision: 2, Nodes: []wire.NodeView{node}}) {
		t.Fatal("the update was not taken")
	}
}

// An update that comes by an older way than the one in force does not bring back what it said.
func TestOlderUpdatesDoNotReleaseOrQuarantine(t *testing.T) {
	is := is.New(t)
	router, _ := suspectRouter(t, routing.KindSafe, 1, func(http.Header) answering { return servedWell })
	row := quarantine.Row{Digest: asked(router).Any, Opened: 2, Ends: 3, Quarantined: true}
	router.table.apply(&wire.Update{From: 1, Revision: 2, Quarantine: []quarantine.Row{row}})
	router.table.apply(&wire.Update{From: 2, Revision: 3, Quarantine: []quarantine.Row{{Digest: row.Digest, Gone: true}}})
	router.table.apply(&wire.Update{From: 1, Revision: 2, Quarantine: []quarantine.Row{row}})
	status, _ := askFor(t, router)
	is.Equal(status, http.StatusOK)
}

// deciding is a control member that gives trials, and takes reports once it may.
type deciding struct {
	gives bool
	// refuses is how many reports it does not take.
	refuses atomic.Int64
	asked   atomic.Int64
	taken   chan fleet.Report
}

// Inline implements transport.Handler.
func (d *deciding) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (d *deciding) Handle(_ context.Context, _ *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	switch kind {
	case wire.KindConfirm:
		return &wire.ConfirmReply{}, nil
	case wire.KindTrial:
		d.asked.Add(1)
		return &wire.TrialReply{Given: d.gives}, nil
	case wire.KindReport:
		if d.refuses.Add(-1) >= 0 {
			return nil, &wire.Error{Code: wire.CodeNotLeader}
		}
		report := &wire.Report{}
		if err := codec.Unmarshal(payload, report); err != nil {
			return nil, err
		}
		for _, item := range report.Reports {
			d.taken <- item
		}
	}
	return struct{}{}, nil
}

// followed has a router follow a member.
func followed(t *testing.T, router *Router, member transport.Handler) {
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
	all.Go(func() { _ = router.report(ctx) })
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

// The trial is one attempt of one request, by the router that control gives it to.
func TestTrialIsOneAttempt(t *testing.T) {
	offered := quarantine.Trial{Number: 5}
	for name, c := range map[string]struct {
		trial    quarantine.Trial
		gives    bool
		answer   answering
		statuses []int // of the same request, sent again and again
		asked    int64
		attempts int64
	}{
		"none is offered":        {quarantine.Trial{}, true, servedWell, []int{400, 400}, 0, 0},
		"it is another router's": {quarantine.Trial{Number: 5, Holder: "router-2"}, true, servedWell, []int{400, 400}, 0, 0},
		"it is given":            {offered, true, servedWell, []int{200, 400}, 1, 1},
		"it is not given":        {offered, false, servedWell, []int{400, 400}, 1, 0},
		"it fails":               {offered, true, endedUnder, []int{502, 400}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var numbers []string
			router, attempts := suspectRouter(t, routing.KindSafe, 3, func(header http.Header) answering {
				numbers = append(numbers, header.Get(wire.HeaderTrial))
				return c.answer
			})
			member := &deciding{gives: c.gives}
			followed(t, router, member)
			learn(router, quarantine.Row{Digest: asked(router).Any, Opened: 1, Ends: 3, Quarantined: true, Trial: c.trial})
			for _, wanted := range c.statuses {
				status, _ := askFor(t, router)
				is.Equal(status, wanted)
			}
			is.Equal(member.asked.Load(), c.asked)
			is.Equal(attempts.Load(), c.attempts)
			for _, number := range numbers {
				is.Equal(number, "5")
			}
		})
	}
}

// What this process has observed is told until it is taken.
func TestReportsAreToldUntilTheyAreTaken(t *testing.T) {
	is := is.New(t)
	router, _ := suspectRouter(t, routing.KindSafe, 1, func(http.Header) answering { return servedWell })
	member := &deciding{taken: make(chan fleet.Report, 64)}
	member.refuses.Store(2)
	followed(t, router, member)
	router.board.Tell(fleet.Report{Ended: &quarantine.End{Instance: "i-1"}})
	router.board.Tell(fleet.Report{Ended: &quarantine.End{Instance: "i-2"}})
	told := map[string]bool{}
	for len(told) < 2 {
		select {
		case report := <-member.taken:
			told[report.Ended.Instance] = true
		case <-time.After(10 * time.Second):
			t.Fatal("reports are not told again")
		}
	}
	waiting, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	is.NoErr(await(waiting, func() bool {
		reports, _ := router.board.Pending(8)
		return len(reports) == 0
	}))
}
