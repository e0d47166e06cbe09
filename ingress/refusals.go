package ingress

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/metrics"
)

// This file handles announcements that are rejected, such as those that do not belong to the instance.
// They change nothing, and are counted and logged at a limited rate.

// RejectedError describes the field because of which an announcement was rejected. A rejected
// announcement changes nothing.
type RejectedError struct {
	Field string
	Value string
	Fix   string
}

// maxShownBytes is the size in bytes to which a value is truncated, as it comes from outside.
const maxShownBytes = 64

// NewRejectedError returns an error that contains the beginning of a value.
func NewRejectedError(field, value, fix string) *RejectedError {
	if len(value) > maxShownBytes {
		value = value[:maxShownBytes] + "..."
	}
	return &RejectedError{Field: field, Value: value, Fix: fix}
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s is %q: %s", e.Field, e.Value, e.Fix)
}

// Validate returns an error if an announcement cannot be from the instance behind this ingress.
func (i *Instance) Validate(announced Announcement) error {
	service, address := i.options.Settings.Agent.Pool, i.options.Settings.Ingress.Instance
	if service != "" && announced.Service != service {
		return NewRejectedError("service", announced.Service, fmt.Sprintf("use %q, which agent.pool says, or announce to another sidecar", service))
	}
	if announced.Address != "" && address != "" && !sameAddress(announced.Address, address) {
		return NewRejectedError("address", announced.Address, fmt.Sprintf("use %q, which ingress.instance says, or announce to another sidecar", address))
	}
	if ahead := announced.StartedAt - time.Now().UnixMilli(); ahead > maxClockStep.Milliseconds() {
		return NewRejectedError("born", strconv.FormatInt(announced.StartedAt, 10), "use the Unix millisecond at which this start began")
	}
	return nil
}

// maxClockStep is more than a machine's time of day steps back while an instance runs.
const maxClockStep = time.Minute

// sameAddress reports whether two texts are the same host:port. IP addresses may be written in
// several ways.
func sameAddress(one, other string) bool {
	if one == other {
		return true
	}
	a, errA := netip.ParseAddrPort(one)
	b, errB := netip.ParseAddrPort(other)
	return errA == nil && errB == nil && a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// rejections counts the rejected announcements and limits the rate at which they are logged.
type rejections struct {
	byField *prometheus.CounterVec
	lines   logThrottle
}

func newRejections(registry *metrics.Registry) rejections {
	return rejections{byField: registry.CounterVec("ingress", "heartbeats_refused_total", "Heartbeats that name no instance to use, by the field that was wrong.", "field")}
}

// record counts a rejected announcement. It reports whether a line should be logged, and how many
// lines have been suppressed before it.
func (r *rejections) record(field string, now time.Duration) (suppressed int, due bool) {
	r.byField.WithLabelValues(field).Inc()
	return r.lines.allow(now)
}

// RecordRejected counts and logs a rejected announcement that names an instance ID.
func (i *Instance) RecordRejected(id string, rejected *RejectedError) {
	suppressed, due := i.rejections.record(rejected.Field, clock.Now())
	if !due {
		return
	}
	i.logger.Warn("heartbeat_refused", zap.String("instance", NewRejectedError("", id, "").Value), zap.String("field", rejected.Field),
		zap.String("value", rejected.Value), zap.String("next", rejected.Fix), zap.Int("left_out", suppressed))
}
