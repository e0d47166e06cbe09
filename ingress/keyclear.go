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
func (c *callNotifier) clear(ctx context.Context) bool {
	h := c.holder
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	session := c.sessionToClear()
	if session == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	incarnation, err := c.client.Connect(ctx)
	if err != nil {
		c.logNotCleared("connect to the instance", session, err)
		return false
	}
	isAnother := incarnation != c.incarnation
	c.incarnation = incarnation
	fence, known := c.clearingFence(session)
	if !known {
		return true
	}
	h.withLedger(func(l *ledger.Ledger) { l.BeginClearing(fence) })
	if c.token, err = c.client.ReleaseAt(ctx, incarnation, limehold.KeyRange{Last: ownership.NumberSpace - 1, Fence: fence}); err != nil {
		c.logNotCleared("clear the instance", session, err)
		return false
	}
	c.unfencedGrantAt = 0
	c.inFlight.recordFenced()
	cleared := false
	h.withLedger(func(l *ledger.Ledger) {
		if cleared = l.Session() == session; cleared {
			l.EndClearing(fence)
		}
	})
	if !cleared {
		// Another session has begun meanwhile.
		return false
	}
	// When this incarnation is cleared again, keys of the session may already have been granted to it.
	c.session.created = false
	c.clears.WithLabelValues(strconv.FormatBool(isAnother)).Inc()
	c.logger.Info("instance_cleared", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.Uint64("start", incarnation), zap.Bool("another_start", isAnother))
	c.holder.reportProvenRelease(membership.SessionID(session))
	return true
}

// sessionToClear returns the session under which the incarnation that listens has to be cleared; 0 if none.
func (c *callNotifier) sessionToClear() uint64 {
	var session uint64
	c.holder.withLedger(func(l *ledger.Ledger) {
		superseded := c.session.superseded && c.session.number == l.Session()
		if !l.IsCleared() && l.HoldFor(c.now()) > 0 && (l.HasGrants() || superseded) {
			session = l.Session()
		}
	})
	return session
}

// clearingFence returns the fence under which the connected incarnation is cleared. It is the
// session's number if the session began after that connection was made. Otherwise it is one above all
// fences that were ever listed, as an earlier incarnation or an earlier process may have been granted
// keys under those. The fence is not known until the list of a continued session is.
func (c *callNotifier) clearingFence(session uint64) (fence uint64, known bool) {
	if c.session.number == session && c.session.created && c.session.incarnation == c.incarnation {
		return session, true
	}
	c.holder.withLedger(func(l *ledger.Ledger) { fence, known = l.ClearingFence() })
	return fence, known
}

// connectForSession connects to the instance before a session is requested.
func (c *callNotifier) connectForSession(ctx context.Context) {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	incarnation, err := c.client.Connect(ctx)
	if err != nil {
		// The session is opened nevertheless; its keys then first get another fence.
		c.logger.Info("instance_not_connected", logging.ErrorFields("connect before opening a session", "instance", err)...)
		incarnation = 0
	}
	c.session = openedSession{incarnation: incarnation}
}

// sessionOpened records the session that was opened after connectForSession.
func (c *callNotifier) sessionOpened(session uint64, created, superseded bool) {
	c.callMutex.Lock()
	c.session = openedSession{number: session, incarnation: c.session.incarnation, created: created, superseded: superseded}
	c.callMutex.Unlock()
	c.NotifyChanged()
}

func (c *callNotifier) logNotCleared(step string, session uint64, err error) {
	c.logger.Warn("instance_not_cleared", append(logging.ErrorFields(step, "instance", err), zap.Uint64("session", session))...)
}

// fenceAfterLease sends the instance, after the lease has expired, a fence above all that were sent here:
// the instance may apply an unanswered grant seconds later, when control has assigned its keys to
// another node. If the instance does not answer, it is tried again until limehold.MaxGrantDelay after
// that grant. fenceAfterLease returns the time until the next try.
func (c *callNotifier) fenceAfterLease(ctx context.Context) time.Duration {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	now := c.now()
	if c.unfencedGrantAt == 0 || now > c.unfencedGrantAt+limehold.MaxGrantDelay {
		c.unfencedGrantAt = 0
		return time.Hour
	}
	var session, fence uint64
	c.holder.withLedger(func(l *ledger.Ledger) {
		session = l.Session()
		fence, _ = l.ClearingFence()
		l.BeginClearing(fence)
	})
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	if _, err := c.client.Release(ctx, limehold.KeyRange{Last: ownership.NumberSpace - 1, Fence: fence}); err != nil {
		c.logNotCleared("fence off the instance", session, err)
		return grantRetry
	}
	c.unfencedGrantAt = 0
	c.inFlight.recordFenced()
	c.holder.withLedger(func(l *ledger.Ledger) {
		if l.IsCleared() && l.Session() == session {
			l.EndClearing(fence)
		}
	})
	c.logger.Info("instance_fenced_off", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.String("cause", "the lease has expired"))
	return time.Hour
}

// endSession implements keyHolder.endSession. No grant is in flight meanwhile.
func (c *callNotifier) endSession(before grantRecipient) bool {
	c.callMutex.Lock()
	defer c.callMutex.Unlock()
	if c.client.Incarnation() != before.incarnation {
		return false
	}
	c.holder.withLedger(func(l *ledger.Ledger) { l.EndSession(before.session) })
	return true
}

// untilNextDue returns the time until the next grant is due.
func (c *callNotifier) untilNextDue() time.Duration {
	wait, now := time.Hour, c.now()
	for _, run := range c.runs() {
		wait = min(wait, max(0, run.Due-now))
	}
	return wait
}
