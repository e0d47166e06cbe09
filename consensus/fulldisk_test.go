package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// propose proposes one command and lets the group exchange messages for a while.
func (g *group) propose(leader *Core) (index uint64, err error) {
	index, err = leader.Propose(g.now, []byte("a"))
	g.advance(200 * time.Millisecond)
	return index, err
}

// A disk fills while commands come, and has room again later. Positions are counted from the leader.
func TestGroupWithFullDisks(t *testing.T) {
	for name, test := range map[string]struct {
		members int
		full    []int
		// commits, keepsLeader and hasLease are what holds while the disks are full.
		commits, keepsLeader, hasLease bool
	}{
		"no disk":                     {members: 3, commits: true, keepsLeader: true, hasLease: true},
		"a follower":                  {members: 3, full: []int{1}, commits: true, keepsLeader: true, hasLease: true},
		"the leader":                  {members: 3, full: []int{0}, commits: true, hasLease: true},
		"the leader and one follower": {members: 3, full: []int{0, 1}, keepsLeader: true, hasLease: true},
		"all followers":               {members: 3, full: []int{1, 2}, keepsLeader: true, hasLease: true},
		"all":                         {members: 3, full: []int{0, 1, 2}, keepsLeader: true, hasLease: true},
		"leader and follower of five": {members: 5, full: []int{0, 1}, commits: true, hasLease: true},
		"majority of five":            {members: 5, full: []int{0, 1, 2}, keepsLeader: true, hasLease: true},
		"the only member":             {members: 1, full: []int{0}, keepsLeader: true, hasLease: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, first := newElectedGroup(t, test.members)
			_, err := g.propose(first)
			is.NoErr(err)
			acknowledged := first.CommitIndex()
			g.full = map[MemberID]bool{}
			for _, position := range test.full {
				g.full[MemberID((int(first.ID())-1+position)%test.members+1)] = true
			}
			_, _ = g.propose(first) // shows that the disks are full
			g.advance(time.Second)
			leader := g.leader()
			is.Equal(leader == first, test.keepsLeader)
			is.Equal(leader.HoldsLease(g.now), test.hasLease)
			before := leader.LastIndex()
			index, err := g.propose(leader)
			is.Equal(err == nil, test.commits)
			if test.commits {
				is.True(leader.CommitIndex() >= index)
			} else {
				is.Equal(err, ErrDiskFull)
				is.Equal(leader.LastIndex(), before) // a refused command is not in the log
			}
			for id := range g.full {
				core := g.members[id]
				is.True(core.DiskFull())
				is.Equal(core.durableIndex, g.lastStored(id))
				is.True(core.LastIndex() <= acknowledged+1) // nothing piles up in memory
			}
			g.full = nil
			g.advance(2 * time.Second)
			leader = g.leader()
			index, err = g.propose(leader)
			is.NoErr(err)
			for _, id := range g.ids() {
				is.True(g.members[id].durableIndex >= index)
				is.True(!g.members[id].DiskFull())
			}
		})
	}
}

// lastStored returns the last index on a member's disk.
func (g *group) lastStored(id MemberID) uint64 {
	if count := len(g.stored[id]); count > 0 {
		return g.stored[id][count-1].Index
	}
	return 1
}

