package admission

import "math"

// Locality adapts how much faster an instance of another zone must be to be chosen. Traffic between
// zones is expensive, mainly for large answers: while no requests are late, large answers stay in their
// zone even if an instance elsewhere is faster. The larger the share of late requests, which shows
// that the links of the zone are saturated, the more large answers are treated like the others.
type Locality struct {
	// lateShare is the smoothed share of requests that were rejected or answered late.
	lateShare float64
}

const (
	// lateDecay is the weight of the previous value in the smoothed share.
	lateDecay = 0.98
	// maxLateShare is the share of late requests from which large answers are treated like others.
	maxLateShare = 0.3
	// remoteCost is the factor for small answers. At 2.5 or more, fewer requests are served if the
	// instances differ in speed.
	remoteCost = 1.5
	// remoteCostLarge is the factor for large answers while all are in time. It is so high that
	// they leave the zone only if it has no available instance.
	remoteCostLarge = 40
)

// Observe records whether a request was late, which means answered late or rejected.
func (l *Locality) Observe(late bool) {
	l.lateShare *= lateDecay
	if late {
		l.lateShare += 1 - lateDecay
	}
}

// RemoteCost returns the factor for instances of other zones; see Requirements.RemoteCost.
func (l *Locality) RemoteCost(large bool) float64 {
	if !large {
		return remoteCost
	}
	inTimeShare := 1 - min(1, l.lateShare/maxLateShare)
	return remoteCost * math.Pow(remoteCostLarge/remoteCost, inTimeShare)
}
