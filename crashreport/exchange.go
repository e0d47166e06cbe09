// Package crashreport exchanges crash observations between this process and control: a bounded number of
// reports of this process is queued until control has acknowledged them, and the records that control
// publishes are kept for lookups. Queued reports already count in lookups.
//
// An observation is a fleet.Report, which has one field for each kind of observation.
package crashreport

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

// maxPending bounds the reports queued for control. An instance in a crash loop causes one every
// few seconds, so this covers about ten minutes without control.
const maxPending = 256

// Exchange holds the reports and records of one process.
type Exchange struct {
	// node is the name of the process.
	node    string
	logger  *zap.Logger
	dropped prometheus.Counter
	// wake is signalled when a report has been queued.
	wake      chan struct{}
	completed recentRuns
	// recordCount is the number of known records. While it is 0, lookups return without taking
	// the mutex.
	recordCount atomic.Int64

	mutex sync.RWMutex
	// records holds the records received from control.
	records map[quarantine.Digest]quarantine.View
	// pending holds the reports that control has not acknowledged; first is the number of the oldest.
	pending []fleet.Report
	first   uint64
	// observed holds the records that result from pending alone.
	observed quarantine.Table
	// succeeded maps each digest that pending reports as successful to the revision at which the
	// cleared record was opened.
	succeeded map[quarantine.Digest]uint64
}

// New returns an empty exchange for the process with the given name.
func New(node string, logger *zap.Logger, registry *metrics.Registry) *Exchange {
	e := &Exchange{
		node: node, logger: logger, wake: make(chan struct{}, 1),
		records: map[quarantine.Digest]quarantine.View{}, succeeded: map[quarantine.Digest]uint64{},
	}
	e.dropped = registry.Counter("bulletin", "reports_dropped_total", "Reports that were dropped because control took none for too long.")
	registry.Gauge("bulletin", "reports_waiting", "Reports that control has not acknowledged yet.", func() float64 { return float64(e.pendingCount()) })
	registry.Gauge("bulletin", "requests_recorded", "Requests under which instances have ended, as far as this process knows.", func() float64 { return float64(e.recordCount.Load()) })
	return e
}

func (e *Exchange) pendingCount() int {
	e.mutex.RLock()
	defer e.mutex.RUnlock()
	return len(e.pending)
}

// Wake returns a channel that is signalled when a report has been queued.
func (e *Exchange) Wake() <-chan struct{} { return e.wake }

// Report queues a report for control.
func (e *Exchange) Report(report fleet.Report) {
	e.queue(report)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Exchange) queue(report fleet.Report) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.pending) >= maxPending {
		e.pending = e.pending[1:]
		e.first++
		e.dropped.Inc()
		e.logger.Warn("report_dropped", zap.String("cause", "control has acknowledged no reports for too long"), zap.Int("waiting", maxPending))
	}
	e.pending = append(e.pending, report)
	e.rebuildObserved()
}

// Pending returns the oldest unacknowledged reports, at most limit, and the number to pass to Acknowledge
// once control has made them durable.
func (e *Exchange) Pending(limit int) (reports []fleet.Report, through uint64) {
	e.mutex.RLock()
	defer e.mutex.RUnlock()
	count := min(limit, len(e.pending))
	return e.pending[:count:count], e.first + uint64(count)
}

// Acknowledge records that control has made all reports before a number durable.
func (e *Exchange) Acknowledge(through uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if through <= e.first {
		return
	}
	e.pending = e.pending[min(uint64(len(e.pending)), through-e.first):]
	e.first = through
	e.rebuildObserved()
}

// rebuildObserved rebuilds what is derived from pending, which is short and changes rarely.
func (e *Exchange) rebuildObserved() {
	e.observed = quarantine.Table{}
	clear(e.succeeded)
	for i := range e.pending {
		switch report := &e.pending[i]; {
		case report.Crash != nil:
			e.observed.RecordCrash(report.Crash, e.first+uint64(i)+1, 0)
		case report.Success != nil:
			e.succeeded[report.Success.Digest] = report.Success.Opened
		}
	}
	e.recount()
}

func (e *Exchange) recount() { e.recordCount.Store(int64(len(e.records) + len(e.observed.Records))) }

// Apply applies records received from control; if whole is set, they replace all earlier ones. Requests
// among them that have recently completed here are reported to control as successful.
func (e *Exchange) Apply(views []quarantine.View, whole bool) {
	if !whole && len(views) == 0 {
		return
	}
	e.storeRecords(views, whole)
	now := clock.Now()
	for _, view := range views {
		if !view.Removed && e.completed.contains(view.Digest, now) {
			e.reportSuccess(view.Digest)
		}
	}
}

func (e *Exchange) storeRecords(views []quarantine.View, whole bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if whole {
		clear(e.records)
	}
	for _, view := range views {
		before := e.records[view.Digest]
		if view.Removed {
			delete(e.records, view.Digest)
		} else {
			e.records[view.Digest] = view
		}
		if before.Quarantined != view.Quarantined {
			e.logger.Info("quarantine_changed", zap.Stringer("digest", view.Digest), zap.Bool("quarantined", view.Quarantined), zap.Int("ends", view.Crashes))
		}
	}
	e.recount()
}