// A member that cannot save its vote gives none and does not stand. It stays in the term that is on its disk, whatever
// it hears.
func TestMemberWithFullDiskPromisesNothing(t *testing.T) {
	g, leader := newElectedGroup(t, 3)
	full := g.members[leader.ID()%3+1]
	rival := full.ID()%3 + 1
	g.partitioned[leader.ID()] = true
	full.SetDiskFull(g.now, true)
	persisted := g.hardStates[full.ID()]
	for name, message := range map[string]Message{
		"vote request":        {Kind: MessageVote, Term: persisted.Term + 1, LogIndex: 1000, LogTerm: persisted.Term},
		"forced vote request": {Kind: MessageVote, Term: persisted.Term + 1, LogIndex: 1000, LogTerm: persisted.Term, Forced: true},
		"pre-vote":            {Kind: MessagePreVote, Term: persisted.Term + 1, LogIndex: 1000, LogTerm: persisted.Term},
		"order to stand":      {Kind: MessageTimeoutNow, Term: persisted.Term},
		"newer leader":        {Kind: MessageAppend, Term: persisted.Term + 1, LogIndex: full.LastIndex(), LogTerm: persisted.Term, Entries: []Entry{{Term: persisted.Term + 1, Index: full.LastIndex() + 1}}},
		"entries":             {Kind: MessageAppend, Term: persisted.Term, LogIndex: full.LastIndex(), LogTerm: persisted.Term, Entries: []Entry{{Term: persisted.Term, Index: full.LastIndex() + 1}}},
		"snapshot":            {Kind: MessageSnapshot, Term: persisted.Term, Snapshot: &Snapshot{Index: 1000, Term: persisted.Term}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			message.From, message.To = rival, full.ID()
			last := full.LastIndex()
			full.Step(g.now+time.Minute, message)
			full.Tick(g.now + 2*time.Minute)
			output := full.TakeOutput()
			is.True(!output.NeedsWrite())
			is.Equal(full.Term(), persisted.Term)
			is.Equal(full.Role(), RoleFollower)
			is.Equal(full.LastIndex(), last)
			for _, sent := range append(output.Early, output.Messages...) {
				is.True(sent.Kind != MessageVoteResponse)
				is.True(sent.Kind != MessagePreVoteResponse || sent.Reject && sent.Answer == AnswerDiskFull)
				is.True(sent.Kind != MessageAppendResponse || sent.DiskFull && sent.Match <= last)
			}
		})
	}
}

// A term that a member has adopted but not saved is not answered in, also while the group goes on in it.
func TestMemberIsSilentInATermThatItCannotSave(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	member := g.members[leader.ID()%3+1]
	rival := member.ID()%3 + 1
	term := leader.Term() + 1
	member.Step(g.now+time.Minute, Message{Kind: MessageVote, From: rival, To: member.ID(), Term: term, LogIndex: 1000, LogTerm: term})
	vote := member.TakeOutput()
	is.Equal(*vote.HardState, HardState{Term: term, VotedFor: rival})
	member.SetDiskFull(g.now+time.Minute, true)
	member.Step(g.now+time.Minute, Message{Kind: MessageAppend, From: rival, To: member.ID(), Term: term, LogIndex: member.LastIndex(), LogTerm: leader.Term()})
	is.True(member.TakeOutput().Empty())
	member.SetDiskFull(g.now+2*time.Minute, false)
	member.NotifyDurable(g.now+2*time.Minute, &vote)
	member.Step(g.now+2*time.Minute, Message{Kind: MessageAppend, From: rival, To: member.ID(), Term: term, LogIndex: member.LastIndex(), LogTerm: leader.Term()})
	is.Equal(len(member.TakeOutput().Early), 1)
	is.Equal(member.saveDuration, time.Duration(0)) // the wait for room does not count as a slow disk
}

// A leader takes no proposal from the moment at which it knows that its disk is full.
func TestLeaderWithFullDiskTakesNoProposal(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	last := leader.LastIndex()
	leader.SetDiskFull(g.now, true)
	_, err := leader.Propose(g.now, []byte("a"))
	is.Equal(err, ErrDiskFull)
	_, err = leader.ProposeConfiguration(g.now, leader.Configuration())
	is.Equal(err, ErrDiskFull)
	is.Equal(leader.LastIndex(), last)
}

// A leader that lacks committed entries on its full disk keeps its lease while nobody else can be elected.
func TestLeaderWithFullDiskStaysIfOthersAreLost(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	_, err := g.propose(leader)
	is.NoErr(err)
	lost := leader.ID()%3 + 1
	g.partitioned[lost] = true
	leader.progress[lost].ackedSentAt, leader.progress[lost].joinedAt = 0, 0
	leader.durableIndex--
	leader.SetDiskFull(g.now, true)
	g.advance(2 * time.Second)
	is.Equal(leader.Role(), RoleLeader)
	is.True(leader.HoldsLease(g.now))
}
