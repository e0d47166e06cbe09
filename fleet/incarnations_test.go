package fleet

import (
	"testing"

	"github.com/matryer/is"

	"limehold/membership"
	"limehold/ownership"
)

// A late message from an earlier incarnation of a back end, or an earlier process of its agent, must not free
// shards that the current one owns. The epochs of the current one are above all that the earlier ones had.
func TestWordOfFormerStartsFreesNothing(t *testing.T) {
	const first, second = "i-1", "i-2"
	key := ownership.Key{Service: "a", Shard: 0}
	open := func(incarnation string, born int64, process uint64) *OpenSession {
		return &OpenSession{Node: membership.Node{Name: "proofs-1", Incarnation: incarnation, StartedAt: born, Process: process, Pool: "proofs"}}
	}
	for name, c := range map[string]struct {
		// then runs after a session of the first incarnation owns the key.
		then  func(m *machine, session membership.SessionID) Result
		owned bool
		fails bool
	}{
		"another start, nothing proved": {func(m *machine, _ membership.SessionID) Result {
			return m.must(Command{OpenSession: open(second, 0, 1)})
		}, true, false},
		"another start, nothing is held": {func(m *machine, _ membership.SessionID) Result {
			command := open(second, 0, 1)
			command.PredecessorsEnded = true
			return m.must(Command{OpenSession: command})
		}, false, false},
		"a later start where each is told its own": {func(m *machine, _ membership.SessionID) Result {
			command := open(second, 20, 1)
			command.Exclusive = true
			return m.must(Command{OpenSession: command})
		}, false, false},
		"a later start that may have been told what the first was": {func(m *machine, _ membership.SessionID) Result {
			return m.must(Command{OpenSession: open(second, 20, 1)})
		}, true, false},
		"an earlier start": {func(m *machine, _ membership.SessionID) Result {
			command := open(second, 5, 1)
			command.Exclusive, command.PredecessorsEnded = true, true
			return m.apply(Command{OpenSession: command})
		}, true, true},
		"superseded, then proved": {func(m *machine, _ membership.SessionID) Result {
			next := m.must(Command{OpenSession: open(second, 0, 1)})
			if !next.Superseded {
				m.t.Error("the superseded session is not reported")
			}
			return m.must(Command{CloseSessions: &CloseSessions{Superseded: next.Session}})
		}, false, false},
		"proved by a session that was superseded itself": {func(m *machine, session membership.SessionID) Result {
			m.must(Command{OpenSession: open(second, 0, 1)})
			return m.apply(Command{CloseSessions: &CloseSessions{Superseded: session}})
		}, true, false},
		"its end": {func(m *machine, session membership.SessionID) Result {
			return m.must(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{session}, Process: 1}})
		}, false, false},
		"its lease is over, a grant may still be carried out": {func(m *machine, session membership.SessionID) Result {
			return m.must(Command{MarkSessionsLost: &MarkSessionsLost{Sessions: []membership.SessionID{session}}})
		}, true, false},
		"its lease is over, the next session has proved that nothing is held": {func(m *machine, session membership.SessionID) Result {
			m.must(Command{MarkSessionsLost: &MarkSessionsLost{Sessions: []membership.SessionID{session}}})
			next := m.must(Command{OpenSession: open(first, 10, 1)})
			if next.Session == session || !next.Superseded {
				m.t.Error("a lost session was reused")
			}
			return m.must(Command{CloseSessions: &CloseSessions{Superseded: next.Session}})
		}, false, false},
		"its lease is over, nothing can be carried out any more": {func(m *machine, session membership.SessionID) Result {
			m.must(Command{MarkSessionsLost: &MarkSessionsLost{Sessions: []membership.SessionID{session}}})
			return m.must(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{session}}})
		}, false, false},
		"its end, by the process before the present one": {func(m *machine, session membership.SessionID) Result {
			m.must(Command{OpenSession: open(first, 10, 2)})
			return m.apply(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{session}, Process: 1}})
		}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(t)
			session := m.must(Command{OpenSession: open(first, 10, 1)}).Session
			m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: session}}}})
			is.True(m.epoch(key) > uint64(session)) // above the fence that cleared the grants of earlier incarnations
			result := c.then(m, session)
			is.Equal(result.Failure != nil, c.fails)
			shard, _ := m.state.Ownership.Get(key)
			is.Equal(shard.Phase != ownership.PhaseFree, c.owned)
			if c.owned {
				is.Equal(shard.Owner, session)
			}
		})
	}
}

// A shard that is released to be reassigned stays with its session, under an epoch above
// every epoch that the session had before for any shard.
func TestHandedBackShardsAreGivenAgainAboveAllBefore(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	session := m.node("proofs-1")
	key, other := ownership.Key{Service: "a", Shard: 0}, ownership.Key{Service: "a", Shard: 1}
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: session}}}})
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: other, To: session}}}})
	is.Equal(m.epoch(key), m.epoch(other)) // one epoch, so that adjacent shards are granted together
	before := max(m.epoch(key), m.epoch(other))
	releaseAgain := Command{Release: &Release{Session: session, Reassign: true, Shards: []ReleasedShard{{Key: key, Epoch: m.epoch(key)}}}}
	m.must(releaseAgain)
	shard, _ := m.state.Ownership.Get(key)
	is.Equal(shard.Owner, session)
	is.True(shard.Epoch > before)
	is.Equal(m.apply(releaseAgain).Stale, 1) // repeated
	m.must(Command{Release: &Release{Session: session, Shards: []ReleasedShard{{Key: other, Epoch: before}}}})
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: other, Epoch: before, To: session}}}})
	is.Equal(m.epoch(other), m.epoch(key))

	m.must(Command{SetDraining: &SetDraining{Session: session, Draining: true}})
	m.must(Command{Release: &Release{Session: session, Reassign: true, Shards: []ReleasedShard{{Key: key, Epoch: m.epoch(key)}}}})
	shard, _ = m.state.Ownership.Get(key)
	is.Equal(shard.Phase, ownership.PhaseFree) // the session may no longer own shards
}

// A lost session keeps its shards, gets no new ones and is lost once; one without shards is closed.
func TestLostSessionKeepsWhatItOwnsAndGetsNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	owner, idle := m.node("proofs-1"), m.node("proofs-2")
	key, other := ownership.Key{Service: "a", Shard: 0}, ownership.Key{Service: "a", Shard: 1}
	m.must(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: key, To: owner}}}})
	lose := Command{MarkSessionsLost: &MarkSessionsLost{Sessions: []membership.SessionID{owner, idle}, Cause: "no renewal"}}
	m.must(lose)
	is.True(m.state.Membership.Sessions[owner].Lost)
	is.Equal(m.state.Membership.Sessions[idle] == nil, true)
	is.Equal(m.apply(lose).Stale, 2) // repeated
	is.Equal(m.apply(Command{Assign: &Assign{Decisions: []ShardDecision{{Key: other, To: owner}}}}).Stale, 1)
	is.NoErr(m.state.CheckInvariants())
	m.must(Command{CloseSessions: &CloseSessions{Sessions: []membership.SessionID{owner}}})
	shard, _ := m.state.Ownership.Get(key)
	is.Equal(shard.Phase, ownership.PhaseFree)
}
