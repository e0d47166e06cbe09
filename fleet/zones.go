package fleet

import (
	"limehold/decisions"
	"limehold/membership"
)

// Zone is what operators have ordered of a zone. A zone that nobody has ever drained has
// none.
type Zone struct {
	// Draining is set while nothing new may be sent to the zone's nodes.
	Draining bool
	// Revision at which Draining changed last.
	Revision uint64
	// At is when that was, in Unix milliseconds of the leader's wall clock.
	At int64
}

// SetZoneDraining drains a zone, or takes it back into service.
type SetZoneDraining struct {
	Zone     string
	Draining bool
	// Expected is the Revision of the zone that whoever proposes the change has seen; zero:
	// it was never changed. An order that was held up on its way, and comes to be applied
	// after later ones, is refused by it.
	Expected uint64
}

// Eligible reports whether a node may be given new work: it stays itself, and so does its
// zone.
func (s *State) Eligible(node *membership.Node) bool {
	return node.Eligible() && !s.Zones[node.Zone].Draining
}

// setZoneDraining changes a zone. A zone that is as ordered already stays as it is, so that
// an order may be sent again.
func (a *application) setZoneDraining(command *SetZoneDraining) Result {
	known := a.state.Zones[command.Zone]
	if known.Draining == command.Draining {
		return Result{}
	}
	if known.Revision != command.Expected {
		return Result{Refused: 1}
	}
	a.state.Zones[command.Zone] = Zone{Draining: command.Draining, Revision: a.state.Revision, At: a.at}
	a.changes.Zones = []string{command.Zone}
	kind := decisions.KindZoneResumed
	if command.Draining {
		kind = decisions.KindZoneDraining
	}
	a.log(decisions.Event{Kind: kind, From: command.Zone, Cause: "operator"})
	return Result{}
}
