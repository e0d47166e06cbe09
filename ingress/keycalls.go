package ingress

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/ledger"
	"limehold/logging"
)

// callCarrier brings keys to the instance by calls: each run of neighbouring shards is
// granted, and granted again before its time is over, by a call of its own.
//
// Invariant: a release shows the instance a higher fence than its grants had. A grant
// that got no answer, and is carried out seconds later, is refused by it.
type callCarrier struct {
	holder *keyHolder
	client limehold.KeyClient
	logger *zap.Logger
	now    func() time.Duration
	// calling is held while a grant is under way: a release is sent after it.
	calling sync.Mutex
	wake    chan struct{}
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
)

func newCallCarrier(holder *keyHolder, client limehold.KeyClient) *callCarrier {
	return &callCarrier{holder: holder, client: client, logger: holder.logger, now: clock.Now, wake: make(chan struct{}, 1)}
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
	runs := c.runs()
	slices.SortStableFunc(runs, func(a, b ledger.Run) int { return cmp.Compare(a.Due, b.Due) })
	for _, run := range runs {
		now := c.now()
		if run.Due > now {
			break
		}
		var hold time.Duration
		c.holder.with(func(l *ledger.Ledger) { hold = l.HoldFor(now) })
		if hold < ledger.ShortestHold {
			// Without a lease there is nothing to give; the next renewal wakes this loop.
			return time.Hour
		}
		if !c.grant(ctx, run, hold, now) {
			return grantRetry
		}
	}
	return c.nextDue()
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
func (c *callCarrier) grant(ctx context.Context, run ledger.Run, hold, now time.Duration) bool {
	h := c.holder
	h.with(func(l *ledger.Ledger) { l.Sending(run, now+grantTimeout+hold*(permille+instanceDrift)/permille) })
	callContext, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	c.calling.Lock()
	var wanted bool
	h.with(func(l *ledger.Ledger) { wanted = l.Wanted(run) })
	if !wanted {
		c.calling.Unlock()
		return true
	}
	err := c.client.Grant(callContext, run.Range, hold, run.Token)
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
	fenced := errors.Is(err, limehold.ErrFenced)
	c.logger.Warn("keys_not_granted", append(append(logging.Step("grant keys", "instance", err), fields...), zap.Bool("fenced", fenced))...)
	if fenced {
		h.ledger.Refused(run)
	}
	return fenced
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
