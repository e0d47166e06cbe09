package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/catalog"
	"limehold/membership"
	"limehold/ownership"
)

const spec = "match: {path_prefix: \"/${prefix}\"}\npool: proofs\nkeyed: true\nkey: {source: path, segment: 0}\nshards: 2\n"

// machine applies commands in order and checks the invariants after each.
type machine struct {
	t     *testing.T
	state *State
	at    int64
}

func newMachine(t *testing.T) *machine {
	m := &machine{t: t, state: NewState(), at: time.Now().UnixMilli()}
	template := catalog.Template{Name: "proofs", SpecText: spec, Parameters: []catalog.Parameter{{Name: "prefix", Type: catalog.ParameterName}}}
	m.must(Command{ApplyTemplate: &ApplyTemplate{Template: template, Expected: catalog.AnyRevision}})
	m.must(Command{CreateService: &CreateService{Name: "a", Template: "proofs", Values: map[string]string{"prefix": "a"}}})
	return m
}

func (m *machine) apply(command Command) Result {
	command.At = m.at
	result, _ := m.state.Apply(m.state.Revision+1, &command)
	if err := m.state.CheckInvariants(); err != nil {
		m.t.Fatal(err)
	}
	return result
}

func (m *machine) must(command Command) Result {
	m.t.Helper()
	result := m.apply(command)
	if result.Failure != nil {
		m.t.Fatal(result.Failure)
	}
	return result
}

func (m *machine) node(name string) membership.SessionID {
	return m.must(Command{OpenSession: &OpenSession{Node: membership.Node{Name: name, Incarnation: name, Pool: "proofs"}}}).Session
}

func update(id string, expected uint64, prefix string) Command {
	return Command{ID: id, UpdateService: &UpdateService{Name: "a", Values: map[string]string{"prefix": prefix}, Expected: expected}}
}

func TestOfTwoOperatorsWithOneRevisionOneWins(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	seen := m.state.Catalog.Services["a"].Revision
	first := m.must(update("one", seen, "b"))
	second := m.apply(update("two", seen, "c"))
	is.Equal(second.Failure.Code, catalog.FailureConflict)
	is.Equal(second.Failure.Revision, first.Revision) // the conflict names the winner
	is.Equal(m.state.Catalog.Services["a"].Values["prefix"], "b")
}

func TestResentCommandGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	first := m.must(update("one", m.state.Catalog.Services["a"].Revision, "b"))
	m.must(update("other", catalog.AnyRevision, "c")) // changed by another operator
	again := m.apply(update("one", 2, "b"))
	is.Equal(again, first)
	is.Equal(m.state.Catalog.Services["a"].Values["prefix"], "c")
}

func TestAnotherCommandUnderAUsedIDIsRefused(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	m.must(update("one", catalog.AnyRevision, "b"))
	is.Equal(m.apply(update("one", catalog.AnyRevision, "c")).Failure.Code, catalog.FailureInvalid)
	is.Equal(m.state.Catalog.Services["a"].Values["prefix"], "b")
	is.Equal(m.apply(update("one", catalog.AnyRevision, "b")).Failure == nil, true)
}

func TestAnswersSurviveSnapshotAndRestart(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	first := m.must(update("one", catalog.AnyRevision, "b"))
	for i := range 300 {
		m.must(update(fmt.Sprint("more-", i), catalog.AnyRevision, "c"))
	}
	data, err := m.state.Encode()
	is.NoErr(err)
	m.state, err = DecodeState(data)
	is.NoErr(err)
	is.Equal(m.apply(update("one", catalog.AnyRevision, "b")), first)
	is.Equal(m.state.Catalog.Services["a"].Values["prefix"], "c")
}

func TestAnswersAreKeptByTime(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	m.must(update("old", catalog.AnyRevision, "b"))
	m.at += (RecordRetention - time.Minute).Milliseconds()
	m.must(update("new", catalog.AnyRevision, "c"))
	_, kept := m.state.Records["old"]
	is.True(kept)
	m.at += (2 * time.Minute).Milliseconds()
	m.must(update("newest", catalog.AnyRevision, "d"))
	_, kept = m.state.Records["old"]
	is.Equal(kept, false)
}

