package fleet

import (
	"cmp"
	"slices"

	"limehold/decisions"
	"limehold/ownership"
)

func compareKeys(a, b ownership.Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
}

// eventGroups groups the shards that one command moved between the same nodes into
// one event each, so that a session with many shards adds few events to the journal.
type eventGroups struct {
	kind   decisions.Kind
	cause  string
	groups map[eventGroup][]uint32
	order  []eventGroup
}

type eventGroup struct{ service, from, to string }

func newEventGroups(kind decisions.Kind, cause string) *eventGroups {
	return &eventGroups{kind: kind, cause: cause, groups: map[eventGroup][]uint32{}}
}

func (g *eventGroups) add(key ownership.Key, from, to string) {
	group := eventGroup{key.Service, from, to}
	if _, known := g.groups[group]; !known {
		g.order = append(g.order, group)
	}
	g.groups[group] = append(g.groups[group], key.Shard)
}

func (a *applier) addGroupEvents(groups *eventGroups) {
	for _, group := range groups.order {
		shards := groups.groups[group]
		slices.Sort(shards)
		a.addEvent(decisions.Event{
			Kind: groups.kind, Service: group.service, Shards: shards,
			From: group.from, To: group.to, Cause: groups.cause,
		})
	}
}

// addShardEvents adds events for shards, in any order, that moved between one pair of nodes.
func (a *applier) addShardEvents(kind decisions.Kind, keys []ownership.Key, from, to, cause string) {
	slices.SortFunc(keys, compareKeys)
	groups := newEventGroups(kind, cause)
	for _, key := range keys {
		groups.add(key, from, to)
	}
	a.addGroupEvents(groups)
}
