package control

import (
	"testing"

	"github.com/matryer/is"

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
