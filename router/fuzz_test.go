package router

import (
	"testing"

	"limehold/codec"
	"limehold/membership"
	"limehold/quarantine"
	"limehold/routing"
	"limehold/wire"
)

// FuzzUpdate applies arbitrary updates from a member. An update that makes a router panic would
// crash every router, and again at each start, as it comes with the first snapshot.
func FuzzUpdate(f *testing.F) {
	for _, update := range []wire.Update{
		{Snapshot: true, Revision: 3, Services: []wire.ServiceView{serviceView("a", 1, "/a")}, Nodes: []wire.NodeView{{Session: 2, Pool: "a", Slots: -1}}},
		{From: 1, Revision: 2, Shards: shardViews("a", wire.ShardView{Shard: 1 << 30, Owner: 9, Epoch: 1}), RemovedNodes: []membership.SessionID{2}, RemovedServices: []string{"a"}},
		{Snapshot: true, Revision: 4, Routes: &routing.Change{Version: 1, ReplaceAll: true, Upsert: []routing.Item{{Section: routing.SectionRoutes, Name: "r", Route: &routing.Route{Name: "r", Host: "h", PathPrefix: "/"}}}}},
		{From: 4, Revision: 5, Zones: []wire.ZoneView{{Name: "z", Draining: true}}, Quarantine: []quarantine.View{{Crashes: -1, Quarantined: true}, {Removed: true}}},
	} {
		f.Add(codec.MustMarshal(&update), codec.MustMarshal(&update))
	}
	f.Fuzz(func(_ *testing.T, one, other []byte) {
		tbl := testTable()
		for _, data := range [][]byte{one, other, one} {
			update := &wire.Update{}
			if codec.Unmarshal(data, update) != nil {
				continue
			}
			tbl.apply(update)
			tbl.find("h", "/a/1")
			tbl.findRoute("h", "/a/1")
			for _, service := range tbl.services {
				tbl.owner(service, 1)
				shardOf(service, []byte("7"))
			}
		}
	})
}
