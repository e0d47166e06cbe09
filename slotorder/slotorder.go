// Package slotorder decides in which order requests that wait for a slot of an instance get one. It does no I/O and
// reads no clock.
//
// A call that another instance makes while it runs a request occupies a slot there until it is answered. While calls
// wait behind callers' requests, the services that make them run fewer requests in the same slots, and theirs in turn:
// a service that is short of a tenth of its room takes a third from those before it. Calls therefore go first, as far
// as more urgent requests of callers still begin in time.
package slotorder

import (
	"cmp"
	"time"
)

// Request is a request that waits for a slot.
type Request struct {
	// Priority 0 is the highest.
	Priority int
	// IsCall is set for a call of an instance that occupies a slot for it.
	IsCall bool
	// RunTimeStep is the step of the expected run time; steps differ by a factor of two. Shorter requests go first.
	RunTimeStep int
	// RejectedBefore is set for a request that was rejected before and has lost a part of its target latency.
	RejectedBefore bool
	// Due is when the request has to begin.
	Due time.Duration
	// RunTime is the expected run time.
	RunTime time.Duration
}

// Compare orders two requests: calls first, then by priority, run time, whether they were rejected before, and the end
// of their wait.
func Compare(a, b Request) int {
	if a.IsCall != b.IsCall {
		return compareBool(b.IsCall, a.IsCall)
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.RunTimeStep, b.RunTimeStep),
		compareBool(a.RejectedBefore, b.RejectedBefore),
		cmp.Compare(a.Due, b.Due),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Next returns the index of the request that gets the next free slot of an instance, or -1 if none waits. The requests
// are in the order of Compare. It is the first one, unless that is a call and a more urgent request of a caller would
// begin too late behind it.
func Next(waiting []Request, slots int, now time.Duration) int {
	if len(waiting) == 0 {
		return -1
	}
	if urgent := Pressed(waiting, waiting[0], slots, now); urgent >= 0 {
		return urgent
	}
	return 0
}

// Pressed returns the index of the request that has to get a slot before a call, because it or one behind it would begin
// too late otherwise; -1 if there is none or the request is no call.
func Pressed(waiting []Request, call Request, slots int, now time.Duration) int {
	if !call.IsCall || slots <= 0 {
		return -1
	}
	first := -1
	ahead := call.RunTime
	for i, request := range waiting {
		if request.IsCall || request.Priority >= call.Priority {
			continue
		}
		if first < 0 {
			first = i
		}
		if now+ahead/time.Duration(slots) > request.Due {
			return first
		}
		ahead += request.RunTime
	}
	return -1
}
