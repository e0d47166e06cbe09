// Package bulletin carries what one process has observed to all others: what it has to say
// waits here until control has taken it, and what control tells everybody stands here. Both
// are bounded, and what waits counts here already.
//
// What is observed is a fleet.Report; further kinds of it are further fields there. Kinds that
// need not outlive control's members can be passed on without its log, in the same messages.
package bulletin

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/fleet"
	"limehold/metrics"
	"limehold/quarantine"
)

// maxPending bounds the reports that wait for control: an instance that ends again and again
// gives one each few seconds, so that a cut of some ten minutes is covered.
const maxPending = 256

// Board is the bulletin of one process.
type Board struct {
	// node names the process.
	node    string
	logger  *zap.Logger
	dropped prometheus.Counter
	// wake is signalled when there is something to tell.
	wake chan struct{}
	well wellRuns
	// records is how many requests anything is known of, so that nothing is looked up on a
	// quiet day.
	records atomic.Int64

	mutex sync.RWMutex
	told  map[quarantine.Digest]quarantine.Row
	// pending is what control has not acknowledged yet; first is the number of the oldest.
	pending []fleet.Report
	first   uint64
	// observed is what pending comes to by itself.
	observed quarantine.Table
	// survived are the records that pending clears, by the revision at which they came up.
	survived map[quarantine.Digest]uint64
}

// New returns the empty board of a process with that name.
func New(node string, logger *zap.Logger, registry *metrics.Registry) *Board {
	b := &Board{
		node: node, logger: logger, wake: make(chan struct{}, 1),
		told: map[quarantine.Digest]quarantine.Row{}, survived: map[quarantine.Digest]uint64{},
	}
	b.dropped = registry.Counter("bulletin", "reports_dropped_total", "Reports that were dropped because control took none for too long.")
	registry.Gauge("bulletin", "reports_waiting", "Reports that control has not acknowledged yet.", func() float64 { return float64(b.waiting()) })
	registry.Gauge("bulletin", "requests_recorded", "Requests under which instances have ended, as far as this process knows.", func() float64 { return float64(b.records.Load()) })
	return b
}

func (b *Board) waiting() int {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return len(b.pending)
}

// Wake is signalled when there is something to tell.
func (b *Board) Wake() <-chan struct{} { return b.wake }

// Tell queues a report for control.
func (b *Board) Tell(report fleet.Report) {
	b.queue(report)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Board) queue(report fleet.Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.pending) >= maxPending {
		b.pending = b.pending[1:]
		b.first++
		b.dropped.Inc()
		b.logger.Warn("report_dropped", zap.String("cause", "control has taken none for too long"), zap.Int("waiting", maxPending))
	}
	b.pending = append(b.pending, report)
	b.observe()
}

// Pending returns the oldest reports that control has not acknowledged, and the number up to
// which Taken acknowledges them.
func (b *Board) Pending(most int) (reports []fleet.Report, through uint64) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	count := min(most, len(b.pending))
	return b.pending[:count:count], b.first + uint64(count)
}

// Taken notes that control has made the reports before a number durable.
func (b *Board) Taken(through uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if through <= b.first {
		return
	}
	b.pending = b.pending[min(uint64(len(b.pending)), through-b.first):]
	b.first = through
	b.observe()
}

// observe works out what is pending. It is short, and changes only with ends of instances.
func (b *Board) observe() {
	b.observed = quarantine.Table{}
	clear(b.survived)
	for i := range b.pending {
		switch report := &b.pending[i]; {
		case report.Ended != nil:
			b.observed.TakeEnd(report.Ended, b.first+uint64(i)+1, 0)
		case report.Survived != nil:
			b.survived[report.Survived.Digest] = report.Survived.Opened
		}
	}
	b.count()
}

func (b *Board) count() { b.records.Store(int64(len(b.told) + len(b.observed.Records))) }

// Apply takes what control tells; whole says that these are all the records. A request that
// has lately run well here when it comes to be suspected is cleared.
func (b *Board) Apply(rows []quarantine.Row, whole bool) {
	if !whole && len(rows) == 0 {
		return
	}
	b.take(rows, whole)
	now := clock.Now()
	for _, row := range rows {
		if !row.Gone && b.well.lately(row.Digest, now) {
			b.clear(row.Digest)
		}
	}
}

func (b *Board) take(rows []quarantine.Row, whole bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if whole {
		clear(b.told)
	}
	for _, row := range rows {
		before := b.told[row.Digest]
		if row.Gone {
			delete(b.told, row.Digest)
		} else {
			b.told[row.Digest] = row
		}
		if before.Quarantined != row.Quarantined {
			b.logger.Info("quarantine_changed", zap.Stringer("digest", row.Digest), zap.Bool("quarantined", row.Quarantined), zap.Int("ends", row.Ends))
		}
	}
	b.count()
}
