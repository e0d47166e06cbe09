package fleet

import (
	"limehold/decisions"
	"limehold/membership"
)

// Zone is the draining state that operators have set for a zone. A zone that has never
// been drained has no entry.
type Zone struct {
	// Draining is set while no new requests may be sent to the zone's nodes.
	Draining bool
	// Revision at which Draining last changed.
	Revision uint64
	// At is when Draining last changed, in Unix milliseconds of the leader's wall clock.
	At int64
}

// SetZoneDraining drains a zone or returns it to service.
type SetZoneDraining struct {
	Zone     string
	Draining bool
	// Expected is the Revision of the zone that the sender has seen, 0 if the zone was
	// never drained. A command that is delayed until after later ones no longer matches
	// and is rejected. Commands with an Order are compared by its Basis instead.
	Expected uint64
}

// Eligible reports whether a node may be assigned shards and receive new requests: its
// session is not superseded, and neither the node nor its zone is draining.
func (s *State) Eligible(node *membership.Node) bool {
	return node.Eligible() && !s.Zones[node.Zone].Draining
}

// IsDrainedByOperator reports whether a session is the current one of a node that an operator drains, and owns
// nothing.
func (s *State) IsDrainedByOperator(session membership.SessionID) bool {
	node := s.Membership.Sessions[session]
	return node != nil && !node.Superseded && node.Draining && node.DrainCause == membership.DrainCauseOperator && s.Ownership.OwnedCount(session) == 0
}

// setZoneDraining changes a zone. A zone that is already in the requested state does
// not change, so that the command can be resent.
func (a *applier) setZoneDraining(command *SetZoneDraining) Result {
	known := a.state.Zones[command.Zone]
	if known.Draining == command.Draining {
		return Result{}
	}
	if a.order == nil && known.Revision != command.Expected {
		return Result{Stale: 1}
	}
	a.state.Zones[command.Zone] = Zone{Draining: command.Draining, Revision: a.state.Revision, At: a.at}
	a.changes.Zones = []string{command.Zone}
	kind := decisions.KindZoneResumed
	if command.Draining {
		kind = decisions.KindZoneDraining
	}
	a.addEvent(decisions.Event{Kind: kind, From: command.Zone, Cause: a.orderCause("operator")})
	return Result{}
}
