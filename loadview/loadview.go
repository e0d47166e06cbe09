// Package loadview holds what the instances of a service report about their load. The ingress beside an
// instance makes its reports, as no request reaches the instance in another way; routers choose instances
// by them, and control divides keys by them. The package does no I/O and reads no clock.
package loadview

import "time"

// Report is the load of one instance as its ingress measured it. It is a value.
type Report struct {
	// Process identifies the process of the ingress, and Version increases with each of its reports.
	// Versions of different processes have no order.
	Process uint32
	Version uint64
	// Slots is how many requests the instance runs at once, Running how many it runs, and Waiting how many
	// wait for a slot at its ingress.
	Slots   int
	Running int
	Waiting int
	// RunTime is the smoothed time for which a request occupies a slot.
	RunTime time.Duration
	// Pace is the work that the instance does in a given time, relative to the mean of its service; 0 if unknown.
	Pace float64
	// Refused is the number of requests a second that the ingress has rejected for want of room, smoothed.
	Refused float64
	// SuccessShare is the share of runs that succeed, from 0 to 1.
	SuccessShare float64
	// LinkBusy is for how long the machine's link is occupied by large answers, InboundBusy for how long by
	// large request bodies.
	LinkBusy    time.Duration
	InboundBusy time.Duration
	// LimitWait is how long it takes until the instance's named limit allows another request.
	LimitWait time.Duration
}

// IsSet reports whether the report comes from an instance; the zero value does not.
func (r Report) IsSet() bool { return r.Slots > 0 }
