package router

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
)

const (
	// hedgeDelay is how long a confirmation may be overdue before the follower connects to
	// another member as well. At a confirm interval of 500 ms, an unresponsive member is thus
	// detected after 0.8 s.
	hedgeDelay = 300 * time.Millisecond
	// hedgeInterval is the delay between connecting to two members while none responds: in
	// 1.5 s, six unreachable members are skipped.
	hedgeInterval = 250 * time.Millisecond
	// maxSubscriptions bounds the concurrent subscriptions, including those that still dial. It
	// covers more than half of the members of the largest deployments, which have twelve.
	maxSubscriptions = 8
	// minReconnectDelay is doubled up to maxReconnectDelay while subscriptions fail.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 150 * time.Millisecond
	// idleCheckInterval is how long the follower waits for an event while it cannot connect to
	// a further member.
	idleCheckInterval = time.Second
	// startOffsets is the number of different values of startOffset, which is taken modulo the
	// number of members.
	startOffsets = 64
)

// follower keeps the router's view current: it subscribes to one member, and connects to
// others as well while that member does not confirm the view.
//
// Invariants:
//   - A subscription that delivers updates is not closed before another one confirms the view.
//   - An unresponsive member is abandoned only after callTimeout, which is longer than
//     messages wait on a saturated link; until then other members are tried concurrently.
type follower struct {
	router *Router
	// startOffset selects the first member to try, so that routers spread over the members.
	startOffset int
	wake        chan struct{}
	group       sync.WaitGroup

	mutex sync.Mutex
	// subscriptions are in the order in which they were started.
	subscriptions []*subscription
	// lastAddress is the address that was tried last, at lastStarted.
	lastAddress string
	lastStarted time.Duration
	// reconnectDelay is the least time from the start of one subscription to that of the next. Each
	// subscription that fails doubles it, up to maxReconnectDelay; a confirmation resets it.
	reconnectDelay time.Duration
}

func newFollower(r *Router) *follower {
	return &follower{
		router: r, wake: make(chan struct{}, 1), reconnectDelay: minReconnectDelay,
		startOffset: int(xxhash.Sum64String(r.options.Settings.Name) % startOffsets),
	}
}

// follow keeps the view current until ctx ends.
func (r *Router) follow(ctx context.Context) error {
	r.follower.run(ctx)
	return nil
}

