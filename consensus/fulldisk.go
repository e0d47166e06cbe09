package consensus

import "time"

// A member whose disk is full cannot persist a term, a vote or an entry. It stays in its persisted term and
// makes no promise that needs a write:
//   - It ignores messages of newer terms, votes for nobody and does not stand for election.
//   - It takes no entries or snapshots, so that nothing piles up in memory while it waits for room. It answers
//     appends of its persisted term with what is on its disk and with DiskFull. Such an answer extends the
//     leader's lease, which rests on leader contact alone, but acknowledges nothing new.
//   - As a leader it accepts no proposals, and passes leadership on if the others can elect a leader
//     without its vote. Otherwise it goes on leading, so that reads can be confirmed.

// SetDiskFull notifies the core that a write of this member's state failed for lack of room and will be
// repeated, or that the repeated write has succeeded. The driver calls it before NotifyDurable.
func (c *Core) SetDiskFull(now time.Duration, full bool) {
	c.now = now
	if c.diskFull == full {
		return
	}
	c.diskFull = full
	if !full {
		// The wait for room says nothing about how long the next vote takes to save.
		c.saveStarted = now
	}
	if c.role == RolePreCandidate || c.role == RoleCandidate {
		c.role = RoleFollower
		c.votes, c.preVotes = nil, nil
	}
	c.resetElectionDeadline(fullSpreadDivisor)
}

// DiskFull reports whether this member's disk is full.
func (c *Core) DiskFull() bool { return c.diskFull }

// CanCommit reports whether a majority of the voters can persist entries, as far as this leader knows. Voters that do
// not answer count as able to. It is true on other members.
func (c *Core) CanCommit() bool {
	return c.role != RoleLeader || c.Configuration().HasQuorum(func(voter MemberID) bool { return !c.hasFullDisk(voter) })
}

// hasFullDisk reports whether this leader knows that a member's disk is full.
func (c *Core) hasFullDisk(id MemberID) bool {
	if id == c.id {
		return c.diskFull
	}
	peer := c.progress[id]
	return peer != nil && peer.diskFull
}

// acceptsWithFullDisk reports whether a member with a full disk may handle a message. A leader that learns of a
// newer term steps down, but does not adopt the term.
func (c *Core) acceptsWithFullDisk(message Message) bool {
	switch message.Kind {
	case MessageAppend, MessageSnapshot, MessageAppendResponse:
	case MessagePreVote:
		// The answer waits for no write, unless the term does: it makes no promise.
		c.early = append(c.early, Message{
			Kind: MessagePreVoteResponse, From: c.id, To: message.From, Term: c.hardState.Term, Reject: true, Answer: AnswerDiskFull,
		})
		return false
	default:
		return false
	}
	if message.Term > c.hardState.Term && c.role == RoleLeader {
		c.becomeFollower(c.hardState.Term, 0)
	}
	return message.Term == c.hardState.Term
}

// heldPrefix returns the entries, up to the first one that this member's log does not hold.
func (c *Core) heldPrefix(entries []Entry) []Entry {
	for i, entry := range entries {
		if term, held := c.log.term(entry.Index); entry.Index > c.log.snapshotIndex && (!held || term != entry.Term) {
			return entries[:i]
		}
	}
	return entries
}

// canOthersElect reports whether a majority without this leader has answered lately and holds the whole log. The
// newest entry is one that this leader could not write, so whoever holds it had room after that.
func (c *Core) canOthersElect() bool {
	return c.Configuration().HasQuorum(func(voter MemberID) bool {
		peer := c.progress[voter]
		return voter != c.id && peer != nil && !peer.lostLog && !peer.diskFull && peer.match >= c.log.lastIndex() && peer.isActive(c.now-c.timing.ElectionMax)
	})
}

// giveWay passes leadership on if this leader's disk is full and the other voters can elect a leader. As the leader
// accepts no proposals, those with room soon hold the whole log.
func (c *Core) giveWay() {
	if c.diskFull && !c.transferring && c.canOthersElect() {
		c.TransferLeadership()
	}
}

// dropUnpersisted removes the messages that would wait for the disk from an output, for as long as the disk is
// full. The protocol tolerates their loss.
func (c *Core) dropUnpersisted() {
	if !c.diskFull {
		return
	}
	c.messages = nil
	if !c.isHardStateDurable() {
		c.early = nil
	}
}
