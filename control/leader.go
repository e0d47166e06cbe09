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
	var open []membership.SessionID
	m.replica.view(func(state *fleet.State) {
		for session := range state.Membership.Sessions {
			open = append(open, session)
		}
		// Within the view, so that no change of sessions falls in between.
		m.sessions.lead(status.Term, m.options.leaseTiming(), open, state.Revision, clock.Now())
	})
	m.logger.Info("leading", zap.Uint64("term", status.Term), zap.Int("sessions", len(open)))
	return &leaderState{term: status.Term, budgets: map[string]*placement.Budget{}, oversize: map[ownership.Key]bool{}, loads: map[string]*placement.Loads{}}
}

// endExpiredSessions proposes the end of sessions whose leases are over.
func (m *Member) endExpiredSessions(ctx context.Context, now time.Duration) bool {
	expired := m.sessions.expired(now)
	if len(expired) == 0 {
		return false
	}
	cause := fmt.Sprintf("no renewal received for %v", m.options.leaseTiming().ControlLength())
	m.propose(ctx, "end sessions", fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: expired, Cause: cause}})
	return true
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
