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

// heartbeatCarrier brings keys to the instance in the answers to its heartbeats. Nothing
// can be told between two of them, so that an answer waits a while for something to tell:
// of the time in which a key belongs to nobody, most was waiting for the next heartbeat.
type heartbeatCarrier struct {
	holder *keyHolder
	logger *zap.Logger
	// wait is how long an answer may wait.
	wait    time.Duration
	answers *prometheus.CounterVec
	refused prometheus.Counter
}

// letGoPoll is how long LetGo waits for the instance before it returns with nothing: what
// is to be let go meanwhile waits for it, and its keys belong to nobody. letGoLook is
// after how long it looks whether what the instance was told has run out.
const (
	letGoPoll = 100 * time.Millisecond
	letGoLook = 50 * time.Millisecond
)

func newHeartbeatCarrier(holder *keyHolder, config settings.Ingress, registry *metrics.Registry) *heartbeatCarrier {
	return &heartbeatCarrier{
		holder: holder, logger: holder.logger, wait: config.HeartbeatWait,
		answers: registry.CounterVec("ingress", "heartbeats_total", "Heartbeats of the instance that were answered, by whether the answer renewed its keys.", "renews"),
		refused: registry.Counter("ingress", "keys_refused_total", "Shards that the instance did not take under their epoch."),
	}
}

// Run implements limehold.KeyCarrier: heartbeats come by themselves.
func (c *heartbeatCarrier) Run(context.Context) {}

// Changed implements limehold.KeyCarrier: answers that wait watch the holder.
func (c *heartbeatCarrier) Changed() {}

// Dropped implements limehold.KeyCarrier: the next answer leaves the ranges out.
func (c *heartbeatCarrier) Dropped([]limehold.KeyRange) {}

// LetGo implements limehold.KeyCarrier.
func (c *heartbeatCarrier) LetGo(ranges []limehold.KeyRange) ([]limehold.ReleasedRange, error) {
	h := c.holder
	until := clock.Now() + letGoPoll
	for {
		now := clock.Now()
		var free []limehold.ReleasedRange
		var changed chan struct{}
		h.with(func(l *ledger.Ledger) { free, changed = l.LetGo(ranges, now), h.changed })
		if len(free) > 0 || now >= until {
			return free, nil
		}
		timer := clock.NewTimer(letGoLook)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// beat takes what a heartbeat reports and returns its answer, after waiting for something
// to answer if mayWait.
func (c *heartbeatCarrier) beat(report ledger.Report, mayWait bool) ledger.Answer {
	h := c.holder
	received := clock.Now()
	var taken bool
	var refused []ledger.Grant
	h.with(func(l *ledger.Ledger) {
		l.Begin(report.Instance)
		taken = l.Report(report, received)
		refused = l.RefusedGrants()
	})
	h.tell()
	if !taken {
		return ledger.Answer{}
	}
	if len(refused) > 0 {
		c.refused.Add(float64(len(refused)))
		h.handBack(refused, "")
	}
	until := received
	if mayWait {
		until += c.wait
	}
	for {
		now := clock.Now()
		var answer ledger.Answer
		var changed chan struct{}
		due := false
		h.with(func(l *ledger.Ledger) {
			if due = now >= until || l.Pending(report.Sequence, now); due {
				answer = l.Answer(report.Sequence, now)
			}
			changed = h.changed
		})
		if due {
			c.answered(report, answer, now-received)
			return answer
		}
		timer := clock.NewTimer(until - now)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// answered wakes the requests that wait for keys, and says what was told.
func (c *heartbeatCarrier) answered(report ledger.Report, answer ledger.Answer, waited time.Duration) {
	c.holder.tell()
	c.answers.WithLabelValues(strconv.FormatBool(answer.Renews)).Inc()
	fields := []zap.Field{
		zap.String("instance", report.Instance), zap.Uint64("sequence", report.Sequence), zap.Bool("renews", answer.Renews),
		zap.Int("held", len(report.Holds)), zap.Int("released", len(report.Released)), zap.Int("rows", len(answer.Rows)),
		zap.Duration("hold", answer.Hold), zap.Duration("waited", waited),
	}
	switch {
	case answer.Kept+answer.Unfit > 0:
		c.logger.Warn("answer_full", append(fields, zap.Int("kept", answer.Kept), zap.Int("unfit", answer.Unfit))...)
	case len(report.Released) > 0 || len(report.Holds) != len(answer.Rows):
		c.logger.Info("keys_told", fields...)
	default:
		c.logger.Debug("keys_told", fields...)
	}
}
