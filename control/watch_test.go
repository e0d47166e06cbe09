package control

import (
	"testing"

	"github.com/matryer/is"

	"limehold/fleet"
	"limehold/membership"
)

// Routers are told that a lost node is gone: nobody answers there, and what it owns is nobody else's yet.
func TestRoutersSendNothingToALostNode(t *testing.T) {
	for name, c := range map[string]struct {
		lost          bool
		nodes, remove int
	}{
		"open": {false, 1, 0},
		"lost": {true, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			state := fleet.NewState()
			opened, _ := state.Membership.Open(membership.Node{Name: "proofs-1", Incarnation: "a"}, 10)
			if c.lost {
				state.Membership.Lose(opened.Session, 11)
			}
			update := updateOf(&fleet.Changes{Revision: 11, Nodes: []membership.SessionID{opened.Session}}, state)
			is.Equal(len(update.Nodes), c.nodes)
			is.Equal(len(update.RemovedNodes), c.remove)
		})
	}
}
