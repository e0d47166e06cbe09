package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/admission"
	"limehold/clock"
	"limehold/membership"
	"limehold/wire"
)

// Nodes of a drained zone receive no requests, including nodes that join later, until a member
// reports that the zone is no longer drained. An update without zones, or an older one, changes
// nothing.
func TestNodesOfADrainedZoneAreLeftOutOfTheChoice(t *testing.T) {
	node := func(session membership.SessionID, zone string) wire.NodeView {
		return wire.NodeView{Session: session, Name: zone, Zone: zone, Pool: "p", Slots: 18, Connections: 100, SelfLimited: true}
	}
	zones := func(draining bool) []wire.ZoneView { return []wire.ZoneView{{Name: "b", Draining: draining}} }
	first := wire.Update{Snapshot: true, Revision: 10, Nodes: []wire.NodeView{node(1, "a"), node(2, "b")}}
	for name, c := range map[string]struct {
		updates []wire.Update
		// chosen holds the sessions that may receive requests; since is set if the time of the zone's
		// last change is known.
		chosen []membership.SessionID
		since  bool
	}{
		"never drained": {nil, []membership.SessionID{1, 2}, false},
		"drained":       {[]wire.Update{{From: 10, Revision: 11, Zones: zones(true)}}, []membership.SessionID{1}, true},
		"drained, and a node joins it": {[]wire.Update{
			{From: 10, Revision: 11, Zones: zones(true)}, {From: 11, Revision: 12, Nodes: []wire.NodeView{node(3, "b")}},
		}, []membership.SessionID{1}, true},
		"drained, as a snapshot says": {[]wire.Update{
			{Snapshot: true, Revision: 20, Nodes: []wire.NodeView{node(1, "a"), node(2, "b")}, Zones: zones(true)},
		}, []membership.SessionID{1}, true},
		"taken back": {[]wire.Update{
			{From: 10, Revision: 11, Zones: zones(true)}, {From: 11, Revision: 12, Zones: zones(false)},
		}, []membership.SessionID{1, 2}, true},
		"drained, and an older snapshot comes": {[]wire.Update{
			{From: 10, Revision: 11, Zones: zones(true)}, {Snapshot: true, Revision: 9, Zones: zones(false)},
		}, []membership.SessionID{1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tbl := testTable()
			is.True(tbl.apply(&first))
			for _, update := range c.updates {
				is.True(tbl.apply(&update))
			}
			found := map[membership.SessionID]bool{}
			for range 200 {
				id, rejected := tbl.pool("p").acquire(admission.Requirements{GroupLimit: 1, Deadline: clock.Now() + time.Minute}, nil)
				is.Equal(rejected.isSet(), false)
				found[sessionOf(id)] = true
				tbl.pool("p").release(id, admission.OutcomeNeutral, 0)
			}
			is.Equal(len(found), len(c.chosen))
			for _, session := range c.chosen {
				is.True(found[session])
			}
			is.Equal(tbl.zones["b"].since > 0, c.since)
		})
	}
}
