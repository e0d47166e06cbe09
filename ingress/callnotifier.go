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

// callNotifier notifies the instance of its keys by calls. One call grants a range of neighbouring shards,
// and further calls renew the grant before it expires.
//
// Invariants:
//   - A release sends the instance a higher fence than its grants had, so that the instance rejects an
//     unanswered grant that it would apply later.
//   - A grant is sent only to the incarnation that was cleared, over a connection that was made before
//     control assigned the fence. An incarnation that listens at the address later does not receive the
//     grant. Two incarnations thus never hold keys under one fence, and once the incarnation was
//     cleared under the next session, none holds keys of an earlier session.
type callNotifier struct {
	holder *keyHolder
	client limehold.KeyClient
	logger *zap.Logger
	now    func() time.Duration
	// callMutex is held while a grant is in flight: a release is sent after the grant has ended.
	callMutex sync.Mutex
	// incarnation is the number of the incarnation that was connected to last; guarded by callMutex.
	incarnation uint64
	wake        chan struct{}
	inFlight    *grantsInFlight
	// unfencedGrantAt is when the newest grant was sent that no higher fence has followed yet; 0 if
	// there is none. Guarded by callMutex.
	unfencedGrantAt time.Duration
	// token is what the incarnation returned when it was last cleared; guarded by callMutex.
	token string
	// session is how the newest session was opened; guarded by callMutex.
	session openedSession
	clears  *prometheus.CounterVec
}

const (
	permille = 1000
	// grantTimeout bounds one grant call. A healthy instance answers in milliseconds. One that does not
	// answer may still apply the grant later, so that the grant counts as held until it has expired.
	grantTimeout = 700 * time.Millisecond
	// releaseTimeout bounds one release call, which waits at the instance until the keys are free.
	releaseTimeout = 5 * time.Second
	// grantRetry is the pause after a failed grant.
	grantRetry = 100 * time.Millisecond
	// renewalsPerHold is how many renewals fit into the hold time of a grant, so that two may be lost.
	renewalsPerHold = 3
	// clearTimeout bounds one call that clears an incarnation, which first ends the requests that it runs
	// on its keys. A call that times out is repeated. Nothing is granted meanwhile: if calls get no
	// answer, a longer timeout delays all grants.
	clearTimeout = 1500 * time.Millisecond
)

func newCallNotifier(holder *keyHolder, client limehold.KeyClient, registry *metrics.Registry) *callNotifier {
	return &callNotifier{
		holder: holder, client: client, logger: holder.logger, now: clock.Now, wake: make(chan struct{}, 1),
		inFlight: newGrantsInFlight(holder.maxHoldUntil(clock.Now(), holder.maxHold)),
		clears:   registry.CounterVec("ingress", "starts_cleared_total", "Clearings of the instance that listens, by whether another start may have listened before.", "another"),
	}
}

