package consensus

import "maps"

// startPreVote asks whether an election could be won, without raising the term:
// a member that was cut off does not disturb the others when it returns.
func (c *Core) startPreVote() {
	c.resetElectionDeadline(wholeSpread)
	// Whoever asks a member without a vote is not sent on to one that has not been heard for so long.
	c.leader = 0
	if !c.isVoter(c.id) {
		return
	}
	c.role = RolePreCandidate
	c.forced = false
	c.preVotes = map[MemberID]bool{c.id: true}
	if c.won(c.preVotes) {
		c.startElection()
		return
	}
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
}

func (c *Core) startElection() {
	c.resetElectionDeadline(wholeSpread)
	c.hardState = HardState{Term: c.hardState.Term + 1, VotedFor: c.id}
	c.role = RoleCandidate
	c.leader = 0
	c.votes, c.preVotes = map[MemberID]bool{c.id: true}, nil
	if c.won(c.votes) {
		c.becomeLeader()
		return
	}
	c.requestVotes(MessageVote, c.hardState.Term)
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
	c.lastRound, c.round = c.round, Round{Role: c.role, Term: term, Answers: map[MemberID]Answer{}}
	for _, voter := range c.Configuration().Voters() {
		if voter == c.id {
			continue
		}
		c.round.Answers[voter] = AnswerNone
		c.messages = append(c.messages, Message{
			Kind: kind, From: c.id, To: voter, Term: term,
			LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Forced: c.forced,
		})
	}
}

func (c *Core) won(votes map[MemberID]bool) bool {
	granted := 0
	for _, voter := range c.Configuration().Voters() {
		if votes[voter] {
			granted++
		}
	}
	return granted >= c.Configuration().Quorum()
}

// Rounds returns the newest try to be elected, and the one before it.
func (c *Core) Rounds() (newest, before Round) { return c.round.clone(), c.lastRound.clone() }

func (r Round) clone() Round {
	r.Answers = maps.Clone(r.Answers)
	return r
}

// forgetRounds is called once there is a leader: what was answered before says nothing about the next loss.
func (c *Core) forgetRounds() { c.round, c.lastRound = Round{}, Round{} }

// noteAnswer keeps what a voter has said to the newest request.
func (c *Core) noteAnswer(message Message) {
	if _, asked := c.round.Answers[message.From]; !asked {
		return
	}
	answer := AnswerGranted
	if message.Reject {
		answer = message.Answer
	}
	c.round.Answers[message.From] = answer
}

func (c *Core) handlePreVote(message Message) {
	answer := c.answerTo(message)
	switch {
	case message.Term <= c.hardState.Term:
		answer = AnswerTerm
	case answer == AnswerGranted && c.awaitsOther(message.From):
		answer = AnswerVoted
	}
	granted := answer == AnswerGranted
	response := Message{Kind: MessagePreVoteResponse, From: c.id, To: message.From, Term: message.Term, Reject: !granted, Answer: answer}
	if !granted {
		response.Term = c.hardState.Term
	}
	c.messages = append(c.messages, response)
}

func (c *Core) handleVote(message Message) {
	answer := c.answerTo(message)
	if c.hardState.VotedFor != 0 && c.hardState.VotedFor != message.From {
		answer = AnswerVoted
	}
	granted := answer == AnswerGranted && message.Term == c.hardState.Term
	if granted {
		c.hardState.VotedFor = message.From
		c.resetElectionDeadline(wholeSpread)
	}
	c.messages = append(c.messages, Message{
		Kind: MessageVoteResponse, From: c.id, To: message.From, Term: c.hardState.Term, Reject: !granted, Answer: answer,
	})
}

// awaitsOther reports whether somebody else may be about to win by this member's vote, or it by the others'
// votes: that is not given up for a next try as long as disks take to save a vote.
func (c *Core) awaitsOther(candidate MemberID) bool {
	if c.hardState.VotedFor == 0 || c.hardState.VotedFor == candidate {
		return false
	}
	return !c.durable() || c.now-c.votedAt < c.timing.ElectionMin+savesApart*c.saveTook
}

// answerTo holds the two conditions common to both kinds of vote: the
// candidate's log is at least as complete, and no leader was heard for
// ElectionMin. The second one is what the leader lease rests on. Whether this
// member is a voter is for the candidate to say, who counts only the voters of
// its own configuration: the one held here may be older, and a member that
// refused because of it could keep a group from ever electing a leader again.
func (c *Core) answerTo(message Message) Answer {
	if !message.Forced && c.heardLeaderRecently() {
		return AnswerHeardLeader
	}
	if message.LogTerm < c.log.lastTerm() {
		return AnswerLogShorter
	}
	if message.LogTerm == c.log.lastTerm() && message.LogIndex < c.log.lastIndex() {
		return AnswerLogShorter
	}
	return AnswerGranted
}

// heardLeaderRecently is also true right after a start: what was heard before
// the start is forgotten and must be assumed.
func (c *Core) heardLeaderRecently() bool {
	if c.role == RoleLeader {
		return !c.abdicated
	}
	return c.now-c.lastLeaderContact < c.timing.ElectionMin
}

func (c *Core) handlePreVoteResponse(message Message) {
	if c.role != RolePreCandidate {
		return
	}
	c.noteAnswer(message)
	if message.Reject {
		return
	}
	if message.Term != c.hardState.Term+1 {
		return
	}
	c.preVotes[message.From] = true
	if c.won(c.preVotes) {
		c.startElection()
	}
}

func (c *Core) handleVoteResponse(message Message) {
	if c.votes == nil || message.Term != c.hardState.Term {
		return
	}
	if c.role == RoleCandidate {
		c.noteAnswer(message)
	}
	if message.Reject {
		return
	}
	// A vote that comes after this member has begun to ask for the next term is as good: nobody else can
	// have won this one by it, and the voter's disk may have taken longer than the timeout.
	c.votes[message.From] = true
	if c.won(c.votes) {
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.id
	c.votes, c.preVotes = nil, nil
	c.forgetRounds()
	c.abdicated = false
	c.progress = map[MemberID]*progress{}
	c.refreshProgress()
	c.termStart = c.appendOwn(Entry{Kind: EntryNoOp})
	c.heartbeatDue = c.now + c.timing.Heartbeat
	c.behindSince, c.behindAt = c.now, c.persisted
	c.broadcastAppend()
}

// TransferLeadership gives up the leader's lease and asks the most up-to-date
// voter to stand for election at once. It is used before a planned stop.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader {
		return false
	}
	var best MemberID
	var bestMatch uint64
	for _, voter := range c.Configuration().Voters() {
		follower := c.progress[voter]
		if voter != c.id && follower != nil && !follower.lostLog && follower.match >= bestMatch {
			best, bestMatch = voter, follower.match
		}
	}
	if best == 0 || bestMatch < c.log.lastIndex() {
		return false
	}
	c.abdicated = true
	c.abdicatedAt = c.now
	// It waits for no write: the disk may be the reason.
	c.early = append(c.early, Message{Kind: MessageTimeoutNow, From: c.id, To: best, Term: c.hardState.Term})
	return true
}

func (c *Core) handleTimeoutNow(message Message) {
	if c.role == RoleLeader || message.Term != c.hardState.Term || !c.isVoter(c.id) {
		return
	}
	c.forced = true
	c.startElection()
	c.forced = false
}
