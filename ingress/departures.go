package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/departure"
	"limehold/logging"
)

// departures keeps what the instance has announced about its end at a store that outlives this process, and fetches what
// earlier processes have kept there.
type departures struct {
	store  limehold.DepartureStore
	logger *zap.Logger

	mutex sync.Mutex
	// recorded is what the store has, pending what it does not have yet.
	recorded, pending departure.List
	wake              chan struct{}
	// changed is closed and replaced whenever pending becomes shorter.
	changed chan struct{}

	// droppedAt is when a notice was last dropped because too many were pending; hasDropped is set then.
	droppedAt  time.Duration
	hasDropped bool

	unacknowledgedLines logThrottle
}

const (
	// recordTimeout bounds the wait of an announcement for its record. Instances wait for an acknowledgement for a second.
	recordTimeout = 800 * time.Millisecond
	// storeTimeout bounds one call of the store, after which a failure is logged and the call repeated.
	storeTimeout = 5 * time.Second
)

// ErrNotRecorded is returned for an announcement that must not be acknowledged: if this process ended now, the next one
// would not know of it.
var ErrNotRecorded = errors.New("the announcement is not recorded at control yet: send it again")

func newDepartures(options Options) *departures {
	return &departures{store: options.Departures, logger: options.Logger, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// record requests that a notice be recorded. Without a store nothing is recorded.
func (d *departures) record(notice departure.Notice) {
	if d.store == nil {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.recorded.Includes(notice) {
		return
	}
	if d.pending.IsFull() {
		d.droppedAt, d.hasDropped = clock.Now(), true
		d.logger.Warn("departure_dropped", zap.Stringer("instance", d.pending[0].Incarnation), zap.String("cause", "too many are pending"))
	}
	d.pending = d.pending.With(notice)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// await waits until everything that record was called with is recorded, or returns ErrNotRecorded.
func (d *departures) await(ctx context.Context) error {
	ctx, cancel := clock.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for {
		d.mutex.Lock()
		// A notice that was dropped may be the one that is waited for.
		hasDropped := d.hasDropped && clock.Now()-d.droppedAt < 2*recordTimeout
		isRecorded, changed := len(d.pending) == 0 && !hasDropped, d.changed
		d.mutex.Unlock()
		if isRecorded {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if suppressed, due := d.unacknowledgedLines.allow(clock.Now()); due {
				d.logger.Warn("departure_not_acknowledged", zap.String("step", "record departure"), zap.String("peer", "control"),
					zap.Duration("waited", recordTimeout), zap.Int("left_out", suppressed))
			}
			return ErrNotRecorded
		}
	}
}

// run fetches what is recorded, passes it to onFetched, and records what is pending until ctx ends.
func (d *departures) run(ctx context.Context, onFetched func(departure.List)) {
	if d.store == nil {
		return
	}
	d.fetch(ctx, onFetched)
	for ctx.Err() == nil {
		notice, isPending := d.next()
		if !isPending {
			select {
			case <-ctx.Done():
			case <-d.wake:
			}
			continue
		}
		d.recordAtStore(ctx, notice)
	}
}

// fetch fetches the recorded notices. It repeats that until it succeeds or ctx ends.
func (d *departures) fetch(ctx context.Context, onFetched func(departure.List)) {
	began := clock.Now()
	for ctx.Err() == nil {
		callContext, cancel := clock.WithTimeout(ctx, storeTimeout)
		fetched, err := d.store.Departures(callContext)
		cancel()
		if err != nil {
			d.logger.Warn("departures_not_fetched", logging.ErrorFields("fetch departures", "control", err)...)
			continue
		}
		d.mutex.Lock()
		d.recorded = fetched
		d.mutex.Unlock()
		onFetched(fetched)
		d.logger.Info("departures_fetched", zap.Int("notices", len(fetched)), zap.Duration("took", clock.Now()-began))
		return
	}
}

// next returns the oldest pending notice.
func (d *departures) next() (notice departure.Notice, isPending bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.pending) == 0 {
		return departure.Notice{}, false
	}
	return d.pending[0], true
}

// recordAtStore records one notice.
func (d *departures) recordAtStore(ctx context.Context, notice departure.Notice) {
	began := clock.Now()
	callContext, cancel := clock.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.store.RecordDeparture(callContext, notice); err != nil {
		d.logger.Warn("departure_not_recorded", append(logging.ErrorFields("record departure", "control", err), zap.Stringer("instance", notice.Incarnation))...)
		return
	}
	d.mutex.Lock()
	d.recorded = d.recorded.With(notice)
	d.pending = d.pending.Without(notice)
	close(d.changed)
	d.changed = make(chan struct{})
	d.mutex.Unlock()
	d.logger.Info("departure_recorded", zap.Stringer("instance", notice.Incarnation), zap.Stringer("kind", notice.Kind), zap.Uint64("sequence", notice.Sequence), zap.Duration("took", clock.Now()-began))
}