// NotifyChanged implements limehold.KeyNotifier.
func (n *callNotifier) NotifyChanged() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// Run implements limehold.KeyNotifier.
func (n *callNotifier) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// The timer counts suspended time: a machine that resumes renews at once what is due by then.
		timer := clock.NewTimer(n.renewDue(ctx))
		select {
		case <-ctx.Done():
		case <-n.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (n *callNotifier) runs() []ledger.Run {
	n.holder.mutex.Lock()
	defer n.holder.mutex.Unlock()
	return n.holder.ledger.Runs()
}

// renewDue clears the incarnation if necessary and sends every grant that is due. Once the lease has expired,
// it fences off the instance instead. It returns the time after which it should be called again.
func (n *callNotifier) renewDue(ctx context.Context) time.Duration {
	if remaining := n.leaseRemaining(); remaining <= 0 {
		return n.fenceAfterLease(ctx)
	}
	if !n.clear(ctx) {
		return grantRetry
	}
	next := max(n.leaseRemaining(), 0)
	if n.returnFenced() {
		next = min(next, grantRetry)
	}
	runs := n.runs()
	slices.SortStableFunc(runs, func(a, b ledger.Run) int { return cmp.Compare(a.Due, b.Due) })
	if !n.inFlight.maySend() {
		if len(runs) > 0 && runs[0].Due <= n.now() {
			n.inFlight.requestRenewal()
			return min(next, grantRetry)
		}
		return min(next, n.untilNextDue())
	}
	ahead := n.sendAhead(n.now())
	for _, run := range runs {
		if run.Due > n.now()+ahead {
			break
		}
		if hold := n.holdFor(n.now()); hold < ledger.MinHold {
			// Too little time is left for a grant; the next renewal or the end of the lease wakes Run.
			return next
		}
		if !n.grant(ctx, run) {
			return grantRetry
		}
	}
	n.requestQuietClaim()
	return min(next, n.untilNextDue())
}

func (n *callNotifier) leaseRemaining() time.Duration {
	var remaining time.Duration
	n.holder.withLedger(func(l *ledger.Ledger) { remaining = l.LeaseLeft(n.now()) })
	return remaining
}

// holdFor returns the hold time for a grant that is sent at now. The instance counts it from the
// arrival of the call, which is at most grantTimeout later.
func (n *callNotifier) holdFor(now time.Duration) time.Duration {
	var hold time.Duration
	n.holder.withLedger(func(l *ledger.Ledger) { hold = l.HoldFor(now + grantTimeout) })
	return hold
}

// returnFenced offers control the shards whose fence has to rise. It reports false if there are none, or if
// no grants may be sent yet.
func (n *callNotifier) returnFenced() bool {
	var refused []ledger.Grant
	n.holder.withLedger(func(l *ledger.Ledger) {
		if l.MayGrant() {
			refused = l.RefusedGrants()
		}
	})
	if len(refused) == 0 {
		return false
	}
	n.callMutex.Lock()
	defer n.callMutex.Unlock()
	n.holder.returnRefused(refused, n.token)
	return true
}

// grant sends one grant, unless ctx has ended; it reports false if it should be retried after a pause.
func (n *callNotifier) grant(ctx context.Context, run ledger.Run) bool {
	h := n.holder
	n.callMutex.Lock()
	if ctx.Err() != nil {
		n.callMutex.Unlock()
		return false
	}
	callContext, cancel := h.calls.context(grantTimeout)
	defer cancel()
	// The hold time counts from here: the wait for the mutex, or a suspension of the machine, may have been long.
	now := n.now()
	hold := n.holdFor(now)
	wanted := false
	h.withLedger(func(l *ledger.Ledger) {
		if wanted = hold >= ledger.MinHold && l.Wanted(run) && n.inFlight.begin(); wanted {
			l.RecordSent(run, h.maxHoldUntil(now, hold))
		}
	})
	if !wanted {
		n.callMutex.Unlock()
		return true
	}
	n.unfencedGrantAt = now
	err := n.client.Grant(callContext, n.incarnation, run.Range, hold, run.Token)
	answered := n.now()
	n.callMutex.Unlock()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	fields := []zap.Field{zap.Uint32("first", run.Range.First), zap.Uint32("last", run.Range.Last), zap.Uint64("fence", run.Range.Fence)}
	if err == nil {
		n.inFlight.recordAnswer()
		h.ledger.RecordAnswer(run, answered+ledger.RealHold(hold))
		if h.ledger.RecordConfirmed(run, now+hold, now+hold/renewalsPerHold) {
			n.logger.Info("keys_granted", append(fields, zap.Duration("hold", hold))...)
		}
		return true
	}
	if errors.Is(err, limehold.ErrOtherIncarnation) {
		n.inFlight.recordAnswer()
		h.ledger.RecordAnswer(run, 0)
		h.ledger.InvalidateClearing()
		n.logger.Info("instance_connections_lost", append(fields, zap.Uint64("start", n.client.Incarnation()))...)
		return false
	}
	fenced := errors.Is(err, limehold.ErrFenced)
	n.logger.Warn("keys_not_granted", append(append(logging.ErrorFields("grant keys", "instance", err), fields...), zap.Bool("fenced", fenced))...)
	if !fenced {
		n.recordUnanswered(now, hold, fields)
	} else {
		n.inFlight.recordAnswer()
		h.ledger.RecordAnswer(run, 0)
		// The instance may still hold the rest of the run: clear it before control is notified.
		h.ledger.InvalidateClearing()
	}
	return false
}

// Release implements limehold.KeyNotifier.
func (n *callNotifier) Release(ranges []limehold.KeyRange) ([]limehold.ReleasedRange, error) {
	var released []limehold.ReleasedRange
	var last error
	for len(ranges) > 0 {
		count, joined := joinNeighbours(ranges)
		token, err := n.releaseRange(joined, ranges[:count])
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

// Revoke implements limehold.KeyNotifier. It sends the instance a higher fence, as a grant may still be
// in flight, and does not wait for the result.
func (n *callNotifier) Revoke(ranges []limehold.KeyRange) {
	if !n.holder.calls.begin() {
		return
	}
	go func() {
		defer n.holder.calls.finish()
		for len(ranges) > 0 {
			count, joined := joinNeighbours(ranges)
			if _, err := n.releaseRange(joined, ranges[:count]); err != nil {
				n.logger.Info("keys_not_fenced_off", append(logging.ErrorFields("release keys", "instance", err), zap.Uint32("first", joined.First), zap.Uint32("last", joined.Last))...)
			}
			ranges = ranges[count:]
		}
	}()
}

// joinNeighbours returns how many of the first ranges one call can release, and the range that they
// form together.
func joinNeighbours(ranges []limehold.KeyRange) (int, limehold.KeyRange) {
	joined := ranges[0]
	count := 1
	for count < len(ranges) && ranges[count].First == joined.Last+1 && ranges[count].Fence == joined.Fence {
		joined = joined.WithLast(ranges[count].Last)
		count++
	}
	return count, joined
}

func (n *callNotifier) releaseRange(joined limehold.KeyRange, ranges []limehold.KeyRange) (string, error) {
	ctx, cancel := n.holder.calls.context(releaseTimeout)
	defer cancel()
	// No further grants of these shards are sent; one that is in flight has to end first.
	n.awaitCall()
	token, err := n.client.Release(ctx, joined.WithFence(joined.Fence+1))
	h := n.holder
	h.mutex.Lock()
	defer h.mutex.Unlock()
	grants := h.ledger.GrantsOf(ranges)
	if err == nil {
		h.ledger.Forget(grants)
		return token, nil
	}
	if h.ledger.HeldUntil(grants) <= n.now() {
		h.ledger.Forget(grants)
		return "", nil
	}
	return "", err
}

// awaitCall waits until a grant that is in flight, if there is one, has ended.
func (n *callNotifier) awaitCall() {
	n.callMutex.Lock()
	defer n.callMutex.Unlock()
}
