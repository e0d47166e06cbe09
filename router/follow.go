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
	// answerUsual is how long a confirmation may take before another member is sought
	// beside: with a question each 500 ms, one that has gone silent is noticed after
	// 0.8 s, a third of the time in which a change is to be in force everywhere.
	answerUsual = 300 * time.Millisecond
	// spareEvery is the pause between two members that are sought while none answers: in
	// a second and a half, half a dozen that are lost are passed by.
	spareEvery = 250 * time.Millisecond
	// maxSubscriptions bounds the members that are followed or sought at the same time: of
	// the twelve that the largest deployments have, more than half.
	maxSubscriptions = 8
	// reconnectPause is doubled up to reconnectMax while members refuse.
	reconnectPause = 50 * time.Millisecond
	reconnectMax   = 150 * time.Millisecond
	// idleLook is how long the follower waits for an event when nothing is due.
	idleLook = time.Second
	// firstChoices spreads the routers' first choices among the members.
	firstChoices = 64
)

// follower keeps the router's view current: it follows one member, and seeks another one
// beside it while that does not confirm.
//
// Invariants:
//   - A subscription that delivers is not closed before another one confirms the view.
//   - A member is given up for its silence only after answerPatience, which is longer than
//     words wait for a full link; until then others are sought beside it, not after it.
type follower struct {
	router *Router
	// first chooses which member comes first, so that routers share the load.
	first int
	wake  chan struct{}
	group sync.WaitGroup

	mutex sync.Mutex
	// list is what is followed or sought, in the order of its beginning.
	list []*subscription
	// last is the address that was tried last, at lastBegan.
	last      string
	lastBegan time.Duration
	// pause is that after a member that refused.
	pause time.Duration
}

func newFollower(r *Router) *follower {
	return &follower{
		router: r, wake: make(chan struct{}, 1), pause: reconnectPause,
		first: int(xxhash.Sum64String(r.options.Settings.Name) % firstChoices),
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
			f.begin(ctx)
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

// signal has the follower look again at what is due. It never blocks.
func (f *follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// untilNext is how long it is until one more member is to be sought.
func (f *follower) untilNext(now time.Duration) time.Duration {
	settled := f.router.freshness.settled()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.list) >= maxSubscriptions || f.nextAddress() == "" {
		return idleLook
	}
	due := f.lastBegan + f.pause
	if len(f.list) > 0 {
		// What is under way has some time to come to something.
		due = max(due, settled+f.router.options.Settings.Router.ConfirmEvery+answerUsual)
		if f.list[len(f.list)-1].began == f.lastBegan {
			due = max(due, f.lastBegan+spareEvery)
		}
	}
	return due - now
}

// nextAddress is the next member that is not followed or sought already; empty: all are.
func (f *follower) nextAddress() string {
	addresses := f.router.controlAddresses()
	next := f.last
	for range addresses {
		next = nextAddress(addresses, next, f.first)
		if !slices.ContainsFunc(f.list, func(s *subscription) bool { return s.address == next }) {
			return next
		}
	}
	return ""
}

// nextAddress is the one after the last that was tried, whatever has become of the list
// meanwhile; first chooses where to begin.
func nextAddress(addresses []string, last string, first int) string {
	at := slices.Index(addresses, last)
	if at < 0 {
		at = first - 1
	}
	return addresses[(at+1)%len(addresses)]
}

// begin seeks one more member.
func (f *follower) begin(ctx context.Context) {
	ctx, drop := context.WithCancel(ctx)
	next, beside := f.add(drop)
	if next == nil {
		drop()
		return
	}
	if beside > 0 {
		f.router.logger.Info("control_sought", zap.String("peer", next.address), zap.Int("beside", beside), zap.Duration("age", f.router.freshness.age(next.began)))
	}
	f.group.Go(func() {
		defer drop()
		err := next.run(ctx)
		f.ended(next, err, ctx.Err() != nil)
	})
}

// add puts the next member on the list, if there is one, and returns beside how many.
func (f *follower) add(drop context.CancelFunc) (next *subscription, beside int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	address := f.nextAddress()
	if address == "" {
		return nil, 0
	}
	beside = len(f.list)
	next = newSubscription(f, address, drop)
	f.list = append(f.list, next)
	f.last, f.lastBegan = address, next.began
	return next, beside
}

// ended forgets a subscription; dropped says that it was not wanted any more.
func (f *follower) ended(s *subscription, err error, dropped bool) {
	f.mutex.Lock()
	f.list = slices.DeleteFunc(f.list, func(other *subscription) bool { return other == s })
	if !dropped {
		f.pause = min(2*f.pause, reconnectMax)
	}
	f.mutex.Unlock()
	if !dropped {
		step := s.doing()
		now := clock.Now()
		f.router.metrics.lost.WithLabelValues(step).Inc()
		f.router.logger.Warn("control_connection_lost", append(logging.Step(step, s.address, err), zap.Duration("after", now-s.began),
			zap.Duration("age", f.router.freshness.age(now)), zap.Uint64("revision", f.router.table.inForce()))...)
	}
	f.signal()
}

// settled is told that a subscription has confirmed the view. Once it delivers updates
// too, the others are not needed any more.
func (f *follower) settled(s *subscription) {
	f.mutex.Lock()
	f.pause = reconnectPause
	var others []*subscription
	if s.delivers() {
		others = slices.DeleteFunc(slices.Clone(f.list), func(other *subscription) bool { return other == s })
	}
	f.mutex.Unlock()
	for _, other := range others {
		other.drop()
	}
	f.signal()
}

// watching reports whether some member tells updates.
func (f *follower) watching() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.list, func(s *subscription) bool { return s.watching.Load() })
}

// where says which members are followed or sought, and what is being done there.
func (f *follower) where() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var parts []string
	for _, s := range f.list {
		parts = append(parts, s.address+" "+s.doing())
	}
	return strings.Join(parts, ", ")
}

// controlAddresses are those of the settings and, where control is found by
// discovery, those that the members have told. A list that an operator gave stays as
// it is: it may lead by ways that the members do not know of.
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

// IsControl reports whether an address is that of a control member that is known here.
func (r *Router) IsControl(address string) bool {
	return slices.Contains(r.controlAddresses(), address)
}

// Relays are the addresses of other processes that may pass a connection on to a
// control member which this one cannot reach.
func (r *Router) Relays() []string {
	if !r.options.RouteTable {
		return nil
	}
	return r.table.gatedAddresses(r.options.Settings.Name)
}
