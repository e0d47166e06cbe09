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
	nopLogger  = zap.NewNop()
	notLeading = &wire.Error{Code: wire.CodeNotLeader}
)

// testFollower follows members a to j; its view was settled at a time.
func testFollower(settled time.Duration) *follower {
	config := settings.Default()
	config.Name = "router-1"
	config.Router.ConfirmEvery = 500 * time.Millisecond
	config.Router.Control = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	router := &Router{options: Options{Settings: config}}
	router.freshness.settledAt = settled
	router.follower = newFollower(router)
	return router.follower
}

// Another member is sought at once when there is none, beside one that has gone silent, and
// never as long as the view is confirmed.
func TestWhenAnotherMemberIsSought(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		settledAgo time.Duration
		// beganAgo are the subscriptions, the last one begun last.
		beganAgo []time.Duration
		// lastAgo is when the last member was tried, if it is not among these any more.
		lastAgo time.Duration
		want    time.Duration
	}{
		"nothing tried yet":               {now, nil, now, -now + reconnectPause},
		"the last one refused":            {time.Second, nil, 10 * time.Millisecond, reconnectPause - 10*time.Millisecond},
		"the view is confirmed":           {100 * time.Millisecond, []time.Duration{time.Second}, 0, 700 * time.Millisecond},
		"the member has gone silent":      {900 * time.Millisecond, []time.Duration{time.Second}, 0, -100 * time.Millisecond},
		"one was sought just now":         {900 * time.Millisecond, []time.Duration{time.Second, 50 * time.Millisecond}, 0, spareEvery - 50*time.Millisecond},
		"the one beside it refused":       {900 * time.Millisecond, []time.Duration{time.Second}, 10 * time.Millisecond, reconnectPause - 10*time.Millisecond},
		"as many as may be":               {time.Second, make([]time.Duration, maxSubscriptions), 0, idleLook},
		"never confirmed, one under way":  {now, []time.Duration{100 * time.Millisecond}, 0, spareEvery - 100*time.Millisecond},
		"silent while nothing is settled": {5 * time.Second, []time.Duration{4 * time.Second, time.Second}, 0, -time.Second + spareEvery},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testFollower(now - c.settledAgo)
			f.lastBegan = now - c.lastAgo
			for i, ago := range c.beganAgo {
				f.last = f.nextAddress()
				began := now - ago
				f.list = append(f.list, &subscription{router: f.router, follower: f, address: f.last, began: began})
				if i == len(c.beganAgo)-1 && c.lastAgo == 0 {
					f.lastBegan = began
				}
			}
			is.Equal(f.untilNext(now), c.want)
		})
	}
}

// A member that is followed or sought already is not tried beside itself.
func TestMembersAreSoughtOnce(t *testing.T) {
	is := is.New(t)
	f := testFollower(0)
	f.router.options.Settings.Router.Control = []string{"a", "b"}
	seen := map[string]bool{}
	for range 2 {
		next := f.nextAddress()
		is.True(!seen[next])
		seen[next] = true
		f.last = next
		f.list = append(f.list, &subscription{router: f.router, follower: f, address: next})
	}
	is.Equal(f.nextAddress(), "")
	is.Equal(f.untilNext(clock.Now()), idleLook)
}

// Whoever confirms the view takes the place of the others once it tells updates, not before.
func TestOthersAreDroppedForOneThatDelivers(t *testing.T) {
	for name, c := range map[string]struct {
		watching bool
		answered time.Duration // ago
		dropped  bool
	}{
		"has confirmed and tells updates":         {true, 0, true},
		"has confirmed, is not subscribed yet":    {false, 0, false},
		"tells updates, has long not confirmed":   {true, 2 * time.Second, false},
		"neither tells updates nor has confirmed": {false, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testFollower(0)
			sound := &subscription{router: f.router, follower: f, address: "a"}
			sound.watching.Store(c.watching)
			sound.answeredAt.Store(int64(clock.Now() - c.answered))
			other := &subscription{router: f.router, follower: f, address: "b"}
			var dropped context.Context
			dropped, other.drop = context.WithCancel(context.Background())
			defer other.drop()
			f.list = []*subscription{other, sound}
			f.settled(sound)
			is.Equal(dropped.Err() != nil, c.dropped)
		})
	}
}

// A member that cannot confirm for a while goes on telling updates; one that never could, or
// does not answer, is left.
func TestMemberThatCannotConfirmForAWhileIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		err      error
		answered bool
		left     bool
	}{
		"confirms":                       {nil, true, false},
		"cannot, but could before":       {notLeading, true, false},
		"never could":                    {notLeading, false, true},
		"does not answer":                {context.DeadlineExceeded, true, true},
		"does not answer the first time": {context.DeadlineExceeded, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := testFollower(0)
			f.router.logger = nopLogger
			s := &subscription{router: f.router, follower: f, address: "a"}
			if c.answered {
				s.answeredAt.Store(int64(clock.Now()))
			}
			is.New(t).Equal(s.take(c.err) != nil, c.left)
		})
	}
}
