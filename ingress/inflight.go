package ingress

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/ledger"
	"limehold/quiescence"
)

// grantsInFlight records which grants the instance may still apply. Each renewal of the lease claims to
// control whether there are any, as no other process knows of them once this one has ended.
//
// Invariant: a grant is sent only while control assumes that one may be in flight.
type grantsInFlight struct {
	mutex sync.Mutex
	node  quiescence.NodeState
	// calls counts the grants that have been sent and not answered yet.
	calls int
	// heldUntil is the latest time to which a grant that got no answer can hold keys.
	heldUntil time.Duration
	// renewRequests requests that the next renewal is sent at once.
	renewRequests chan struct{}
}

// newGrantsInFlight returns the record of a process. Until heldUntil, unanswered grants of an earlier process
// may still hold keys.
func newGrantsInFlight(heldUntil time.Duration) *grantsInFlight {
	return &grantsInFlight{heldUntil: heldUntil, renewRequests: make(chan struct{}, 1)}
}

// maxHoldUntil returns the latest time until which an unanswered grant that was sent at the time sent can
// hold keys.
func (h *keyHolder) maxHoldUntil(sent, hold time.Duration) time.Duration {
	return sent + h.maxGrantDelay + ledger.RealHold(hold)
}

// begin records that a grant is about to be sent; it reports false if none may be sent yet.
func (g *grantsInFlight) begin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.node.MaySend() {
		return false
	}
	g.calls++
	return true
}

// recordAnswer records that a grant was answered or never sent.
func (g *grantsInFlight) recordAnswer() { g.recordLate(0) }

// recordLate records that a grant got no answer: it may be applied late, and hold keys until the given time.
func (g *grantsInFlight) recordLate(until time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.calls--
	g.heldUntil = max(g.heldUntil, until)
}

// recordFenced records that the instance rejects all grants that were sent before. It must not be called
// while a call is in flight.
func (g *grantsInFlight) recordFenced() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.heldUntil = 0
}

// claim returns the claim of the next renewal; wanted is set if grants will be sent soon.
func (g *grantsInFlight) claim(now time.Duration, wanted bool) quiescence.Claim {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var claim quiescence.Claim
	g.node, claim = g.node.WithClaim(!wanted && g.isQuiet(now))
	return claim
}

// recordAcknowledged records that control has acknowledged a claim.
func (g *grantsInFlight) recordAcknowledged(claim quiescence.Claim) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.node = g.node.WithAcknowledged(claim)
}

// maySend reports whether a grant may be sent now.
func (g *grantsInFlight) maySend() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.node.MaySend()
}

// canClaimQuiet reports whether no grant is in flight and the last claim did not state that.
func (g *grantsInFlight) canClaimQuiet(now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.node.Quiet() && g.isQuiet(now)
}

// isQuiet reports whether no grant can still be applied. The mutex is held.
func (g *grantsInFlight) isQuiet(now time.Duration) bool { return g.calls == 0 && now >= g.heldUntil }

// requestRenewal requests that the next renewal is sent at once. It never blocks.
func (g *grantsInFlight) requestRenewal() {
	select {
	case g.renewRequests <- struct{}{}:
	default:
	}
}

// claim returns what the next renewal claims about grants.
func (n *callNotifier) claim() quiescence.Claim {
	now := n.now()
	return n.inFlight.claim(now, n.expectsToGrant(now))
}

// claimAcknowledged records that control has acknowledged a claim.
func (n *callNotifier) claimAcknowledged(claim quiescence.Claim) {
	n.inFlight.recordAcknowledged(claim)
	if !claim.Quiet {
		n.NotifyChanged()
	}
}

// expectsToGrant reports whether grants are due soon, so that the next renewal announces them to control
// instead of claiming that none is in flight. It also reports true until the list of grants is known
// and the incarnation has been cleared.
func (n *callNotifier) expectsToGrant(now time.Duration) bool {
	mayGrant := false
	n.holder.withLedger(func(l *ledger.Ledger) { mayGrant = l.MayGrant() })
	if !mayGrant {
		return true
	}
	ahead := n.sendAhead(now)
	for _, run := range n.runs() {
		if run.Due <= now+ahead {
			return true
		}
	}
	return false
}

// sendAhead returns how long before they are due grants are sent while sending is allowed. Sending grants
// together shortens the time during which any is in flight.
func (n *callNotifier) sendAhead(now time.Duration) time.Duration {
	return max(0, n.holdFor(now)) / (2 * renewalsPerHold)
}

// recordUnanswered records that a grant got no answer. If the instance may apply it at any later time, the
// instance is cleared under a higher fence before the next grant, as no time ends the doubt. The ledger's mutex
// is held.
func (n *callNotifier) recordUnanswered(sent, hold time.Duration, fields []zap.Field) {
	until := n.holder.maxHoldUntil(sent, hold)
	n.inFlight.recordLate(until)
	if n.holder.maxGrantDelay >= limehold.UnlimitedGrantDelay {
		n.holder.ledger.InvalidateClearing()
	}
	n.logger.Info("grant_left_unanswered", append(fields, zap.String("may_hold_for", limehold.FormatGrantDelay(until-n.now())))...)
}

// requestQuietClaim requests a renewal that notifies control that no grant is in flight, once that is so.
func (n *callNotifier) requestQuietClaim() {
	if now := n.now(); n.inFlight.canClaimQuiet(now) && !n.expectsToGrant(now) {
		n.inFlight.requestRenewal()
	}
}
