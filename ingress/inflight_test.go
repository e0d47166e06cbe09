package ingress

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold"
	"limehold/clock"
)

// What a sidecar says with its renewals of the grants that it has sent: that all are over is what
// control takes for the end of them, though the sidecar may have ended by then.
func TestSidecarSaysWhetherItsGrantsMayBeCarriedOut(t *testing.T) {
	const shard, lease = 4, 5 * time.Second
	renew := func(holder callHolder) { holder.renewDue(context.Background()) }
	for name, c := range map[string]struct {
		then  func(holder callHolder, client *lateKeys)
		quiet bool
	}{
		"nothing is listed yet": {func(callHolder, *lateKeys) {}, false},
		"listed, not granted":   {func(holder callHolder, _ *lateKeys) { holder.take(1, listOf(3, shard)) }, false},
		"granted": {func(holder callHolder, _ *lateKeys) {
			holder.take(1, listOf(3, shard))
			renew(holder)
		}, true},
		"granted, due again soon": {func(holder callHolder, _ *lateKeys) {
			holder.take(1, listOf(3, shard))
			renew(holder)
			holder.now = func() time.Duration { return clock.Now() + lease/4 }
		}, false},
		"left without an answer": {func(holder callHolder, client *lateKeys) {
			holder.take(1, listOf(3, shard))
			client.mute = true
			renew(holder)
		}, false},
		"left without an answer, then answered": {func(holder callHolder, client *lateKeys) {
			holder.take(1, listOf(3, shard))
			client.mute = true
			renew(holder)
			client.mute = false
			renew(holder)
		}, false},
		"left without an answer, then cleared": {func(holder callHolder, client *lateKeys) {
			holder.take(1, listOf(3, shard))
			client.mute = true
			renew(holder)
			client.mute, client.lost = false, true
			renew(holder)
			renew(holder)
			holder.take(1, listOf(9, shard))
			renew(holder)
		}, true},
		"left without an answer, too long ago": {func(holder callHolder, client *lateKeys) {
			holder.take(1, listOf(3, shard))
			client.mute = true
			renew(holder)
			client.mute = false
			holder.now = func() time.Duration { return clock.Now() + limehold.GrantLateness + 2*lease }
			holder.setLease(1, holder.now()+lease)
			renew(holder)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newLateKeys()
			holder := newHolder(client, lease)
			c.then(holder, client)
			is.Equal(holder.claim().Quiet, c.quiet)
		})
	}
}

// Once it has said that nothing is under way, a sidecar sends grants only after control has
// acknowledged the opposite; it asks for a renewal that says so, and for one once they are answered.
func TestNothingIsGrantedWhileControlBelievesThatNothingIs(t *testing.T) {
	const shard = 4
	is := is.New(t)
	client := newLateKeys()
	holder := newHolder(client, 5*time.Second)
	asked := func() bool {
		select {
		case <-holder.inFlight.asked:
			return true
		default:
			return false
		}
	}
	holder.take(1, listOf(3, shard))
	holder.renewDue(context.Background())
	is.True(asked()) // the grant was answered
	quiet := holder.claim()
	is.True(quiet.Quiet)
	holder.claimed(quiet)

	holder.take(1, append(listOf(3, shard), listOf(5, shard+1)...))
	holder.renewDue(context.Background())
	is.Equal(client.holds(shard+1), uint64(0))
	is.True(asked())
	open := holder.claim()
	is.Equal(open.Quiet, false)
	holder.renewDue(context.Background())
	is.Equal(client.holds(shard+1), uint64(0)) // not acknowledged yet
	holder.claimed(open)
	holder.renewDue(context.Background())
	is.Equal(client.holds(shard+1), uint64(5))
}

// A release that stays without an answer frees keys once nothing can hold them any more: a grant that
// was left without an answer as well may be carried out long after its time.
func TestUnansweredReleaseWaitsForAGrantThatMayBeLate(t *testing.T) {
	for name, c := range map[string]struct {
		mute  bool
		after time.Duration
		free  bool
	}{
		"the grant was answered":                      {false, 7 * time.Second, true},
		"the grant was left without an answer":        {true, limehold.GrantLateness, false},
		"the grant was left without an answer, later": {true, limehold.GrantLateness + 7*time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := &fakeKeys{}
			holder := newHolder(client, 5*time.Second)
			holder.take(1, listOf(3, 0))
			if c.mute {
				holder.clear(context.Background())
				client.failing = errMute
			}
			holder.renewDue(context.Background())
			client.failing = errMute
			holder.now = func() time.Duration { return clock.Now() + c.after }
			released, err := holder.release(listOf(3, 0))
			is.Equal(err == nil, c.free)
			is.Equal(len(released) == 1, c.free)
		})
	}
}