func (f *follower) run(ctx context.Context) {
	defer f.group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for ctx.Err() == nil {
		wait := f.untilNext(clock.Now())
		if wait <= 0 {
			f.startNext(ctx)
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// signal makes the follower check again whether a connection is due. It never blocks.
func (f *follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// untilNext returns the time until the next member is to be connected to, 0 or less if it is due.
func (f *follower) untilNext(now time.Duration) time.Duration {
	lastConfirmed := f.router.freshness.lastConfirmed()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.subscriptions) >= maxSubscriptions || f.nextAddress() == "" {
		return idleCheckInterval
	}
	due := f.lastStarted + f.reconnectDelay
	if len(f.subscriptions) > 0 {
		// The next member is dialed once a confirmation is overdue, but only after the newest
		// subscription has had hedgeInterval to confirm.
		due = max(due, lastConfirmed+f.router.options.Settings.Router.ConfirmEvery+hedgeDelay)
		if f.subscriptions[len(f.subscriptions)-1].startedAt == f.lastStarted {
			due = max(due, f.lastStarted+hedgeInterval)
		}
	}
	return due - now
}

// nextAddress returns the next member without a subscription, or "" if all have one.
func (f *follower) nextAddress() string {
	addresses := f.router.controlAddresses()
	next := f.lastAddress
	for range addresses {
		next = nextAddress(addresses, next, f.startOffset)
		if !slices.ContainsFunc(f.subscriptions, func(s *subscription) bool { return s.address == next }) {
			return next
		}
	}
	return ""
}

// nextAddress returns the address that follows last. If last is not in the list, because the
// list has changed or nothing was tried yet, it returns the one at index first, modulo the
// length. addresses must not be empty.
func nextAddress(addresses []string, last string, first int) string {
	i := slices.Index(addresses, last)
	if i < 0 {
		i = first - 1
	}
	return addresses[(i+1)%len(addresses)]
}

// startNext starts a subscription to one more member.
func (f *follower) startNext(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	next, others := f.addNext(cancel)
	if next == nil {
		cancel()
		return
	}
	if others > 0 {
		f.router.logger.Info("control_sought", zap.String("peer", next.address), zap.Int("beside", others), zap.Duration("age", f.router.freshness.age(next.startedAt)))
	}
	f.group.Go(func() {
		defer cancel()
		err := next.run(ctx)
		f.ended(next, err, ctx.Err() != nil)
	})
}

// addNext adds a subscription to the next member, if there is one, and returns how many
// others exist.
func (f *follower) addNext(cancel context.CancelFunc) (next *subscription, others int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	address := f.nextAddress()
	if address == "" {
		return nil, 0
	}
	others = len(f.subscriptions)
	next = newSubscription(f, address, cancel)
	f.subscriptions = append(f.subscriptions, next)
	f.lastAddress, f.lastStarted = address, next.startedAt
	return next, others
}

// ended removes a subscription; cancelled is set if it ended because it was no longer needed.
func (f *follower) ended(s *subscription, err error, cancelled bool) {
	f.mutex.Lock()
	f.subscriptions = slices.DeleteFunc(f.subscriptions, func(other *subscription) bool { return other == s })
	if !cancelled {
		f.reconnectDelay = min(2*f.reconnectDelay, maxReconnectDelay)
	}
	f.mutex.Unlock()
	if !cancelled {
		step := s.currentStep()
		now := clock.Now()
		f.router.metrics.lost.WithLabelValues(step).Inc()
		f.router.logger.Warn("control_connection_lost", append(logging.ErrorFields(step, s.address, err), zap.Duration("after", now-s.startedAt),
			zap.Duration("age", f.router.freshness.age(now)), zap.Uint64("revision", f.router.table.currentRevision()))...)
	}
	f.signal()
}

// confirmed is called when a confirmation over s has advanced the view's freshness. If s also
// delivers updates, the other subscriptions are cancelled.
func (f *follower) confirmed(s *subscription) {
	f.mutex.Lock()
	f.reconnectDelay = minReconnectDelay
	var others []*subscription
	if s.delivers() {
		others = slices.DeleteFunc(slices.Clone(f.subscriptions), func(other *subscription) bool { return other == s })
	}
	f.mutex.Unlock()
	for _, other := range others {
		other.cancel()
	}
	f.signal()
}

// isSubscribed reports whether some member sends updates.
func (f *follower) isSubscribed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.subscriptions, func(s *subscription) bool { return s.subscribed.Load() })
}

// describe lists the subscriptions with their addresses and current steps.
func (f *follower) describe() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var parts []string
	for _, s := range f.subscriptions {
		parts = append(parts, s.address+" "+s.currentStep())
	}
	return strings.Join(parts, ", ")
}

// controlAddresses returns the members' addresses from the settings and, if discovery is
// configured, those that the members have announced. A list configured by an operator is not
// extended: its addresses may lead through proxies that the members cannot announce.
func (r *Router) controlAddresses() []string {
	addresses := slices.Clone(r.options.Settings.Router.Control)
	list := r.members.Load()
	if list == nil || len(r.options.Settings.Discovery.Seeds) == 0 {
		return addresses
	}
	for _, address := range list.Addresses {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// IsControlAddress reports whether an address is that of a known control member.
func (r *Router) IsControlAddress(address string) bool {
	return slices.Contains(r.controlAddresses(), address)
}

// RelayAddresses returns the addresses of other processes that can relay a connection to a
// control member that this one cannot reach.
func (r *Router) RelayAddresses() []string {
	if !r.options.ExpectRouteTable {
		return nil
	}
	return r.table.ingressAddresses(r.options.Settings.Name)
}
