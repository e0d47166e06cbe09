package fleet

import (
	"time"

	"limehold/departure"
)

// departureRetention is how long the departures of a node are kept after its newest one, by the leaders' wall clocks. No
// message of an incarnation is as late as that.
const departureRetention = time.Hour

// RecordDeparture records what the instance of a node has announced about its end.
type RecordDeparture struct {
	Node   string
	Notice departure.Notice
}

// NodeDepartures holds the departures of one node.
type NodeDepartures struct {
	// At is when the newest one was recorded, in Unix milliseconds of the leader's wall clock.
	At      int64
	Notices departure.List
}

func (a *applier) recordDeparture(command *RecordDeparture) Result {
	known := a.state.Departures[command.Node].Notices
	if known.Includes(command.Notice) {
		return Result{}
	}
	a.forgetDepartures()
	a.state.Departures[command.Node] = NodeDepartures{At: a.at, Notices: known.With(command.Notice)}
	return Result{}
}

// forgetDepartures drops the departures that are older than departureRetention. Age is measured against the time of the
// command, so that all members drop the same ones.
func (a *applier) forgetDepartures() {
	oldest := a.at - departureRetention.Milliseconds()
	for node, departures := range a.state.Departures {
		if departures.At < oldest {
			delete(a.state.Departures, node)
		}
	}
}
