package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testTiming = Timing{Heartbeat: 40 * time.Millisecond, ElectionMin: 200 * time.Millisecond, ElectionMax: 350 * time.Millisecond, DriftPermille: 10}

// group is a set of members with immediate message delivery, except to and from partitioned members.
type group struct {
	now         time.Duration
	members     map[MemberID]*Core
	partitioned map[MemberID]bool
	// stored holds the durable entries of each member.
	stored     map[MemberID][]Entry
	hardStates map[MemberID]HardState
	// stalled holds the members whose disks are stalled; unwritten holds the outputs that wait for a disk.
	stalled map[MemberID]bool
	// full holds the members whose disks are full: their writes fail until it is unset.
	full      map[MemberID]bool
	unwritten map[MemberID][]Output
	// loseSnapshots is the number of snapshots still to be dropped.
	loseSnapshots int
	// beforeStep, if set, is called before each write and each delivery of a message.
	beforeStep func()
}

func newGroup(count int) *group {
	g := &group{members: map[MemberID]*Core{}, partitioned: map[MemberID]bool{}, stored: map[MemberID][]Entry{}, hardStates: map[MemberID]HardState{}, unwritten: map[MemberID][]Output{}}
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

// exchange carries out the outputs of all members until there are none left.
func (g *group) exchange() {
	for again := true; again; {
		again = false
		for _, id := range g.ids() {
			output := g.members[id].TakeOutput()
			again = again || !output.Empty()
			g.deliver(output.Early)
			output.Early = nil
			g.unwritten[id] = append(g.unwritten[id], output)
			for !g.stalled[id] && len(g.unwritten[id]) > 0 {
				next := g.unwritten[id][0]
				if g.full[id] && next.NeedsWrite() {
					g.members[id].SetDiskFull(g.now, true)
					break
				}
				if next.NeedsWrite() {
					g.members[id].SetDiskFull(g.now, false)
				}
				g.unwritten[id] = g.unwritten[id][1:]
				g.write(id, &next)
			}
		}
	}
}

// write makes an output durable and delivers its messages.
func (g *group) write(id MemberID, output *Output) {
	if g.takeStep(); g.stalled[id] {
		return
	}
	for _, entry := range output.Entries {
		g.store(id, entry)
	}
	g.members[id].NotifyDurable(g.now, output)
	if output.HardState != nil {
		g.hardStates[id] = *output.HardState
	}
	g.deliver(output.Messages)
}

func (g *group) deliver(messages []Message) {
	for _, message := range messages {
		g.takeStep()
		if to := g.members[message.To]; to != nil && g.shouldDeliver(message) {
			to.Step(g.now, message)
		}
	}
}

func (g *group) takeStep() {
	if g.beforeStep != nil {
		g.beforeStep()
	}
}

func (g *group) shouldDeliver(message Message) bool {
	if message.Kind == MessageSnapshot && g.loseSnapshots > 0 {
		g.loseSnapshots--
		return false
	}
	return !g.partitioned[message.From] && !g.partitioned[message.To]
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

func (g *group) advance(length time.Duration) {
	for end := g.now + length; g.now < end; {
		g.now += 10 * time.Millisecond
		for _, id := range g.ids() {
			g.members[id].Tick(g.now)
		}
		g.exchange()
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

func newElectedGroup(t *testing.T, count int) (*group, *Core) {
	t.Helper()
	g := newGroup(count)
	g.advance(time.Second)
	leader := g.leader()
	if leader == nil {
		t.Fatal("no leader was elected")
	}
	return g, leader
}

func TestCommittedEntryIsOnAMajority(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	index, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.exchange()
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
	g, leader := newElectedGroup(t, 3)
	g.partitioned[leader.ID()] = true
	index, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.advance(time.Second)
	is.True(leader.CommitIndex() < index)
	is.Equal(leader.Role() == RoleLeader, false)
}

func TestLeaseEndsBeforeASuccessorCanBeElected(t *testing.T) {
	is := is.New(t)
	g, old := newElectedGroup(t, 3)
	is.True(old.HoldsLease(g.now))
	g.partitioned[old.ID()] = true
	for range 100 {
		g.advance(10 * time.Millisecond)
		successor := g.leader()
		if successor != nil && successor.ID() != old.ID() {
			is.Equal(old.HoldsLease(g.now), false) // at most one member may answer reads
			return
		}
	}
	t.Fatal("no successor was elected")
}

func TestReturningMemberDoesNotDisturbTheTerm(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	isolated := leader.ID()%3 + 1
	g.partitioned[isolated] = true
	g.advance(5 * time.Second)
	term := leader.Term()
	g.partitioned[isolated] = false
	g.advance(time.Second)
	is.Equal(leader.Role(), RoleLeader)
	is.Equal(leader.Term(), term)
	is.Equal(g.members[isolated].Leader(), leader.ID())
}

func TestRestartedMemberDoesNotVoteAtOnce(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	other := leader.ID()%3 + 1
	g.start(other, Snapshot{Index: 1, Term: 1, Configuration: leader.Configuration()}, g.stored[other], g.hardStates[other])
	rival := other%3 + 1
	g.members[other].Step(g.now, Message{Kind: MessageVote, From: rival, To: other, Term: leader.Term() + 1, LogIndex: 100, LogTerm: 100})
	for _, message := range g.members[other].TakeOutput().Messages {
		is.True(message.Kind != MessageVoteResponse || message.Reject) // it may have had leader contact before it stopped
	}
	is.Equal(g.members[other].Term(), leader.Term())
}

func TestLearnerCountsNeitherForCommitNorForVotes(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	learner := MemberID(9)
	g.start(learner, Snapshot{}, nil, HardState{})
	next := leader.Configuration().Clone()
	next.Members = append(next.Members, Member{ID: learner, Name: "control-9", Learner: true})
	_, err := leader.ProposeConfiguration(g.now, next)
	is.NoErr(err)
	g.advance(200 * time.Millisecond)
	is.Equal(g.members[learner].LastIndex(), leader.LastIndex())
	for id := range g.members {
		g.partitioned[id] = id != leader.ID() && id != learner
	}
	index, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.exchange()
	is.True(leader.CommitIndex() < index)
}

// A learner without leader contact must not keep redirecting readers to the old leader.
func TestLearnerForgetsALeaderThatItDoesNotHear(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	learner := MemberID(9)
	g.start(learner, Snapshot{}, nil, HardState{})
	next := leader.Configuration().Clone()
	next.Members = append(next.Members, Member{ID: learner, Name: "control-9", Learner: true})
	_, err := leader.ProposeConfiguration(g.now, next)
	is.NoErr(err)
	g.advance(200 * time.Millisecond)
	is.Equal(g.members[learner].Leader(), leader.ID())
	g.partitioned[learner] = true
	g.advance(testTiming.ElectionMax)
	is.Equal(g.members[learner].Leader(), MemberID(0))
	is.Equal(g.members[learner].Role(), RoleFollower) // it still starts no election
	g.partitioned[learner] = false
	g.advance(200 * time.Millisecond)
	is.Equal(g.members[learner].Leader(), leader.ID())
}

func TestUnsafeChangesOfMembersAreRefused(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	var two Configuration
	two.Members = leader.Configuration().Members[:1]
	_, err := leader.ProposeConfiguration(g.now, two)
	is.Equal(err, ErrUnsafeChange)
	smaller := Configuration{Members: leader.Configuration().Members[:2]}
	for id := range g.members {
		g.partitioned[id] = id != leader.ID()
	}
	_, err = leader.ProposeConfiguration(g.now, smaller)
	is.NoErr(err)
	_, err = leader.ProposeConfiguration(g.now, Configuration{Members: smaller.Members[:1]})
	is.Equal(err, ErrChangePending)
}

// A member whose data folder was replaced by an older copy lacks entries that it acknowledged:
// it must stop, and must not count towards commit meanwhile.
func TestOlderCopyOfOwnFolderIsNoticed(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	for i := range 5 {
		_, err := leader.Propose(g.now, []byte{byte(i)})
		is.NoErr(err)
		g.advance(50 * time.Millisecond)
	}
	restarted := leader.ID()%3 + 1
	old := g.stored[restarted][:2]
	g.start(restarted, Snapshot{Index: 1, Term: 1, Configuration: leader.Configuration()}, old, g.hardStates[restarted])
	fatal := false
	for range 20 {
		g.now += 10 * time.Millisecond
		for _, id := range g.ids() {
			g.members[id].Tick(g.now)
			output := g.members[id].TakeOutput()
			fatal = fatal || id == restarted && output.Fatal == ErrLostLog
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
	g, leader, lagging, index := newLaggingGroup(t)
	g.advance(time.Second)
	is.Equal(g.members[lagging].LastIndex(), leader.LastIndex())
	is.Equal(g.members[lagging].FirstIndex(), index+1)
}

// A broken connection loses the snapshot. Waiting for its response would delay a repaired
// member by seconds.
func TestLostSnapshotIsSentAgainAtOnce(t *testing.T) {
	is := is.New(t)
	g, leader, lagging, _ := newLaggingGroup(t)
	g.loseSnapshots = 1
	g.advance(4 * testTiming.Heartbeat)
	is.Equal(g.loseSnapshots, 0)
	is.Equal(g.members[lagging].LastIndex(), leader.LastIndex())
}

// newLaggingGroup returns a group in which one member needs entries that the leader has
// compacted up to index.
func newLaggingGroup(t *testing.T) (g *group, leader *Core, lagging MemberID, index uint64) {
	t.Helper()
	is := is.New(t)
	g, leader = newElectedGroup(t, 3)
	lagging = leader.ID()%3 + 1
	g.partitioned[lagging] = true
	for range 10 {
		_, err := leader.Propose(g.now, []byte("x"))
		is.NoErr(err)
		g.advance(40 * time.Millisecond)
	}
	index = leader.CommitIndex()
	term, _ := leader.EntryTerm(index)
	leader.Compact(Snapshot{Index: index, Term: term, Data: []byte("state"), Configuration: leader.Configuration()}, 0)
	g.partitioned[lagging] = false
	return g, leader, lagging, index
}

// A voter whose configuration is older than the candidate's must vote: otherwise a group
// could stay without a leader forever.
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
	g, leader := newElectedGroup(t, 3)
	is.True(leader.TransferLeadership())
	_ = leader.TakeOutput() // the request to take over is lost
	is.Equal(leader.HoldsLease(g.now), false)
	g.advance(2 * time.Second)
	successor := g.leader()
	is.True(successor != nil)
	_, err := successor.Propose(g.now, []byte("a"))
	is.NoErr(err)
}

func TestTransferredLeadershipChangesHandsAtOnce(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	is.True(leader.TransferLeadership())
	g.exchange()
	is.True(g.leader().ID() != leader.ID())
	is.Equal(leader.HoldsLease(g.now), false)
}

// Guards against a planned stop that leaves the group without a leader for an election timeout, as leadership was
// passed to a member that had ended.
func TestLeadershipPassesToAMemberThatAnswers(t *testing.T) {
	for offset := range MemberID(2) {
		t.Run(fmt.Sprintf("the follower %d further ends", offset+1), func(t *testing.T) {
			is := is.New(t)
			g, leader := newElectedGroup(t, 3)
			g.partitioned[(leader.ID()+offset)%3+1] = true
			g.advance(testTiming.ElectionMin)
			is.True(leader.TransferLeadership())
			g.exchange()
			is.True(g.leader().ID() != leader.ID())
			is.Equal(g.partitioned[g.leader().ID()], false)
		})
	}
}

func TestReadNeedsTheLease(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
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
	core.NotifyDurable(now, &output)
	core.Step(now, Message{Kind: MessageAppendResponse, From: 2, To: 1, Term: 4, Match: 2, Hint: 2, SentAt: now})
	is.Equal(core.CommitIndex(), uint64(1)) // entry 2 is on two of three members and may still be replaced
	core.Step(now, Message{Kind: MessageAppendResponse, From: 2, To: 1, Term: 4, Match: 3, Hint: 3, SentAt: now})
	is.Equal(core.CommitIndex(), uint64(3))
}

// The response that commits a leader's own removal must not make it send further appends: it has no progress
// table any more, and would crash.
func TestLeaderCommitsItsOwnRemoval(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	var remaining Configuration
	for _, member := range leader.Configuration().Members {
		if member.ID != leader.ID() {
			remaining.Members = append(remaining.Members, member)
		}
	}
	index, err := leader.ProposeConfiguration(g.now, remaining)
	is.NoErr(err)
	// More entries than fit into one message, so that some remain to be sent.
	for range 3 * leader.maxAppendEntries {
		_, err = leader.Propose(g.now, []byte("after"))
		is.NoErr(err)
	}
	output := leader.TakeOutput()
	leader.NotifyDurable(g.now, &output)
	for _, member := range remaining.Members {
		if leader.Role() != RoleLeader {
			break
		}
		leader.progress[member.ID].next = index
		leader.Step(g.now, Message{Kind: MessageAppendResponse, From: member.ID, To: leader.ID(), Term: leader.Term(), Match: index, Hint: index, SentAt: g.now})
	}
	is.Equal(leader.Role(), RoleFollower)
	is.True(leader.CommitIndex() >= index)
}

// Members that start together elect a leader soon after ElectionMin, before which none of
// them may vote.
func TestFirstElectionFollowsSoonAfterAStart(t *testing.T) {
	is := is.New(t)
	timing := Timing{Heartbeat: 100 * time.Millisecond, ElectionMin: 400 * time.Millisecond, ElectionMax: 800 * time.Millisecond}
	core := New(Options{ID: 1, Timing: timing, Random: func(bound int64) int64 { return bound - 1 }}, time.Second)
	is.Equal(core.electionDeadline, time.Second+500*time.Millisecond)
	core.becomeFollower(2, 0)
	is.Equal(core.electionDeadline, time.Second+800*time.Millisecond)
}
