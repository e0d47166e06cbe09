package consensus

import "time"

// progress is the leader's view of one peer.
type progress struct {
	match uint64
	next  uint64
	// ackedSentAt is the leader's clock reading at which it sent the newest append
	// that the peer has answered, 0 if there is none.
	ackedSentAt time.Duration
	hasAcked    bool
	joinedAt    time.Duration
	// matchIncreasedAt is the leader's clock reading when match last increased.
	matchIncreasedAt time.Duration
	// snapshotUntil is the clock reading up to which appends are suppressed while a
	// snapshot, sent at snapshotSentAt, is in flight.
	snapshotUntil  time.Duration
	snapshotSentAt time.Duration
	// progressAt is when the peer last held all committed entries, made further entries
	// durable, or had a snapshot in flight; progressMatch is its match index then.
	progressAt    time.Duration
	progressMatch uint64
	// lostLog marks a peer that returned with less than it had acknowledged.
	lostLog bool
	// diskFull is set if the peer's newest response said that its disk is full.
	diskFull bool
	// decodesJoint is set if the peer's newest response said that it can decode joint configurations.
	decodesJoint bool
	// entryFormat is the newest format of entry data that the peer can decode, by its newest response.
	entryFormat uint64
}

// snapshotTimeout is how long the leader waits for the response to a snapshot
// before it sends the snapshot again.
const snapshotTimeout = 5 * time.Second

// refreshProgress adds and removes peers after a configuration change.
func (c *Core) refreshProgress() {
	configuration := c.Configuration()
	for _, member := range configuration.Members {
		if member.ID != c.id && c.progress[member.ID] == nil {
			c.progress[member.ID] = &progress{next: c.log.lastIndex() + 1, joinedAt: c.now, progressAt: c.now}
		}
	}
	for id := range c.progress {
		if _, found := configuration.Find(id); !found {
			delete(c.progress, id)
		}
	}
}

