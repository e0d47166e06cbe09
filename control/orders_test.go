package control

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/consensus"
)

// Members of earlier versions stop at an entry that they cannot decode.
func TestOrdersAreSequencedOnceAllMembersCanDecodeThem(t *testing.T) {
	current := consensus.PeerProgress{Contacted: true, EntryFormat: 1}
	earlier := consensus.PeerProgress{Contacted: true}
	for name, c := range map[string]struct {
		peers []consensus.PeerProgress
		want  bool
	}{
		"alone":                            {nil, true},
		"the same version":                 {[]consensus.PeerProgress{current, current}, true},
		"one of an earlier version":        {[]consensus.PeerProgress{current, earlier}, false},
		"one that has not answered":        {[]consensus.PeerProgress{current, {}}, true},
		"one of a later version":           {[]consensus.PeerProgress{{Contacted: true, EntryFormat: 2}}, true},
		"all others of an earlier version": {[]consensus.PeerProgress{earlier, earlier}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status := replicaStatus{Progress: c.peers}
			is.Equal(status.canAllDecode(1), c.want)
		})
	}
}

// Guards against a member that is removed although it was admitted again: an order that arrived late was based on the
// members of its arrival.
func TestLateOrderOnAMemberIsRejected(t *testing.T) {
	is := is.New(t)
	g := newDiskGroup(t)
	g.mustDrain()
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	spare := g.newSpare()
	body := adminapi.MemberChangeRequest{Name: spare.options.Settings.Name, Address: spare.Address()}
	order := func(action string, basis *uint64) error {
		return g.leader().changeMembersByOrder(ctx, order{resource: "member/" + body.Name, action: action, basis: basis}, body)
	}
	basisOf := func(action string) uint64 {
		missing := &BasisMissing{}
		is.True(errors.As(order(action, nil), &missing))
		return missing.Revision
	}
	late := basisOf("add")
	is.NoErr(order("add", &late))

	var failure *catalog.Failure
	is.True(errors.As(order("remove", &late), &failure))
	is.Equal(failure.Code, catalog.FailureConflict)
	_, admitted := g.leader().replica.status.Load().Configuration.FindName(body.Name)
	is.True(admitted)

	newest := basisOf("remove")
	is.NoErr(order("remove", &newest))
}
