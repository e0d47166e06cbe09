package admission

import "math"

// Locality says how much quicker an instance of another zone has to be before it is
// chosen. Bytes between zones are dear, those of large answers most: they stay in their
// zone while they are in time there, also where an instance elsewhere is quicker; as far
// as they are late, the links there are full, and they are treated as all others.
type Locality struct {
	// late is the smoothed share of requests that were refused or answered late.
	late float64
}

const (
	// lateKeep is how much of the late share a request leaves.
	lateKeep = 0.98
	// lateLimit is the late share from which large answers are treated as others.
	lateLimit = 0.3
	// remoteCost is the factor of small answers; 2.5 and more serve less where
	// instances differ in speed.
	remoteCost = 1.5
	// remoteCostLarge is that of large answers while all are in time: one leaves its
	// zone only when that has no instance.
	remoteCostLarge = 40
)

// Observe takes whether a request was answered late, or refused.
func (l *Locality) Observe(late bool) {
	l.late *= lateKeep
	if late {
		l.late += 1 - lateKeep
	}
}

// RemoteCost is the factor for instances of other zones; see Want.
func (l *Locality) RemoteCost(large bool) float64 {
	if !large {
		return remoteCost
	}
	inTime := 1 - min(1, l.late/lateLimit)
	return remoteCost * math.Pow(remoteCostLarge/remoteCost, inTime)
}
