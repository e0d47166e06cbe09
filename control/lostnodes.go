package control

import (
	"context"
	"fmt"
	"slices"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/fleet"
	"limehold/membership"
	"limehold/wire"
)

// keepDrainedByOperator returns the sessions without those that keep an operator's drain: the session of a node that
// owns nothing is closed neither when its lease expires nor when its machine is off for long, so that the node's next
// incarnation is drained as well. Without a lease the session is no longer renewed; the agent opens it again.
func (m *Member) keepDrainedByOperator(expired []membership.SessionID) []membership.SessionID {
	if len(expired) == 0 {
		return nil
	}
	var closing, kept []membership.SessionID
	m.replica.view(func(state *fleet.State) {
		for _, session := range expired {
			if state.IsDrainedByOperator(session) {
				kept = append(kept, session)
				continue
			}
			closing = append(closing, session)
		}
	})
	if len(kept) > 0 {
		m.logger.Info("operator_drain_kept", zap.Uint64s("sessions", sessionNumbers(kept)), zap.String("cause", "the lease has expired and the node owns nothing"))
		m.sessions.forget(kept)
	}
	return closing
}

// endLostNode closes the lost sessions of a node whose machine is off by an operator's word, so that their keys
// are free, and an operator's drain of it. A node with a lease is rejected: it has to expire first.
func (m *Member) endLostNode(ctx context.Context, request *fasthttp.RequestCtx, order order, name string) (any, error) {
	var sessions []membership.SessionID
	var inForce, ordered bool
	leader := m.leaderView(ctx)
	if leader.Leader == "" {
		return nil, m.notLeader("ask the leader for the lease of node " + name)
	}
	err := m.read(ctx, request, func(state *fleet.State) {
		ordered = state.IsDrainOrdered(name)
		if current := state.Membership.Current(name); current != nil {
			inForce = !state.IsDrainedByOperator(current.Session) || hasLease(&leader, current.Session)
			sessions = append(sessions, current.Session)
		}
		for _, session := range state.Membership.Superseded(name) {
			if state.Membership.Sessions[session].Lost {
				sessions = append(sessions, session)
			}
		}
	})
	switch {
	case err != nil:
		return nil, err
	case inForce:
		return nil, &catalog.Failure{Code: catalog.FailureConflict, Message: fmt.Sprintf("node %s has a session in force: switch the machine off and wait until 'limehold node list' shows the node as lost", name)}
	case len(sessions) == 0 && !ordered:
		return nil, notFound("lost node " + name)
	}
	order.command = fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: sessions, EndedNode: name, Cause: "an operator has stated that the machine is off"}}
	answer, err := m.change(ctx, request, order)
	if err != nil {
		return nil, err
	}
	m.logger.Warn("lost_node_ended", zap.String("node", name), zap.Uint64s("sessions", sessionNumbers(sessions)), zap.String("proof", "an operator has stated that the machine is off"))
	return answer, nil
}

// hasLease reports whether the leader tracks a lease of a session.
func hasLease(leader *wire.LeaderView, session membership.SessionID) bool {
	return slices.ContainsFunc(leader.Nodes, func(node wire.NodeSilence) bool { return node.Session == session })
}
