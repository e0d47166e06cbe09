package membership

import "time"

// HeldLease is a node's own belief in its lease. The node counts from the
// moment at which it sent the renewal, not from the moment of the answer, so
// that delays in either direction only shorten its belief.
type HeldLease struct {
	session SessionID
	expiry  time.Duration
}

// Acknowledge notes that the renewal sent at sentAt was granted for length.
func (h *HeldLease) Acknowledge(session SessionID, sentAt, length time.Duration) {
	if session != h.session {
		*h = HeldLease{session: session}
	}
	h.expiry = max(h.expiry, sentAt+length)
}

// Drop ends the belief, for example when control no longer knows the session.
func (h *HeldLease) Drop() { *h = HeldLease{} }

// Session returns the session that the lease belongs to; zero when none.
func (h *HeldLease) Session() SessionID { return h.session }

// Expiry is the clock reading from which the node must not act any more.
func (h *HeldLease) Expiry() time.Duration { return h.expiry }

// Valid reports whether the node may act at now.
func (h *HeldLease) Valid(now time.Duration) bool { return h.session != 0 && now < h.expiry }
