package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/catalog"
	"limehold/clock"
	"limehold/fleet"
	"limehold/logging"
	"limehold/membership"
	"limehold/ownership"
	"limehold/placement"
)

// leaderState is the state that only a leader keeps. It is discarded when its term ends.
type leaderState struct {
	term      uint64
	budgets   map[string]*placement.Budget
	oversized map[ownership.Key]bool
	// loads holds, by pool, the loads of the nodes under the newest plan.
	loads map[string]*placement.Loads
	// balanceFrom is from when shards are moved for balance.
	balanceFrom time.Duration
}

// settleRenewals is for how many renewal intervals a new leader moves no shards for balance: it knows neither the load
// of shards nor the pace of nodes, and would undo what its predecessor did by them.
const settleRenewals = 2

// balanceStart returns from when a leader moves shards for balance. The first leader has nothing to undo.
func balanceStart(now, renewEvery time.Duration, byDemand, hasOwners bool) time.Duration {
	if !byDemand || !hasOwners {
		return now
	}
	return now + settleRenewals*renewEvery
}

// runLeader performs the leader's duties while this member leads: it ends expired
// sessions, places shards and removes retired services. Its decisions are proposals;
// the state machine checks each one again when it applies it.
func (m *Member) runLeader(ctx context.Context) error {
	ticker := time.NewTicker(m.options.tickInterval())
	defer ticker.Stop()
	var current *leaderState
	placeDue := time.Duration(0)
	for {
		placementNeeded := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.placeNow:
			placementNeeded = true
		}
		current = m.updateLeadership(current)
		if current == nil {
			continue
		}
		now := clock.Now()
		if m.endExpiredSessions(ctx, now) {
			placementNeeded = true
		}
		if now >= placeDue {
			placeDue = now + m.options.Settings.Control.PlaceEvery
			m.updateLoads(now)
			m.removeRetired(ctx)
			m.place(ctx, current, now, true)
		} else if placementNeeded {
			m.place(ctx, current, now, false)
		}
	}
}

// updateLeadership returns the leader state for the current term, or nil while this
// member is not a ready leader. It starts and ends the tracking of leases.
func (m *Member) updateLeadership(current *leaderState) *leaderState {
	status := m.replica.status.Load()
	if !status.Ready {
		if current != nil {
			m.sessions.endTerm()
			m.busiest.Reset()
		}
		return nil
	}
	m.updateQuotas(status.Term)
	if current != nil && current.term == status.Term {
		return current
	}
	var open []*membership.Node
	hasOwners := false
	m.replica.view(func(state *fleet.State) {
		for _, node := range state.Membership.Sessions {
			open = append(open, node)
			hasOwners = hasOwners || state.Ownership.OwnedCount(node.Session) > 0
		}
		// Called within view so that no change of the sessions is applied in between.
		m.sessions.beginTerm(status.Term, m.options.leaseTiming(), open, state.Revision, clock.Now())
	})
	m.logger.Info("leading", zap.Uint64("term", status.Term), zap.Int("sessions", len(open)))
	config := m.options.Settings.Control
	return &leaderState{
		term: status.Term, budgets: map[string]*placement.Budget{}, oversized: map[ownership.Key]bool{}, loads: map[string]*placement.Loads{},
		balanceFrom: balanceStart(clock.Now(), config.RenewEvery, config.PlacementPace, hasOwners),
	}
}

// endExpiredSessions proposes the end of the sessions whose leases have expired. For those that
// own shards and have a grant that may still be applied, it proposes to mark them as lost
// instead. It reports whether any lease had expired.
func (m *Member) endExpiredSessions(ctx context.Context, now time.Duration) bool {
	expired, lost := m.sessions.expired(now)
	lost, idle := m.splitByOwnership(lost)
	expired = m.keepDrainedByOperator(append(expired, idle...))
	timing := m.options.leaseTiming()
	if len(lost) > 0 {
		cause := fmt.Sprintf("no renewal received for %v, and the node had not said that its grants were all answered: one may be applied later", timing.ControlLength())
		m.logger.Warn("keys_held_back", zap.Uint64s("sessions", sessionNumbers(lost)), zap.String("at_most", limehold.FormatGrantDelay(timing.Lateness)), zap.String("cause", cause))
		m.propose(ctx, "mark sessions lost", fleet.Command{MarkSessionsLost: &fleet.MarkSessionsLost{Sessions: lost, Cause: cause}})
	}
	if len(expired) > 0 {
		cause := fmt.Sprintf("no renewal received for %v, and no grant of what they own can be carried out any more", timing.ControlLength())
		m.logger.Info("leases_over", zap.Uint64s("sessions", sessionNumbers(expired)), zap.String("proof", cause))
		m.propose(ctx, "end sessions", fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: expired, Cause: cause}})
	}
	return len(expired)+len(lost) > 0
}

// splitByOwnership divides sessions into those that own shards and the others. It leaves out those that are
// marked as lost already: they wait for a proof, possibly for long.
func (m *Member) splitByOwnership(sessions []membership.SessionID) (owning, idle []membership.SessionID) {
	if len(sessions) == 0 {
		return nil, nil
	}
	m.replica.view(func(state *fleet.State) {
		for _, session := range sessions {
			node := state.Membership.Sessions[session]
			switch {
			case state.Ownership.OwnedCount(session) == 0:
				idle = append(idle, session)
			case node != nil && !node.Lost:
				owning = append(owning, session)
			}
		}
	})
	return owning, idle
}

func sessionNumbers(sessions []membership.SessionID) []uint64 {
	list := make([]uint64, 0, len(sessions))
	for _, session := range sessions {
		list = append(list, uint64(session))
	}
	return list
}

// propose submits one of the leader's own commands and reports whether it succeeded.
// A failure is logged; a later tick repeats the duty.
func (m *Member) propose(ctx context.Context, step string, command fleet.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err := m.executeLocally(ctx, command)
	if err != nil && ctx.Err() == nil {
		m.logger.Warn("proposal_failed", logging.ErrorFields(step, m.options.Settings.Name, err)...)
	}
	return err == nil
}

// removeRetired removes retiring services that have no owned shards left.
func (m *Member) removeRetired(ctx context.Context) {
	var done []string
	m.replica.view(func(state *fleet.State) {
		for name, service := range state.Catalog.Services {
			if service.State == catalog.ServiceRetiring && allFree(state.Ownership.Shards[name]) {
				done = append(done, name)
			}
		}
	})
	for _, name := range done {
		m.propose(ctx, "remove service "+name, fleet.Command{RemoveService: &fleet.RemoveService{Name: name}})
	}
}

func allFree(shards []ownership.Shard) bool {
	for _, shard := range shards {
		if shard.Phase != ownership.PhaseFree {
			return false
		}
	}
	return true
}

func (m *Member) updateLoads(now time.Duration) {
	m.loadMutex.Lock()
	defer m.loadMutex.Unlock()
	m.loads.Update(now)
}
