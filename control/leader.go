package control

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/clock"
	"limehold/fleet"
	"limehold/logging"
	"limehold/membership"
	"limehold/ownership"
	"limehold/placement"
)

// leaderState is what only a leader keeps; it is thrown away with the term.
type leaderState struct {
	term     uint64
	budgets  map[string]*placement.Budget
	oversize map[ownership.Key]bool
	// loads of each pool's nodes under the newest plan.
	loads map[string]*placement.Loads
}

// lead runs the leader's duties whenever this member leads: ending sessions,
// placing shards, removing retired services. Decisions are proposals; the state
// machine checks each again on the state that it meets.
func (m *Member) lead(ctx context.Context) error {
	ticker := time.NewTicker(m.options.tickEvery())
	defer ticker.Stop()
	var current *leaderState
	placeDue := time.Duration(0)
	for {
		wanted := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.placeNow:
			wanted = true
		}
		current = m.followTerm(current)
		if current == nil {
			continue
		}
		now := clock.Now()
		if m.endExpiredSessions(ctx, now) {
			wanted = true
		}
		if now >= placeDue {
			placeDue = now + m.options.Settings.Control.PlaceEvery
			m.settleLoads(now)
			m.removeRetired(ctx)
			m.place(ctx, current, now, true)
		} else if wanted {
			m.place(ctx, current, now, false)
		}
	}
}

// followTerm begins and ends leaderships as the replica's status says.
func (m *Member) followTerm(current *leaderState) *leaderState {
	status := m.replica.status.Load()
	if !status.Ready {
		if current != nil {
			m.sessions.follow()
		}
		return nil
	}
	if current != nil && current.term == status.Term {
		return current
	}
	var open []*membership.Node
	m.replica.view(func(state *fleet.State) {
		for _, node := range state.Membership.Sessions {
			open = append(open, node)
		}
		// Within the view, so that no change of sessions falls in between.
		m.sessions.lead(status.Term, m.options.leaseTiming(), open, state.Revision, clock.Now())
	})
	m.logger.Info("leading", zap.Uint64("term", status.Term), zap.Int("sessions", len(open)))
	return &leaderState{term: status.Term, budgets: map[string]*placement.Budget{}, oversize: map[ownership.Key]bool{}, loads: map[string]*placement.Loads{}}
}

// endExpiredSessions proposes the end of sessions whose leases are over.
func (m *Member) endExpiredSessions(ctx context.Context, now time.Duration) bool {
	expired, lost := m.sessions.expired(now)
	lost, idle := m.owning(lost)
	expired = append(expired, idle...)
	timing := m.options.leaseTiming()
	if len(lost) > 0 {
		cause := fmt.Sprintf("no renewal received for %v, and the node had not said that its grants were all answered: one may be carried out for %v more", timing.ControlLength(), timing.Lateness)
		m.logger.Warn("keys_held_back", zap.Uint64s("sessions", numbers(lost)), zap.Duration("at_most", timing.Lateness), zap.String("cause", cause))
		m.propose(ctx, "hold keys back", fleet.Command{LoseSessions: &fleet.LoseSessions{Sessions: lost, Cause: cause}})
	}
	if len(expired) > 0 {
		cause := fmt.Sprintf("no renewal received for %v, and no grant of what they own can be carried out any more", timing.ControlLength())
		m.logger.Info("leases_over", zap.Uint64s("sessions", numbers(expired)), zap.String("proof", cause))
		m.propose(ctx, "end sessions", fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: expired, Cause: cause}})
	}
	return len(expired)+len(lost) > 0
}

// owning divides sessions into those that own shards and the others.
func (m *Member) owning(sessions []membership.SessionID) (owning, idle []membership.SessionID) {
	if len(sessions) == 0 {
		return nil, nil
	}
	m.replica.view(func(state *fleet.State) {
		for _, session := range sessions {
			if state.Ownership.OwnedCount(session) > 0 {
				owning = append(owning, session)
				continue
			}
			idle = append(idle, session)
		}
	})
	return owning, idle
}

func numbers(sessions []membership.SessionID) []uint64 {
	list := make([]uint64, 0, len(sessions))
	for _, session := range sessions {
		list = append(list, uint64(session))
	}
	return list
}

// propose submits a leader's own command and logs a failure: the duty comes
// round again with the next tick.
func (m *Member) propose(ctx context.Context, step string, command fleet.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err := m.executeHere(ctx, command)
	if err != nil && ctx.Err() == nil {
		m.logger.Warn("proposal_failed", logging.Step(step, m.options.Settings.Name, err)...)
	}
	return err == nil
}

// removeRetired ends retiring services whose shards are all free.
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

func (m *Member) settleLoads(now time.Duration) {
	m.loadMutex.Lock()
	defer m.loadMutex.Unlock()
	m.loads.Settle(now)
}
