package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func entries(term uint64, from, to uint64) []Entry {
	var list []Entry
	for index := from; index <= to; index++ {
		list = append(list, Entry{Term: term, Index: index})
	}
	return list
}

func toMember(id MemberID) []Message { return []Message{{To: id}} }

// receivers lists the receivers of messages.
func receivers(messages []Message) []MemberID {
	list := []MemberID{}
	for _, message := range messages {
		list = append(list, message.To)
	}
	return list
}

// Outputs added during a write: checks which messages are sent at once, and which outputs are
// merged into the next write and sent after it.
func TestOutputsWaitForWhatTheyDependOn(t *testing.T) {
	hard := &HardState{Term: 2}
	type round struct {
		messages  []MemberID
		committed int
	}
	for name, c := range map[string]struct {
		outputs []Output
		// early are the receivers of messages sent at once, rounds the outputs carried out in order.
		early  []MemberID
		rounds []round
	}{
		"heartbeats pass a write of entries": {
			[]Output{{Entries: entries(1, 1, 2), Messages: toMember(1)}, {Early: toMember(2)}},
			[]MemberID{2}, []round{{[]MemberID{1}, 0}},
		},
		"but no write of a term": {
			[]Output{{HardState: hard, Messages: toMember(1)}, {Early: toMember(2)}},
			[]MemberID{}, []round{{[]MemberID{1}, 0}, {[]MemberID{2}, 0}},
		},
		"a term that waits holds them back, too": {
			[]Output{{Entries: entries(1, 1, 2)}, {HardState: hard}, {Early: toMember(2)}},
			[]MemberID{}, []round{{[]MemberID{}, 0}, {[]MemberID{2}, 0}},
		},
		"what waits is written together": {
			[]Output{{Entries: entries(1, 1, 2)}, {Entries: entries(1, 3, 3), Messages: toMember(1)}, {Entries: entries(1, 4, 9), Messages: toMember(2), Committed: entries(1, 1, 2)}},
			[]MemberID{}, []round{{[]MemberID{}, 0}, {[]MemberID{1, 2}, 2}},
		},
		"entries that replace others are written after these": {
			[]Output{{Entries: entries(1, 1, 2)}, {Entries: entries(1, 3, 5), Messages: toMember(1)}, {Entries: entries(2, 4, 4), Messages: toMember(2)}},
			[]MemberID{}, []round{{[]MemberID{}, 0}, {[]MemberID{1}, 0}, {[]MemberID{2}, 0}},
		},
		"a snapshot stands for itself": {
			[]Output{{Entries: entries(1, 1, 2)}, {Snapshot: &Snapshot{Index: 9}, Messages: toMember(1)}, {Entries: entries(1, 10, 11), Messages: toMember(2)}},
			[]MemberID{}, []round{{[]MemberID{}, 0}, {[]MemberID{1}, 0}, {[]MemberID{2}, 0}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var pipeline Pipeline
			early := []MemberID{}
			var rounds []round
			var current Output
			take := func() bool {
				next, ok := pipeline.Next()
				if ok {
					current = next
				}
				return ok
			}
			for i, output := range c.outputs {
				early = append(early, receivers(pipeline.Add(output))...)
				if i == 0 {
					is.True(take())
					is.True(!take()) // one write at a time
				}
			}
			for more := true; more; more = take() {
				if current.NeedsWrite() {
					pipeline.WriteDone()
				}
				rounds = append(rounds, round{receivers(current.Messages), len(current.Committed)})
			}
			is.Equal(early, c.early)
			is.Equal(rounds, c.rounds)
		})
	}
}

// newTestCore returns one member of a group of three; the test plays the others.
func newTestCore(hard HardState, log ...Entry) *Core {
	configuration := Configuration{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	return New(Options{
		ID: 1, Timing: testTiming, Random: func(int64) int64 { return 0 }, HardState: hard,
		Snapshot: Snapshot{Index: 1, Term: 1, Configuration: configuration}, Entries: log,
		MaxAppendEntries: 10, MaxAppendBytes: 1 << 10,
	}, 0)
}

// A follower with a slow disk must answer heartbeats at once, or the leader loses its majority.
func TestFollowerAnswersForWhatIsDurableAtOnce(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	core.Step(time.Second, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries(2, 2, 4)})
	output := core.TakeOutput()
	is.Equal(output.Early[0].Match, uint64(1))
	is.Equal(output.Messages[0].Match, uint64(4))
	core.Step(2*time.Second, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 4, LogTerm: 2, SentAt: 7})
	heartbeat := core.TakeOutput()
	is.Equal(heartbeat.Early[0].Match, uint64(1))
	is.Equal(heartbeat.Early[0].SentAt, time.Duration(7)) // the leader receives proof of contact
	core.NotifyDurable(3*time.Second, &output)
	core.Step(3*time.Second, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 4, LogTerm: 2})
	is.Equal(core.TakeOutput().Early[0].Match, uint64(4))
}

// A completed write of entries that were replaced meanwhile must not count for the entries now in the log.
func TestWriteOfReplacedEntriesMakesNothingDurable(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	core.Step(time.Second, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 1, LogTerm: 1, Entries: entries(2, 2, 4)})
	first := core.TakeOutput()
	core.Step(time.Second, Message{Kind: MessageAppend, From: 3, To: 1, Term: 3, LogIndex: 1, LogTerm: 1, Entries: entries(3, 2, 4)})
	second := core.TakeOutput()
	core.NotifyDurable(time.Second, &first)
	core.Step(time.Second, Message{Kind: MessageAppend, From: 3, To: 1, Term: 3, LogIndex: 4, LogTerm: 3})
	is.Equal(core.TakeOutput().Early[0].Match, uint64(1))
	core.NotifyDurable(time.Second, &second)
	core.Step(time.Second, Message{Kind: MessageAppend, From: 3, To: 1, Term: 3, LogIndex: 4, LogTerm: 3})
	is.Equal(core.TakeOutput().Early[0].Match, uint64(4))
}

