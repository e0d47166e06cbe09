package membership

import "time"

// HeldLease is a lease as its node sees it. Its length counts from the time at which the node sent the
// renewal, not from the arrival of the answer, so that network delays only shorten the lease.
type HeldLease struct {
	session SessionID
	expiry  time.Duration
}

// Acknowledge extends the lease after a renewal sent at sentAt was granted for length. A different
// session replaces the lease.
func (h *HeldLease) Acknowledge(session SessionID, sentAt, length time.Duration) {
	if session != h.session {
		*h = HeldLease{session: session}
	}
	h.expiry = max(h.expiry, sentAt+length)
}

// Drop discards the lease, for example when control has no such session.
func (h *HeldLease) Drop() { *h = HeldLease{} }

// Session returns the session of the lease, or 0 if there is none.
func (h *HeldLease) Session() SessionID { return h.session }

// Expiry returns the clock reading at which the lease ends.
func (h *HeldLease) Expiry() time.Duration { return h.expiry }

// Valid reports whether the node holds a lease at the given time.
func (h *HeldLease) Valid(now time.Duration) bool { return h.session != 0 && now < h.expiry }
