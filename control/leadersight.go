package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"limehold/clock"
	"limehold/consensus"
	"limehold/leaderless"
)

// leaderLookEvery is how often a member looks whether it has a leader.
const leaderLookEvery = 250 * time.Millisecond

// pulse is what other goroutines may know of the replica's: when it last ran, and how long its syncs take.
type pulse struct {
	ranAt   atomic.Int64
	syncAt  atomic.Int64
	slowest atomic.Int64
}

func (p *pulse) ran(now time.Duration)        { p.ranAt.Store(int64(now)) }
func (p *pulse) syncBegins(now time.Duration) { p.syncAt.Store(int64(now)) }

// syncEnds returns how long the sync has taken.
func (p *pulse) syncEnds(now time.Duration) time.Duration {
	took := now - time.Duration(p.syncAt.Swap(0))
	p.slowest.Store(max(p.slowest.Load(), int64(took)))
	return took
}

// syncing is how long the sync that is under way has taken, and the slowest since forget.
func (p *pulse) syncing(now time.Duration) (underWay, slowest time.Duration) {
	if began := p.syncAt.Load(); began > 0 {
		underWay = now - time.Duration(began)
	}
	return underWay, time.Duration(p.slowest.Load())
}

func (p *pulse) forget() { p.slowest.Store(0) }

// watchLeader tells why this member has no leader while it has none, until ctx ends.
func (m *Member) watchLeader(ctx context.Context) error {
	var watch leaderless.Watch
	var lasted atomic.Int64
	m.options.Metrics.Gauge("control", "without_leader_seconds", "For how long this member has not been able to have a read confirmed.", func() float64 {
		return time.Duration(lasted.Load()).Seconds()
	})
	for pause(ctx, leaderLookEvery) == nil {
		now := clock.Now()
		state := m.standing(now)
		if event, fields := watch.Look(now, state); event != "" {
			m.logger.Warn(event, fields...)
		}
		if state.Answers {
			m.replica.pulse.forget()
		}
		lasted.Store(int64(watch.Lasted(now)))
	}
	return nil
}

// standing is where this member stands at now.
func (m *Member) standing(now time.Duration) leaderless.State {
	status := m.replica.status.Load()
	state := leaderless.State{
		Role: status.Role, Term: status.Term, Leader: m.leader().Name, Silence: now - status.LeaderContact,
		Driver: now - time.Duration(m.replica.pulse.ranAt.Load()),
	}
	state.Syncing, state.Synced = m.replica.pulse.syncing(now)
	if status.Role == consensus.RoleLeader {
		state.Silence = 0
		state.Answers = status.Ready && m.replica.holdsLease(now)
	} else {
		state.Answers = status.Leader != 0 && state.Silence < m.options.Settings.Control.Timing.ElectionMax
	}
	if !state.Answers {
		state.Voters = m.votersSeen(status)
	}
	return state
}

// votersSeen lists the other voters with what they last answered, and how the connections to and from
// them stand.
func (m *Member) votersSeen(status *replicaStatus) []leaderless.Voter {
	var list []leaderless.Voter
	for _, member := range status.Configuration.Members {
		if member.Learner || member.ID == m.storage.identity.ID {
			continue
		}
		voter := leaderless.Voter{Name: member.Name}
		for _, round := range status.Rounds {
			if voter.Answer = round.Answers[member.ID]; voter.Answer != consensus.AnswerNone {
				break
			}
		}
		voter.To, voter.From = m.peers.standing(member.ID)
		list = append(list, voter)
	}
	return list
}

// standing is how the connections to and from a member stand.
func (p *peers) standing(id consensus.MemberID) (to, from leaderless.Connection) {
	if link := p.link(id); link != nil {
		if conn := link.Conn(); conn != nil {
			to = leaderless.Connection{Up: true, Silence: conn.Silence()}
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conn := p.incoming[id]
	if conn == nil {
		return to, from
	}
	select {
	case <-conn.Done():
	default:
		from = leaderless.Connection{Up: true, Silence: conn.Silence()}
	}
	return to, from
}

// whyNotLeader says in which of the states that cannot answer for the group this member is; leader is the
// name of the one that it believes in.
func (r *replica) whyNotLeader(leader string, now time.Duration) string {
	status := r.status.Load()
	switch {
	case status.Role == consensus.RoleLeader && !status.Ready:
		return fmt.Sprintf("this member was elected in term %d and has not applied the first entry of that term yet", status.Term)
	case status.Role == consensus.RoleLeader && !r.holdsLease(now):
		return fmt.Sprintf("this member leads term %d, but cannot show that it still does: a majority has not answered lately", status.Term)
	case status.Role == consensus.RoleLeader:
		return fmt.Sprintf("this member has just begun to lead term %d", status.Term)
	case status.Leader == 0:
		return fmt.Sprintf("this member knows no leader (%s in term %d)", status.Role, status.Term)
	}
	return fmt.Sprintf("this member does not lead; it follows %s in term %d, heard %v ago", leader, status.Term, (now - status.LeaderContact).Round(time.Millisecond))
}
