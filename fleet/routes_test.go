package fleet

import (
	"testing"

	"github.com/matryer/is"

	"limehold/catalog"
	"limehold/membership"
	"limehold/ownership"
	"limehold/routing"
)

func keyedService(name string) routing.Item {
	return routing.Item{Section: routing.SectionServices, Name: name, Service: &routing.Service{Name: name, Keyed: true}}
}

func changeRoutes(base, version uint64, items ...routing.Item) Command {
	return Command{ChangeRoutes: &routing.Change{Base: base, Version: version, ReplaceAll: true, Upsert: items, Digest: version}}
}

func TestServicesFollowTheRouteTable(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	result := m.must(changeRoutes(0, 3, keyedService("numbers")))
	is.Equal(result.Routes.Verdict, routing.VerdictApplied)
	is.Equal(len(m.state.Ownership.Shards["numbers"]), RoutedShards)
	is.Equal(m.state.Catalog.Services["numbers"].Spec.Pool, "numbers")
	m.must(changeRoutes(3, 4))
	is.Equal(m.state.Catalog.Services["numbers"].State, catalog.ServiceRetiring)
	is.Equal(m.state.Catalog.Services["a"].State, catalog.ServiceActive) // created from a template
	m.must(changeRoutes(4, 9, keyedService("numbers")))
	is.Equal(m.state.Catalog.Services["numbers"].State, catalog.ServiceActive)
	is.Equal(m.must(changeRoutes(4, 10)).Routes.Verdict, routing.VerdictConflict)
}

// A snapshot contains the route table and its recorded changes.
func TestRouteTableSurvivesASnapshot(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	m.must(changeRoutes(0, 3, keyedService("numbers")))
	data, err := m.state.Encode()
	is.NoErr(err)
	restored, err := DecodeState(data)
	is.NoErr(err)
	is.Equal(restored.Routing.Document.Version, uint64(3))
	command := changeRoutes(0, 3, keyedService("numbers"))
	again, _ := restored.Apply(restored.Revision+1, &command)
	is.True(again.Routes.Repeated)
}

// An agent that has established that the previous incarnation has ended frees its shards without
// waiting for the lease to expire.
func TestShardsOfAPredecessorThatIsGoneAreFreeAtOnce(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	first := m.node("node-1")
	key := ownership.Key{Service: "a", Shard: 0}
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: first}}}})
	successor := membership.Node{Name: "node-1", Incarnation: "second", Pool: "proofs"}
	m.must(Command{OpenSession: &OpenSession{Node: successor, PredecessorsEnded: true}})
	shard, _ := m.state.Ownership.Get(key)
	is.Equal(shard.Phase, ownership.PhaseFree)
	is.True(m.state.Membership.Sessions[first] == nil)
}
