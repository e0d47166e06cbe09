package ingress

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/metrics"
	"limehold/settings"
)

// stoppedKeys is an instance at which the ingress is stopped while a call is under way.
type stoppedKeys struct {
	*fakeKeys
	stop func()
	// lasts is how long the call takes from then on, if it is not ended before.
	lasts time.Duration
	// atGrant and atRelease say at which calls the ingress is stopped.
	atGrant, atRelease bool
	begun              chan struct{}
	grantCalls, active atomic.Int32
}

func (k *stoppedKeys) call(ctx context.Context, stops bool) error {
	k.active.Add(1)
	defer k.active.Add(-1)
	if !stops {
		return nil
	}
	k.stop()
	close(k.begun)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(k.lasts):
		return nil
	}
}

// Grant implements limehold.KeyClient.
func (k *stoppedKeys) Grant(ctx context.Context, _ uint64, _ limehold.KeyRange, _ time.Duration, _ string) error {
	k.grantCalls.Add(1)
	return k.call(ctx, k.atGrant)
}

// Release implements limehold.KeyClient.
func (k *stoppedKeys) Release(ctx context.Context, _ limehold.KeyRange) (string, error) {
	return "", k.call(ctx, k.atRelease)
}

// Guards against calls to the instance that begin after the end of the ingress, or that nothing waits for.
func TestNothingIsGrantedOrReleasedAfterTheEnd(t *testing.T) {
	const (
		shard, other = 4, 9
		// endTimeout is far longer than callStopTimeout, and noAnswer longer still.
		endTimeout, noAnswer = 10 * time.Second, time.Minute
	)
	for name, c := range map[string]struct {
		atGrant, atRelease bool
		lasts              time.Duration
		// begin begins the call under which the ingress is stopped.
		begin func(i *Instance)
		// grants is the number of grants that are sent.
		grants int32
	}{
		"a grant is answered":         {true, false, callStopTimeout / 2, func(*Instance) {}, 1},
		"a grant gets no answer":      {true, false, noAnswer, func(*Instance) {}, 1},
		"a release is answered":       {false, true, callStopTimeout / 2, func(i *Instance) { go func() { _, _ = i.keys.release(listOf(3, shard)) }() }, 0},
		"a release gets no answer":    {false, true, noAnswer, func(i *Instance) { go func() { _, _ = i.keys.release(listOf(3, shard)) }() }, 0},
		"a revocation is answered":    {false, true, callStopTimeout / 2, func(i *Instance) { i.keys.notifier.Revoke([]limehold.KeyRange{rangeOf(shard, shard, 3)}) }, 0},
		"a revocation gets no answer": {false, true, noAnswer, func(i *Instance) { i.keys.notifier.Revoke([]limehold.KeyRange{rangeOf(shard, shard, 3)}) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			client := &stoppedKeys{fakeKeys: &fakeKeys{}, stop: stop, lasts: c.lasts, atGrant: c.atGrant, atRelease: c.atRelease, begun: make(chan struct{})}
			config := settings.Default()
			i := newInstance(Options{Settings: config, Keys: client, Logger: zap.NewNop(), Metrics: metrics.New()}, newSlotGate(config.Ingress.QueueTime))
			notifier := i.keys.notifier.(*callNotifier)
			notifier.connectForSession(ctx)
			notifier.sessionOpened(1, true, false)
			i.keys.setLease(1, clock.Now()+time.Hour)
			if c.atGrant {
				i.keys.setGrants(1, listOf(3, shard, other))
				notifier.claimAcknowledged(notifier.claim())
			}
			c.begin(i)
			ended := make(chan error, 1)
			go func() { ended <- i.Run(ctx) }()
			<-client.begun
			select {
			case err := <-ended:
				is.NoErr(err)
			case <-time.After(endTimeout):
				t.Fatal("the ingress waits for the call")
			}
			is.Equal(client.active.Load(), int32(0))
			is.Equal(client.grantCalls.Load(), c.grants)
			_, err := i.keys.release(listOf(3, shard))
			is.True(errors.Is(err, errKeyCallsStopped))
		})
	}
}
