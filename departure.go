package limehold

import (
	"context"

	"limehold/departure"
)

// DepartureStore keeps what a node's instance has announced about its end, so that it outlives the process that received
// the announcement.
type DepartureStore interface {
	// RecordDeparture returns once the notice outlives the loss of this process. It repeats the attempt until ctx ends.
	RecordDeparture(ctx context.Context, notice departure.Notice) error
	// Departures returns all notices that were recorded before the call. It repeats the attempt until ctx ends.
	Departures(ctx context.Context) (departure.List, error)
}
