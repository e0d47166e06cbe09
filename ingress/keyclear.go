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

// This file has what makes sure of whom a callCarrier tells: the start that listens is cleared before
// it is told anything, and shown a higher fence once the lease is over.

// openedSession is how a session was opened.
type openedSession struct {
	number uint64
	// start was connected to before the session was asked for; zero: none was.
	start uint64
	// fresh is set for a session that began after that, vacate for one that has superseded others.
	fresh, vacate bool
}

// clear has the start that listens let go whatever it holds, and shows it a fence that is above all
// that was ever sent to this address; false when it has to be tried again. It is done once a start
// and session. Its answer is the proof that nothing of earlier sessions is held here: the start that
// listens says so, and those before it have ended.
func (c *callCarrier) clear(ctx context.Context) bool {
	h := c.holder
	c.calling.Lock()
	defer c.calling.Unlock()
	session := c.toClear()
	if session == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	start, err := c.client.Connect(ctx)
	if err != nil {
		c.notCleared("connect to the instance", session, err)
		return false
	}
	another := start != c.start
	c.start = start
	fence, known := c.clearingFence(session)
	if !known {
		return true
	}
	h.with(func(l *ledger.Ledger) { l.Clearing(fence) })
	if c.token, err = c.client.Clear(ctx, start, limehold.KeyRange{Last: ownership.NumberSpace - 1, Fence: fence}); err != nil {
		c.notCleared("clear the instance", session, err)
		return false
	}
	c.toldAt = 0
	c.inFlight.fenced()
	cleared := false
	h.with(func(l *ledger.Ledger) {
		if cleared = l.Session() == session; cleared {
			l.Cleared(fence)
		}
	})
	if !cleared {
		// Another session has begun meanwhile.
		return false
	}
	// What the session is given from now on may have been told when this start is cleared again.
	c.session.fresh = false
	c.clears.WithLabelValues(strconv.FormatBool(another)).Inc()
	c.logger.Info("instance_cleared", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.Uint64("start", start), zap.Bool("another_start", another))
	c.holder.tellVacated(membership.SessionID(session))
	return true
}

// toClear is the session under which the start that listens has to be cleared; zero: none.
func (c *callCarrier) toClear() uint64 {
	var session uint64
	c.holder.with(func(l *ledger.Ledger) {
		vacate := c.session.vacate && c.session.number == l.Session()
		if !l.IsCleared() && l.HoldFor(c.now()) > 0 && (l.Owes() || vacate) {
			session = l.Session()
		}
	})
	return session
}

// clearingFence is the fence under which the start that is connected to is cleared: the session's
// number, if the session began after that connection was made, else the next one after all that was
// ever listed, as a start before or an earlier process may have been told it. Not known: what a session
// owns that goes on is known with its list only.
func (c *callCarrier) clearingFence(session uint64) (fence uint64, known bool) {
	if c.session.number == session && c.session.fresh && c.session.start == c.start {
		return session, true
	}
	c.holder.with(func(l *ledger.Ledger) { fence, known = l.ClearingFence() })
	return fence, known
}

// opening connects to whoever listens, before a session is asked for.
func (c *callCarrier) opening(ctx context.Context) {
	c.calling.Lock()
	defer c.calling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	start, err := c.client.Connect(ctx)
	if err != nil {
		// The session is opened all the same; its keys then get another fence first.
		c.logger.Info("instance_not_connected", logging.Step("connect before a session", "instance", err)...)
		start = 0
	}
	c.session = openedSession{start: start}
}

// opened takes the session that was opened after opening.
func (c *callCarrier) opened(session uint64, fresh, superseded bool) {
	c.calling.Lock()
	c.session = openedSession{number: session, start: c.session.start, fresh: fresh, vacate: superseded}
	c.calling.Unlock()
	c.Changed()
}

func (c *callCarrier) notCleared(step string, session uint64, err error) {
	c.logger.Warn("instance_not_cleared", append(logging.Step(step, "instance", err), zap.Uint64("session", session))...)
}

// fenceOff shows whoever listens a fence above all that was sent here, once the lease is over: a
// grant that got no answer may be carried out seconds later, when control has given its keys to
// another node. It returns when to try again; an instance that does not answer is asked for
// limehold.GrantLateness.
func (c *callCarrier) fenceOff(ctx context.Context) time.Duration {
	c.calling.Lock()
	defer c.calling.Unlock()
	now := c.now()
	if c.toldAt == 0 || now > c.toldAt+limehold.GrantLateness {
		c.toldAt = 0
		return time.Hour
	}
	var session, fence uint64
	c.holder.with(func(l *ledger.Ledger) {
		session = l.Session()
		fence, _ = l.ClearingFence()
		l.Clearing(fence)
	})
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	if _, err := c.client.Release(ctx, limehold.KeyRange{Last: ownership.NumberSpace - 1, Fence: fence}); err != nil {
		c.notCleared("fence the instance off", session, err)
		return grantRetry
	}
	c.toldAt = 0
	c.inFlight.fenced()
	c.holder.with(func(l *ledger.Ledger) {
		if l.IsCleared() && l.Session() == session {
			l.Cleared(fence)
		}
	})
	c.logger.Info("instance_fenced_off", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.String("cause", "the lease is over"))
	return time.Hour
}

// endSession implements keyHolder.endSession. No grant is on its way meanwhile.
func (c *callCarrier) endSession(before toldTo) bool {
	c.calling.Lock()
	defer c.calling.Unlock()
	if c.client.Start() != before.start {
		return false
	}
	c.holder.with(func(l *ledger.Ledger) { l.EndSession(before.session) })
	return true
}

// nextDue is how long it takes until the next grant is due.
func (c *callCarrier) nextDue() time.Duration {
	wait, now := time.Hour, c.now()
	for _, run := range c.runs() {
		wait = min(wait, max(0, run.Due-now))
	}
	return wait
}
