package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/clock"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/placement"
	"limehold/settings"
)

// maxDecisions bounds the decisions of one command.
const maxDecisions = 2000

// place computes and proposes moves for every pool. With rebalance it considers all
// shards; otherwise only those that need a new owner, so that it is quick after a loss.
func (m *Member) place(ctx context.Context, leader *leaderState, now time.Duration, rebalance bool) {
	builder := &inputBuilder{member: m, leader: leader, now: now, inputs: map[string]*placement.Input{}}
	m.loadMutex.Lock()
	m.replica.view(func(state *fleet.State) {
		if rebalance {
			builder.addAll(state)
		} else {
			builder.addUnplaced(state)
		}
		builder.addNodes(state)
	})
	m.loadMutex.Unlock()
	if rebalance {
		m.busiest.Reset()
	}
	for pool, input := range builder.inputs {
		plan := m.plan(*input)
		leader.loads[pool] = plan.Loads
		m.logOversized(leader, plan.Oversized)
		m.recordPlan(pool, input, &plan)
		m.proposeAssignments(ctx, pool, plan.Assign)
		m.proposeTransfers(ctx, leader, pool, plan.Transfer)
	}
}

// plan applies the placement policy of the settings. The hash and greedy policies are baselines.
func (m *Member) plan(input placement.Input) placement.Plan {
	switch m.options.Settings.Control.Placement {
	case settings.PlacementHash:
		return placement.ComputeHashBaseline(input)
	case settings.PlacementGreedy:
		return placement.ComputeGreedyBaseline(input)
	}
	return placement.Compute(input)
}

func (m *Member) serviceInput(leader *leaderState, service *catalog.Service, now time.Duration) placement.Service {
	budget := leader.budgets[service.Name]
	if budget == nil {
		budget = &placement.Budget{}
		leader.budgets[service.Name] = budget
	}
	weights := service.Spec.Weights
	return placement.Service{
		Imbalance: weights.Imbalance, Churn: weights.Churn, Unavailable: weights.Unavailable,
		Moves: budget.Available(now, service.Spec.MovesPerMinute), Ranged: service.Spec.Key.Ranges,
	}
}

// recordPlan records how even the work of a pool is, and logs a plan that moves shards for balance.
func (m *Member) recordPlan(pool string, input *placement.Input, plan *placement.Plan) {
	if input.Partial != nil {
		return
	}
	m.busiest.WithLabelValues(pool).Set(plan.BusiestBefore)
	if len(plan.Transfer) == 0 {
		return
	}
	paces := 0
	for i := range input.Nodes {
		if input.Nodes[i].Pace > 0 {
			paces++
		}
	}
	m.logger.Info("shards_moved", zap.String("pool", pool), zap.Int("moves", len(plan.Transfer)), zap.Int("nodes", len(input.Nodes)), zap.Int("known_paces", paces),
		zap.Float64("busiest_before", plan.BusiestBefore), zap.Float64("busiest_after", plan.BusiestAfter))
}

func (m *Member) logOversized(leader *leaderState, keys []ownership.Key) {
	for _, key := range keys {
		if !leader.oversized[key] {
			leader.oversized[key] = true
			m.logger.Warn("shard_exceeds_node", zap.Stringer("shard", key),
				zap.String("next", "its load alone is above the mean of a node: raise capacity, or split the service's keys"))
		}
	}
}

func (m *Member) proposeAssignments(ctx context.Context, pool string, decisions []placement.Decision) {
	cause := "free shards of pool " + pool + " go to the least utilized nodes"
	var commands []fleet.Command
	for _, chunk := range chunks(decisions) {
		commands = append(commands, fleet.Command{Assign: fleet.NewAssign(shardDecisions(chunk), cause)})
	}
	m.proposeAll(ctx, "assign shards", commands)
	m.moves.WithLabelValues("assign").Add(float64(len(decisions)))
}

// proposeAll proposes commands concurrently, so that they share syncs and round trips.
// It returns when all of them have been applied or have failed.
func (m *Member) proposeAll(ctx context.Context, step string, commands []fleet.Command) {
	var all sync.WaitGroup
	for _, command := range commands {
		all.Add(1)
		go func() {
			defer all.Done()
			m.propose(ctx, step, command)
		}()
	}
	all.Wait()
}

// proposeTransfers proposes separate commands for each cause, so that the journal
// records why each shard moved.
func (m *Member) proposeTransfers(ctx context.Context, leader *leaderState, pool string, decisions []placement.Decision) {
	byCause := map[string][]placement.Decision{}
	for _, decision := range decisions {
		cause := m.transferCause(decision.From)
		if decision.Gain > 0 {
			cause = fmt.Sprintf("balance of pool %s: weighted gain %.4f exceeds the price of the move", pool, decision.Gain)
			if !decision.Unbudgeted {
				leader.budgets[decision.Key.Service].Spend(1)
			}
		}
		byCause[cause] = append(byCause[cause], decision)
	}
	var commands []fleet.Command
	for cause, list := range byCause {
		for _, chunk := range chunks(list) {
			commands = append(commands, fleet.Command{Transfer: &fleet.Transfer{Decisions: shardDecisions(chunk), Cause: cause}})
		}
	}
	m.proposeAll(ctx, "transfer shards", commands)
	m.moves.WithLabelValues("transfer").Add(float64(len(decisions)))
}

// transferCause returns the reason why a session may not keep its shards.
func (m *Member) transferCause(from membership.SessionID) string {
	cause := "its node gets no work any more"
	m.replica.view(func(state *fleet.State) {
		if node := state.Membership.Sessions[from]; node != nil && state.Zones[node.Zone].Draining {
			cause = "zone " + node.Zone + " is drained"
		}
	})
	return cause
}

func chunks(decisions []placement.Decision) [][]placement.Decision {
	var parts [][]placement.Decision
	for len(decisions) > maxDecisions {
		parts = append(parts, decisions[:maxDecisions])
		decisions = decisions[maxDecisions:]
	}
	if len(decisions) > 0 {
		parts = append(parts, decisions)
	}
	return parts
}

func shardDecisions(decisions []placement.Decision) []fleet.ShardDecision {
	list := make([]fleet.ShardDecision, 0, len(decisions))
	for _, decision := range decisions {
		list = append(list, fleet.ShardDecision{Key: decision.Key, Epoch: decision.Epoch, To: decision.To})
	}
	return list
}

// afterApply processes the changes of each applied command. The applier calls it.
func (m *Member) afterApply(changes fleet.Changes, state *fleet.State) {
	if changes.Empty() {
		return
	}
	m.sessions.update(&changes, state, clock.Now())
	m.sessions.restartWarmUp(undrainedSessions(&changes, state), clock.Now())
	m.hub.publish(&changes, state)
	m.pusher.signal()
	if needsPlacement(&changes) {
		select {
		case m.placeNow <- struct{}{}:
		default:
		}
	}
}

// undrainedSessions returns the sessions in zones that a command has returned to service.
func undrainedSessions(changes *fleet.Changes, state *fleet.State) []membership.SessionID {
	var found []membership.SessionID
	for _, name := range changes.Zones {
		if state.Zones[name].Draining {
			continue
		}
		for _, node := range state.Membership.Sessions {
			if node.Zone == name {
				found = append(found, node.Session)
			}
		}
	}
	return found
}

// needsPlacement reports whether shards may have lost their owner or may need a new one.
func needsPlacement(changes *fleet.Changes) bool {
	return len(changes.Services) > 0 || len(changes.Nodes) > 0 || len(changes.RemovedNodes) > 0 || len(changes.Shards) > 0 || len(changes.Zones) > 0
}
