package consensus

import "time"

// Step handles a message from a peer. Messages may be lost, repeated, delayed and
// reordered.
func (c *Core) Step(now time.Duration, message Message) {
	c.now = now
	if message.To != c.id {
		return
	}
	if message.Kind == MessageLostLog {
		c.handleLostLog(message)
		return
	}
	if c.diskFull && !c.acceptsWithFullDisk(message) {
		return
	}
	if !c.checkTerm(message) {
		return
	}
	switch message.Kind {
	case MessagePreVote:
		c.handlePreVote(message)
	case MessagePreVoteResponse:
		c.handlePreVoteResponse(message)
	case MessageVote:
		c.handleVote(message)
	case MessageVoteResponse:
		c.handleVoteResponse(message)
	case MessageAppend, MessageSnapshot:
		c.handleFromLeader(message)
	case MessageAppendResponse:
		c.handleAppendResponse(message)
		c.leaveJoint()
	case MessageTimeoutNow:
		c.handleTimeoutNow(message)
	}
}

// checkTerm compares the message's term with this member's and adopts a newer term if the kind of
// message requires that. It returns false if the message must not be handled.
func (c *Core) checkTerm(message Message) bool {
	if message.Term < c.hardState.Term {
		// The rejection carries the current term to a leader of an earlier term. A pre-vote of an earlier
		// term is rejected by handlePreVote. All other messages of earlier terms are ignored.
		if message.Kind == MessageAppend || message.Kind == MessageSnapshot {
			c.messages = append(c.messages, Message{
				Kind: MessageAppendResponse, From: c.id, To: message.From, Term: c.hardState.Term,
				Reject: true, Hint: c.log.lastIndex(),
			})
		}
		return message.Kind == MessagePreVote
	}
	if message.Term == c.hardState.Term {
		return true
	}
	switch message.Kind {
	case MessagePreVote:
		return true
	case MessagePreVoteResponse:
		if message.Reject {
			c.becomeFollower(message.Term, 0)
			return false
		}
		return true
	case MessageVote:
		// A voter with recent leader contact ignores the request and its term:
		// otherwise a removed member could depose leaders forever.
		if !message.Forced && c.hasRecentLeaderContact() {
			return false
		}
		c.becomeFollower(message.Term, 0)
		return true
	case MessageAppend, MessageSnapshot:
		c.becomeFollower(message.Term, message.From)
		return true
	default:
		c.becomeFollower(message.Term, 0)
		return true
	}
}

// handleFromLeader handles an append or a snapshot of the current term.
func (c *Core) handleFromLeader(message Message) {
	if c.role == RoleLeader {
		return
	}
	if c.role != RoleFollower {
		c.becomeFollower(message.Term, message.From)
	}
	c.leader = message.From
	c.clearRounds()
	c.lastLeaderContact = c.now
	c.resetElectionDeadline(fullSpreadDivisor)
	if message.Kind == MessageSnapshot {
		c.handleSnapshot(message)
		return
	}
	c.handleAppend(message)
}

// respond acknowledges the durable part of the log at once, so that the leader's contact does not
// depend on this member's disk. The rest of the log is acknowledged once it is durable.
func (c *Core) respond(request Message, reject bool, match uint64) {
	response := Message{
		Kind: MessageAppendResponse, From: c.id, To: request.From, Term: c.hardState.Term,
		LogIndex: request.LogIndex, Reject: reject, Match: min(match, c.durableIndex), Hint: c.log.lastIndex(), SentAt: request.SentAt,
		DiskFull: c.diskFull, Forced: true, LogTerm: c.entryFormat,
	}
	c.early = append(c.early, response)
	if match > c.durableIndex && !c.diskFull {
		response.Match = match
		c.messages = append(c.messages, response)
	}
}

func (c *Core) handleAppend(message Message) {
	if message.LogIndex < c.commit && len(message.Entries) == 0 {
		// A stale empty append: committed entries match the log of any leader.
		c.respond(message, false, min(c.commit, message.LogIndex))
		return
	}
	if message.LogIndex >= c.log.snapshotIndex {
		if term, held := c.log.term(message.LogIndex); !held || term != message.LogTerm {
			c.respond(message, true, 0)
			return
		}
	}
	if c.diskFull {
		message.Entries = c.heldPrefix(message.Entries)
	}
	for i, entry := range message.Entries {
		if entry.Index <= c.commit {
			continue
		}
		term, held := c.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if held {
			c.log.truncateFrom(entry.Index)
			c.durableIndex = min(c.durableIndex, entry.Index-1)
		}
		c.log.append(message.Entries[i:])
		break
	}
	match := message.LogIndex + uint64(len(message.Entries))
	c.commit = max(c.commit, min(message.Commit, match))
	c.respond(message, false, match)
}

func (c *Core) handleSnapshot(message Message) {
	snapshot := *message.Snapshot
	if term, held := c.log.term(snapshot.Index); held && term == snapshot.Term {
		// The log matches up to the snapshot: entries after it may have been
		// acknowledged and must stay.
		c.commit = max(c.commit, snapshot.Index)
	} else if c.diskFull {
		c.respond(message, false, c.commit)
		return
	} else if snapshot.Index > c.commit {
		c.log.restore(snapshot)
		c.commit = snapshot.Index
		c.lastDelivered = snapshot.Index
		c.durableIndex = 0
		c.latestSnapshot = snapshot
		c.pendingSnapshot = &snapshot
	}
	c.respond(message, false, max(snapshot.Index, min(c.commit, snapshot.Index)))
}

// handleLostLog handles the message of a leader for which this member acknowledged more
// than it holds now. The member's acknowledgements no longer count, so it stops.
func (c *Core) handleLostLog(message Message) {
	if message.Term >= c.hardState.Term && message.Match > c.log.lastIndex() {
		c.fatal = ErrLostLog
	}
}
