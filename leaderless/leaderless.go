// Package leaderless tells why a member of the group has no leader, while it has none. From its lines
// the causes can be told apart: members that are not reached, votes that are refused, a disk that takes
// longer than an election, a driver that stands still.
package leaderless

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"limehold/consensus"
)

const (
	// ToldAfter is how long a member is without a leader before it says so: an election takes less.
	ToldAfter = time.Second
	// ToldEvery is the time between two of its lines.
	ToldEvery = time.Second
)

// Voter is a member that has a vote, as another one sees it.
type Voter struct {
	Name string
	// Answer is what it last said to a request for its vote; AnswerNone as well when it was not asked.
	Answer consensus.Answer
	// To and From are the connections that were opened to it and by it.
	To, From Connection
}

// Connection is one way between two members.
type Connection struct {
	Up bool
	// Silence is how long nothing has come on it.
	Silence time.Duration
}

// String says how a connection stands: down, or for how long nothing has come on it.
func (c Connection) String() string {
	if !c.Up {
		return "down"
	}
	return c.Silence.Round(time.Millisecond).String()
}

// State is where a member stands.
type State struct {
	Role consensus.Role
	Term uint64
	// Leader is the name of the leader that the member believes in; empty: none.
	Leader string
	// Silence is how long ago it heard that leader.
	Silence time.Duration
	// Answers reports whether the member can have a read confirmed: it leads and may say so, or
	// has lately heard whoever leads.
	Answers bool
	Voters  []Voter
	// Syncing is how long the sync that is under way has taken, Synced how long the slowest took since the
	// member last had a leader.
	Syncing, Synced time.Duration
	// Driver is how long ago the goroutine that drives the core last ran.
	Driver time.Duration
}

// Watch turns looks at a member into lines.
//
// Invariant: a member that is without a leader for longer than ToldAfter has one line each ToldEvery,
// and one when it has a leader again.
type Watch struct {
	// since is when the member was last found with a leader.
	since time.Duration
	told  time.Duration
	// without is set from the first line on.
	without bool
}

// Lasted is how long the member has been without a leader at now; zero while it has one.
func (w *Watch) Lasted(now time.Duration) time.Duration { return now - w.since }

// Look takes where the member stands at now. It returns the line that is to be written; an empty event: none.
func (w *Watch) Look(now time.Duration, state State) (event string, fields []zap.Field) {
	if w.since == 0 {
		w.since = now
	}
	lasted := now - w.since
	if state.Answers {
		w.since = now
		if !w.without {
			return "", nil
		}
		w.without = false
		return "leader_found", append(state.fields(), zap.Duration("lasted", lasted))
	}
	if lasted < ToldAfter || w.without && now-w.told < ToldEvery {
		return "", nil
	}
	w.without, w.told = true, now
	return "without_leader", append(state.fields(), zap.Duration("lasted", lasted), zap.String("voters", voters(state.Voters)),
		zap.Duration("syncing", state.Syncing), zap.Duration("synced", state.Synced), zap.Duration("driver", state.Driver))
}

func (s State) fields() []zap.Field {
	return []zap.Field{zap.Stringer("state", s.Role), zap.Uint64("term", s.Term), zap.String("leader", s.Leader), zap.Duration("heard", s.Silence)}
}

// voters has for each voter its answer, and how the connections to and from it stand.
func voters(list []Voter) string {
	parts := make([]string, 0, len(list))
	for _, voter := range list {
		parts = append(parts, voter.Name+" "+voter.Answer.String()+" to "+voter.To.String()+" from "+voter.From.String())
	}
	return strings.Join(parts, ", ")
}