func TestSnapshotCountsOnlyOnceItIsDurable(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	snapshot := Snapshot{Index: 50, Term: 2, Configuration: core.Configuration()}
	core.Step(time.Second, Message{Kind: MessageSnapshot, From: 2, To: 1, Term: 2, Snapshot: &snapshot})
	output := core.TakeOutput()
	core.Step(time.Second, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 50, LogTerm: 2})
	is.Equal(core.TakeOutput().Early[0].Match, uint64(0))
	core.NotifyDurable(time.Second, &output)
	core.Step(time.Second, Message{Kind: MessageAppend, From: 2, To: 1, Term: 2, LogIndex: 50, LogTerm: 2})
	is.Equal(core.TakeOutput().Early[0].Match, uint64(50))
}

// becomeCandidate makes a member a candidate in the next term, up to its vote requests.
func becomeCandidate(is *is.I, core *Core, now time.Duration) {
	core.Tick(now)
	core.Step(now, Message{Kind: MessagePreVoteResponse, From: 2, To: 1, Term: core.Term() + 1})
	is.Equal(core.Role(), RoleCandidate)
}

// If saving a vote takes the voter longer than the candidate's timeout, the late vote must still count.
func TestVoteThatComesLateCounts(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	becomeCandidate(is, core, time.Second)
	output := core.TakeOutput()
	core.NotifyDurable(time.Second, &output)
	core.Tick(2 * time.Second)
	is.Equal(core.Role(), RolePreCandidate)
	core.Step(2*time.Second, Message{Kind: MessageVoteResponse, From: 2, To: 1, Term: 3})
	is.Equal(core.Role(), RoleLeader)
	is.Equal(core.Term(), uint64(3))
}

// A vote for a term in which this member is no longer a candidate does not count.
func TestVoteOfAFormerTermDoesNotCount(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	becomeCandidate(is, core, time.Second)
	core.Step(time.Second, Message{Kind: MessageAppend, From: 3, To: 1, Term: 3, LogIndex: 1, LogTerm: 1})
	core.Step(time.Second, Message{Kind: MessageVoteResponse, From: 2, To: 1, Term: 3})
	is.Equal(core.Role(), RoleFollower)
}

// The election timeout does not run while the term and vote are being saved, as no request is sent yet.
func TestTimeToStandBeginsOnceTheTermIsDurable(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	becomeCandidate(is, core, time.Second)
	output := core.TakeOutput()
	core.Tick(5 * time.Second)
	is.Equal(core.Role(), RoleCandidate)
	core.NotifyDurable(5*time.Second, &output)
	core.Tick(5*time.Second + testTiming.ElectionMin/2)
	is.Equal(core.Role(), RoleCandidate)
	core.Tick(5*time.Second + testTiming.ElectionMin)
	is.Equal(core.Role(), RolePreCandidate)
}

// A member whose vote, or own candidacy, may still decide an election rejects pre-votes of other candidates.
func TestPreVoteIsRefusedWhileAVoteMayWin(t *testing.T) {
	is := is.New(t)
	core := newTestCore(HardState{Term: 2})
	const save = time.Second
	asked := Message{Kind: MessagePreVote, From: 3, To: 1, Term: 9, LogIndex: 9, LogTerm: 9}
	answer := func(now time.Duration) Answer {
		core.Step(now, asked)
		messages := core.TakeOutput().Messages
		return messages[len(messages)-1].Answer
	}
	core.Step(time.Second, Message{Kind: MessageVote, From: 2, To: 1, Term: 3, LogIndex: 9, LogTerm: 9})
	output := core.TakeOutput()
	is.Equal(answer(time.Second+save/2), AnswerVotedForOther)
	core.NotifyDurable(time.Second+save, &output)
	last := time.Second + save + testTiming.ElectionMin + saveSpreadFactor*save
	is.Equal(answer(last-1), AnswerVotedForOther)
	is.Equal(answer(last), AnswerGranted)
}

// A follower with a stalled disk answers heartbeats. Progress must distinguish it from one that lags but
// catches up, and from one that lacks nothing.
func TestFollowerThatMakesNothingDurableIsStuck(t *testing.T) {
	is := is.New(t)
	g, leader := newElectedGroup(t, 3)
	stalledID := leader.ID()%3 + 1
	stuck := func() time.Duration {
		for _, peer := range leader.Progress() {
			if peer.ID == stalledID {
				return peer.Stalled
			}
		}
		return 0
	}
	g.advance(5 * time.Second)
	is.True(stuck() <= testTiming.Heartbeat) // idle
	g.stalled = map[MemberID]bool{stalledID: true}
	_, err := leader.Propose(g.now, []byte("a"))
	is.NoErr(err)
	g.advance(3 * time.Second)
	is.Equal(leader.Role(), RoleLeader)
	is.True(stuck() > 2*time.Second)
	delete(g.stalled, stalledID)
	g.advance(time.Second)
	is.True(stuck() <= testTiming.Heartbeat)
}
