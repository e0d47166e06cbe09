package ingress

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/ledger"
	"limehold/quiescence"
)

// grantsInFlight knows which grants the instance may still carry out, and says so to control with the
// renewals of the lease: where the sidecar ends, nobody else can tell.
//
// Invariant: a grant is sent only while control knows that one may be under way.
type grantsInFlight struct {
	mutex sync.Mutex
	node  quiescence.Node
	// calls are under way.
	calls int
	// until is when no grant that was left without an answer can hold any more.
	until time.Duration
	// asked has the next renewal made at once.
	asked chan struct{}
}

// newGrantsInFlight begins with those that an earlier process may have left without an answer.
func newGrantsInFlight(began, hold time.Duration) *grantsInFlight {
	return &grantsInFlight{until: lateUntil(began, hold), asked: make(chan struct{}, 1)}
}

// lateUntil is until when a grant can hold that was sent at a moment and is left without an answer.
func lateUntil(sent, hold time.Duration) time.Duration {
	return sent + limehold.GrantLateness + ledger.Longest(hold)
}

// begin notes that a grant is about to be sent; false: it may not be yet.
func (g *grantsInFlight) begin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.node.MaySend() {
		return false
	}
	g.calls++
	return true
}

// end notes that a grant was answered or never sent.
func (g *grantsInFlight) end() { g.left(0) }

// left notes that a grant stays without an answer, and can hold until a moment.
func (g *grantsInFlight) left(until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.calls--
	g.until = max(g.until, until)
}

// fenced notes that the instance refuses all that was sent before. No call is under way.
func (g *grantsInFlight) fenced() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.until = 0
}

// claim is what the next renewal says; wanted: grants are to be sent soon.
func (g *grantsInFlight) claim(now time.Duration, wanted bool) quiescence.Claim {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var claim quiescence.Claim
	g.node, claim = g.node.WithClaim(!wanted && g.isOver(now))
	return claim
}

// claimed takes that control has acknowledged a claim.
func (g *grantsInFlight) claimed(claim quiescence.Claim) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.node = g.node.WithAcknowledged(claim)
}

// mayBegin reports whether a grant may be sent now.
func (g *grantsInFlight) mayBegin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.node.MaySend()
}

// mayBeQuiet reports whether control could be told that no grant is under way, and was not.
func (g *grantsInFlight) mayBeQuiet(now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.node.Quiet() && g.isOver(now)
}

// isOver reports whether no grant can be carried out any more. The mutex is held.
func (g *grantsInFlight) isOver(now time.Duration) bool { return g.calls == 0 && now >= g.until }

// ask has the next renewal made at once. It never blocks.
func (g *grantsInFlight) ask() {
	select {
	case g.asked <- struct{}{}:
	default:
	}
}

// claim is what the next renewal says of grants.
func (c *callCarrier) claim() quiescence.Claim {
	now := c.now()
	return c.inFlight.claim(now, c.expectsToGrant(now))
}

// claimed takes that control has acknowledged a claim.
func (c *callCarrier) claimed(claim quiescence.Claim) {
	c.inFlight.claimed(claim)
	if !claim.Quiet {
		c.Changed()
	}
}

// expectsToGrant reports whether grants are due soon: control is told that with a renewal that is made
// anyway. What is not known yet may be.
func (c *callCarrier) expectsToGrant(now time.Duration) bool {
	mayTell := false
	c.holder.with(func(l *ledger.Ledger) { mayTell = l.MayTell() })
	if !mayTell {
		return true
	}
	early := c.early(now)
	for _, run := range c.runs() {
		if run.Due <= now+early {
			return true
		}
	}
	return false
}

// early is how long before they are due grants are sent when some may be sent anyway: they are then
// under way for a short part of the time, together.
func (c *callCarrier) early(now time.Duration) time.Duration {
	return max(0, c.holdFor(now)) / (2 * renewalsAHold)
}

// noteLeft notes that a grant was left without an answer.
func (c *callCarrier) noteLeft(sent, hold time.Duration, fields []zap.Field) {
	until := lateUntil(sent, hold)
	c.inFlight.left(until)
	c.logger.Info("grant_left_unanswered", append(fields, zap.Duration("may_hold_for", until-c.now()))...)
}

// settle has control told that no grant is under way, once that is so.
func (c *callCarrier) settle() {
	if now := c.now(); c.inFlight.mayBeQuiet(now) && !c.expectsToGrant(now) {
		c.inFlight.ask()
	}
}
