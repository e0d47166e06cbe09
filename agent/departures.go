package agent

import (
	"context"

	"limehold/departure"
	"limehold/logging"
	"limehold/wire"
)

// RecordDeparture implements limehold.DepartureStore. Control has committed the notice once it returns nil.
func (a *Agent) RecordDeparture(ctx context.Context, notice departure.Notice) error {
	return a.repeatCall(ctx, "record departure", wire.KindRecordDeparture, &wire.RecordDeparture{Notice: notice}, nil)
}

// Departures implements limehold.DepartureStore.
func (a *Agent) Departures(ctx context.Context) (departure.List, error) {
	reply := &wire.DeparturesReply{}
	err := a.repeatCall(ctx, "read departures", wire.KindDepartures, &struct{}{}, reply)
	return reply.Notices, err
}

// repeatCall calls control until it answers or ctx ends, and returns the last error then. The time that a member gets for
// its answer doubles from leaderTryTimeout to openTimeout, so that neither a member that hangs nor a slow link delays the
// answer for long.
func (a *Agent) repeatCall(ctx context.Context, step string, kind wire.Kind, request, reply any) error {
	for tryTimeout := leaderTryTimeout; ; tryTimeout = min(2*tryTimeout, openTimeout) {
		err := a.links.callLeader(ctx, tryTimeout, kind, request, reply)
		if err == nil {
			return nil
		}
		a.logger.Debug("control_not_answering", logging.ErrorFields(step, "control", err)...)
		if pause(ctx, retryPause) != nil {
			return err
		}
	}
}
