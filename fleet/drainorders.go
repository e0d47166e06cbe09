package fleet

import (
	"fmt"

	"limehold/catalog"
	"limehold/membership"
)

// maxDrainOrders bounds the nodes that operators may have drained at once.
const maxDrainOrders = 32768

// DrainOrder is an operator's drain of a node. It applies to every later session of the node until an operator
// returns the node to service or states that its machine is off.
type DrainOrder struct {
	Revision uint64
	// At is when the order was given, in Unix milliseconds of the leader's wall clock.
	At int64
}

// IsDrainOrdered reports whether an operator has drained a node.
func (s *State) IsDrainOrdered(node string) bool {
	_, ordered := s.DrainOrders[node]
	return ordered
}

// recordDrainOrder records or removes an operator's drain of command.Node. A drain has no effect of its own on a node
// that drains on behalf of its agent, and is not recorded.
func (a *applier) recordDrainOrder(command *SetDraining, node *membership.Node) *catalog.Failure {
	if !command.Draining {
		delete(a.state.DrainOrders, command.Node)
		return nil
	}
	if node != nil && node.DrainedByAgent() || a.state.IsDrainOrdered(command.Node) {
		return nil
	}
	if len(a.state.DrainOrders) >= maxDrainOrders {
		return &catalog.Failure{Code: catalog.FailureConflict, Message: fmt.Sprintf(
			"%d nodes are drained by operators, which is the limit: resume nodes, or use 'limehold node ended' for machines that are off", maxDrainOrders)}
	}
	a.state.DrainOrders[command.Node] = DrainOrder{Revision: a.state.Revision, At: a.at}
	return nil
}

// reindexDrainOrders restores the orders from the sessions in a snapshot that was written before orders were kept.
func (s *State) reindexDrainOrders() {
	if s.DrainOrders != nil {
		return
	}
	s.DrainOrders = map[string]DrainOrder{}
	for _, node := range s.Membership.Sessions {
		if !node.Superseded && node.Draining && node.DrainCause == membership.DrainCauseOperator {
			s.DrainOrders[node.Name] = DrainOrder{Revision: node.Revision}
		}
	}
}
