package consensus

import (
	"errors"
	"fmt"
	"time"
)

// MemberID identifies one data folder, not one machine: a member that lost its
// folder rejoins under another MemberID. Zero means no member.
type MemberID uint64

// String formats the ID as it is shown to operators.
func (id MemberID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// EntryKind determines how an entry's data is interpreted.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryCommand carries data for the replicated state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is appended by each new leader; it carries no data.
	EntryNoOp
	// EntryConfiguration changes the configuration to Entry.Configuration; it carries no data.
	EntryConfiguration
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
	// Configuration is set for EntryConfiguration only.
	Configuration *Configuration
}

// HardState is the term and vote. It must be durable before any message that depends on it is sent.
type HardState struct {
	Term     uint64
	VotedFor MemberID
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index         uint64
	Term          uint64
	Configuration Configuration
	Data          []byte
}

// MessageKind identifies the kind of a message between members.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageSnapshot
	MessageTimeoutNow
	// MessageLostLog notifies a member that it holds less than it acknowledged.
	MessageLostLog
)

// Message is sent between members. Fields that a kind does not use are zero.
type Message struct {
	Kind MessageKind
	From MemberID
	To   MemberID
	Term uint64

	// LogIndex and LogTerm are those of the entry before Entries in an append, and of
	// the candidate's last entry in a vote request. In an append response, LogTerm is the newest format of entry
	// data that its sender can decode: it is 0 in those of earlier versions, which ignore it.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	Commit   uint64

	// Reject is set on a rejected vote or append. In an append response, Hint is the
	// last index that the sender holds.
	Reject bool
	Hint   uint64
	// Answer is the result of a vote or pre-vote request, and the reason for a rejection.
	Answer Answer
	// Match is the last index known to match the leader's log. In MessageLostLog it is the
	// index that the receiver had acknowledged.
	Match uint64
	// SentAt is the leader's clock reading when it sent the append. The response
	// returns it so that the leader can extend its lease.
	SentAt time.Duration
	// Forced marks a vote request that follows MessageTimeoutNow: the old leader has
	// released its lease, so voters need not wait for it to expire. In an append response, it marks a sender that
	// can decode joint configurations: it is false in those of earlier versions, which ignore it.
	Forced bool

	Snapshot *Snapshot

	// DiskFull is set in an append response by a member that takes no entries because its disk is full.
	DiskFull bool
}

// Answer is a member's response to a vote or pre-vote request.
type Answer uint8

// Answers. A member with recent leader contact sends no answer to a vote request of a newer term.
const (
	AnswerNone Answer = iota
	AnswerGranted
	AnswerLeaderActive
	AnswerLogShorter
	AnswerVotedForOther
	AnswerNewerTerm
	AnswerDiskFull
)

// String returns the answer's name for logs.
func (a Answer) String() string {
	names := [...]string{"none", "granted", "heard-a-leader", "log-shorter", "voted-for-another", "newer-term", "disk-full"}
	if int(a) >= len(names) {
		return fmt.Sprintf("answer-%d", uint8(a))
	}
	return names[a]
}

// Round is one attempt of a member to be elected: a pre-vote or a vote.
type Round struct {
	Role Role
	Term uint64
	// Answers holds the answer of each voter to which a request was sent.
	Answers map[MemberID]Answer
}

// Role is a member's role in its term.
type Role uint8

// Roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name for logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Errors that proposals and reads return.
var (
	// ErrNotLeader is returned if the member does not lead its term.
	ErrNotLeader = errors.New("this member is not the leader")
	// ErrNotReady is returned if the leader has not committed an entry of its own
	// term, or cannot prove that it still holds its lease.
	ErrNotReady = errors.New("the leader is not ready: its lease or its first commit is missing")
	// ErrChangePending is returned while an earlier configuration change is not committed.
	ErrChangePending = errors.New("an earlier membership change has not been committed yet")
	// ErrUnsafeChange is returned for a change of more than one voter.
	ErrUnsafeChange = errors.New("a membership change may add or remove one voter at a time")
	// ErrJointUnsupported is returned for a joint change while a member runs a version that cannot decode it.
	ErrJointUnsupported = errors.New("several voters cannot be changed at once while a member runs a version without joint configurations")
	// ErrDiskFull is returned by a leader that accepts no proposals because its own disk is full, or
	// those of a majority.
	ErrDiskFull = errors.New("the group accepts no changes: the disk of its leader or of a majority of its members is full")
	// ErrLostLog is reported by a member that holds less than it acknowledged.
	ErrLostLog = errors.New("this member's log is shorter than what it had acknowledged: its data folder is an older copy")
)

// Timing holds the intervals of the protocol. All members use the same values.
type Timing struct {
	// Heartbeat is how often the leader contacts each peer.
	Heartbeat time.Duration
	// ElectionMin is the minimum election timeout. It is also the time for which a voter
	// rejects candidates after leader contact.
	ElectionMin time.Duration
	// ElectionMax is the upper bound of the random election timeout, which is exceeded
	// only if votes take long to save. A leader without a quorum steps down after it.
	ElectionMax time.Duration
	// DriftPermille bounds the relative rate error between two members' clocks.
	DriftPermille int
}

// Options configures a Core.
type Options struct {
	ID     MemberID
	Timing Timing
	// Random returns a value in [0, bound). It randomizes election timeouts.
	Random func(bound int64) int64
	// HardState, Snapshot and Entries are the member's durable state.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// MaxAppendEntries and MaxAppendBytes bound one append message.
	MaxAppendEntries int
	MaxAppendBytes   int
	// EntryFormat is the newest format of entry data that this member can decode. Its leader learns of it.
	EntryFormat uint64
}

// Output is the work that the driver must do, in this order: send Early, persist
// Snapshot, HardState and Entries, call NotifyDurable, send Messages, apply the restored
// snapshot, apply Committed. A Pipeline keeps this order when the disk is slow.
type Output struct {
	// Early messages do not depend on anything in this output being durable.
	Early     []Message
	HardState *HardState
	// Entries replace everything in the durable log from Entries[0].Index on.
	Entries  []Entry
	Snapshot *Snapshot
	Messages []Message
	// Committed entries are in log order, and each is returned exactly once.
	Committed []Entry
	// Fatal is set if the member must stop.
	Fatal error
}

// Empty reports whether there is no work to do.
func (o Output) Empty() bool {
	return len(o.Early) == 0 && o.HardState == nil && len(o.Entries) == 0 && o.Snapshot == nil &&
		len(o.Messages) == 0 && len(o.Committed) == 0 && o.Fatal == nil
}
