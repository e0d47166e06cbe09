package agent

import (
	"testing"

	"limehold/wire"
)

// healthBackend is a back end with a fixed health report.
type healthBackend struct {
	Backend
	health wire.BackendHealth
}

// Health implements Backend.
func (b healthBackend) Health() wire.BackendHealth { return b.health }

// Guards against draining the session of an incarnation because another one is leaving.
func TestDrainIsThatOfTheIncarnation(t *testing.T) {
	const current, other = "i-2", "i-1"
	for name, c := range map[string]struct {
		health   wire.BackendHealth
		reported bool
		stopping bool
		wanted   bool
	}{
		"the incarnation serves":             {health: wire.BackendHealth{Incarnation: current, Status: wire.BackendOK}},
		"the incarnation leaves":             {health: wire.BackendHealth{Incarnation: current, Status: wire.BackendDraining}, wanted: true},
		"the incarnation stays after all":    {health: wire.BackendHealth{Incarnation: current, Status: wire.BackendOK}, reported: true},
		"an earlier one was leaving":         {health: wire.BackendHealth{Incarnation: other, Status: wire.BackendDraining}},
		"the next one serves, this one left": {health: wire.BackendHealth{Incarnation: other, Status: wire.BackendOK}, reported: true, wanted: true},
		"the agent is being stopped":         {health: wire.BackendHealth{Incarnation: current, Status: wire.BackendOK}, stopping: true, wanted: true},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Agent{backend: healthBackend{health: c.health}, drain: drainState{incarnation: current, reported: c.reported, stopping: c.stopping}}
			if wanted, _ := a.drainWanted(current); wanted != c.wanted {
				t.Errorf("drain wanted: %v", wanted)
			}
		})
	}
}

// Guards against sessions that a stopping agent opens and nobody drains.
func TestStoppingAgentOpensNoSession(t *testing.T) {
	a := &Agent{drain: newDrainState()}
	if !a.beginOpen() {
		t.Fatal("a serving agent may not open a session")
	}
	if a.hasDrained() {
		t.Error("the agent counts as drained while a session is being opened")
	}
	a.endOpen()
	a.drain.stopping = true
	if a.beginOpen() {
		t.Error("a stopping agent may open a session")
	}
}
