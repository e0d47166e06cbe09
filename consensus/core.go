package consensus

import "time"

// Core is one member's replication state machine.
//
// Invariants that the code keeps (names as in the Raft paper's Figure 3):
//   - Election safety: a member votes once a term, and the vote is in HardState
//     before the response leaves (Output orders them).
//   - Leader append-only: a leader never truncates its own log.
//   - Log matching: an append is taken only after LogIndex/LogTerm agree.
//   - Leader completeness: only entries of the leader's own term are counted
//     towards commit; older ones are committed along with them.
//   - A member acknowledges an entry only after the driver said Durable.
//   - Leader lease: HoldsLease is true only while no other member can have been
//     elected; see lease.go.
type Core struct {
	id      MemberID
	timing  Timing
	random  func(int64) int64
	maxSend int
	maxSize int

	hardState      HardState
	savedHardState HardState
	// durableHardState is the newest that is on the disk.
	durableHardState HardState
	log              memoryLog
	persisted        uint64
	commit           uint64
	handedOut        uint64

	role   Role
	leader MemberID

	now               time.Duration
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	heartbeatDue      time.Duration

	// votes are those of the current term, in which this member stands; preVotes those for the next one.
	votes    map[MemberID]bool
	preVotes map[MemberID]bool
	// saveBegan is when the newest hard state was handed out to be saved, and saveTook how long the one before
	// took until it was durable. votedAt is when the newest vote was.
	saveBegan time.Duration
	saveTook  time.Duration
	votedAt   time.Duration
	round     Round
	lastRound Round
	progress  map[MemberID]*progress
	termStart uint64 // index of the leader's no-op
	// behindSince is since when this leader's own disk, at behindAt then, lacks what the others have on theirs
	// and finishes nothing.
	behindSince time.Duration
	behindAt    uint64
	forced      bool // this candidacy follows MessageTimeoutNow
	abdicated   bool // the leader gave up its lease in favour of another
	// abdicatedAt is when it did; if nobody takes over, it steps down.
	abdicatedAt time.Duration

	early           []Message
	messages        []Message
	pendingSnapshot *Snapshot
	fatal           error
	// snapshotSource returns the newest snapshot for peers that lag behind the log.
	latestSnapshot Snapshot
}

// New makes a member from what its disk holds. A member that was just started
// refuses to vote for ElectionMin, as it may have heard a leader before it stopped.
func New(options Options, now time.Duration) *Core {
	core := &Core{
		id:               options.ID,
		timing:           options.Timing,
		random:           options.Random,
		maxSend:          options.MaxAppendEntries,
		maxSize:          options.MaxAppendBytes,
		hardState:        options.HardState,
		savedHardState:   options.HardState,
		durableHardState: options.HardState,
		log:              newMemoryLog(options.Snapshot, options.Entries),
		commit:           options.Snapshot.Index,
		handedOut:        options.Snapshot.Index,
		latestSnapshot:   options.Snapshot,
		now:              now,
	}
	core.persisted = core.log.lastIndex()
	core.lastLeaderContact = now
	core.resetElectionDeadline(firstSpreadShare)
	return core
}

// ID returns this member's identity.
func (c *Core) ID() MemberID { return c.id }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Role returns this member's role.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, if known.
func (c *Core) Leader() MemberID { return c.leader }

// LeaderContact is the clock reading at which this member last heard a leader; its start, if never.
func (c *Core) LeaderContact() time.Duration { return c.lastLeaderContact }

// CommitIndex returns the highest index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// FirstIndex returns the index after the last compaction.
func (c *Core) FirstIndex() uint64 { return c.log.snapshotIndex + 1 }

// TermStart returns the index of the no-op that opened this leader's term.
func (c *Core) TermStart() uint64 { return c.termStart }

// EntryTerm returns the term of the entry at index; false when not held.
func (c *Core) EntryTerm(index uint64) (uint64, bool) { return c.log.term(index) }

// Configuration returns the latest configuration, committed or not.
func (c *Core) Configuration() Configuration { return c.log.latestConfiguration().configuration }

// ConfigurationAt returns the configuration in force at the log index.
func (c *Core) ConfigurationAt(index uint64) Configuration { return c.log.configurationAt(index) }

// Tick advances the clock; the driver calls it at least every Heartbeat/2.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if now >= c.electionDeadline && c.durable() {
		c.startPreVote()
	}
}

// Propose appends commands to the leader's log and returns the index of the first.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (uint64, error) {
	c.now = now
	if c.role != RoleLeader || c.abdicated {
		return 0, ErrNotLeader
	}
	first := c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendOwn(Entry{Kind: EntryCommand, Data: command})
	}
	c.broadcastAppend()
	return first, nil
}

