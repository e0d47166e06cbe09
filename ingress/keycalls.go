package ingress

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/ledger"
	"limehold/logging"
	"limehold/membership"
	"limehold/metrics"
	"limehold/ownership"
)

// callCarrier brings keys to the instance by calls: each run of neighbouring shards is
// granted, and granted again before its time is over, by a call of its own.
//
// Invariants:
//   - A release shows the instance a higher fence than its grants had. A grant
//     that got no answer, and is carried out seconds later, is refused by it.
//   - A grant goes over a connection to the start that was cleared, under a fence that control gave
//     after that connection was made. Whoever listens at the address next gets none of it: two
//     starts never hold keys under one fence, and what a session owned is nobody's once the start
//     was cleared under the next session.
type callCarrier struct {
	holder *keyHolder
	client limehold.KeyClient
	logger *zap.Logger
	now    func() time.Duration
	// calling is held while a grant is under way: a release is sent after it.
	calling sync.Mutex
	// start is the one that was connected to last; guarded by calling.
	start uint64
	wake  chan struct{}
	// vacated brings sessions under which the start was cleared.
	vacated chan membership.SessionID
	// toldAt is when a grant was sent last that no fence was shown after; zero: none. Guarded by calling.
	toldAt time.Duration
	// token is what the start gave when it was cleared last; guarded by calling.
	token string
	// session is what is known of how the newest one was opened; guarded by calling.
	session openedSession
	clears  *prometheus.CounterVec
}

const (
	// instanceDrift is the error of an instance's clock, in thousandths.
	instanceDrift = 20
	permille      = 1000
	// grantTimeout bounds one grant's way: an instance that is well answers in milliseconds, and
	// one that is not may take it later; it counts as given until then.
	grantTimeout = 700 * time.Millisecond
	// releasePoll is how long a question whether keys are free may wait at the instance.
	releasePoll = 5 * time.Second
	// grantRetry is the pause after a grant that failed.
	grantRetry = 100 * time.Millisecond
	// renewalsAHold is how many renewals fit into a grant's time: two may be lost.
	renewalsAHold = 3
	// clearTimeout bounds one call that clears a start, which ends what it runs on its keys first and is
	// made again. Nothing is granted meanwhile: with 5 s, a day on which two orders in five stay without
	// an answer was worth 0.350, with 1.5 s 0.387 (one play each).
	clearTimeout = 1500 * time.Millisecond
	// lateOrders is longer than an order that got no answer is carried out late, some seconds.
	lateOrders = 15 * time.Second
)

// openedSession is how a session was opened.
type openedSession struct {
	number uint64
	// start was connected to before the session was asked for; zero: none was.
	start uint64
	// fresh is set for a session that began after that, vacate for one that has superseded others.
	fresh, vacate bool
}

func newCallCarrier(holder *keyHolder, client limehold.KeyClient, registry *metrics.Registry) *callCarrier {
	return &callCarrier{
		holder: holder, client: client, logger: holder.logger, now: clock.Now, wake: make(chan struct{}, 1), vacated: make(chan membership.SessionID, 1),
		clears: registry.CounterVec("ingress", "starts_cleared_total", "Clearings of the instance that listens, by whether another start may have listened before.", "another"),
	}
}

// Changed implements limehold.KeyCarrier.
func (c *callCarrier) Changed() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run implements limehold.KeyCarrier.
func (c *callCarrier) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// A machine that wakes up renews at once what is due by then.
		timer := clock.NewTimer(c.renewDue(ctx))
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *callCarrier) runs() []ledger.Run {
	c.holder.mutex.Lock()
	defer c.holder.mutex.Unlock()
	return c.holder.ledger.Runs()
}

// renewDue sends every grant that is due, and returns when the next one is.
func (c *callCarrier) renewDue(ctx context.Context) time.Duration {
	if left := c.leaseLeft(); left <= 0 {
		return c.fenceOff(ctx)
	}
	if !c.clear(ctx) {
		return grantRetry
	}
	next := max(c.leaseLeft(), 0)
	if c.handBack() {
		next = min(next, grantRetry)
	}
	runs := c.runs()
	slices.SortStableFunc(runs, func(a, b ledger.Run) int { return cmp.Compare(a.Due, b.Due) })
	for _, run := range runs {
		if run.Due > c.now() {
			break
		}
		if hold := c.holdFor(c.now()); hold < ledger.ShortestHold {
			// Nothing is worth telling any more; the next renewal wakes this loop, or the lease's end.
			return next
		}
		if !c.grant(ctx, run) {
			return grantRetry
		}
	}
	return min(next, c.nextDue())
}

func (c *callCarrier) leaseLeft() time.Duration {
	var left time.Duration
	c.holder.with(func(l *ledger.Ledger) { left = l.LeaseLeft(c.now()) })
	return left
}

