package control

import (
	"testing"

	"github.com/matryer/is"

	"limehold/fleet"
	"limehold/membership"
)

// Guards against routers sending requests to a lost node: they receive it as removed,
// while its shards have no other owner yet.
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
				state.Membership.MarkLost(opened.Session, 11)
			}
			update := updateOf(&fleet.Changes{Revision: 11, Nodes: []membership.SessionID{opened.Session}}, state)
			is.Equal(len(update.Nodes), c.nodes)
			is.Equal(len(update.RemovedNodes), c.remove)
		})
	}
}
