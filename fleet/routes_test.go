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

// Guards against services of an accepted route table that are not in force as the table defines them.
func TestAcceptedRouteTableIsInForce(t *testing.T) {
	plain := routing.Item{Section: routing.SectionServices, Name: "a", Service: &routing.Service{Name: "a"}}
	for name, before := range map[string][]Command{
		"the name belongs to a service with a template": {},
		"the keys were not divided before": {
			{RetireService: &RetireService{Name: "a", Expected: catalog.AnyRevision}}, {RemoveService: &RemoveService{Name: "a"}},
			changeRoutes(0, 1, plain),
		},
		"a former service of the name is retiring": {
			{RetireService: &RetireService{Name: "a", Expected: catalog.AnyRevision}}, {RemoveService: &RemoveService{Name: "a"}},
			changeRoutes(0, 1, plain), changeRoutes(1, 2),
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine(t)
			for _, command := range before {
				m.must(command)
			}
			version := m.state.Routing.Document.Version
			if m.must(changeRoutes(version, version+1, keyedService("a"))).Routes.Verdict != routing.VerdictApplied {
				return
			}
			m.must(Command{RemoveService: &RemoveService{Name: "a"}}) // as the leader does once all shards are free
			service := m.state.Catalog.Services["a"]
			if service == nil {
				t.Fatal("the route table was accepted, but its service does not exist")
			}
			if !service.Routed() || service.State != catalog.ServiceActive || !service.Spec.Keyed {
				t.Fatalf("the route table was accepted, but its service has template %q, is %s, keyed %v", service.Template, service.State, service.Spec.Keyed)
			}
		})
	}
}
