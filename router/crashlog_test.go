package router

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/crashreport"
	"limehold/membership"
	"limehold/metrics"
	"limehold/quarantine"
	"limehold/wire"
)

// Runs whose connections broke at an instance without an ingress are reported with its crash
// once another process replaces it, and only then.
func TestRunsThatBrokeAreHeldAgainstTheEndOfTheirInstance(t *testing.T) {
	node := func(session membership.SessionID, incarnation string) wire.NodeView {
		return wire.NodeView{Session: session, Name: "orders-1", Pool: "orders", Incarnation: incarnation, Version: "v1"}
	}
	draining := node(1, "a")
	draining.Draining = true
	gated := node(1, "a")
	gated.SelfLimited = true
	for name, c := range map[string]struct {
		before  wire.NodeView
		updates []wire.Update
		crashes int
	}{
		"nothing changes":                {node(1, "a"), nil, 0},
		"another process":                {node(1, "a"), []wire.Update{{Nodes: []wire.NodeView{node(2, "b")}}}, 1},
		"another session, the same":      {node(1, "a"), []wire.Update{{Nodes: []wire.NodeView{node(2, "a")}}}, 0},
		"it is only lost":                {node(1, "a"), []wire.Update{{RemovedNodes: []membership.SessionID{1}}}, 0},
		"lost, and another process":      {node(1, "a"), []wire.Update{{RemovedNodes: []membership.SessionID{1}}, {Nodes: []wire.NodeView{node(2, "b")}}}, 1},
		"lost, and back again":           {node(1, "a"), []wire.Update{{RemovedNodes: []membership.SessionID{1}}, {Nodes: []wire.NodeView{node(2, "a")}}}, 0},
		"it was drained":                 {draining, []wire.Update{{Nodes: []wire.NodeView{node(2, "b")}}}, 0},
		"its ingress is the witness":     {gated, []wire.Update{{Nodes: []wire.NodeView{node(2, "b")}}}, 0},
		"two processes after each other": {node(1, "a"), []wire.Update{{Nodes: []wire.NodeView{node(2, "b")}}, {Nodes: []wire.NodeView{node(3, "c")}}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Router{table: testTable(), crashes: newCrashLog(), logger: zap.NewNop(), crashReports: crashreport.New("router-1", zap.NewNop(), metrics.New())}
			r.table.onReplaced = r.instanceReplaced
			is.True(r.table.apply(&wire.Update{Snapshot: true, Revision: 1, Nodes: []wire.NodeView{c.before}}))
			identity := quarantine.Identity{Any: quarantine.Digest{1}, PerCaller: quarantine.Digest{2}}
			if !c.before.SelfLimited {
				r.crashes.add(1, brokenRun{run: quarantine.Run{Identity: identity}, at: clock.Now()})
			}
			for i := range c.updates {
				c.updates[i].From, c.updates[i].Revision = uint64(i+1), uint64(i+2)
				is.True(r.table.apply(&c.updates[i]))
			}
			reports, _ := r.crashReports.Pending(10)
			is.Equal(len(reports), c.crashes)
			if c.crashes > 0 {
				crash := reports[0].Crash
				is.Equal(crash.Instance, "a")
				is.Equal(crash.Node, "orders-1")
				is.Equal(crash.Runs, []quarantine.Run{{Identity: identity}})
			}
		})
	}
}

// What has recently succeeded for another caller is suspect for this caller only, and what has
// succeeded for this caller is not suspect at all.
func TestWitnessDoesNotSuspectWhatHasLatelyRunWell(t *testing.T) {
	is := is.New(t)
	r := &Router{table: testTable(), crashes: newCrashLog(), logger: zap.NewNop(), crashReports: crashreport.New("router-1", zap.NewNop(), metrics.New())}
	digest, mine, theirs := quarantine.Digest{1}, quarantine.Digest{2}, quarantine.Digest{3}
	r.crashReports.RecordSuccess(quarantine.Identity{Any: digest, PerCaller: theirs})
	for _, own := range []quarantine.Digest{mine, theirs} {
		r.crashes.add(1, brokenRun{run: quarantine.Run{Identity: quarantine.Identity{Any: digest, PerCaller: own}}, at: clock.Now()})
	}
	r.instanceReplaced(wire.NodeView{Session: 1, Name: "orders-1", Pool: "orders", Incarnation: "a"})
	reports, _ := r.crashReports.Pending(10)
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Crash.Runs, []quarantine.Run{{Identity: quarantine.Identity{PerCaller: mine}}})
}

// Runs that broke long before a crash, or at another instance, are not reported with it.
func TestOldRunsAreNotHeldAgainstAnEnd(t *testing.T) {
	is := is.New(t)
	w := newCrashLog()
	w.add(1, brokenRun{at: 0})
	w.add(2, brokenRun{at: crashWindow})
	is.Equal(len(w.take(1, crashWindow+1)), 0)
	is.Equal(len(w.take(2, crashWindow+1)), 1)
	is.Equal(len(w.take(2, crashWindow+1)), 0)
	for n := range 3 * maxBrokenRuns {
		w.add(3, brokenRun{at: crashWindow + 2})
		is.True(len(w.broken[3]) <= min(n+1, maxBrokenRuns))
	}
}
