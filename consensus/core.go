package consensus

import "time"

// Core is one member's replication state machine.
//
// Invariants (names as in Figure 3 of the Raft paper):
//   - Election safety: a member votes at most once per term, and the vote is durable
//     in HardState before the response is sent (Output orders them).
//   - Leader append-only: a leader never truncates its own log.
//   - Log matching: an append is accepted only if LogIndex and LogTerm match.
//   - Leader completeness: only entries of the leader's own term count towards
//     commit; earlier ones are committed along with them.
//   - A member acknowledges an entry only after the driver has called NotifyDurable for it.
//   - Leader lease: HoldsLease is true only while no other member can have been
//     elected; see lease.go.
type Core struct {
	id               MemberID
	timing           Timing
	random           func(int64) int64
	maxAppendEntries int
	maxAppendBytes   int
	entryFormat      uint64

	hardState HardState
	// issuedHardState is the newest that TakeOutput has returned to be persisted.
	issuedHardState HardState
	// durableHardState is the newest known to be on the disk.
	durableHardState HardState
	log              memoryLog
	durableIndex     uint64
	commit           uint64
	lastDelivered    uint64

	role   Role
	leader MemberID

	now               time.Duration
	lastLeaderContact time.Duration
	electionDeadline  time.Duration
	heartbeatDue      time.Duration

	// votes holds the grants of the member's latest candidacy in the current term, and preVotes
	// those of its latest pre-vote.
	votes    map[MemberID]bool
	preVotes map[MemberID]bool
	// saveStarted is when the newest hard state was returned to be persisted. saveDuration is how
	// long the latest completed write of a hard state took, and savedAt when it completed.
	saveStarted   time.Duration
	saveDuration  time.Duration
	savedAt       time.Duration
	newestRound   Round
	previousRound Round
	progress      map[MemberID]*progress
	termStart     uint64 // index of the leader's no-op
	// diskProgressAt is when this leader's own log was last known to be durable up to the
	// commit index or to have grown on the disk; diskProgressIndex was its durable index then.
	diskProgressAt    time.Duration
	diskProgressIndex uint64
	forced            bool // this candidacy follows MessageTimeoutNow
	transferring      bool // the leader released its lease in favour of another member
	// transferStarted is when the lease was released; if no member takes over, the leader steps down.
	transferStarted time.Duration
	// diskFull is set while this member's writes fail for lack of room; see fulldisk.go.
	diskFull bool

	early           []Message
	messages        []Message
	pendingSnapshot *Snapshot
	fatal           error
	// latestSnapshot is sent to peers that need entries the log no longer holds.
	latestSnapshot Snapshot
}

// New returns a member with the given durable state. A member that has just started
// rejects candidates for ElectionMin, as it may have had leader contact before it stopped.
func New(options Options, now time.Duration) *Core {
	core := &Core{
		id:               options.ID,
		timing:           options.Timing,
		random:           options.Random,
		maxAppendEntries: options.MaxAppendEntries,
		maxAppendBytes:   options.MaxAppendBytes,
		entryFormat:      options.EntryFormat,
		hardState:        options.HardState,
		issuedHardState:  options.HardState,
		durableHardState: options.HardState,
		log:              newMemoryLog(options.Snapshot, options.Entries),
		commit:           options.Snapshot.Index,
		lastDelivered:    options.Snapshot.Index,
		latestSnapshot:   options.Snapshot,
		now:              now,
	}
	core.durableIndex = core.log.lastIndex()
	core.lastLeaderContact = now
	core.resetElectionDeadline(startSpreadDivisor)
	return core
}

// ID returns this member's ID.
func (c *Core) ID() MemberID { return c.id }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Role returns this member's role.
func (c *Core) Role() Role { return c.role }

// Leader returns the leader of the current term, if known.
func (c *Core) Leader() MemberID { return c.leader }

// LeaderContact returns the clock reading of the last contact with a leader, or that of this
// member's start if there was none.
func (c *Core) LeaderContact() time.Duration { return c.lastLeaderContact }

// CommitIndex returns the highest index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.commit }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// ConfigurationIndex returns the index of the newest configuration in the log.
func (c *Core) ConfigurationIndex() uint64 { return c.log.latestConfiguration().index }

// FirstIndex returns the lowest index that the log has not compacted. It may precede that of the
// newest snapshot.
func (c *Core) FirstIndex() uint64 { return c.log.snapshotIndex + 1 }

// TermStart returns the index of the no-op that this member appended when it last became leader, or
// 0 if it has not been leader since its start.
func (c *Core) TermStart() uint64 { return c.termStart }

// EntryTerm returns the term of the entry at index, and false if the log does not hold it.
func (c *Core) EntryTerm(index uint64) (uint64, bool) { return c.log.term(index) }

// Configuration returns the latest configuration, committed or not.
func (c *Core) Configuration() Configuration { return c.log.latestConfiguration().configuration }

// ConfigurationAt returns the configuration in force at a log index.
func (c *Core) ConfigurationAt(index uint64) Configuration { return c.log.configurationAt(index) }

// Tick advances the clock. It sends heartbeats that are due, or starts an election once the election
// timeout has expired. The driver calls it at least every Heartbeat/2.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if now < c.electionDeadline {
		return
	}
	if c.diskFull {
		// As in startPreVote, but without a candidacy.
		c.leader = 0
		return
	}
	if c.isHardStateDurable() {
		c.startPreVote()
	}
}

