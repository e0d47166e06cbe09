package admission

import "time"

// Returns tells requests that come back after a refusal from those that are made for
// the first time. Callers say how long they will wait: for a route's new requests that
// is mostly the same, and one that returns has used a part of it.
//
// It follows a high quantile of the times that callers allow, which stays with the new
// requests also while most are returning ones.
type Returns struct {
	usual float64
}

const (
	// usualQuantile of the allowed times counts as what new requests are given.
	usualQuantile = 0.9
	// usualStep is the relative size of one correction of that quantile.
	usualStep = 0.02
	// returningShare of the usual time and less is what a returning request has left.
	returningShare = 0.9
)

// Observe takes the time that a request's caller allows it, and reports whether the
// request is a returning one.
func (r *Returns) Observe(allowed time.Duration) bool {
	given := float64(allowed)
	switch {
	case r.usual == 0:
		r.usual = given
	case given > r.usual:
		r.usual = min(given, r.usual*(1+usualStep*usualQuantile))
	default:
		r.usual = max(given, r.usual*(1-usualStep*(1-usualQuantile)))
	}
	return given < returningShare*r.usual
}
