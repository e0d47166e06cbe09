package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/fleet"
	"limehold/membership"
	"limehold/wire"
)

// slowReleases is a back end that takes long to release shards.
type slowReleases struct {
	Backend
	begun, proceed, ended chan struct{}
}

// Release implements Backend.
func (b slowReleases) Release(membership.SessionID, []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	close(b.begun)
	<-b.proceed
	close(b.ended)
	return nil, context.Canceled
}

// ReturnedShards implements Backend.
func (b slowReleases) ReturnedShards() <-chan []fleet.ReleasedShard { return nil }

// Guards against an agent that ends only with a long release that is under way: the process is killed by then, with all
// else that it has to end. One that is about to end has to end before the process does.
func TestStopAndReleases(t *testing.T) {
	for name, c := range map[string]struct {
		// ends is when the release ends after the stop, 0 if it does not.
		ends  time.Duration
		ended bool
	}{
		"a release that does not end":   {0, false},
		"a release that ends by itself": {releaseStopTimeout / 5, true},
	} {
		t.Run(name, func(t *testing.T) { checkStopAndRelease(t, c.ends, c.ended) })
	}
}

func checkStopAndRelease(t *testing.T, ends time.Duration, wantEnded bool) {
	is := is.New(t)
	backend := slowReleases{begun: make(chan struct{}), proceed: make(chan struct{}), ended: make(chan struct{})}
	a := &Agent{backend: backend, shards: newShardSet(), logger: zap.NewNop()}
	a.shards.begin(7, "i-7")
	is.True(a.shards.apply(&wire.Assignments{Session: 7, Revision: 1, Shards: []wire.Assignment{{Service: "numbers", Shard: 1, Epoch: 1, Release: true}}}))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.releaseLoop(ctx) }()
	<-backend.begun
	stop()
	if ends > 0 {
		time.AfterFunc(ends, func() { close(backend.proceed) })
	} else {
		defer close(backend.proceed)
	}
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the agent waits for the release")
	}
	select {
	case <-backend.ended:
		is.True(wantEnded)
	default:
		is.True(!wantEnded)
	}
}