// fenceOff shows whoever listens a fence above all that was sent here, once the lease is over: a
// grant that got no answer may be carried out seconds later, when control has given its keys to
// another node. It returns when to try again; an instance that does not answer is asked for
// lateOrders.
func (c *callCarrier) fenceOff(ctx context.Context) time.Duration {
	c.calling.Lock()
	defer c.calling.Unlock()
	now := c.now()
	if c.toldAt == 0 || now > c.toldAt+lateOrders {
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
	c.holder.with(func(l *ledger.Ledger) {
		if l.IsCleared() && l.Session() == session {
			l.Cleared(fence)
		}
	})
	c.logger.Info("instance_fenced_off", zap.Uint64("session", session), zap.Uint64("fence", fence), zap.String("cause", "the lease is over"))
	return time.Hour
}

// holdFor is for how long a grant that is sent at now may be told: its time counts from its
// arrival, which is grantTimeout later at the most.
func (c *callCarrier) holdFor(now time.Duration) time.Duration {
	var hold time.Duration
	c.holder.with(func(l *ledger.Ledger) { hold = l.HoldFor(now + grantTimeout) })
	return hold
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
	c.tellVacated(membership.SessionID(session))
	return true
}

// tellVacated says under which session the start was cleared last.
func (c *callCarrier) tellVacated(session membership.SessionID) {
	select {
	case <-c.vacated:
	default:
	}
	c.vacated <- session
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
// number, if the session began after that connection was made, else the highest of what the session
// owns, as a start before or an earlier process may have been told it. Not known: what a session owns
// that did not begin now is known with its list only.
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

// handBack offers control the shards whose fence has to rise; false: there are none.
func (c *callCarrier) handBack() bool {
	var refused []ledger.Grant
	c.holder.with(func(l *ledger.Ledger) {
		if l.MayTell() {
			refused = l.RefusedGrants()
		}
	})
	if len(refused) == 0 {
		return false
	}
	c.calling.Lock()
	defer c.calling.Unlock()
	c.holder.handBack(refused, c.token)
	return true
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

// grant sends one grant; false when it should be tried again after a pause.
func (c *callCarrier) grant(ctx context.Context, run ledger.Run) bool {
	h := c.holder
	callContext, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	c.calling.Lock()
	// What is held is counted from here: the lock may have been waited for, the machine suspended.
	now := c.now()
	hold := c.holdFor(now)
	wanted := false
	h.with(func(l *ledger.Ledger) {
		if wanted = hold >= ledger.ShortestHold && l.Wanted(run); wanted {
			l.Sending(run, now+grantTimeout+hold*(permille+instanceDrift)/permille)
		}
	})
	if !wanted {
		c.calling.Unlock()
		return true
	}
	c.toldAt = now
	err := c.client.Grant(callContext, c.start, run.Range, hold, run.Token)
	c.calling.Unlock()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	fields := []zap.Field{zap.Uint32("first", run.Range.First), zap.Uint32("last", run.Range.Last), zap.Uint64("fence", run.Range.Fence)}
	if err == nil {
		if h.ledger.Confirmed(run, now+hold, now+hold/renewalsAHold) {
			c.logger.Info("keys_granted", append(fields, zap.Duration("hold", hold))...)
		}
		return true
	}
	if errors.Is(err, limehold.ErrAnotherStart) {
		h.ledger.Uncleared()
		c.logger.Info("instance_connections_lost", append(fields, zap.Uint64("start", c.client.Start()))...)
		return false
	}
	fenced := errors.Is(err, limehold.ErrFenced)
	c.logger.Warn("keys_not_granted", append(append(logging.Step("grant keys", "instance", err), fields...), zap.Bool("fenced", fenced))...)
	if fenced {
		// It may hold the rest of the run all the same: it lets go before control is told.
		h.ledger.Uncleared()
	}
	return false
}

// LetGo implements limehold.KeyCarrier.
func (c *callCarrier) LetGo(ranges []limehold.KeyRange) ([]limehold.ReleasedRange, error) {
	var released []limehold.ReleasedRange
	var last error
	for len(ranges) > 0 {
		count, joined := neighbours(ranges)
		token, err := c.releaseRange(joined, ranges[:count])
		if err != nil {
			last = err
		} else {
			for _, ranged := range ranges[:count] {
				released = append(released, limehold.ReleasedRange{KeyRange: ranged, Token: token})
			}
		}
		ranges = ranges[count:]
	}
	return released, last
}

// Dropped implements limehold.KeyCarrier: it shows the instance a higher fence, without
// waiting for anything: a grant may still be on its way to it.
func (c *callCarrier) Dropped(ranges []limehold.KeyRange) {
	go func() {
		for len(ranges) > 0 {
			count, joined := neighbours(ranges)
			if _, err := c.releaseRange(joined, ranges[:count]); err != nil {
				c.logger.Info("keys_not_fenced_off", append(logging.Step("release keys", "instance", err), zap.Uint32("first", joined.First), zap.Uint32("last", joined.Last))...)
			}
			ranges = ranges[count:]
		}
	}()
}

// neighbours is how many of the first ranges one call releases, and the range that they
// are together.
func neighbours(ranges []limehold.KeyRange) (int, limehold.KeyRange) {
	joined := ranges[0]
	count := 1
	for count < len(ranges) && ranges[count].First == joined.Last+1 && ranges[count].Fence == joined.Fence {
		joined = joined.WithLast(ranges[count].Last)
		count++
	}
	return count, joined
}

func (c *callCarrier) releaseRange(joined limehold.KeyRange, ranges []limehold.KeyRange) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), releasePoll)
	defer cancel()
	// Grants of these shards are not sent any more; one that is under way ends first.
	c.awaitCall()
	token, err := c.client.Release(ctx, joined.WithFence(joined.Fence+1))
	h := c.holder
	h.mutex.Lock()
	defer h.mutex.Unlock()
	grants := h.ledger.GrantsOf(ranges)
	if err == nil {
		h.ledger.Forget(grants)
		return token, nil
	}
	if h.ledger.Possible(grants) <= c.now() {
		h.ledger.Forget(grants)
		return "", nil
	}
	return "", err
}

// awaitCall returns once no grant is under way that began before.
func (c *callCarrier) awaitCall() {
	c.calling.Lock()
	defer c.calling.Unlock()
}
