package fleet

import (
	"testing"

	"github.com/matryer/is"

	"limehold/membership"
	"limehold/ownership"
)

func zone(name string, draining bool, expected uint64) Command {
	return Command{SetZoneDraining: &SetZoneDraining{Zone: name, Draining: draining, Expected: expected}}
}

func TestZoneIsAsTheLastOrderSays(t *testing.T) {
	type order struct {
		draining bool
		// after is the number of the order whose effect the sender of this one has seen,
		// 0 if none.
		after   int
		refused int
	}
	for name, c := range map[string]struct {
		orders   []order
		draining bool
		changes  int
	}{
		"never ordered":                          {nil, false, 0},
		"drained":                                {[]order{{true, 0, 0}}, true, 1},
		"drained, the order sent again":          {[]order{{true, 0, 0}, {true, 0, 0}, {true, 1, 0}}, true, 1},
		"taken back":                             {[]order{{true, 0, 0}, {false, 1, 0}}, false, 2},
		"taken back, and a late copy of the one": {[]order{{true, 0, 0}, {false, 1, 0}, {true, 0, 1}}, false, 2},
		"drained again":                          {[]order{{true, 0, 0}, {false, 1, 0}, {true, 2, 0}}, true, 3},
		"drained again, and a late copy of the taking back": {
			[]order{{true, 0, 0}, {false, 1, 0}, {true, 2, 0}, {false, 1, 1}}, true, 3},
		"taken back without having been drained": {[]order{{false, 0, 0}}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(t)
			revisions := []uint64{0}
			changes := 0
			for _, order := range c.orders {
				command := zone("z", order.draining, revisions[order.after])
				command.At = m.at
				result, changed := m.state.Apply(m.state.Revision+1, &command)
				is.Equal(result.Stale, order.refused)
				changes += len(changed.Zones)
				revisions = append(revisions, m.state.Zones["z"].Revision)
			}
			is.Equal(m.state.Zones["z"].Draining, c.draining)
			is.Equal(changes, c.changes)
		})
	}
}

// A zone stays drained across snapshots, and its nodes get no shards, including nodes
// that join later.
func TestNodesOfADrainedZoneAreGivenNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	openIn := func(name, zone string) membership.SessionID {
		return m.must(Command{OpenSession: &OpenSession{Node: membership.Node{Name: name, Incarnation: name, Pool: "proofs", Zone: zone}}}).Session
	}
	before := openIn("node-1", "z")
	m.must(zone("z", true, 0))
	data, err := m.state.Encode()
	is.NoErr(err)
	m.state, err = DecodeState(data)
	is.NoErr(err)
	later, elsewhere := openIn("node-2", "z"), openIn("node-3", "y")
	key := ownership.Key{Service: "a", Shard: 0}
	for _, session := range []membership.SessionID{before, later} {
		is.Equal(m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: session}}}}).Stale, 1)
	}
	is.Equal(m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: elsewhere}}}}).Stale, 0)
	m.must(zone("z", false, m.state.Zones["z"].Revision))
	is.True(m.state.Eligible(m.state.Membership.Sessions[later]))
}