// Propose appends commands to the leader's log and returns the index of the first.
func (c *Core) Propose(now time.Duration, commands ...[]byte) (uint64, error) {
	c.now = now
	if c.role != RoleLeader || c.transferring {
		return 0, ErrNotLeader
	}
	if c.diskFull || !c.CanCommit() {
		return 0, ErrDiskFull
	}
	first := c.log.lastIndex() + 1
	for _, command := range commands {
		c.appendToLog(Entry{Kind: EntryCommand, Data: command})
	}
	c.broadcastAppend()
	return first, nil
}

// NotifyDurable notifies the core that the state in an output is durable.
func (c *Core) NotifyDurable(now time.Duration, output *Output) {
	c.now = now
	if output.HardState != nil {
		c.durableHardState = *output.HardState
		if c.isHardStateDurable() {
			c.onHardStateDurable()
		}
	}
	if output.Snapshot != nil {
		c.markDurable(output.Snapshot.Index, output.Snapshot.Term)
	}
	if count := len(output.Entries); count > 0 {
		c.markDurable(output.Entries[count-1].Index, output.Entries[count-1].Term)
	}
}

// onHardStateDurable records that this member's current term and vote are durable and, unless it is
// the leader, restarts the election timeout.
func (c *Core) onHardStateDurable() {
	c.saveDuration = c.now - c.saveStarted
	c.savedAt = c.now
	if c.role != RoleLeader {
		// No vote request or vote could be sent before now, so the election timeout starts here.
		c.resetElectionDeadline(fullSpreadDivisor)
	}
}

// isHardStateDurable reports whether this member's term and vote are on its disk.
func (c *Core) isHardStateDurable() bool { return c.hardState == c.durableHardState }

// markDurable records that the log is durable up to an entry. An entry that has been replaced
// since does not count: the write did not make its replacement durable.
func (c *Core) markDurable(index, term uint64) {
	if heldTerm, found := c.log.term(index); !found || heldTerm != term {
		return
	}
	c.durableIndex = max(c.durableIndex, index)
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Compact drops log entries covered by the snapshot and keeps the snapshot for
// lagging peers. The last keep entries before it stay in memory, so that peers
// that lag slightly need no snapshot.
func (c *Core) Compact(snapshot Snapshot, keep uint64) {
	if snapshot.Index <= c.latestSnapshot.Index && c.latestSnapshot.Data != nil {
		return
	}
	c.latestSnapshot = snapshot
	if snapshot.Index > keep {
		c.log.compact(min(snapshot.Index, snapshot.Index-keep))
	}
}

// TakeOutput returns the pending work and clears it.
func (c *Core) TakeOutput() Output {
	c.dropUnpersisted()
	output := Output{Early: c.early, Messages: c.messages, Fatal: c.fatal}
	c.early, c.messages = nil, nil
	if c.hardState != c.issuedHardState {
		saved := c.hardState
		output.HardState = &saved
		c.issuedHardState = saved
		c.saveStarted = c.now
		// Messages of a new term must wait until the term is durable.
		output.Messages = append(output.Early, output.Messages...)
		output.Early = nil
	}
	if c.pendingSnapshot != nil {
		output.Snapshot = c.pendingSnapshot
		c.pendingSnapshot = nil
	}
	if last := c.log.lastIndex(); c.log.firstUnissued <= last {
		output.Entries = c.log.slice(c.log.firstUnissued, last, int(last), int(^uint(0)>>1))
		c.log.firstUnissued = last + 1
	}
	if c.lastDelivered < c.commit {
		output.Committed = c.log.slice(c.lastDelivered+1, c.commit, int(c.commit), int(^uint(0)>>1))
		c.lastDelivered = c.commit
	}
	return output
}

func (c *Core) appendToLog(entry Entry) uint64 {
	entry.Term = c.hardState.Term
	entry.Index = c.log.lastIndex() + 1
	c.log.append([]Entry{entry})
	return entry.Index
}

// startSpreadDivisor divides the random part of the first election timeout after a start.
// No member votes before ElectionMin has passed, and members that start together have
// no leader to wait for, so a shorter random part suffices.
const (
	startSpreadDivisor = 4
	fullSpreadDivisor  = 1
)

// saveSpreadFactor is the minimum ratio of the election timeout's random part to the time it takes
// to persist a vote. A candidate persists its vote between its pre-vote and its vote request, and a
// voter may grant a pre-vote to another candidate during that time.
const saveSpreadFactor = 4

// resetElectionDeadline draws a new election timeout; spreadDivisor divides its random part. The random
// part grows with the time that saving a vote takes: if it were shorter than that time, candidates
// would keep interrupting each other's elections.
func (c *Core) resetElectionDeadline(spreadDivisor int64) {
	spread := max((c.timing.ElectionMax-c.timing.ElectionMin)/time.Duration(spreadDivisor), saveSpreadFactor*c.saveDuration)
	c.electionDeadline = c.now + c.timing.ElectionMin + time.Duration(c.random(int64(spread)+1))
}

// isVoter reports whether the member votes in the latest configuration.
func (c *Core) isVoter(id MemberID) bool { return c.Configuration().IsVoter(id) }

func (c *Core) becomeFollower(term uint64, leader MemberID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	c.role = RoleFollower
	c.leader = leader
	c.votes, c.preVotes = nil, nil
	c.progress = nil
	c.transferring = false
	c.resetElectionDeadline(fullSpreadDivisor)
}
