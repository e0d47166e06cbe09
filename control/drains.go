package control

import (
	"context"
	"hash/maphash"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/consensus"
	"limehold/fleet"
	"limehold/membership"
	"limehold/transport"
	"limehold/wire"
)

// drainLocks orders the drains that agents request after the opening of sessions, node by node. Nodes may share
// a lock.
type drainLocks struct {
	seed  maphash.Seed
	locks [drainLockCount]sync.Mutex
}

// drainLockCount keeps the number of nodes that share a lock low when all nodes of a cluster open a session at once.
const drainLockCount = 1024

func newDrainLocks() *drainLocks { return &drainLocks{seed: maphash.MakeSeed()} }

// lock locks a node and returns the function that unlocks it. It fails if ctx has ended by then: the sender no
// longer waits for the request, and may have sent it again.
func (d *drainLocks) lock(ctx context.Context, node string) (unlock func(), err error) {
	lock := &d.locks[maphash.String(d.seed, node)%drainLockCount]
	lock.Lock()
	if err := ctx.Err(); err != nil {
		lock.Unlock()
		return nil, eris.Wrapf(err, "wait for other requests of node %s", node)
	}
	return lock.Unlock, nil
}

// drainSelf starts draining the sender's node, or ends a drain that its agent has requested if request.Resume
// is set. A request over another connection than the session's newest one may be a late one of an agent process
// that has ended, so it is rejected; the agent repeats it.
func (m *Member) drainSelf(ctx context.Context, conn *transport.Conn, request *wire.DrainSelf) (*wire.ReleasedReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	unlock, err := m.drains.lock(ctx, conn.Peer.Name)
	if err != nil {
		return nil, err
	}
	defer unlock()
	if m.replica.status.Load().Role != consensus.RoleLeader {
		return nil, m.notLeader("drain node")
	}
	if !m.sessions.isConn(request.Session, conn) {
		return nil, &wire.Error{Code: wire.CodeUnknownSession, Message: "the session was opened or renewed over another connection", Step: "drain node", Peer: m.options.Settings.Name}
	}
	if request.Resume {
		return &wire.ReleasedReply{}, m.endAgentDrain(ctx, request.Session)
	}
	result, err := m.executeLocally(ctx, fleet.Command{SetDraining: &fleet.SetDraining{Session: request.Session, Draining: true, Cause: request.Cause}})
	if err != nil {
		return nil, err
	}
	return &wire.ReleasedReply{Revision: result.Revision}, nil
}

// keepOperatorsDrain marks a node as draining that an operator has drained, so that its next session begins to drain
// with its opening, whatever became of the sessions before.
func (m *Member) keepOperatorsDrain(node *membership.Node) {
	m.replica.view(func(state *fleet.State) {
		if state.IsDrainOrdered(node.Name) {
			node.Draining, node.DrainCause = true, membership.DrainCauseOperator
			m.logger.Info("operator_drain_kept", zap.String("node", node.Name), zap.String("incarnation", node.Incarnation))
		}
	})
}

// alignOperatorsDrain makes a session that has just been opened drain exactly if an operator has drained its node: the
// operator's command may have been applied between keepOperatorsDrain and the opening, or may be while this runs.
func (m *Member) alignOperatorsDrain(ctx context.Context, session membership.SessionID, name string) error {
	for {
		command, needed := m.drainAlignment(session, name)
		if !needed {
			return nil
		}
		result, err := m.executeLocally(ctx, command)
		if err != nil || result.Failure == nil {
			return err
		}
	}
}

// drainAlignment returns the command that makes a session drain exactly if an operator has drained its node.
func (m *Member) drainAlignment(session membership.SessionID, name string) (command fleet.Command, needed bool) {
	m.replica.view(func(state *fleet.State) {
		ordered := state.IsDrainOrdered(name)
		node := state.Membership.Sessions[session]
		aligned := node == nil || node.Draining == ordered || node.Draining && node.DrainCause != membership.DrainCauseOperator
		needed = !aligned
		command = fleet.Command{SetDraining: &fleet.SetDraining{Session: session, Draining: ordered, Cause: membership.DrainCauseOperator}}
		command = state.WithoutNewerOrder(command, fleet.NodeResource(name))
	})
	return command, needed
}

// endAgentDrain returns a node to service whose agent has requested its drain. Drains by operators and by the
// platform go on.
func (m *Member) endAgentDrain(ctx context.Context, session membership.SessionID) error {
	command, name, needed := m.agentDrainEnd(session)
	if !needed {
		return nil
	}
	m.logger.Info("agent_drain_ended", zap.String("node", name), zap.Uint64("session", uint64(session)), zap.String("drain_cause", command.SetDraining.Cause))
	result, err := m.executeLocally(ctx, command)
	if err == nil && result.Failure != nil {
		m.logger.Info("drain_decision_superseded", zap.String("node", name), zap.String("cause", result.Failure.Message))
	}
	return err
}

// agentDrainEnd returns the command that ends a drain on behalf of a session's agent, and the name of the node.
func (m *Member) agentDrainEnd(session membership.SessionID) (command fleet.Command, name string, needed bool) {
	m.replica.view(func(state *fleet.State) {
		node := state.Membership.Sessions[session]
		if node == nil || !node.DrainedByAgent() {
			return
		}
		name, needed = node.Name, true
		command = fleet.Command{SetDraining: &fleet.SetDraining{Session: session, Cause: "its agent no longer requests the drain: " + node.DrainCause}}
		command = state.WithoutNewerOrder(command, fleet.NodeResource(name))
	})
	return command, name, needed
}

// isConn reports whether conn is the connection over which a session was opened or renewed last.
func (s *sessions) isConn(session membership.SessionID, conn *transport.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.conns[session] == conn
}