// ProposeConfiguration appends a configuration that differs by one voter at
// most. It is in force as soon as it is in the log, as in the Raft paper.
func (c *Core) ProposeConfiguration(now time.Duration, next Configuration) (uint64, error) {
	c.now = now
	if c.role != RoleLeader || c.abdicated {
		return 0, ErrNotLeader
	}
	// A leader that has not committed in its own term may not know of an
	// earlier change that is still open.
	if c.commit < c.termStart {
		return 0, ErrNotReady
	}
	latest := c.log.latestConfiguration()
	if latest.index > c.commit {
		return 0, ErrChangePending
	}
	if voterDifference(latest.configuration, next) > 1 {
		return 0, ErrUnsafeChange
	}
	copied := next.Clone()
	index := c.appendOwn(Entry{Kind: EntryConfiguration, Configuration: &copied})
	c.refreshProgress()
	c.broadcastAppend()
	c.advanceCommit()
	return index, nil
}

func voterDifference(before, after Configuration) int {
	old := map[MemberID]bool{}
	for _, id := range before.Voters() {
		old[id] = true
	}
	difference := 0
	for _, id := range after.Voters() {
		if old[id] {
			delete(old, id)
			continue
		}
		difference++
	}
	return difference + len(old)
}

// Durable tells the core what has been written of an output.
func (c *Core) Durable(now time.Duration, output *Output) {
	c.now = now
	if output.HardState != nil {
		c.durableHardState = *output.HardState
		if c.durable() {
			c.saved()
		}
	}
	if output.Snapshot != nil {
		c.persist(output.Snapshot.Index, output.Snapshot.Term)
	}
	if count := len(output.Entries); count > 0 {
		c.persist(output.Entries[count-1].Index, output.Entries[count-1].Term)
	}
}

// saved takes up that this member's newest term and vote are on its disk.
func (c *Core) saved() {
	c.saveTook = c.now - c.saveBegan
	c.votedAt = c.now
	if c.role != RoleLeader {
		// Until now nobody could have been asked, or told of a vote: the time for it begins.
		c.resetElectionDeadline(wholeSpread)
	}
}

// durable reports whether this member's term and vote are on its disk.
func (c *Core) durable() bool { return c.hardState == c.durableHardState }

// persist notes that the log is durable up to an entry. One that has been replaced meanwhile says nothing of
// what is there now.
func (c *Core) persist(index, term uint64) {
	if held, there := c.log.term(index); !there || held != term {
		return
	}
	c.persisted = max(c.persisted, index)
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Compact drops log entries that snapshot covers and keeps the snapshot for
// peers that lag. keep entries before it stay in memory to spare snapshots.
func (c *Core) Compact(snapshot Snapshot, keep uint64) {
	if snapshot.Index <= c.latestSnapshot.Index && c.latestSnapshot.Data != nil {
		return
	}
	c.latestSnapshot = snapshot
	if snapshot.Index > keep {
		c.log.compact(min(snapshot.Index, snapshot.Index-keep))
	}
}

// TakeOutput returns what has to be carried out and forgets it.
func (c *Core) TakeOutput() Output {
	output := Output{Early: c.early, Messages: c.messages, Fatal: c.fatal}
	c.early, c.messages = nil, nil
	if c.hardState != c.savedHardState {
		saved := c.hardState
		output.HardState = &saved
		c.savedHardState = saved
		c.saveBegan = c.now
		// What a new term sends must wait until the term is durable.
		output.Messages = append(output.Early, output.Messages...)
		output.Early = nil
	}
	if c.pendingSnapshot != nil {
		output.Snapshot = c.pendingSnapshot
		c.pendingSnapshot = nil
	}
	if last := c.log.lastIndex(); c.log.unstable <= last {
		output.Entries = c.log.slice(c.log.unstable, last, int(last), int(^uint(0)>>1))
		c.log.unstable = last + 1
	}
	if c.handedOut < c.commit {
		output.Committed = c.log.slice(c.handedOut+1, c.commit, int(c.commit), int(^uint(0)>>1))
		c.handedOut = c.commit
	}
	return output
}

func (c *Core) appendOwn(entry Entry) uint64 {
	entry.Term = c.hardState.Term
	entry.Index = c.log.lastIndex() + 1
	c.log.append([]Entry{entry})
	return entry.Index
}

// firstSpreadShare divides the spread of the first election timeout after a start:
// members that start together wait for nobody else, and none may vote before
// ElectionMin is over.
const (
	firstSpreadShare = 4
	wholeSpread      = 1
)

// savesApart is how many times as wide as the saving of a vote the random part of the election timeout is at
// the least: from the grant of a pre-vote until the vote is asked for, another candidate may be granted one, too.
const savesApart = 4

// resetElectionDeadline draws a new timeout; share divides its random part. That part follows what elections
// take: candidates whose votes take longer than it is wide come in each other's way again and again.
func (c *Core) resetElectionDeadline(share int64) {
	spread := max((c.timing.ElectionMax-c.timing.ElectionMin)/time.Duration(share), savesApart*c.saveTook)
	c.electionDeadline = c.now + c.timing.ElectionMin + time.Duration(c.random(int64(spread)+1))
}

// isVoter reports whether the member votes in the latest configuration.
func (c *Core) isVoter(id MemberID) bool {
	member, found := c.Configuration().Find(id)
	return found && !member.Learner
}

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes, c.preVotes = nil, nil
	c.progress = nil
	c.abdicated = false
	c.resetElectionDeadline(wholeSpread)
}
