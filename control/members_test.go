package control

import (
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
)

// Guards against an interrupted replacement that removes the newcomer in place of
// the member that it replaces.
func TestNewcomerIsNotItsOwnPredecessor(t *testing.T) {
	is := is.New(t)
	newcomer := consensus.Member{ID: 9, Name: "control-2", Learner: true}
	others := []consensus.Member{{ID: 1, Name: "control-1"}, {ID: 3, Name: "control-3"}}
	before := consensus.Configuration{Members: append([]consensus.Member{{ID: 2, Name: "control-2"}, newcomer}, others...)}
	old, found := predecessor(before, newcomer)
	is.True(found)
	is.Equal(old.ID, consensus.MemberID(2))
	_, found = predecessor(withoutMember(2)(before), newcomer)
	is.Equal(found, false)
}

func TestEditsOfMembersCanBeRepeated(t *testing.T) {
	is := is.New(t)
	current := consensus.Configuration{Members: []consensus.Member{{ID: 1, Name: "control-1"}}}
	edits := []configurationEdit{withMember(consensus.Member{ID: 2, Name: "control-2", Learner: true}), withVoter(2), withoutMember(1)}
	for _, edit := range edits {
		once := edit(current)
		is.Equal(edit(once), once)
		current = once
	}
	is.Equal(current.Members, []consensus.Member{{ID: 2, Name: "control-2"}})
}
