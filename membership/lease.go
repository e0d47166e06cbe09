package membership

import (
	"container/heap"
	"iter"
	"maps"
	"slices"
	"time"

	"limehold/quiescence"
)

const permille = 1000

// LeaseTiming holds the durations that control and the nodes must agree on.
type LeaseTiming struct {
	// Length is how long a node may act on its lease after it sent a renewal.
	Length time.Duration
	// DriftPermille bounds the relative rate error between the clocks of two machines.
	DriftPermille int
	// Lateness bounds how late a back end may apply a grant, for nodes that set AppliesLate.
	Lateness time.Duration
}

// ControlLength returns how long after receiving a renewal control treats the lease as valid. By
// the bound on clock drift, that is not shorter than Length on the clock of any node.
func (t LeaseTiming) ControlLength() time.Duration {
	return t.Length * time.Duration(permille+t.DriftPermille) / permille
}

// Leases tracks the leases of all open sessions. It is volatile state of the leader: a new leader
// counts every open session as renewed at the time of its election, which is later than any renewal
// that an earlier leader can have acknowledged.
//
// Invariant: for each session, control's expiry is not before the end of the lease as the node sees it,
// on a common clock. The proof is in docs/design/0002-ownership.md.
type Leases struct {
	timing    LeaseTiming
	bySession map[SessionID]*lease
	queue     leaseQueue
	// lost holds the sessions found by Expired whose grants may still be applied.
	lost []SessionID
}

type lease struct {
	session SessionID
	expiry  time.Duration
	// queuedExpiry is the expiry by which the lease is queued. It may lag behind expiry, which
	// saves a queue operation for each renewal.
	queuedExpiry time.Duration
	// closing is set once the end of the session has been proposed. From then on renewals are
	// rejected, even if the proposal fails in this term.
	closing bool
	// appliesLate is Node.AppliesLate; controlState is control's view of whether grants may still be applied.
	appliesLate  bool
	controlState quiescence.ControlState
}

// NewLeases returns the leases of a leader that was elected at now.
func NewLeases(timing LeaseTiming, sessions []SessionID, now time.Duration) *Leases {
	leases := &Leases{timing: timing, bySession: make(map[SessionID]*lease, len(sessions))}
	for _, session := range sessions {
		leases.Track(session, now)
	}
	return leases
}

// Track adds a session that was opened, or found open, at now.
func (l *Leases) Track(session SessionID, now time.Duration) {
	if _, tracked := l.bySession[session]; tracked {
		return
	}
	expiry := now + l.timing.ControlLength()
	added := &lease{session: session, expiry: expiry, queuedExpiry: expiry}
	l.bySession[session] = added
	heap.Push(&l.queue, added)
}

// UpdateNode updates a tracked session from the replicated table: the process that uses it, whether its
// back end may apply grants late, and whether it is already lost.
func (l *Leases) UpdateNode(node *Node, now time.Duration) {
	tracked := l.bySession[node.Session]
	if tracked == nil {
		return
	}
	tracked.appliesLate = node.AppliesLate
	tracked.controlState = tracked.controlState.WithProcess(node.Process)
	if node.Lost && !tracked.closing {
		// An earlier leader found the lease expired; the time is unknown, so count from now.
		tracked.closing, tracked.expiry = true, now
	}
}

// AcceptsClaim reports whether a claim is from the process that uses the session. It returns true if that
// process is unknown or the session is not tracked.
func (l *Leases) AcceptsClaim(session SessionID, claim quiescence.Claim) bool {
	tracked := l.bySession[session]
	return tracked == nil || tracked.controlState.IsOf(claim)
}

// RecordClaim records the claim about the node's grants in a renewal that was granted.
func (l *Leases) RecordClaim(session SessionID, claim quiescence.Claim, term uint64) {
	if tracked := l.bySession[session]; tracked != nil {
		tracked.controlState = tracked.controlState.WithClaim(claim, term)
	}
}

// heldUntil returns the time until which keys granted under the lease may be held. A grant applied in
// time ends with the lease; one applied late may last longer by the same delay.
func (l *Leases) heldUntil(tracked *lease) time.Duration {
	if !tracked.appliesLate || tracked.controlState.Quiet() {
		return tracked.expiry
	}
	return tracked.expiry + l.timing.Lateness
}

// Forget stops tracking a session that has been closed.
func (l *Leases) Forget(session SessionID) { delete(l.bySession, session) }

// Renew extends the lease of a session whose renewal was received at now. It returns false if the
// session is unknown or closing.
func (l *Leases) Renew(session SessionID, now time.Duration) bool {
	renewed, tracked := l.bySession[session]
	if !tracked || renewed.closing {
		return false
	}
	renewed.expiry = max(renewed.expiry, now+l.timing.ControlLength())
	return true
}

// Expired returns the sessions whose lease has expired and whose grants can no longer hold any keys.
// Sessions whose lease has expired while grants may still be applied are returned by TakeLost
// instead, and by Expired once that has become impossible. Expired marks all of them as closing. A
// session that is still tracked ControlLength later is returned again, as the proposal to end it may
// have been lost.
func (l *Leases) Expired(now time.Duration) []SessionID {
	var expired []SessionID
	for len(l.queue) > 0 && l.queue[0].queuedExpiry <= now {
		first := heap.Pop(&l.queue).(*lease)
		if l.bySession[first.session] != first {
			continue
		}
		if first.expiry > now && !first.closing {
			first.queuedExpiry = first.expiry
			heap.Push(&l.queue, first)
			continue
		}
		first.closing = true
		first.queuedExpiry = now + l.timing.ControlLength()
		if until := l.heldUntil(first); now < until {
			l.lost = append(l.lost, first.session)
			first.queuedExpiry = min(first.queuedExpiry, until)
		} else {
			expired = append(expired, first.session)
		}
		heap.Push(&l.queue, first)
	}
	slices.Sort(expired)
	return expired
}

// TakeLost returns and clears the sessions whose lease Expired has found expired since the last call
// while their grants may still be applied.
func (l *Leases) TakeLost() []SessionID {
	lost := l.lost
	l.lost = nil
	slices.Sort(lost)
	return lost
}

// SinceRenewal returns the time since the newest renewal of a session, and whether the session is tracked.
func (l *Leases) SinceRenewal(session SessionID, now time.Duration) (time.Duration, bool) {
	tracked, found := l.bySession[session]
	if !found {
		return 0, false
	}
	return now - (tracked.expiry - l.timing.ControlLength()), true
}

// All returns the tracked sessions in no particular order.
func (l *Leases) All() iter.Seq[SessionID] { return maps.Keys(l.bySession) }

type leaseQueue []*lease

func (q leaseQueue) Len() int           { return len(q) }
func (q leaseQueue) Less(i, j int) bool { return q[i].queuedExpiry < q[j].queuedExpiry }
func (q leaseQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *leaseQueue) Push(item any) { *q = append(*q, item.(*lease)) }

// Pop implements heap.Interface.
func (q *leaseQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
