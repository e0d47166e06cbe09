package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testTiming = Timing{Heartbeat: 40 * time.Millisecond, ElectionMin: 200 * time.Millisecond, ElectionMax: 350 * time.Millisecond, DriftPermille: 10}

// group delivers messages at once, except to and from members that are cut off.
type group struct {
	now     time.Duration
	members map[MemberID]*Core
	cut     map[MemberID]bool
	// stored is what each member has made durable.
	stored map[MemberID][]Entry
	hard   map[MemberID]HardState
	// hangs are members whose disks write nothing for now; held is what waits for the disk.
	hangs map[MemberID]bool
	held  map[MemberID][]Output
	// loseSnapshots drops as many snapshots on their way.
	loseSnapshots int
}

func newGroup(count int) *group {
	g := &group{members: map[MemberID]*Core{}, cut: map[MemberID]bool{}, stored: map[MemberID][]Entry{}, hard: map[MemberID]HardState{}, held: map[MemberID][]Output{}}
	var configuration Configuration
	for i := range count {
		configuration.Members = append(configuration.Members, Member{ID: MemberID(i + 1), Name: fmt.Sprintf("control-%d", i+1)})
	}
	for _, member := range configuration.Members {
		g.start(member.ID, Snapshot{Index: 1, Term: 1, Configuration: configuration}, nil, HardState{Term: 1})
	}
	return g
}

func (g *group) start(id MemberID, snapshot Snapshot, entries []Entry, hard HardState) {
	g.members[id] = New(Options{
		ID: id, Timing: testTiming, Random: func(bound int64) int64 { return int64(id) * bound / 8 },
		HardState: hard, Snapshot: snapshot, Entries: entries, MaxAppendEntries: 100, MaxAppendBytes: 1 << 20,
	}, g.now)
}

// settle carries out everything that the members ask for.
func (g *group) settle() {
	for again := true; again; {
		again = false
		for _, id := range g.ids() {
			output := g.members[id].TakeOutput()
			again = again || !output.Empty()
			g.deliver(output.Early)
			output.Early = nil
			g.held[id] = append(g.held[id], output)
			for !g.hangs[id] && len(g.held[id]) > 0 {
				next := g.held[id][0]
				g.held[id] = g.held[id][1:]
				g.write(id, &next)
			}
		}
	}
}

// write carries out what waits for the disk.
func (g *group) write(id MemberID, output *Output) {
	for _, entry := range output.Entries {
		g.store(id, entry)
	}
	g.members[id].Durable(g.now, output)
	if output.HardState != nil {
		g.hard[id] = *output.HardState
	}
	g.deliver(output.Messages)
}

func (g *group) deliver(messages []Message) {
	for _, message := range messages {
		if to := g.members[message.To]; to != nil && g.delivers(message) {
			to.Step(g.now, message)
		}
	}
}

func (g *group) delivers(message Message) bool {
	if message.Kind == MessageSnapshot && g.loseSnapshots > 0 {
		g.loseSnapshots--
		return false
	}
	return !g.cut[message.From] && !g.cut[message.To]
}

func (g *group) store(id MemberID, entry Entry) {
	kept := slices.DeleteFunc(g.stored[id], func(old Entry) bool { return old.Index >= entry.Index })
	g.stored[id] = append(kept, entry)
}

