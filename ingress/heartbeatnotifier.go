package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/ledger"
	"limehold/metrics"
	"limehold/settings"
)

// heartbeatNotifier notifies the instance of its keys in the answers to its heartbeats. Nothing can be
// sent between two heartbeats. An answer therefore waits up to maxWait for a change, as keys would
// otherwise have no owner until the next heartbeat.
type heartbeatNotifier struct {
	holder  *keyHolder
	logger  *zap.Logger
	maxWait time.Duration
	answers *prometheus.CounterVec
	refused prometheus.Counter
}

// releaseWait is how long Release waits for the instance before it returns without a result. Until Release
// returns, other releases wait and their keys have no owner. releaseCheckInterval is the interval at
// which Release checks whether the grants of the ranges have expired.
const (
	releaseWait          = 100 * time.Millisecond
	releaseCheckInterval = 50 * time.Millisecond
)

func newHeartbeatNotifier(holder *keyHolder, config settings.Ingress, registry *metrics.Registry) *heartbeatNotifier {
	return &heartbeatNotifier{
		holder: holder, logger: holder.logger, maxWait: config.HeartbeatWait,
		answers: registry.CounterVec("ingress", "heartbeats_total", "Heartbeats of the instance that were answered, by whether the answer renewed its keys.", "renews"),
		refused: registry.Counter("ingress", "keys_refused_total", "Shards that the instance did not take under their epoch."),
	}
}

// Run implements limehold.KeyNotifier. It does nothing: the instance sends the heartbeats.
func (n *heartbeatNotifier) Run(context.Context) {}

// NotifyChanged implements limehold.KeyNotifier. It does nothing: waiting answers watch the holder.
func (n *heartbeatNotifier) NotifyChanged() {}

// Revoke implements limehold.KeyNotifier. It does nothing: the next answer omits the ranges.
func (n *heartbeatNotifier) Revoke([]limehold.KeyRange) {}

// Release implements limehold.KeyNotifier.
func (n *heartbeatNotifier) Release(ranges []limehold.KeyRange) ([]limehold.ReleasedRange, error) {
	h := n.holder
	until := clock.Now() + releaseWait
	for {
		now := clock.Now()
		var free []limehold.ReleasedRange
		var changed chan struct{}
		h.withLedger(func(l *ledger.Ledger) { free, changed = l.ReleasedRanges(ranges, now), h.changed })
		if len(free) > 0 || now >= until {
			return free, nil
		}
		timer := clock.NewTimer(releaseCheckInterval)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// answer processes the report of a heartbeat and returns its answer. If mayWait is set, it first
// waits until there is something to answer or the ingress stops.
func (n *heartbeatNotifier) answer(report ledger.Report, mayWait bool) ledger.Answer {
	h := n.holder
	received := clock.Now()
	var accepted bool
	var refused []ledger.Grant
	h.withLedger(func(l *ledger.Ledger) {
		l.SetIncarnation(report.Instance)
		accepted = l.RecordHeartbeat(report, received)
		refused = l.RefusedGrants()
	})
	h.notifyChanged()
	if !accepted {
		return ledger.Answer{}
	}
	if len(refused) > 0 {
		n.refused.Add(float64(len(refused)))
		h.returnRefused(refused, "")
	}
	until := received
	if mayWait {
		until += n.maxWait
	}
	for {
		now := clock.Now()
		var answer ledger.Answer
		var changed chan struct{}
		due := false
		h.withLedger(func(l *ledger.Ledger) {
			if due = now >= until || l.Pending(report.Sequence, now); due {
				answer = l.Answer(report.Sequence, now)
			}
			changed = h.changed
		})
		if due {
			n.finishAnswer(report, answer, now-received)
			return answer
		}
		timer := clock.NewTimer(until - now)
		select {
		case <-changed:
		case <-timer.C:
		case <-h.calls.stopping:
			until = 0
		}
		timer.Stop()
	}
}

// finishAnswer notifies the requests that wait for keys that the ledger has changed, and counts and logs
// the answer.
func (n *heartbeatNotifier) finishAnswer(report ledger.Report, answer ledger.Answer, waited time.Duration) {
	n.holder.notifyChanged()
	n.answers.WithLabelValues(strconv.FormatBool(answer.Renews)).Inc()
	fields := []zap.Field{
		zap.String("instance", report.Instance), zap.Uint64("sequence", report.Sequence), zap.Bool("renews", answer.Renews),
		zap.Int("held", len(report.Holds)), zap.Int("released", len(report.Released)), zap.Int("rows", len(answer.Rows)),
		zap.Duration("hold", answer.Hold), zap.Duration("waited", waited),
	}
	switch {
	case answer.Kept+answer.Omitted > 0:
		n.logger.Warn("answer_full", append(fields, zap.Int("kept", answer.Kept), zap.Int("unfit", answer.Omitted))...)
	case len(report.Released) > 0 || len(report.Holds) != len(answer.Rows):
		n.logger.Info("keys_told", fields...)
	default:
		n.logger.Debug("keys_told", fields...)
	}
}
