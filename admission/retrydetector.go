package admission

import "time"

// RetryDetector detects requests that callers retry after a rejection, by the time that the caller still
// allows. First attempts on a route mostly allow the same time, and a retry allows less.
//
// It tracks a high quantile of the allowed times, which stays at that of first attempts even if most
// requests are retries.
type RetryDetector struct {
	// firstAttemptTime is the estimate of that quantile, in nanoseconds.
	firstAttemptTime float64
}

const (
	// allowedQuantile is the quantile of the allowed times that represents first attempts.
	allowedQuantile = 0.9
	// quantileStep is the relative step by which the estimate of the quantile is corrected.
	quantileStep = 0.02
	// retryShare is the share of the quantile below which a request counts as a retry.
	retryShare = 0.9
)

// Observe records the time that the caller allows for a request, and reports whether the request is
// a retry.
func (r *RetryDetector) Observe(allowed time.Duration) bool {
	allowedNanos := float64(allowed)
	switch {
	case r.firstAttemptTime == 0:
		r.firstAttemptTime = allowedNanos
	case allowedNanos > r.firstAttemptTime:
		r.firstAttemptTime = min(allowedNanos, r.firstAttemptTime*(1+quantileStep*allowedQuantile))
	default:
		r.firstAttemptTime = max(allowedNanos, r.firstAttemptTime*(1-quantileStep*(1-allowedQuantile)))
	}
	return allowedNanos < retryShare*r.firstAttemptTime
}
