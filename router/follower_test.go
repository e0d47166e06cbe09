package router

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/settings"
	"limehold/wire"
)

var (
	nopLogger    = zap.NewNop()
	errNotLeader = &wire.Error{Code: wire.CodeNotLeader}
)

// testFollower returns a follower of members a to j whose view was confirmed at a time.
func testFollower(confirmedAt time.Duration) *follower {
	config := settings.Default()
	config.Name = "router-1"
	config.Router.ConfirmEvery = 500 * time.Millisecond
	config.Router.Control = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	router := &Router{options: Options{Settings: config}}
	router.freshness.confirmedAt = confirmedAt
	router.follower = newFollower(router)
	return router.follower
}

// Another member is connected to at once if there is none or if one does not respond, and
// never while the view is confirmed.
func TestWhenAnotherMemberIsSought(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		confirmedAgo time.Duration
		// startedAgo holds the ages of the subscriptions, the newest one last.
		startedAgo []time.Duration
		// lastAgo is when the last member was tried, if it has no subscription any more.
		lastAgo time.Duration
		want    time.Duration
	}{
		"nothing tried yet":               {now, nil, now, -now + minReconnectDelay},
		"the last one refused":            {time.Second, nil, 10 * time.Millisecond, minReconnectDelay - 10*time.Millisecond},
		"the view is confirmed":           {100 * time.Millisecond, []time.Duration{time.Second}, 0, 700 * time.Millisecond},
		"the member has gone silent":      {900 * time.Millisecond, []time.Duration{time.Second}, 0, -100 * time.Millisecond},
		"one was sought just now":         {900 * time.Millisecond, []time.Duration{time.Second, 50 * time.Millisecond}, 0, hedgeInterval - 50*time.Millisecond},
		"the one beside it refused":       {900 * time.Millisecond, []time.Duration{time.Second}, 10 * time.Millisecond, minReconnectDelay - 10*time.Millisecond},
		"as many as may be":               {time.Second, make([]time.Duration, maxSubscriptions), 0, idleCheckInterval},
		"never confirmed, one under way":  {now, []time.Duration{100 * time.Millisecond}, 0, hedgeInterval - 100*time.Millisecond},
		"silent while nothing is settled": {5 * time.Second, []time.Duration{4 * time.Second, time.Second}, 0, -time.Second + hedgeInterval},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testFollower(now - c.confirmedAgo)
			f.lastStarted = now - c.lastAgo
			for i, ago := range c.startedAgo {
				f.lastAddress = f.nextAddress()
				started := now - ago
				f.subscriptions = append(f.subscriptions, &subscription{router: f.router, follower: f, address: f.lastAddress, startedAt: started})
				if i == len(c.startedAgo)-1 && c.lastAgo == 0 {
					f.lastStarted = started
				}
			}
			is.Equal(f.untilNext(now), c.want)
		})
	}
}

// A member that has a subscription is not tried a second time.
func TestMembersAreSoughtOnce(t *testing.T) {
	is := is.New(t)
	f := testFollower(0)
	f.router.options.Settings.Router.Control = []string{"a", "b"}
	seen := map[string]bool{}
	for range 2 {
		next := f.nextAddress()
		is.True(!seen[next])
		seen[next] = true
		f.lastAddress = next
		f.subscriptions = append(f.subscriptions, &subscription{router: f.router, follower: f, address: next})
	}
	is.Equal(f.nextAddress(), "")
	is.Equal(f.untilNext(clock.Now()), idleCheckInterval)
}

// A subscription replaces the others once it has confirmed the view and receives updates.
func TestOthersAreDroppedForOneThatDelivers(t *testing.T) {
	for name, c := range map[string]struct {
		subscribed   bool
		confirmedAgo time.Duration
		cancelled    bool
	}{
		"has confirmed and tells updates":         {true, 0, true},
		"has confirmed, is not subscribed yet":    {false, 0, false},
		"tells updates, has long not confirmed":   {true, 2 * time.Second, false},
		"neither tells updates nor has confirmed": {false, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testFollower(0)
			healthy := &subscription{router: f.router, follower: f, address: "a"}
			healthy.subscribed.Store(c.subscribed)
			healthy.confirmedAt.Store(int64(clock.Now() - c.confirmedAgo))
			other := &subscription{router: f.router, follower: f, address: "b"}
			var ctx context.Context
			ctx, other.cancel = context.WithCancel(context.Background())
			defer other.cancel()
			f.subscriptions = []*subscription{other, healthy}
			f.confirmed(healthy)
			is.Equal(ctx.Err() != nil, c.cancelled)
		})
	}
}

// A member that has confirmed before and cannot for a while is kept, because it still sends
// updates. A member that never could confirm, or does not respond, is abandoned.
func TestMemberThatCannotConfirmForAWhileIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		err       error
		confirmed bool
		abandoned bool
	}{
		"confirms":                       {nil, true, false},
		"cannot, but could before":       {errNotLeader, true, false},
		"never could":                    {errNotLeader, false, true},
		"does not answer":                {context.DeadlineExceeded, true, true},
		"does not answer the first time": {context.DeadlineExceeded, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFollower(0)
			f.router.logger = nopLogger
			s := &subscription{router: f.router, follower: f, address: "a"}
			if c.confirmed {
				s.confirmedAt.Store(int64(clock.Now()))
			}
			is.New(t).Equal(s.handleConfirm(c.err) != nil, c.abandoned)
		})
	}
}