func TestShardGoesOnlyToAnOpenEligibleNodeOfItsPool(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	node, other := m.node("proofs-1"), m.node("proofs-2")
	elsewhere := m.must(Command{OpenSession: &OpenSession{Node: membership.Node{Name: "orders-1", Incarnation: "x", Pool: "orders"}}}).Session
	key := ownership.Key{Service: "a", Shard: 0}
	assign := func(to membership.SessionID, epoch uint64) int {
		return m.apply(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, Epoch: epoch, To: to}}}}).Stale
	}
	is.Equal(assign(elsewhere, 0), 1)
	is.Equal(assign(999, 0), 1)
	m.must(Command{SetDraining: &SetDraining{Session: other, Draining: true}})
	is.Equal(assign(other, 0), 1)
	is.Equal(assign(node, 0), 0)
	is.Equal(assign(node, 1), 1)
	m.must(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{node}}})
	is.Equal(m.state.Ownership.Shards["a"][0].Phase, ownership.PhaseFree)
}

func TestTransferCompletesAtTheReleaseAndSurvivesItsTarget(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	source, target := m.node("proofs-1"), m.node("proofs-2")
	key := ownership.Key{Service: "a", Shard: 0}
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: source}}}})
	m.must(Command{Transfer: &Transfer{Decisions: []ShardDecision{{Key: key, Epoch: m.epoch(key), To: target}}}})
	m.must(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{target}}}) // closes during the transfer
	epoch := m.epoch(key)
	m.must(Command{Release: &Release{Session: source, Shards: []ReleasedShard{{Key: key, Epoch: epoch}}}})
	shard, _ := m.state.Ownership.Get(key)
	is.Equal(shard.Phase, ownership.PhaseFree)
	refused := m.apply(Command{Release: &Release{Session: source, Shards: []ReleasedShard{{Key: key, Epoch: epoch}}}}).Stale
	is.Equal(refused, 1) // repeated
}

func TestRetiredServiceIsDrainedBeforeItGoes(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	node := m.node("proofs-1")
	key := ownership.Key{Service: "a", Shard: 0}
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: node}}}})
	m.must(Command{RetireService: &RetireService{Name: "a", Expected: catalog.AnyRevision}})
	is.Equal(m.apply(Command{RemoveService: &RemoveService{Name: "a"}}).Stale, 1)
	epoch := m.epoch(key)
	m.must(Command{Release: &Release{Session: node, Shards: []ReleasedShard{{Key: key, Epoch: epoch}}}})
	is.Equal(m.apply(Command{RemoveService: &RemoveService{Name: "a"}}).Stale, 0)
	// Epochs continue when a service name is reused.
	m.must(Command{CreateService: &CreateService{Name: "a", Template: "proofs", Values: map[string]string{"prefix": "a"}}})
	is.True(m.epoch(key) >= epoch)
}

// epoch returns a shard's current epoch.
func (m *machine) epoch(key ownership.Key) uint64 {
	shard, _ := m.state.Ownership.Get(key)
	return shard.Epoch
}

func TestJournalTellsWhyAShardMoved(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	node := m.node("proofs-1")
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: ownership.Key{Service: "a", Shard: 1}, To: node}}, Cause: "a free shard"}})
	m.must(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{node}, Cause: "no renewal"}})
	var causes []string
	for _, event := range m.state.Journal.ForShard("a", 1) {
		causes = append(causes, string(event.Kind)+": "+event.Cause)
	}
	is.Equal(causes[len(causes)-2:], []string{"assigned: a free shard", "released: no renewal"})
}

func TestEmptyCommandIsRefused(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	is.Equal(m.apply(Command{}).Failure.Code, catalog.FailureInvalid)
}
