package ingress

import (
	"time"
)

// coldStart bounds what is sent to an instance that is cold: shortly after its start, and
// whenever it says so, it bears a few requests a second and fails well above that. The
// ingress is the only way to the instance, so that the bound is kept here, exactly.
//
// Invariants:
//   - In every span of coldWindow that ends while the instance is cold, or may be, at most
//     perSecond requests are let through, those included that were let through while it was
//     warm.
//   - An instance of which nothing has been heard since something may have made it cold
//     counts as cold.
type coldStart struct {
	// perSecond is what the instance bears while it is cold; zero: it is never bounded.
	perSecond int
	// until is when the instance is warm, by its newest word.
	until time.Duration
	// doubted is when something happened after which it may be cold, and asked when the
	// question was sent that has been answered last.
	doubted, asked time.Duration
	// recent are the times of the last perSecond requests, a ring; next is its oldest.
	recent []time.Duration
	next   int
}

// coldWindow is a second, and a twentieth more for requests that take unequally long from
// here to the instance on the same machine.
const coldWindow = 1050 * time.Millisecond

// bound takes how many requests a second a cold instance bears. What was sent before is
// not known then: it counts as having been sent just now.
func (c *coldStart) bound(perSecond int, now time.Duration) {
	if perSecond == c.perSecond {
		return
	}
	recent := make([]time.Duration, perSecond)
	for i := range recent {
		recent[i] = now
	}
	c.perSecond, c.recent, c.next = perSecond, recent, 0
}

// told takes the instance's word on how much longer it stays cold. Announcements may be late:
// one settles a doubt only when that is doubtTime old.
func (c *coldStart) told(remaining, now time.Duration) {
	c.until = now + remaining
	if c.doubtful() && now-c.doubted > doubtTime {
		c.asked = c.doubted
	}
}

// doubtTime is longer than announcements are late, a few seconds: an instance whose health
// path does not answer would else count as cold for ever.
const doubtTime = 6 * time.Second

// doubt notes that the instance may have turned cold.
func (c *coldStart) doubt(now time.Duration) { c.doubted = now }

// answered takes the answer to a question that was sent at a time.
func (c *coldStart) answered(remaining, sent, now time.Duration) {
	c.asked = max(c.asked, sent)
	c.told(remaining, now)
}

// doubtful reports whether the instance may be cold though its word does not say so.
func (c *coldStart) doubtful() bool { return c.asked < c.doubted }

// cold reports whether the instance is cold, or may be.
func (c *coldStart) cold(now time.Duration) bool {
	return c.perSecond > 0 && (now < c.until || c.doubtful())
}

// wait is how long it takes until a further request may be let through; zero: it may now.
func (c *coldStart) wait(now time.Duration) time.Duration {
	if !c.cold(now) {
		return 0
	}
	return max(0, c.recent[c.next]+coldWindow-now)
}

// note counts a request that is let through.
func (c *coldStart) note(now time.Duration) {
	if c.perSecond == 0 {
		return
	}
	c.recent[c.next] = now
	c.next = (c.next + 1) % c.perSecond
}

// pace is the least time between two requests in the long run; zero: there is no bound.
func (c *coldStart) pace(now time.Duration) time.Duration {
	if !c.cold(now) {
		return 0
	}
	return time.Second / time.Duration(c.perSecond)
}
