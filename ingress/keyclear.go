package ingress

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/ledger"
	"limehold/logging"
	"limehold/membership"
	"limehold/ownership"
)

// This file ensures that a callNotifier grants keys to the right incarnation: the incarnation that
// listens is cleared before it is granted any, and sent a higher fence once the lease has expired.

// openedSession records how a session was opened.
type openedSession struct {
	number uint64
	// incarnation is the incarnation connected to before the session was requested; 0 if none was.
	incarnation uint64
	// created is set if control created the session after that connection was made, superseded if the
	// session superseded others.
	created, superseded bool
}

// clear makes the incarnation that listens release all its keys, and sends it a fence above those of all
// grants that were ever sent to this address. It does nothing if the incarnation was cleared under the
// session already, and does not clear before the list of a continued session is known. It reports false if
// it has to be retried. The answer proves that nothing of earlier sessions is held here: the incarnation
// that listens confirms that, and those before it have ended.
func (n *callNotifier) clear(ctx context.Context) bool {
	h := n.holder
	n.callMutex.Lock()
	defer n.callMutex.Unlock()
	session := n.sessionToClear()
	if session == 0 {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	ctx, cancel := h.calls.context(clearTimeout)
	defer cancel()
	incarnation, err := n.client.Connect(ctx)
	if err != nil {
		n.logNotCleared("connect to the instance", session, err)
		return false
	}
	isAnother := incarnation != n.incarnation
	n.incarnation = incarnation
	fence, known := n.clearingFence(session)
	if !known {
		return true
	}
	h.withLedger(func(l *ledger.Ledger) { l.BeginClearing(fence) })
	if n.token, err = n.client.ReleaseAt(ctx, incarnation, limehold.KeyRange{Last: ownership.NumberSpace - 1, Fence: fence}); err != nil {
		n.logNotCleared("clear the instance", session, err)
		return false
	}
	n.unfencedGrantAt = 0
	n.inFlight.recordFenced()
	cleared := false
	h.withLedger(func(l *ledger.Ledger) {
		if cleared = l.Session() == session; cleared {
			l.EndClearing(fence)
		}
	})
	if !cleared {
		// Another session has begun since.
		return false
	}
	// When this incarnation is cleared again, keys of the session may already have been granted to it.
	n.session.created = false
	n.clears.WithLabelValues(strconv.FormatBool(isAnother)).Inc()
	n.logger.Info("instance_cleared", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.Uint64("start", incarnation), zap.Bool("another_start", isAnother))
	n.holder.reportProvenRelease(membership.SessionID(session))
	return true
}

// sessionToClear returns the session under which the incarnation that listens has to be cleared; 0 if none.
func (n *callNotifier) sessionToClear() uint64 {
	var session uint64
	n.holder.withLedger(func(l *ledger.Ledger) {
		superseded := n.session.superseded && n.session.number == l.Session()
		if !l.IsCleared() && l.HoldFor(n.now()) > 0 && (l.HasGrants() || superseded) {
			session = l.Session()
		}
	})
	return session
}

// clearingFence returns the fence under which the connected incarnation is cleared. It is the
// session's number if the session began after that connection was made. Otherwise it is one above all
// fences that were ever listed, as an earlier incarnation or an earlier process may have been granted
// keys under those. The fence is not known until the list of a continued session is.
func (n *callNotifier) clearingFence(session uint64) (fence uint64, known bool) {
	if n.session.number == session && n.session.created && n.session.incarnation == n.incarnation {
		return session, true
	}
	n.holder.withLedger(func(l *ledger.Ledger) { fence, known = l.ClearingFence() })
	return fence, known
}

// connectForSession connects to the instance before a session is requested.
func (n *callNotifier) connectForSession(ctx context.Context) {
	n.callMutex.Lock()
	defer n.callMutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	incarnation, err := n.client.Connect(ctx)
	if err != nil {
		// The session is opened nevertheless; its keys first have to get a higher fence.
		n.logger.Info("instance_not_connected", logging.ErrorFields("connect before opening a session", "instance", err)...)
		incarnation = 0
	}
	n.session = openedSession{incarnation: incarnation}
}

// sessionOpened records the session that was opened after connectForSession.
func (n *callNotifier) sessionOpened(session uint64, created, superseded bool) {
	n.callMutex.Lock()
	n.session = openedSession{number: session, incarnation: n.session.incarnation, created: created, superseded: superseded}
	n.callMutex.Unlock()
	n.NotifyChanged()
}

func (n *callNotifier) logNotCleared(step string, session uint64, err error) {
	n.logger.Warn("instance_not_cleared", append(logging.ErrorFields(step, "instance", err), zap.Uint64("session", session))...)
}

// fenceAfterLease sends the instance, after the lease has expired, a fence above all that were sent here:
// the instance may apply an unanswered grant seconds later, when control has assigned its keys to
// another node. If the instance does not answer, it is tried again until the grant cannot be applied
// any more. fenceAfterLease returns the time until the next try.
func (n *callNotifier) fenceAfterLease(ctx context.Context) time.Duration {
	n.callMutex.Lock()
	defer n.callMutex.Unlock()
	now := n.now()
	if n.unfencedGrantAt == 0 || now > n.unfencedGrantAt+n.holder.maxGrantDelay {
		n.unfencedGrantAt = 0
		return time.Hour
	}
	if ctx.Err() != nil {
		return time.Hour
	}
	var session, fence uint64
	n.holder.withLedger(func(l *ledger.Ledger) {
		session = l.Session()
		fence, _ = l.ClearingFence()
		l.BeginClearing(fence)
	})
	ctx, cancel := n.holder.calls.context(clearTimeout)
	defer cancel()
	if _, err := n.client.Release(ctx, limehold.KeyRange{Last: ownership.NumberSpace - 1, Fence: fence}); err != nil {
		n.logNotCleared("fence off the instance", session, err)
		return grantRetry
	}
	n.unfencedGrantAt = 0
	n.inFlight.recordFenced()
	n.holder.withLedger(func(l *ledger.Ledger) {
		if l.IsCleared() && l.Session() == session {
			l.EndClearing(fence)
		}
	})
	n.logger.Info("instance_fenced_off", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.String("cause", "the lease has expired"))
	return time.Hour
}

// endSession implements keyHolder.endSession. It holds callMutex, so that no grant is in flight.
func (n *callNotifier) endSession(before grantRecipient) bool {
	n.callMutex.Lock()
	defer n.callMutex.Unlock()
	if n.client.Incarnation() != before.incarnation {
		return false
	}
	n.holder.withLedger(func(l *ledger.Ledger) { l.EndSession(before.session) })
	return true
}

// untilNextDue returns the time until the next grant is due.
func (n *callNotifier) untilNextDue() time.Duration {
	wait, now := time.Hour, n.now()
	for _, run := range n.runs() {
		wait = min(wait, max(0, run.Due-now))
	}
	return wait
}
