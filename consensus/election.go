package consensus

import "maps"

// startPreVote starts a pre-vote, which establishes whether an election could be won without raising
// the term. A member that was partitioned therefore does not disrupt the others when it returns.
func (c *Core) startPreVote() {
	c.resetElectionDeadline(fullSpreadDivisor)
	// A member must not redirect clients to a leader that it has not heard from for an election
	// timeout. This also applies to learners.
	c.leader = 0
	if !c.isVoter(c.id) {
		return
	}
	c.role = RolePreCandidate
	c.forced = false
	c.preVotes = map[MemberID]bool{c.id: true}
	if c.isElectedBy(c.preVotes) {
		c.startElection()
		return
	}
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
}

func (c *Core) startElection() {
	c.resetElectionDeadline(fullSpreadDivisor)
	c.hardState = HardState{Term: c.hardState.Term + 1, VotedFor: c.id}
	c.role = RoleCandidate
	c.leader = 0
	c.votes, c.preVotes = map[MemberID]bool{c.id: true}, nil
	if c.isElectedBy(c.votes) {
		c.becomeLeader()
		return
	}
	c.requestVotes(MessageVote, c.hardState.Term)
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	c.previousRound, c.newestRound = c.newestRound, Round{Role: c.role, Term: term, Answers: map[MemberID]Answer{}}
	for _, voter := range c.Configuration().AllVoters() {
		if voter == c.id {
			continue
		}
		c.newestRound.Answers[voter] = AnswerNone
		c.messages = append(c.messages, Message{
			Kind: kind, From: c.id, To: voter, Term: term,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Forced: c.forced,
		})
	}
}

// isElectedBy reports whether the members that granted their votes are a quorum.
func (c *Core) isElectedBy(votes map[MemberID]bool) bool {
	return c.Configuration().HasQuorum(func(voter MemberID) bool { return votes[voter] })
}

// Rounds returns copies of the latest round of vote or pre-vote requests and of the one before it.
// Both are empty once there is a leader.
func (c *Core) Rounds() (newest, before Round) { return c.newestRound.clone(), c.previousRound.clone() }

func (r Round) clone() Round {
	r.Answers = maps.Clone(r.Answers)
	return r
}

// clearRounds clears the election history once there is a leader.
func (c *Core) clearRounds() { c.newestRound, c.previousRound = Round{}, Round{} }

// recordAnswer records a voter's answer to the latest request.
func (c *Core) recordAnswer(message Message) {
	if _, asked := c.newestRound.Answers[message.From]; !asked {
		return
	}
	answer := AnswerGranted
	if message.Reject {
		answer = message.Answer
	}
	c.newestRound.Answers[message.From] = answer
}

func (c *Core) handlePreVote(message Message) {
	answer := c.evaluateCandidate(message)
	switch {
	case message.Term <= c.hardState.Term:
		answer = AnswerNewerTerm
	case answer == AnswerGranted && c.hasPendingElection(message.From):
		answer = AnswerVotedForOther
	}
	granted := answer == AnswerGranted
	response := Message{Kind: MessagePreVoteResponse, From: c.id, To: message.From, Term: message.Term, Reject: !granted, Answer: answer}
	if !granted {
		response.Term = c.hardState.Term
	}
	c.messages = append(c.messages, response)
}

func (c *Core) handleVote(message Message) {
	answer := c.evaluateCandidate(message)
	if c.hardState.VotedFor != 0 && c.hardState.VotedFor != message.From {
		answer = AnswerVotedForOther
	}
	granted := answer == AnswerGranted && message.Term == c.hardState.Term
	if granted {
		c.hardState.VotedFor = message.From
		c.resetElectionDeadline(fullSpreadDivisor)
	}
	c.messages = append(c.messages, Message{
		Kind: MessageVoteResponse, From: c.id, To: message.From, Term: c.hardState.Term, Reject: !granted, Answer: answer,
	})
}

// hasPendingElection reports whether an election may still succeed in which this member has voted for
// itself or for a member other than the candidate. A pre-vote for the candidate could interrupt
// it while the disks are still saving votes.
func (c *Core) hasPendingElection(candidate MemberID) bool {
	if c.hardState.VotedFor == 0 || c.hardState.VotedFor == candidate {
		return false
	}
	return !c.isHardStateDurable() || c.now-c.savedAt < c.timing.ElectionMin+saveSpreadFactor*c.saveDuration
}

