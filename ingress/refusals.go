package ingress

import (
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/metrics"
)

// This file has what becomes of announcements that are none of the instance's: they change nothing,
// and are counted and logged within a bound.

// RefusedError says what of an announcement is wrong: it names no instance to use, and changes
// nothing.
type RefusedError struct {
	Field string
	Value string
	Fix   string
}

// shownBytes is how much of a value is shown: it comes from outside.
const shownBytes = 64

// NewRefusedError returns an error that shows the start of a value.
func NewRefusedError(field, value, fix string) *RefusedError {
	if len(value) > shownBytes {
		value = value[:shownBytes] + "..."
	}
	return &RefusedError{Field: field, Value: value, Fix: fix}
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s is %q: %s", e.Field, e.Value, e.Fix)
}

// Fits reports whether an announcement may be of the instance that this process stands beside.
func (i *Instance) Fits(announced Announcement) error {
	service, address := i.options.Settings.Agent.Pool, i.options.Settings.Ingress.Instance
	if service != "" && announced.Service != service {
		return NewRefusedError("service", announced.Service, fmt.Sprintf("use %q, which agent.pool says, or announce to another sidecar", service))
	}
	if announced.Address != "" && address != "" && !sameAddress(announced.Address, address) {
		return NewRefusedError("address", announced.Address, fmt.Sprintf("use %q, which ingress.instance says, or announce to another sidecar", address))
	}
	if ahead := announced.Born - time.Now().UnixMilli(); ahead > clockStep.Milliseconds() {
		return NewRefusedError("born", strconv.FormatInt(announced.Born, 10), "use the Unix millisecond at which this start began")
	}
	return nil
}

// clockStep is more than a machine's time of day steps back while an instance runs.
const clockStep = time.Minute

// sameAddress reports whether two texts are one host:port; IP addresses may be written in
// several ways.
func sameAddress(one, other string) bool {
	if one == other {
		return true
	}
	a, errA := netip.ParseAddrPort(one)
	b, errB := netip.ParseAddrPort(other)
	return errA == nil && errB == nil && a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// refusals counts the announcements that were refused, and says so.
type refusals struct {
	byField *prometheus.CounterVec
	mutex   sync.Mutex
	// told is when a line was written last, and left how many were left out since.
	told time.Duration
	said bool
	left int
}

// refusalsEvery is the least time between two lines on them: whoever announces wrongly goes on
// doing so.
const refusalsEvery = time.Second

func newRefusals(registry *metrics.Registry) refusals {
	return refusals{byField: registry.CounterVec("ingress", "heartbeats_refused_total", "Heartbeats that name no instance to use, by the field that was wrong.", "field")}
}

// due counts a refusal, and returns whether a line on it is due, and how many were left out.
func (r *refusals) due(field string, now time.Duration) (left int, due bool) {
	r.byField.WithLabelValues(field).Inc()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.said && now-r.told < refusalsEvery {
		r.left++
		return 0, false
	}
	left = r.left
	r.told, r.said, r.left = now, true, 0
	return left, true
}

// NoteRefused notes that an announcement under an identity was refused.
func (i *Instance) NoteRefused(id string, problem *RefusedError) {
	left, due := i.refusals.due(problem.Field, clock.Now())
	if !due {
		return
	}
	i.logger.Warn("heartbeat_refused", zap.String("instance", NewRefusedError("", id, "").Value), zap.String("field", problem.Field),
		zap.String("value", problem.Value), zap.String("next", problem.Fix), zap.Int("left_out", left))
}
