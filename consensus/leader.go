package consensus

import (
	"slices"
	"time"
)

// progress is what the leader knows of one peer.
type progress struct {
	match uint64
	next  uint64
	// ackedSentAt is the leader's clock reading at the sending of the newest
	// append that the peer has answered; zero when none.
	ackedSentAt time.Duration
	hasAcked    bool
	joinedAt    time.Duration
	// matchKnownAt is the leader's clock reading when match last rose.
	matchKnownAt time.Duration
	// snapshotUntil suppresses appends while a snapshot is on its way, which was
	// sent at snapshotSentAt.
	snapshotUntil  time.Duration
	snapshotSentAt time.Duration
	// movedAt is when the peer was last seen to lack nothing that is committed, or to have made something
	// durable that it lacked, up to movedTo.
	movedAt time.Duration
	movedTo uint64
	// lostLog marks a peer that came back with less than it had acknowledged.
	lostLog bool
}

// snapshotPatience is how long the leader waits for the answer to a snapshot
// before it sends it again.
const snapshotPatience = 5 * time.Second

// refreshProgress adds and removes peers after a configuration change.
func (c *Core) refreshProgress() {
	configuration := c.Configuration()
	for _, member := range configuration.Members {
		if member.ID != c.id && c.progress[member.ID] == nil {
			c.progress[member.ID] = &progress{next: c.log.lastIndex() + 1, joinedAt: c.now, movedAt: c.now}
		}
	}
	for id := range c.progress {
		if _, found := configuration.Find(id); !found {
			delete(c.progress, id)
		}
	}
}

func (c *Core) tickLeader() {
	c.lookAtPeers()
	unanswered := c.abdicated && c.now-c.abdicatedAt > c.timing.ElectionMax
	if unanswered || !c.quorumHeardSince(c.now-c.timing.ElectionMax) {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	if c.ownDiskHangs() && !c.TransferLeadership() {
		c.becomeFollower(c.hardState.Term, 0)
		return
	}
	if c.now >= c.heartbeatDue {
		c.heartbeatDue = c.now + c.timing.Heartbeat
		c.broadcastAppend()
	}
}

// lookAtPeers notes which peers go on. A snapshot takes its time on the way.
func (c *Core) lookAtPeers() {
	for _, peer := range c.progress {
		if peer.match >= c.commit || peer.match > peer.movedTo || c.now < peer.snapshotUntil {
			peer.movedAt, peer.movedTo = c.now, peer.match
		}
	}
}

// ownDiskHangs reports whether this leader's own disk has long finished nothing, though the others hold durably
// what it has still to write. It answers for nothing meanwhile, as what is committed is handed on once it is durable here; where all
// disks are slow they keep step. Heartbeats go on and would keep the others from electing one that can.
func (c *Core) ownDiskHangs() bool {
	if c.persisted >= c.commit || c.persisted > c.behindAt || c.abdicated {
		c.behindSince, c.behindAt = c.now, c.persisted
		return false
	}
	return c.now-c.behindSince > c.timing.ElectionMax+savesApart*c.saveTook
}

// quorumHeardSince is the check-quorum rule: a leader that a majority no longer
// answers steps down by itself.
func (c *Core) quorumHeardSince(since time.Duration) bool {
	heard := 0
	for _, voter := range c.Configuration().Voters() {
		if voter == c.id {
			heard++
			continue
		}
		peer := c.progress[voter]
		if peer == nil || peer.lostLog {
			continue
		}
		if peer.ackedSentAt >= since && peer.hasAcked || peer.joinedAt >= since {
			heard++
		}
	}
	return heard >= c.Configuration().Quorum()
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
	entries := c.log.slice(peer.next, c.log.lastIndex(), c.maxSend, c.maxSize)
	c.early = append(c.early, Message{
		Kind: MessageAppend, From: c.id, To: to, Term: c.hardState.Term,
		LogIndex: previous, LogTerm: previousTerm, Entries: entries,
		Commit: c.commit, SentAt: c.now,
	})
	// Sent optimistically; a refusal moves next back.
	peer.next += uint64(len(entries))
}

func (c *Core) sendSnapshot(to MemberID, peer *progress) {
	if c.now < peer.snapshotUntil || c.latestSnapshot.Index == 0 {
		// An empty append keeps the peer from seeking election meanwhile.
		c.early = append(c.early, Message{
			Kind: MessageAppend, From: c.id, To: to, Term: c.hardState.Term,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), SentAt: c.now,
		})
		return
	}
	peer.snapshotSentAt = c.now
	peer.snapshotUntil = c.now + snapshotPatience
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
	// has been admitted under a new identity. Only an answer to something that
	// was sent after match was known can show this: older ones may be reordered.
	if message.Hint < peer.match && message.SentAt > peer.matchKnownAt {
		peer.lostLog = true
	}
	if peer.lostLog {
		c.sendAppend(message.From)
		return
	}
	peer.hasAcked = true
	peer.ackedSentAt = max(peer.ackedSentAt, message.SentAt)
	if message.Reject {
		c.handleRefusedAppend(message, peer)
		return
	}
	peer.snapshotUntil = 0
	if message.Match > peer.match {
		peer.match = message.Match
		peer.matchKnownAt = c.now
		c.advanceCommit()
		if c.role != RoleLeader {
			// What was committed is this leader's own removal.
			return
		}
	}
	peer.next = max(peer.next, peer.match+1)
	if peer.next <= c.log.lastIndex() {
		c.sendAppend(message.From)
	}
}

