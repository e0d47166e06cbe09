// Package load is the test tool's callers: they send requests at a given rate
// whether or not answers come (an open loop), repeat nothing, and write down
// what became of each.
package load

import (
	"time"

	"limehold/wire"
)

// Outcome is what a caller knows of a request.
type Outcome string

// Outcomes. The first three are the router's own words.
const (
	OutcomeOK      Outcome = wire.OutcomeOK
	OutcomeNotRun  Outcome = wire.OutcomeNotRun
	OutcomeUnknown Outcome = wire.OutcomeUnknown
	// OutcomeCut: the answer broke off, and the caller could tell.
	OutcomeCut Outcome = "cut"
	// OutcomeNoAnswer: the connection ended, or time ran out, before any answer.
	OutcomeNoAnswer Outcome = "no-answer"
	// OutcomeNotSent: no router accepted a connection.
	OutcomeNotSent Outcome = "not-sent"
	// OutcomeWrong: a complete answer that is not the one to this request.
	OutcomeWrong Outcome = "wrong-answer"
	// OutcomeFailed: the back end's own error, passed on whole.
	OutcomeFailed Outcome = "failed"
)

// Result is one request as its caller saw it. Times are readings of the same
// clock as in the back ends' records.
type Result struct {
	Run    string
	Stream string
	// Prefix names the service, Key the key within it.
	Prefix     string
	Key        string
	Repeatable bool
	Router     string
	Outcome    Outcome
	Reason     string
	Status     int
	// Revision of the service's configuration that the router named; 0: none.
	Revision uint64
	Sent     time.Duration
	Done     time.Duration
	// RetryAfter tells whether the answer carried that header.
	RetryAfter bool
	Error      string
}

// Latency is the time from the sending to the end of the answer.
func (r *Result) Latency() time.Duration { return r.Done - r.Sent }
