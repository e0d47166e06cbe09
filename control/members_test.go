package control

import (
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
)

// A repair that was interrupted after the removal of the old member took the
// newcomer for the old one, and removed it.
func TestNewcomerIsNotItsOwnPredecessor(t *testing.T) {
	is := is.New(t)
	newcomer := consensus.Member{ID: 9, Name: "control-2", Learner: true}
	others := []consensus.Member{{ID: 1, Name: "control-1"}, {ID: 3, Name: "control-3"}}
	before := consensus.Configuration{Members: append([]consensus.Member{{ID: 2, Name: "control-2"}, newcomer}, others...)}
	old, there := predecessor(before, newcomer)
	is.True(there)
	is.Equal(old.ID, consensus.MemberID(2))
	_, there = predecessor(without(2)(before), newcomer)
	is.Equal(there, false)
}

func TestEditsOfMembersCanBeRepeated(t *testing.T) {
	is := is.New(t)
	current := consensus.Configuration{Members: []consensus.Member{{ID: 1, Name: "control-1"}}}
	edits := []configurationEdit{with(consensus.Member{ID: 2, Name: "control-2", Learner: true}), promoting(2), without(1)}
	for _, edit := range edits {
		once := edit(current)
		is.Equal(edit(once), once)
		current = once
	}
	is.Equal(current.Members, []consensus.Member{{ID: 2, Name: "control-2"}})
}
