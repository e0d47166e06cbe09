package ingress

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"
)

// slowdown is how long work takes at the instance, relative to the usual time: 1 is as usual, 2 is
// twice as long. Instances share their machines with others, so that their speed differs by a
// factor of up to three for as long as they run and also varies several times a second.
type slowdown struct {
	mutex sync.Mutex
	// smoothed is the average over slowdownTimeConstant, and updatedAt the time of its last update.
	smoothed  float64
	updatedAt time.Duration
}

const (
	// slowdownTimeConstant is the time constant of the average: much longer than the short
	// variations, so that keys are not moved because of them, and short enough that a machine
	// that has become slow shows before an operator notices it.
	slowdownTimeConstant = 3 * time.Second
	// usualSlowdown is the value that instances report for the usual time, in the field with the
	// index slowdownField of at least loadFields fields.
	usualSlowdown = 100
	slowdownField = 3
	loadFields    = 4
	// maxSlowdown and minSlowdown are the bounds to which reported values are clamped.
	maxSlowdown = 20.0
	minSlowdown = 0.05
)

// observe updates the average from the load that an instance reports. It ignores a report in which the
// field is missing or invalid.
func (s *slowdown) observe(load []byte, now time.Duration) {
	if len(load) == 0 {
		return
	}
	fields := strings.Split(string(load), ",")
	if len(fields) < loadFields {
		return
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(fields[slowdownField]), 64)
	if err != nil || value <= 0 {
		return
	}
	value = min(maxSlowdown, max(minSlowdown, value/usualSlowdown))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.smoothed == 0 {
		s.smoothed, s.updatedAt = value, now
		return
	}
	keep := math.Exp(-float64(now-s.updatedAt) / float64(slowdownTimeConstant))
	s.smoothed, s.updatedAt = s.smoothed*keep+value*(1-keep), now
}

// speed returns the speed of the instance relative to the usual one; 1 if none has been reported.
func (s *slowdown) speed() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.smoothed == 0 {
		return 1
	}
	return 1 / s.smoothed
}

// reset resets the average for another incarnation of the instance.
func (s *slowdown) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.smoothed = 0
}