func (c *Core) tickLeader() {
	c.updatePeerProgress()
	transferTimedOut := c.transferring && c.now-c.transferStarted > c.timing.ElectionMax
	if transferTimedOut || !c.isQuorumActive(c.now-c.timing.ElectionMax) {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	c.giveWay()
	if !c.diskFull && c.isDiskStalled() && !c.TransferLeadership() {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	c.leaveJoint()
	if c.now >= c.heartbeatDue {
		c.heartbeatDue = c.now + c.timing.Heartbeat
		c.broadcastAppend()
	}
}

// updatePeerProgress records which peers make progress. A peer with a snapshot in flight counts as one of them.
func (c *Core) updatePeerProgress() {
	for _, peer := range c.progress {
		if peer.match >= c.commit || peer.match > peer.progressMatch || c.now < peer.snapshotUntil {
			peer.progressAt, peer.progressMatch = c.now, peer.match
		}
	}
}

// isDiskStalled reports whether this leader's own disk has long made no progress although a majority
// holds entries durably that it lacks. It also records the progress since the last call, and returns
// false during a transfer of leadership. A leader with a stalled disk answers no proposals, as committed
// entries are returned only once they are durable locally, while its heartbeats prevent the election of
// another one. If all disks are slow, the commit index waits for them too.
func (c *Core) isDiskStalled() bool {
	if c.durableIndex >= c.commit || c.durableIndex > c.diskProgressIndex || c.transferring {
		c.diskProgressAt, c.diskProgressIndex = c.now, c.durableIndex
		return false
	}
	return c.now-c.diskProgressAt > c.timing.ElectionMax+saveSpreadFactor*c.saveDuration
}

// isQuorumActive reports whether a majority of voters, including this leader, has answered an append
// sent at or after since, or joined at or after it. It implements check-quorum: a leader without such a
// majority steps down.
func (c *Core) isQuorumActive(since time.Duration) bool {
	return c.Configuration().HasQuorum(func(voter MemberID) bool {
		if voter == c.id {
			return true
		}
		peer := c.progress[voter]
		return peer != nil && !peer.lostLog && peer.isActive(since)
	})
}

// isActive reports whether the peer has answered an append sent at or after since, or joined at or after it.
func (p *progress) isActive(since time.Duration) bool {
	return p.ackedSentAt >= since && p.hasAcked || p.joinedAt >= since
}

func (c *Core) broadcastAppend() {
	for _, member := range c.Configuration().Members {
		if member.ID != c.id {
			c.sendAppend(member.ID)
		}
	}
}

func (c *Core) sendAppend(to MemberID) {
	peer := c.progress[to]
	if peer.lostLog {
		c.early = append(c.early, Message{Kind: MessageLostLog, From: c.id, To: to, Term: c.hardState.Term, Match: peer.match})
		return
	}
	previous := peer.next - 1
	previousTerm, held := c.log.term(previous)
	if !held {
		c.sendSnapshot(to, peer)
		return
	}
	var entries []Entry
	if !peer.diskFull {
		entries = c.log.slice(peer.next, c.log.lastIndex(), c.maxAppendEntries, c.maxAppendBytes)
	}
	c.early = append(c.early, Message{
		Kind: MessageAppend, From: c.id, To: to, Term: c.hardState.Term,
		LogIndex: previous, LogTerm: previousTerm, Entries: entries,
		Commit: c.commit, SentAt: c.now,
	})
	// next advances optimistically; a rejection moves it back.
	peer.next += uint64(len(entries))
}

func (c *Core) sendSnapshot(to MemberID, peer *progress) {
	if peer.diskFull || c.now < peer.snapshotUntil || c.latestSnapshot.Index == 0 {
		// An empty append keeps the peer from starting an election meanwhile.
		c.early = append(c.early, Message{
			Kind: MessageAppend, From: c.id, To: to, Term: c.hardState.Term,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), SentAt: c.now,
		})
		return
	}
	peer.snapshotSentAt = c.now
	peer.snapshotUntil = c.now + snapshotTimeout
	snapshot := c.latestSnapshot
	c.early = append(c.early, Message{
		Kind: MessageSnapshot, From: c.id, To: to, Term: c.hardState.Term, Snapshot: &snapshot, SentAt: c.now,
	})
}

func (c *Core) handleAppendResponse(message Message) {
	peer := c.progress[message.From]
	if c.role != RoleLeader || peer == nil || message.Term != c.hardState.Term {
		return
	}
	// A peer that holds less than it acknowledged must not count again until it
	// has been admitted under a new ID. Only a response to a message sent after
	// match was known proves this, as older responses may be reordered.
	if message.Hint < peer.match && message.SentAt > peer.matchIncreasedAt {
		peer.lostLog = true
	}
	if peer.lostLog {
		c.sendAppend(message.From)
		return
	}
	peer.hasAcked = true
	peer.diskFull = message.DiskFull
	peer.decodesJoint = message.Forced
	peer.entryFormat = message.LogTerm
	peer.ackedSentAt = max(peer.ackedSentAt, message.SentAt)
	if message.Reject {
		c.handleRejectedAppend(message, peer)
		return
	}
	peer.snapshotUntil = 0
	if message.Match > peer.match {
		peer.match = message.Match
		peer.matchIncreasedAt = c.now
		c.advanceCommit()
		if c.role != RoleLeader {
			// The entry just committed removed this leader.
			return
		}
	}
	peer.next = max(peer.next, peer.match+1)
	if peer.next <= c.log.lastIndex() && !peer.diskFull {
		c.sendAppend(message.From)
	}
}

func (c *Core) handleRejectedAppend(message Message, peer *progress) {
	// A rejection of a message sent before the snapshot, or with it, does not show whether the
	// snapshot arrived. A connection keeps the order of messages, so a peer that rejects a later
	// message has most likely not received the snapshot.
	if c.now < peer.snapshotUntil && message.SentAt <= peer.snapshotSentAt {
		return
	}
	peer.snapshotUntil = 0
	// Ignore an outdated rejection: next has already been moved back, or the peer has since
	// acknowledged the entry.
	if message.LogIndex >= peer.next || message.LogIndex <= peer.match {
		return
	}
	peer.next = max(peer.match+1, min(message.LogIndex, message.Hint+1))
	if !peer.diskFull {
		// A peer with a full disk gets the next heartbeat only.
		c.sendAppend(message.From)
	}
}

// advanceCommit commits the highest index that a majority holds durably, if it is of the
// current term. A leader whose own removal is thereby committed steps down.
func (c *Core) advanceCommit() {
	if len(c.Configuration().Voters()) == 0 {
		return
	}
	candidate := quorumValue(c.Configuration(), c.matchIndex)
	term, held := c.log.term(candidate)
	if !held || term != c.hardState.Term || candidate <= c.commit {
		return
	}
	c.commit = candidate
	if configuration := c.log.latestConfiguration(); configuration.index <= c.commit && !c.isVoter(c.id) {
		// This leader was removed, and the removal is committed.
		c.broadcastAppend()
		c.becomeFollower(c.hardState.Term, 0)
	}
}

// matchIndex returns the last index that a voter is known to hold durably.
func (c *Core) matchIndex(voter MemberID) uint64 {
	if voter == c.id {
		return c.durableIndex
	}
	if peer := c.progress[voter]; peer != nil && !peer.lostLog {
		return peer.match
	}
	return 0
}

// PeerProgress is the replication state of a peer.
type PeerProgress struct {
	ID    MemberID
	Match uint64
	// Silence is how long ago the newest answered append was sent. It is valid only if Contacted
	// is true.
	Silence time.Duration
	// AnsweredSentAt is the leader's clock reading at which it sent that append.
	AnsweredSentAt time.Duration
	// Contacted is false if the peer has not answered this leader yet.
	Contacted bool
	// EntryFormat is the newest format of entry data that the peer can decode. It is valid only if Contacted is true.
	EntryFormat uint64
	// LostLog is true if the peer returned with less than it acknowledged.
	LostLog bool
	// Stalled is how long the peer has made nothing durable although it lacks committed entries.
	// Such a peer may still answer heartbeats.
	Stalled time.Duration
	// DiskFull is true if the peer takes no entries because its disk is full.
	DiskFull bool
}

// Progress lists the leader's view of its peers, nil on other members.
func (c *Core) Progress() []PeerProgress {
	if c.role != RoleLeader {
		return nil
	}
	list := make([]PeerProgress, 0, len(c.progress))
	for _, member := range c.Configuration().Members {
		if peer := c.progress[member.ID]; peer != nil {
			list = append(list, PeerProgress{
				ID: member.ID, Match: peer.match, Silence: c.now - peer.ackedSentAt, AnsweredSentAt: peer.ackedSentAt,
				Contacted: peer.hasAcked, LostLog: peer.lostLog, Stalled: c.now - peer.progressAt,
				DiskFull: peer.diskFull, EntryFormat: peer.entryFormat,
			})
		}
	}
	return list
}
