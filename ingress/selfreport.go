package ingress

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/departure"
	"limehold/incarnation"
	"limehold/settings"
	"limehold/wire"
)

// selfReport is what an instance says of itself in the header of an answer.
type selfReport struct {
	// limit is the number of requests a second that the instance takes from all callers together; 0 if it names none.
	limit float64
	// limitUnreadable is set if the instance names a limit that is no number.
	limitUnreadable bool
	// leaving is set if the instance is about to end.
	leaving bool
}

// minLimit is the lowest limit in requests a second that is kept to. An instance without any requests could never say
// that it takes some again.
const minLimit = 0.25

// leavingValue is the only value of the field by which an instance says that it is about to end.
const leavingValue = "1"

// parseSelfReport parses the header fields of an answer. With an error the rest of the report is valid.
func parseSelfReport(names settings.Headers, header *fasthttp.ResponseHeader) (selfReport, *RejectedError) {
	var report selfReport
	rejected := report.parseLeaving(names.Leaving, header)
	if names.Limit == "" {
		return report, rejected
	}
	for _, value := range header.PeekAll(names.Limit) {
		limit, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			report.limitUnreadable = true
			rejected = NewRejectedError(names.Limit, string(value), "use a decimal number of requests a second, 0 or more")
			continue
		}
		limit = max(limit, minLimit)
		if report.limit == 0 || limit < report.limit {
			report.limit = limit
		}
	}
	return report, rejected
}

// parseLeaving parses the field by which an instance says that it is about to end.
func (r *selfReport) parseLeaving(name string, header *fasthttp.ResponseHeader) *RejectedError {
	if name == "" {
		return nil
	}
	value := string(header.Peek(name))
	r.leaving = value == leavingValue
	if value != "" && !r.leaving {
		return NewRejectedError(name, value, fmt.Sprintf("use %q, or leave the field out", leavingValue))
	}
	return nil
}

// selfReports is what the current incarnation has said of itself so far.
type selfReports struct {
	// heard is set once this process has received an answer of the incarnation.
	heard bool
	limit float64
	// answeredAt is when an answer was last received, and limitAt when one last named the limit.
	answeredAt, limitAt time.Duration
	// leaving is set once an answer has said that the instance is about to end. It stays set: an announcement may be
	// older, and no request may reach an instance that has said so once its drain time is over.
	leaving bool
}

// observeAnswer records what an answer of an incarnation says of the instance. sent is when its request was sent.
func (i *Instance) observeAnswer(from incarnation.ID, header *fasthttp.ResponseHeader, sent time.Duration) {
	report, rejected := parseSelfReport(i.options.Settings.Headers, header)
	if rejected != nil {
		i.recordUnreadable(from, rejected)
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if from != i.current.From() {
		return
	}
	now := clock.Now()
	i.reports.heard, i.reports.answeredAt = true, now
	if report.leaving {
		i.setLeaving(now, 0)
	}
	switch {
	case report.limit > 0:
		i.reports.limitAt = now
		i.setLimit(report.limit, now)
	case report.limitUnreadable:
	case sent > i.reports.limitAt:
		// The answer to a request that was sent earlier may be older than the limit.
		i.setLimit(0, now)
	}
}

// adoptState adopts what a router was told by an answer of the current incarnation that this process may not have
// received, as it has restarted since. What it has heard itself of the limit is newer.
func (i *Instance) adoptState(told wire.InstanceState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.isKnown || told.Incarnation != i.current.From().String() {
		return
	}
	now := clock.Now()
	if told.Leaving {
		i.setLeaving(now, told.LeavingFor)
	}
	if !i.reports.heard && told.Limit > 0 && (i.reports.limit == 0 || told.Limit < i.reports.limit) {
		i.reports.limitAt, i.reports.answeredAt = now, now
		i.setLimit(told.Limit, now)
	}
}

// reportedState returns what the current incarnation has said of itself.
func (i *Instance) reportedState(now time.Duration) wire.InstanceState {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	state := wire.InstanceState{Limit: i.reports.limit, Leaving: i.reports.leaving}
	if !state.IsSet() {
		return state
	}
	state.Incarnation = i.current.From().String()
	if state.Leaving {
		state.LeavingFor = now - i.drainingSince
	}
	return state
}

// setLeaving records that the instance has been about to end for a while. The mutex is held.
func (i *Instance) setLeaving(now, since time.Duration) {
	if i.reports.leaving {
		return
	}
	i.reports.leaving = true
	i.departures.record(departure.Notice{Kind: departure.Leaving, Incarnation: i.current.From()})
	if begin := now - since; i.drainingSince == 0 || begin < i.drainingSince {
		i.drainingSince = begin
	}
	i.logger.Info("instance_draining", zap.Stringer("instance", i.current.From()), zap.String("source", "answer"), zap.Duration("since", since))
}

// setLimit sets the request rate that the instance takes; 0 stands for any. The mutex is held.
func (i *Instance) setLimit(perSecond float64, now time.Duration) {
	before := i.reports.limit
	if perSecond == before {
		return
	}
	i.reports.limit = perSecond
	i.gate.setLimit(perSecond, now)
	if leftOut, due := i.limitLines.allow(now); due {
		i.logger.Info("instance_limit", zap.Stringer("instance", i.current.From()), zap.Float64("per_second", perSecond), zap.Float64("before", before), zap.Int("left_out", leftOut))
	}
}

// recordUnreadable counts and logs a header field of an answer that is ignored.
func (i *Instance) recordUnreadable(from incarnation.ID, rejected *RejectedError) {
	i.unreadable.WithLabelValues(rejected.Field).Inc()
	if leftOut, due := i.unreadableLines.allow(clock.Now()); due {
		i.logger.Warn("instance_says_unreadable", zap.Stringer("instance", from), zap.String("field", rejected.Field),
			zap.String("value", rejected.Value), zap.String("next", rejected.Fix), zap.Int("left_out", leftOut))
	}
}
