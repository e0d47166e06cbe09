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

// LeaseTiming holds the lengths that control and nodes agree on.
type LeaseTiming struct {
	// Length is how long a node may act after it sent a renewal.
	Length time.Duration
	// DriftPermille bounds the relative rate error between two machines' clocks.
	DriftPermille int
	// Lateness is how late a back end may carry out a grant, for nodes that say that theirs may.
	Lateness time.Duration
}

// ControlLength is how long control waits after it received a renewal before it
// treats the lease as over: longer than any node can believe in it.
func (t LeaseTiming) ControlLength() time.Duration {
	return t.Length * time.Duration(permille+t.DriftPermille) / permille
}

// Leases is the leader's own, volatile knowledge of renewals. A new leader
// starts with every open session renewed at the moment it became leader, which
// is later than any renewal that an earlier leader can have acknowledged.
//
// Invariant: for each session, expiry >= the end of the lease in the node's
// belief, both taken on a common clock. Proof in docs/design/0002-ownership.md.
type Leases struct {
	timing   LeaseTiming
	renewals map[SessionID]*lease
	queue    leaseQueue
	// lost are the sessions of which Expired has found that their end has to be waited for.
	lost []SessionID
}

type lease struct {
	session SessionID
	expiry  time.Duration
	// queuedExpiry is the expiry under which the lease stands in the queue; it
	// may lag, which spares the queue one operation a renewal.
	queuedExpiry time.Duration
	// closing is set once an end of the session has been proposed: from then
	// on renewals are refused, whatever becomes of the proposal in this term.
	closing bool
	// takesLate is as in Node; belief is whether a grant may still be carried out.
	takesLate bool
	belief    quiescence.Belief
}

// NewLeases begins the knowledge of a leader elected at now.
func NewLeases(timing LeaseTiming, sessions []SessionID, now time.Duration) *Leases {
	leases := &Leases{timing: timing, renewals: make(map[SessionID]*lease, len(sessions))}
	for _, session := range sessions {
		leases.Track(session, now)
	}
	return leases
}

// Track adds a session that was opened or found open at now.
func (l *Leases) Track(session SessionID, now time.Duration) {
	if _, known := l.renewals[session]; known {
		return
	}
	expiry := now + l.timing.ControlLength()
	added := &lease{session: session, expiry: expiry, queuedExpiry: expiry}
	l.renewals[session] = added
	heap.Push(&l.queue, added)
}

// Describe takes what the replicated table says of a tracked session: which process has it, whether
// grants are carried out late by its back end, and whether it is lost already.
func (l *Leases) Describe(node *Node, now time.Duration) {
	known := l.renewals[node.Session]
	if known == nil {
		return
	}
	known.takesLate = node.TakesLate
	known.belief = known.belief.WithProcess(node.Process)
	if node.Lost && !known.closing {
		// An earlier leader found its lease over; how long ago is not known.
		known.closing, known.expiry = true, now
	}
}

// Speaks reports whether a claim is of the process that has the session, as far as is known.
func (l *Leases) Speaks(session SessionID, claim quiescence.Claim) bool {
	known := l.renewals[session]
	return known == nil || known.belief.IsOf(claim)
}

// Claim takes what a renewal that was granted says of the grants of its node.
func (l *Leases) Claim(session SessionID, claim quiescence.Claim, term uint64) {
	if known := l.renewals[session]; known != nil {
		known.belief = known.belief.WithClaim(claim, term)
	}
}

// heldUntil is until when a grant that was sent under a lease may be carried out and hold. It is told
// for no longer than the lease runs, from the moment at which it is carried out in time; late, for
// that much longer.
func (l *Leases) heldUntil(known *lease) time.Duration {
	if !known.takesLate || known.belief.Quiet() {
		return known.expiry
	}
	return known.expiry + l.timing.Lateness
}

// Forget drops a session that has been closed.
func (l *Leases) Forget(session SessionID) { delete(l.renewals, session) }

// Renew extends the lease of a session whose renewal was received at now. It
// returns false when the session is unknown or is being closed.
func (l *Leases) Renew(session SessionID, now time.Duration) bool {
	renewed, known := l.renewals[session]
	if !known || renewed.closing {
		return false
	}
	renewed.expiry = max(renewed.expiry, now+l.timing.ControlLength())
	return true
}

// Expired returns the sessions whose lease has run out and of which nothing can be held any more, and
// marks them as closing. A session that is still tracked a lease later is returned again: the
// proposal to end it may have been lost. Those whose lease has run out while a grant may still be
// carried out are left for TakeLost, and returned once it cannot.
func (l *Leases) Expired(now time.Duration) []SessionID {
	var expired []SessionID
	for len(l.queue) > 0 && l.queue[0].queuedExpiry <= now {
		first := heap.Pop(&l.queue).(*lease)
		if l.renewals[first.session] != first {
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

// TakeLost returns, once each time that Expired has found them, the sessions whose lease has run out
// while a grant that was sent under it may still be carried out.
func (l *Leases) TakeLost() []SessionID {
	lost := l.lost
	l.lost = nil
	slices.Sort(lost)
	return lost
}

// Silence tells how long ago the newest renewal of a session was received.
func (l *Leases) Silence(session SessionID, now time.Duration) (time.Duration, bool) {
	known, found := l.renewals[session]
	if !found {
		return 0, false
	}
	return now - (known.expiry - l.timing.ControlLength()), true
}

// All iterates over the tracked sessions, in no order.
func (l *Leases) All() iter.Seq[SessionID] { return maps.Keys(l.renewals) }

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