func (c *Core) handleRefusedAppend(message Message, peer *progress) {
	// Messages arrive in the order of their sending, or not at all: a peer that
	// refuses what was sent after the snapshot has not received the snapshot.
	if c.now < peer.snapshotUntil && message.SentAt <= peer.snapshotSentAt {
		return
	}
	peer.snapshotUntil = 0
	// Refusals of appends that were overtaken by a newer one change nothing.
	if message.LogIndex >= peer.next || message.LogIndex <= peer.match {
		return
	}
	peer.next = max(peer.match+1, min(message.LogIndex, message.Hint+1))
	c.sendAppend(message.From)
}

// advanceCommit commits the highest index that a majority holds durably, if it
// is of the current term.
func (c *Core) advanceCommit() {
	voters := c.Configuration().Voters()
	if len(voters) == 0 {
		return
	}
	matches := make([]uint64, 0, len(voters))
	for _, voter := range voters {
		switch peer := c.progress[voter]; {
		case voter == c.id:
			matches = append(matches, c.persisted)
		case peer != nil && !peer.lostLog:
			matches = append(matches, peer.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-c.Configuration().Quorum()]
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

// PeerProgress tells how far a peer is.
type PeerProgress struct {
	ID    MemberID
	Match uint64
	// Silence is how long ago the newest answered append was sent.
	Silence time.Duration
	// Heard is false when the peer has not answered this leader yet.
	Heard bool
	// LostLog is true when the peer came back with less than it acknowledged.
	LostLog bool
	// Stuck is for how long the peer has made nothing durable, though there is something committed that it
	// lacks: it may answer all the while.
	Stuck time.Duration
}

// Progress lists the peers as the leader sees them; nil on other members.
func (c *Core) Progress() []PeerProgress {
	if c.role != RoleLeader {
		return nil
	}
	list := make([]PeerProgress, 0, len(c.progress))
	for _, member := range c.Configuration().Members {
		if peer := c.progress[member.ID]; peer != nil {
			list = append(list, PeerProgress{
				ID: member.ID, Match: peer.match, Silence: c.now - peer.ackedSentAt,
				Heard: peer.hasAcked, LostLog: peer.lostLog, Stuck: c.now - peer.movedAt,
			})
		}
	}
	return list
}
