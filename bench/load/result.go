// Package load generates the callers' requests of a test run. They are sent at a
// given rate whether or not answers arrive (an open loop), are never retried, and
// the outcome of each is recorded. A closed loop is available for measurements.
package load

import (
	"time"

	"limehold/wire"
)

// Outcome is the result of a request as its caller observed it.
type Outcome string

// The first three outcomes are those that the router reports.
const (
	OutcomeOK      Outcome = wire.OutcomeOK
	OutcomeNotRun  Outcome = wire.OutcomeNotRun
	OutcomeUnknown Outcome = wire.OutcomeUnknown
	// OutcomeCut means that the answer was cut and the caller could detect it.
	OutcomeCut Outcome = "cut"
	// OutcomeNoAnswer means that the connection ended or the timeout expired before any answer.
	OutcomeNoAnswer Outcome = "no-answer"
	// OutcomeNotSent means that no target accepted a connection.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeWrong means that the answer is complete but not the one to this request.
	OutcomeWrong Outcome = "wrong-answer"
	// OutcomeFailed means that the back end answered with an error, which the router passed on.
	OutcomeFailed Outcome = "failed"
)

// Result is the result of one request as its caller observed it. Sent and Done are
// readings of the same clock as in the back ends' records.
type Result struct {
	Run    string
	Stream string
	// Prefix is the path prefix of the service, Key the key within the service.
	Prefix     string
	Key        string
	Repeatable bool
	Router     string
	Outcome    Outcome
	Reason     string
	Status     int
	// Revision is the revision of the service's configuration that the router reported; 0 if none.
	Revision uint64
	Sent     time.Duration
	Done     time.Duration
	// RetryAfter reports whether the answer had a Retry-After header.
	RetryAfter bool
	Error      string
}

// Latency returns the time from sending the request to the end of the answer.
func (r *Result) Latency() time.Duration { return r.Done - r.Sent }
