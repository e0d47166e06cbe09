// Package leaderless determines what a member of the group logs while it has no leader. The
// fields of its log lines distinguish the causes: unreachable members, rejected votes, a disk
// that takes longer than an election, and a blocked goroutine of the replica.
package leaderless

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"limehold/consensus"
)

const (
	// LogAfter is how long a member is without a leader before it logs this. It is longer than an election.
	LogAfter = time.Second
	// LogInterval is the time between two log lines.
	LogInterval = time.Second
)

// Voter describes a voting member as another member observes it.
type Voter struct {
	Name string
	// Answer is its last answer to a vote request, or AnswerNone if it did not answer or received none.
	Answer consensus.Answer
	// To is the connection that was opened to the voter, From the one that the voter opened.
	To, From Connection
}

// Connection describes the connection between two members in one direction.
type Connection struct {
	Up bool
	// Silence is the time since something was last received on it.
	Silence time.Duration
}

// String returns "down", or the time since something was last received.
func (c Connection) String() string {
	if !c.Up {
		return "down"
	}
	return c.Silence.Round(time.Millisecond).String()
}

// State is the state of a member with respect to its leader.
type State struct {
	Role consensus.Role
	Term uint64
	// Leader is the name of the leader that the member follows, empty if there is none.
	Leader string
	// Silence is the time since the last message from a leader.
	Silence time.Duration
	// HasLeader reports whether the member can have a read confirmed: it leads and holds the
	// leader lease, or it has recently received a message from the leader.
	HasLeader bool
	Voters    []Voter
	// Syncing is how long the sync in progress has taken, SlowestSync the duration of the slowest
	// sync since the member last had a leader.
	Syncing, SlowestSync time.Duration
	// SinceDriverRan is the time since the replica's goroutine last ran.
	SinceDriverRan time.Duration
}

// Watch turns observations of a member into log lines.
//
// Invariant: while a member has no leader for longer than LogAfter, it logs one line per LogInterval,
// and one line when it has a leader again.
type Watch struct {
	// since is when the member was last observed with a leader, or first observed.
	since    time.Duration
	loggedAt time.Duration
	// logged is set from the first line until the member has a leader again.
	logged bool
}

// Elapsed returns how long the member has been without a leader at now, which must be the time of
// the newest call of Observe; 0 if the member had a leader then.
func (w *Watch) Elapsed(now time.Duration) time.Duration { return now - w.since }

// Observe records the member's state at now. It returns the event and the fields to log; the
// event is empty if there is nothing to log.
func (w *Watch) Observe(now time.Duration, state State) (event string, fields []zap.Field) {
	if w.since == 0 {
		w.since = now
	}
	elapsed := now - w.since
	if state.HasLeader {
		w.since = now
		if !w.logged {
			return "", nil
		}
		w.logged = false
		return "leader_found", append(state.fields(), zap.Duration("lasted", elapsed))
	}
	if elapsed < LogAfter || w.logged && now-w.loggedAt < LogInterval {
		return "", nil
	}
	w.logged, w.loggedAt = true, now
	return "without_leader", append(state.fields(), zap.Duration("lasted", elapsed), zap.String("voters", formatVoters(state.Voters)),
		zap.Duration("syncing", state.Syncing), zap.Duration("synced", state.SlowestSync), zap.Duration("driver", state.SinceDriverRan))
}

func (s State) fields() []zap.Field {
	return []zap.Field{zap.Stringer("state", s.Role), zap.Uint64("term", s.Term), zap.String("leader", s.Leader), zap.Duration("heard", s.Silence)}
}

// formatVoters formats each voter with its answer and the connections to and from it.
func formatVoters(list []Voter) string {
	parts := make([]string, 0, len(list))
	for _, voter := range list {
		parts = append(parts, voter.Name+" "+voter.Answer.String()+" to "+voter.To.String()+" from "+voter.From.String())
	}
	return strings.Join(parts, ", ")
}