func (g *group) ids() []MemberID {
	var ids []MemberID
	for id := range g.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (g *group) pass(length time.Duration) {
	for end := g.now + length; g.now < end; {
		g.now += 10 * time.Millisecond
		for _, id := range g.ids() {
			g.members[id].Tick(g.now)
		}
		g.settle()
	}
}

func (g *group) leader() *Core {
	var leader *Core
	for _, core := range g.members {
		if core.Role() == RoleLeader && (leader == nil || core.Term() > leader.Term()) {
			leader = core
		}
	}
	return leader
}

func elected(t *testing.T, count int) (*group, *Core) {
	t.Helper()
	g := newGroup(count)
	g.pass(time.Second)
	leader := g.leader()
	if leader == nil {
		t.Fatal("no leader was elected")
	}
	return g, leader
}

func TestCommittedEntryIsOnAMajority(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	index, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.settle()
	is.True(leader.CommitIndex() >= index)
	holding := 0
	for _, core := range g.members {
		if core.LastIndex() >= index {
			holding++
		}
	}
	is.True(holding >= 2)
}

func TestLeaderWithoutQuorumCommitsNothingAndStepsDown(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	g.cut[leader.ID()] = true
	index, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.pass(time.Second)
	is.True(leader.CommitIndex() < index)
	is.Equal(leader.Role() == RoleLeader, false)
}

func TestLeaseEndsBeforeASuccessorCanBeElected(t *testing.T) {
	is := is.New(t)
	g, old := elected(t, 3)
	is.True(old.HoldsLease(g.now))
	g.cut[old.ID()] = true
	for range 100 {
		g.pass(10 * time.Millisecond)
		successor := g.leader()
		if successor != nil && successor.ID() != old.ID() {
			is.Equal(old.HoldsLease(g.now), false) // two members must not answer for the group
			return
		}
	}
	t.Fatal("no successor was elected")
}

func TestReturningMemberDoesNotDisturbTheTerm(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	away := leader.ID()%3 + 1
	g.cut[away] = true
	g.pass(5 * time.Second)
	term := leader.Term()
	g.cut[away] = false
	g.pass(time.Second)
	is.Equal(leader.Role(), RoleLeader)
	is.Equal(leader.Term(), term)
	is.Equal(g.members[away].Leader(), leader.ID())
}

func TestRestartedMemberDoesNotVoteAtOnce(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	other := leader.ID()%3 + 1
	g.start(other, Snapshot{Index: 1, Term: 1, Configuration: leader.Configuration()}, g.stored[other], g.hard[other])
	rival := other%3 + 1
	g.members[other].Step(g.now, Message{Kind: MessageVote, From: rival, To: other, Term: leader.Term() + 1, LogIndex: 100, LogTerm: 100})
	for _, message := range g.members[other].TakeOutput().Messages {
		is.True(message.Kind != MessageVoteResponse || message.Reject) // it may have heard the leader before it stopped
	}
	is.Equal(g.members[other].Term(), leader.Term())
}

func TestLearnerCountsNeitherForCommitNorForVotes(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	learner := MemberID(9)
	g.start(learner, Snapshot{}, nil, HardState{})
	next := leader.Configuration().Clone()
	next.Members = append(next.Members, Member{ID: learner, Name: "control-9", Learner: true})
	_, err := leader.ProposeConfiguration(g.now, next)
	is.NoErr(err)
	g.pass(200 * time.Millisecond)
	is.Equal(g.members[learner].LastIndex(), leader.LastIndex())
	for id := range g.members {
		g.cut[id] = id != leader.ID() && id != learner
	}
	index, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.settle()
	is.True(leader.CommitIndex() < index)
}

// Readers waited half a second at a learner for an answer of a leader that it had not heard for long, where
// the voters sent them on at once: a learner seeks no election, and kept the leader that it had known.
func TestLearnerForgetsALeaderThatItDoesNotHear(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	learner := MemberID(9)
	g.start(learner, Snapshot{}, nil, HardState{})
	next := leader.Configuration().Clone()
	next.Members = append(next.Members, Member{ID: learner, Name: "control-9", Learner: true})
	_, err := leader.ProposeConfiguration(g.now, next)
	is.NoErr(err)
	g.pass(200 * time.Millisecond)
	is.Equal(g.members[learner].Leader(), leader.ID())
	g.cut[learner] = true
	g.pass(testTiming.ElectionMax)
	is.Equal(g.members[learner].Leader(), MemberID(0))
	is.Equal(g.members[learner].Role(), RoleFollower) // it seeks no election all the same
	g.cut[learner] = false
	g.pass(200 * time.Millisecond)
	is.Equal(g.members[learner].Leader(), leader.ID())
}

func TestUnsafeChangesOfMembersAreRefused(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	var two Configuration
	two.Members = leader.Configuration().Members[:1]
	_, err := leader.ProposeConfiguration(g.now, two)
	is.Equal(err, ErrUnsafeChange)
	smaller := Configuration{Members: leader.Configuration().Members[:2]}
	for id := range g.members {
		g.cut[id] = id != leader.ID()
	}
	_, err = leader.ProposeConfiguration(g.now, smaller)
	is.NoErr(err)
	_, err = leader.ProposeConfiguration(g.now, Configuration{Members: smaller.Members[:1]})
	is.Equal(err, ErrChangePending)
}

// A member whose data folder is an older copy of its own has forgotten what it
// acknowledged: it must stop, and must not count meanwhile.
func TestOlderCopyOfOwnFolderIsNoticed(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	for i := range 5 {
		_, err := leader.Propose(g.now, []byte{byte(i)})
		is.NoErr(err)
		g.pass(50 * time.Millisecond)
	}
	victim := leader.ID()%3 + 1
	old := g.stored[victim][:2]
	g.start(victim, Snapshot{Index: 1, Term: 1, Configuration: leader.Configuration()}, old, g.hard[victim])
	fatal := false
	for range 20 {
		g.now += 10 * time.Millisecond
		for _, id := range g.ids() {
			g.members[id].Tick(g.now)
			output := g.members[id].TakeOutput()
			fatal = fatal || id == victim && output.Fatal == ErrLostLog
			for _, message := range append(output.Early, output.Messages...) {
				g.members[message.To].Step(g.now, message)
			}
		}
	}
	is.True(fatal)
	is.True(leader.Progress()[0].LostLog || leader.Progress()[1].LostLog)
}

func TestMemberFarBehindGetsASnapshot(t *testing.T) {
	is := is.New(t)
	g, leader, away, index := farBehind(t)
	g.pass(time.Second)
	is.Equal(g.members[away].LastIndex(), leader.LastIndex())
	is.Equal(g.members[away].FirstIndex(), index+1)
}

// A connection that breaks takes the snapshot with it. Waiting for its answer
// would keep a repaired member out for seconds.
func TestLostSnapshotIsSentAgainAtOnce(t *testing.T) {
	is := is.New(t)
	g, leader, away, _ := farBehind(t)
	g.loseSnapshots = 1
	g.pass(4 * testTiming.Heartbeat)
	is.Equal(g.loseSnapshots, 0)
	is.Equal(g.members[away].LastIndex(), leader.LastIndex())
}

// farBehind returns a group in which one member needs what the leader has
// compacted up to an index.
func farBehind(t *testing.T) (g *group, leader *Core, away MemberID, index uint64) {
	t.Helper()
	is := is.New(t)
	g, leader = elected(t, 3)
	away = leader.ID()%3 + 1
	g.cut[away] = true
	for range 10 {
		_, err := leader.Propose(g.now, []byte("x"))
		is.NoErr(err)
		g.pass(40 * time.Millisecond)
	}
	index = leader.CommitIndex()
	term, _ := leader.EntryTerm(index)
	leader.Compact(Snapshot{Index: index, Term: term, Data: []byte("state"), Configuration: leader.Configuration()}, 0)
	g.cut[away] = false
	return g, leader, away, index
}

// A voter whose own configuration is older than the candidate's votes all the
// same: otherwise a group could be left without a leader for ever.
func TestVoterWithOlderConfigurationVotes(t *testing.T) {
	is := is.New(t)
	old := Configuration{Members: []Member{{ID: 1}, {ID: 2}}}
	voter := New(Options{ID: 3, Timing: testTiming, Random: func(int64) int64 { return 0 }, Snapshot: Snapshot{Index: 1, Term: 1, Configuration: old}, HardState: HardState{Term: 1}}, 0)
	voter.Step(time.Second, Message{Kind: MessagePreVote, From: 2, To: 3, Term: 2, LogIndex: 5, LogTerm: 1})
	output := voter.TakeOutput()
	is.Equal(len(output.Messages)+len(output.Early), 1)
	is.Equal(append(output.Early, output.Messages...)[0].Reject, false)
}

func TestLeaderThatNobodySucceedsStepsDown(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	is.True(leader.TransferLeadership())
	_ = leader.TakeOutput() // the request to take over is lost
	is.Equal(leader.HoldsLease(g.now), false)
	g.pass(2 * time.Second)
	successor := g.leader()
	is.True(successor != nil)
	_, err := successor.Propose(g.now, []byte("a"))
	is.NoErr(err)
}

func TestTransferredLeadershipChangesHandsAtOnce(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	is.True(leader.TransferLeadership())
	g.settle()
	is.True(g.leader().ID() != leader.ID())
	is.Equal(leader.HoldsLease(g.now), false)
}

func TestReadNeedsTheLease(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	index, err := leader.ReadIndex(g.now)
	is.NoErr(err)
	is.Equal(index, leader.CommitIndex())
	_, err = leader.ReadIndex(g.now + time.Second)
	is.Equal(err, ErrNotReady)
}

// An entry of an earlier term is not committed by being on a majority, only along
// with one of the leader's own term (Raft paper, figure 8).
func TestEntryOfAnEarlierTermDoesNotCountByItself(t *testing.T) {
	is := is.New(t)
	configuration := Configuration{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	core := New(Options{
		ID: 1, Timing: testTiming, Random: func(int64) int64 { return 0 }, HardState: HardState{Term: 3},
		Snapshot: Snapshot{Index: 1, Term: 1, Configuration: configuration}, Entries: []Entry{{Index: 2, Term: 2}},
		MaxAppendEntries: 10, MaxAppendBytes: 1 << 10,
	}, 0)
	now := time.Second
	core.Tick(now)
	core.Step(now, Message{Kind: MessagePreVoteResponse, From: 2, To: 1, Term: 4})
	core.Step(now, Message{Kind: MessageVoteResponse, From: 2, To: 1, Term: 4})
	is.Equal(core.Role(), RoleLeader)
	output := core.TakeOutput()
	core.Durable(now, &output)
	core.Step(now, Message{Kind: MessageAppendResponse, From: 2, To: 1, Term: 4, Match: 2, Hint: 2, SentAt: now})
	is.Equal(core.CommitIndex(), uint64(1)) // entry 2 is on two of three, and may still be replaced
	core.Step(now, Message{Kind: MessageAppendResponse, From: 2, To: 1, Term: 4, Match: 3, Hint: 3, SentAt: now})
	is.Equal(core.CommitIndex(), uint64(3))
}

// The answer that commits a leader's own removal is the last thing it handles as a
// leader; it crashed when it went on to send what was left to send.
func TestLeaderCommitsItsOwnRemoval(t *testing.T) {
	is := is.New(t)
	g, leader := elected(t, 3)
	var without Configuration
	for _, member := range leader.Configuration().Members {
		if member.ID != leader.ID() {
			without.Members = append(without.Members, member)
		}
	}
	index, err := leader.ProposeConfiguration(g.now, without)
	is.NoErr(err)
	// More than one message carries, so that some is left to send at the end.
	for range 3 * leader.maxSend {
		_, err = leader.Propose(g.now, []byte("after"))
		is.NoErr(err)
	}
	output := leader.TakeOutput()
	leader.Durable(g.now, &output)
	for _, member := range without.Members {
		if leader.Role() != RoleLeader {
			break
		}
		leader.progress[member.ID].next = index
		leader.Step(g.now, Message{Kind: MessageAppendResponse, From: member.ID, To: leader.ID(), Term: leader.Term(), Match: index, Hint: index, SentAt: g.now})
	}
	is.Equal(leader.Role(), RoleFollower)
	is.True(leader.CommitIndex() >= index)
}

// Members that start together elect a leader soon after ElectionMin, before which none
// of them may vote.
func TestFirstElectionFollowsSoonAfterAStart(t *testing.T) {
	is := is.New(t)
	timing := Timing{Heartbeat: 100 * time.Millisecond, ElectionMin: 400 * time.Millisecond, ElectionMax: 800 * time.Millisecond}
	core := New(Options{ID: 1, Timing: timing, Random: func(bound int64) int64 { return bound - 1 }}, time.Second)
	is.Equal(core.electionDeadline, time.Second+500*time.Millisecond)
	core.becomeFollower(2, 0)
	is.Equal(core.electionDeadline, time.Second+800*time.Millisecond)
}
