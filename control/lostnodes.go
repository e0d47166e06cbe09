package control

import (
	"context"
	"fmt"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/fleet"
	"limehold/membership"
)

// endLostNode closes the lost sessions of a node whose machine is off by an operator's word, so that their keys
// are free. A node with a session in force is rejected: its lease has to expire first.
func (m *Member) endLostNode(ctx context.Context, request *fasthttp.RequestCtx, name string) (any, error) {
	var sessions []membership.SessionID
	var inForce bool
	err := m.read(ctx, request, func(state *fleet.State) {
		inForce = state.Membership.Current(name) != nil
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
	case len(sessions) == 0:
		return nil, notFound("lost node " + name)
	}
	m.logger.Warn("lost_node_ended", zap.String("node", name), zap.Uint64s("sessions", sessionNumbers(sessions)), zap.String("proof", "an operator has stated that the machine is off"))
	return m.change(ctx, request, fleet.Command{CloseSessions: &fleet.CloseSessions{Sessions: sessions, Cause: "an operator has stated that the machine is off"}})
}