// evaluateCandidate checks the two conditions common to both kinds of vote: the
// candidate's log is at least as complete and, unless the request is forced, there was
// no leader contact for ElectionMin. The leader lease depends on the second one. This
// member does not check whether it is a voter: the candidate counts only the voters of
// its own configuration. The configuration held here may be older, and rejecting
// because of it could leave a group without a leader forever.
func (c *Core) evaluateCandidate(message Message) Answer {
	if !message.Forced && c.hasRecentLeaderContact() {
		return AnswerLeaderActive
	}
	if message.LogTerm < c.log.lastTerm() {
		return AnswerLogShorter
	}
	if message.LogTerm == c.log.lastTerm() && message.LogIndex < c.log.lastIndex() {
		return AnswerLogShorter
	}
	return AnswerGranted
}

// hasRecentLeaderContact reports whether there was leader contact within ElectionMin. A leader is in
// contact with itself until it releases its lease. The result is also true right after a start, as
// earlier contact is not recorded and must be assumed.
func (c *Core) hasRecentLeaderContact() bool {
	if c.role == RoleLeader {
		return !c.transferring
	}
	return c.now-c.lastLeaderContact < c.timing.ElectionMin
}

func (c *Core) handlePreVoteResponse(message Message) {
	if c.role != RolePreCandidate {
		return
	}
	c.recordAnswer(message)
	if message.Reject {
		return
	}
	if message.Term != c.hardState.Term+1 {
		return
	}
	c.preVotes[message.From] = true
	if c.isElectedBy(c.preVotes) {
		c.startElection()
	}
}

func (c *Core) handleVoteResponse(message Message) {
	if c.votes == nil || message.Term != c.hardState.Term {
		return
	}
	if c.role == RoleCandidate {
		c.recordAnswer(message)
	}
	if message.Reject {
		return
	}
	// A vote for the current term counts even after this member has started the next pre-vote: no
	// other member can have won the term with this vote, and saving it may have taken the voter
	// longer than the election timeout.
	c.votes[message.From] = true
	if c.isElectedBy(c.votes) {
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.votes, c.preVotes = nil, nil
	c.clearRounds()
	c.transferring = false
	c.progress = map[MemberID]*progress{}
	c.refreshProgress()
	c.termStart = c.appendToLog(Entry{Kind: EntryNoOp})
	c.heartbeatDue = c.now + c.timing.Heartbeat
	c.diskProgressAt, c.diskProgressIndex = c.now, c.durableIndex
	c.broadcastAppend()
}

// TransferLeadership releases the leader's lease and makes another voter that holds the whole log start an
// election at once. It is used before a planned stop and when this leader's disk is stalled. It
// returns false and does nothing if this member is not the leader or no other voter is known to
// hold the whole log.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader {
		return false
	}
	successor := c.successor()
	if successor == 0 {
		return false
	}
	c.transferring = true
	c.transferStarted = c.now
	// The message waits for no write: a stalled disk may be the reason for the transfer.
	c.early = append(c.early, Message{Kind: MessageTimeoutNow, From: c.id, To: successor, Term: c.hardState.Term})
	return true
}

// successor returns the voter that answered most recently among those that are known to hold the whole log, or 0 if
// there is none. One that has ended may hold it as well.
func (c *Core) successor() MemberID {
	var best MemberID
	newest := neverAnswered
	for _, voter := range c.Configuration().Voters() {
		peer := c.progress[voter]
		if peer == nil || peer.lostLog || peer.diskFull || peer.match < c.log.lastIndex() {
			continue
		}
		if peer.hasAcked && peer.ackedSentAt > newest {
			best, newest = voter, peer.ackedSentAt
		}
	}
	return best
}

func (c *Core) handleTimeoutNow(message Message) {
	if c.role == RoleLeader || message.Term != c.hardState.Term || !c.isVoter(c.id) {
		return
	}
	c.forced = true
	c.startElection()
	c.forced = false
}
