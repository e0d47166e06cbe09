package router

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/wire"
)

// Guards against an ingress that is told nothing after its restart because an answer that it gave without knowing the
// instance made the router forget what the instance had said.
func TestWhatRoutersRememberOfInstances(t *testing.T) {
	const said = "i-1 20.6 500"
	for name, c := range map[string]struct {
		// then is the attempt after one whose answer has said something.
		then attempt
		want bool
	}{
		"an answer that repeats it":        {attempt{state: attemptAnswered, instanceState: said}, true},
		"an answer of the instance":        {attempt{state: attemptAnswered}, false},
		"a rejection":                      {attempt{state: attemptNotRun, reason: "no-instance"}, true},
		"no usable answer":                 {attempt{state: attemptUnknown}, true},
		"an attempt that was not sent":     {attempt{state: attemptNotSent}, true},
		"an answer that cannot be read":    {attempt{state: attemptAnswered, instanceState: "i-1"}, true},
		"an answer of another incarnation": {attempt{state: attemptAnswered, instanceState: "i-2 0 0"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Router{logger: zap.NewNop(), instanceStates: newInstanceStates()}
			node := &wire.NodeView{Name: "node-1"}
			r.recordInstanceState(node, &attempt{state: attemptAnswered, instanceState: said})
			r.recordInstanceState(node, &c.then)
			if _, ok := r.instanceStates.get(node.Name, clock.Now()); ok != c.want {
				t.Errorf("the router remembers: %t, want %t", ok, c.want)
			}
		})
	}
}

// Guards against a drain time that begins anew with the restart of an ingress, and against memory that grows with the
// nodes that there ever were.
func TestInstanceStatesAgeAndAreBounded(t *testing.T) {
	states := newInstanceStates()
	for _, node := range []string{"listed", "gone"} {
		states.set(node, wire.InstanceState{Incarnation: "i-1", Leaving: true, LeavingFor: time.Second}, 0)
	}
	if told, _ := states.get("gone", 3*time.Second); told.LeavingFor != 4*time.Second {
		t.Errorf("the instance is leaving for %v, want 4 s", told.LeavingFor)
	}
	isListed := func(node string) bool { return node == "listed" }
	states.sweep(isListed, stateTimeout)
	if len(states.byNode) != 2 {
		t.Errorf("%d states are remembered, want 2", len(states.byNode))
	}
	states.sweep(isListed, stateTimeout+time.Second)
	if _, ok := states.get("listed", 0); !ok || len(states.byNode) != 1 {
		t.Errorf("%d states are remembered, that of the listed node: %t", len(states.byNode), ok)
	}
}

// Guards against callers that see what only ingresses and routers exchange.
func TestInstanceStateDoesNotReachCallers(t *testing.T) {
	const said = "i-1 20.6 -"
	var sentAlong atomic.Value
	router := startLimitedRouters(t, 1, false, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		sentAlong.Store(request.Header.Get(wire.HeaderInstanceState))
		writer.Header().Set(wire.HeaderAttempt, request.Header.Get(wire.HeaderAttempt))
		writer.Header().Set(wire.HeaderOutcome, wire.OutcomeOK)
		writer.Header().Set(wire.HeaderInstanceState, said)
	}))[0]
	for _, want := range []string{"", said} {
		request, err := http.NewRequest(http.MethodGet, "http://"+router.Address()+"/moved/1", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "shop.example"
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if got := response.Header.Get(wire.HeaderInstanceState); got != "" {
			t.Errorf("the caller got %q", got)
		}
		if got := sentAlong.Load(); got != want {
			t.Errorf("the ingress was sent %q, want %q", got, want)
		}
	}
}
