// Package backlog decides when requests that an instance has no room for should return. The package does no I/O and
// reads no clock.
package backlog

import "time"

// Schedule spreads the returns of rejected requests. Its zero value is ready for use.
type Schedule struct {
	// phase is the part of the backlog's time after which the last request was told to return, as a fraction of 2^32.
	phase uint32
}

const (
	// phaseStep is the golden ratio as a fraction of 2^32: its multiples are evenly spread at any number of requests.
	phaseStep = 0x9E3779B9
	// MaxDelay is the longest delay that requests are told. Backlogs that take longer are made of waits that end before.
	MaxDelay = time.Second
)

// Delay returns after which time a rejected request should return, given the time in which the backlog is expected to
// drain: between that time and twice that time, evenly spread over successive requests, so that those which are
// rejected together do not return together.
func (s *Schedule) Delay(drain time.Duration) time.Duration {
	s.phase += phaseStep
	drain = min(max(0, drain), MaxDelay)
	return min(drain+time.Duration(float64(drain)*float64(s.phase)/(1<<32)), MaxDelay)
}
