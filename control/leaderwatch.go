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

// leaderCheckInterval is the interval at which a member checks whether it has a leader.
const leaderCheckInterval = 250 * time.Millisecond

// driverStats records when the replica's goroutine last ran and how long syncs take.
// It is safe for concurrent use.
type driverStats struct {
	lastRun     atomic.Int64
	syncStart   atomic.Int64
	slowestSync atomic.Int64
}

func (d *driverStats) recordRun(now time.Duration) { d.lastRun.Store(int64(now)) }
func (d *driverStats) beginSync(now time.Duration) { d.syncStart.Store(int64(now)) }

// endSync ends the sync in progress and returns how long it took.
func (d *driverStats) endSync(now time.Duration) time.Duration {
	length := now - time.Duration(d.syncStart.Swap(0))
	d.slowestSync.Store(max(d.slowestSync.Load(), int64(length)))
	return length
}

// cancelSync ends a sync that failed for lack of room. Its time says nothing about the disk's speed.
func (d *driverStats) cancelSync() { d.syncStart.Store(0) }

// syncTimes returns how long the sync in progress has taken, 0 if there is none, and
// the duration of the slowest completed sync since resetSlowest.
func (d *driverStats) syncTimes(now time.Duration) (current, slowest time.Duration) {
	if start := d.syncStart.Load(); start > 0 {
		current = now - time.Duration(start)
	}
	return current, time.Duration(d.slowestSync.Load())
}

func (d *driverStats) resetSlowest() { d.slowestSync.Store(0) }

// watchLeader logs why this member has no leader while it has none, until ctx ends.
func (m *Member) watchLeader(ctx context.Context) error {
	var watch leaderless.Watch
	var lasted atomic.Int64
	m.options.Metrics.Gauge("control", "without_leader_seconds", "For how long this member has not been able to have a read confirmed.", func() float64 {
		return time.Duration(lasted.Load()).Seconds()
	})
	for pause(ctx, leaderCheckInterval) == nil {
		now := clock.Now()
		state := m.leaderlessState(now)
		if event, fields := watch.Observe(now, state); event != "" {
			m.logger.Warn(event, fields...)
		}
		if state.HasLeader {
			m.replica.driver.resetSlowest()
		}
		lasted.Store(int64(watch.Elapsed(now)))
	}
	return nil
}

// leaderlessState returns this member's state at now for leaderless.Watch.
func (m *Member) leaderlessState(now time.Duration) leaderless.State {
	status := m.replica.status.Load()
	state := leaderless.State{
		Role: status.Role, Term: status.Term, Leader: m.leader().Name, Silence: now - status.LeaderContact,
		SinceDriverRan: now - time.Duration(m.replica.driver.lastRun.Load()),
	}
	state.Syncing, state.SlowestSync = m.replica.driver.syncTimes(now)
	if status.Role == consensus.RoleLeader {
		state.Silence = 0
		state.HasLeader = status.Ready && m.replica.holdsLease(now)
	} else {
		state.HasLeader = status.Leader != 0 && state.Silence < m.options.Settings.Control.Timing.ElectionMax
	}
	if !state.HasLeader {
		state.Voters = m.voterStates(status)
	}
	return state
}

// voterStates lists the other voters with their last answers to vote requests and the
// state of the connections to and from them.
func (m *Member) voterStates(status *replicaStatus) []leaderless.Voter {
	var list []leaderless.Voter
	for _, member := range status.Configuration.Members {
		if !status.Configuration.IsVoter(member.ID) || member.ID == m.storage.identity.ID {
			continue
		}
		voter := leaderless.Voter{Name: member.Name}
		for _, round := range status.Rounds {
			if voter.Answer = round.Answers[member.ID]; voter.Answer != consensus.AnswerNone {
				break
			}
		}
		voter.To, voter.From = m.peers.connections(member.ID)
		list = append(list, voter)
	}
	return list
}

// connections returns the state of the connections to and from a member.
func (p *peers) connections(id consensus.MemberID) (to, from leaderless.Connection) {
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

// notLeaderReason explains why this member cannot answer for the group; leader is the name of
// the leader that it follows.
func (r *replica) notLeaderReason(leader string, now time.Duration) string {
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
