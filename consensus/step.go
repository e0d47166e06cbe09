package consensus

import "time"

// Step takes a message from a peer. Messages may be lost, repeated, delayed and
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
	if !c.accepts(message) {
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
	case MessageTimeoutNow:
		c.handleTimeoutNow(message)
	}
}

// accepts applies the rules about terms; it returns false when the message ends here.
func (c *Core) accepts(message Message) bool {
	if message.Term < c.hardState.Term {
		// A leader of an earlier term, or a candidate that lags: tell it the term.
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
		// A voter that heard a leader lately ignores the request, term and all:
		// otherwise a removed member could depose leaders for ever.
		if !message.Forced && c.heardLeaderRecently() {
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

// handleFromLeader takes an append or a snapshot of the current term.
func (c *Core) handleFromLeader(message Message) {
	if c.role == RoleLeader {
		return
	}
	if c.role != RoleFollower {
		c.becomeFollower(message.Term, message.From)
	}
	c.leader = message.From
	c.forgetRounds()
	c.lastLeaderContact = c.now
	c.resetElectionDeadline(wholeSpread)
	if message.Kind == MessageSnapshot {
		c.handleSnapshot(message)
		return
	}
	c.handleAppend(message)
}

// respond answers a leader at once, for as much as is durable: that it was heard and that this member takes
// it for the leader waits for no disk. What it holds beyond that is said once it is durable.
func (c *Core) respond(request Message, reject bool, match uint64) {
	response := Message{
		Kind: MessageAppendResponse, From: c.id, To: request.From, Term: c.hardState.Term,
		LogIndex: request.LogIndex, Reject: reject, Match: min(match, c.persisted), Hint: c.log.lastIndex(), SentAt: request.SentAt,
	}
	c.early = append(c.early, response)
	if match > c.persisted {
		response.Match = match
		c.messages = append(c.messages, response)
	}
}

func (c *Core) handleAppend(message Message) {
	if message.LogIndex < c.commit && len(message.Entries) == 0 {
		// An old, empty append: what is committed agrees with any leader.
		c.respond(message, false, min(c.commit, message.LogIndex))
		return
	}
	if message.LogIndex >= c.log.snapshotIndex {
		if term, held := c.log.term(message.LogIndex); !held || term != message.LogTerm {
			c.respond(message, true, 0)
			return
		}
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
			c.persisted = min(c.persisted, entry.Index-1)
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
		// The log agrees up to the snapshot: what follows it may have been
		// acknowledged and must stay.
		c.commit = max(c.commit, snapshot.Index)
	} else if snapshot.Index > c.commit {
		c.log.restore(snapshot)
		c.commit = snapshot.Index
		c.handedOut = snapshot.Index
		c.persisted = 0
		c.latestSnapshot = snapshot
		c.pendingSnapshot = &snapshot
	}
	c.respond(message, false, max(snapshot.Index, min(c.commit, snapshot.Index)))
}

// handleLostLog is sent by a leader that had counted this member for more than
// the member holds now. Nothing that this member says may count any more.
func (c *Core) handleLostLog(message Message) {
	if message.Term >= c.hardState.Term && message.Match > c.log.lastIndex() {
		c.fatal = ErrLostLog
	}
}
