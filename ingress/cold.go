package ingress

import (
	"time"
)

// coldStart limits the request rate while the instance is cold: shortly after its start, and
// whenever it reports that it is cold, an instance sustains only a few requests a second and fails
// well above that. All requests pass through the ingress, so that it enforces the limit exactly.
//
// Invariants:
//   - In every span of coldWindow that ends while the instance is cold, or may be, at most
//     perSecond requests are admitted, including those admitted while it was warm.
//   - An instance of which nothing has been received since an event that may have made it cold
//     counts as cold.
type coldStart struct {
	// perSecond is the request rate that a cold instance sustains; 0 if there is no limit.
	perSecond int
	// warmAt is when the instance is warm, by its newest report.
	warmAt time.Duration
	// uncertainSince is the time of the last event after which the instance may be cold. certainUntil
	// is the time up to which such events are covered by a report: when the newest answered probe was
	// sent, or uncertainSince if an announcement has ended the uncertainty.
	uncertainSince, certainUntil time.Duration
	// recent is a ring of the times of the last perSecond requests; next is its oldest entry.
	recent []time.Duration
	next   int
}

// coldWindow is one second plus 5% for the varying time that requests take from the ingress to
// the instance on the same machine.
const coldWindow = 1050 * time.Millisecond

// setLimit sets the request rate that a cold instance sustains. Earlier requests are unknown at
// that time and count as admitted just now.
func (c *coldStart) setLimit(perSecond int, now time.Duration) {
	if perSecond == c.perSecond {
		return
	}
	recent := make([]time.Duration, perSecond)
	for i := range recent {
		recent[i] = now
	}
	c.perSecond, c.recent, c.next = perSecond, recent, 0
}

// update sets how much longer the instance stays cold, by its newest report. As announcements may be late,
// a report ends the uncertainty only if the event that caused it is older than uncertaintyTimeout.
func (c *coldStart) update(remaining, now time.Duration) {
	c.warmAt = now + remaining
	if c.isUncertain() && now-c.uncertainSince > uncertaintyTimeout {
		c.certainUntil = c.uncertainSince
	}
}

// uncertaintyTimeout is longer than any announcement is delayed, which is a few seconds. Without it an
// instance whose health path does not respond would count as cold forever.
const uncertaintyTimeout = 6 * time.Second

// markUncertain records that the instance may have become cold.
func (c *coldStart) markUncertain(now time.Duration) { c.uncertainSince = now }

// updateFromProbe updates the state from the answer to a probe that was sent at the time sent.
func (c *coldStart) updateFromProbe(remaining, sent, now time.Duration) {
	c.certainUntil = max(c.certainUntil, sent)
	c.update(remaining, now)
}

// isUncertain reports whether the instance may be cold although its last report does not say so.
func (c *coldStart) isUncertain() bool { return c.certainUntil < c.uncertainSince }

// isCold reports whether the instance is cold, or may be.
func (c *coldStart) isCold(now time.Duration) bool {
	return c.perSecond > 0 && (now < c.warmAt || c.isUncertain())
}

// wait returns how long it takes until another request may be admitted; 0 if one may be now.
func (c *coldStart) wait(now time.Duration) time.Duration {
	if !c.isCold(now) {
		return 0
	}
	return max(0, c.recent[c.next]+coldWindow-now)
}

// record adds an admitted request to the ring.
func (c *coldStart) record(now time.Duration) {
	if c.perSecond == 0 {
		return
	}
	c.recent[c.next] = now
	c.next = (c.next + 1) % c.perSecond
}

// interval returns the average interval between two requests at the limit; 0 if there is no limit now.
func (c *coldStart) interval(now time.Duration) time.Duration {
	if !c.isCold(now) {
		return 0
	}
	return time.Second / time.Duration(c.perSecond)
}
