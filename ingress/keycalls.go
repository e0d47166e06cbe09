package ingress

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/ledger"
	"limehold/logging"
	"limehold/metrics"
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
	start    uint64
	wake     chan struct{}
	inFlight *grantsInFlight
	// toldAt is when a grant was sent last that no fence was shown after; zero: none. Guarded by calling.
	toldAt time.Duration
	// token is what the start gave when it was cleared last; guarded by calling.
	token string
	// session is what is known of how the newest one was opened; guarded by calling.
	session openedSession
	clears  *prometheus.CounterVec
}

const (
	permille = 1000
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
)

func newCallCarrier(holder *keyHolder, client limehold.KeyClient, registry *metrics.Registry) *callCarrier {
	return &callCarrier{
		holder: holder, client: client, logger: holder.logger, now: clock.Now, wake: make(chan struct{}, 1),
		inFlight: newGrantsInFlight(clock.Now(), holder.longest),
		clears:   registry.CounterVec("ingress", "starts_cleared_total", "Clearings of the instance that listens, by whether another start may have listened before.", "another"),
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
	if !c.inFlight.mayBegin() {
		if len(runs) > 0 && runs[0].Due <= c.now() {
			c.inFlight.ask()
			return min(next, grantRetry)
		}
		return min(next, c.nextDue())
	}
	early := c.early(c.now())
	for _, run := range runs {
		if run.Due > c.now()+early {
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
	c.settle()
	return min(next, c.nextDue())
}

func (c *callCarrier) leaseLeft() time.Duration {
	var left time.Duration
	c.holder.with(func(l *ledger.Ledger) { left = l.LeaseLeft(c.now()) })
	return left
}

// holdFor is for how long a grant that is sent at now may be told: its time counts from its
// arrival, which is grantTimeout later at the most.
func (c *callCarrier) holdFor(now time.Duration) time.Duration {
	var hold time.Duration
	c.holder.with(func(l *ledger.Ledger) { hold = l.HoldFor(now + grantTimeout) })
	return hold
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
		if wanted = hold >= ledger.ShortestHold && l.Wanted(run) && c.inFlight.begin(); wanted {
			l.Sending(run, lateUntil(now, hold))
		}
	})
	if !wanted {
		c.calling.Unlock()
		return true
	}
	c.toldAt = now
	err := c.client.Grant(callContext, c.start, run.Range, hold, run.Token)
	answered := c.now()
	c.calling.Unlock()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	fields := []zap.Field{zap.Uint32("first", run.Range.First), zap.Uint32("last", run.Range.Last), zap.Uint64("fence", run.Range.Fence)}
	if err == nil {
		c.inFlight.end()
		h.ledger.Answered(run, answered+ledger.Longest(hold))
		if h.ledger.Confirmed(run, now+hold, now+hold/renewalsAHold) {
			c.logger.Info("keys_granted", append(fields, zap.Duration("hold", hold))...)
		}
		return true
	}
	if errors.Is(err, limehold.ErrAnotherStart) {
		c.inFlight.end()
		h.ledger.Answered(run, 0)
		h.ledger.Uncleared()
		c.logger.Info("instance_connections_lost", append(fields, zap.Uint64("start", c.client.Start()))...)
		return false
	}
	fenced := errors.Is(err, limehold.ErrFenced)
	c.logger.Warn("keys_not_granted", append(append(logging.Step("grant keys", "instance", err), fields...), zap.Bool("fenced", fenced))...)
	if !fenced {
		c.noteLeft(now, hold, fields)
	} else {
		c.inFlight.end()
		h.ledger.Answered(run, 0)
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
