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
	begun, proceed chan struct{}
}

// Release implements Backend.
func (b slowReleases) Release(membership.SessionID, []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	close(b.begun)
	<-b.proceed
	return nil, nil
}

// ReturnedShards implements Backend.
func (b slowReleases) ReturnedShards() <-chan []fleet.ReleasedShard { return nil }

// Guards against an agent that ends only with the release that is under way: the process is killed by then, with all
// else that it has to end.
func TestStopDoesNotWaitForReleases(t *testing.T) {
	is := is.New(t)
	backend := slowReleases{begun: make(chan struct{}), proceed: make(chan struct{})}
	defer close(backend.proceed)
	a := &Agent{backend: backend, shards: newShardSet(), logger: zap.NewNop()}
	a.shards.begin(7, "i-7")
	is.True(a.shards.apply(&wire.Assignments{Session: 7, Revision: 1, Shards: []wire.Assignment{{Service: "numbers", Shard: 1, Epoch: 1, Release: true}}}))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- a.releaseLoop(ctx) }()
	<-backend.begun
	stop()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(10 * time.Second):
		t.Fatal("the agent waits for the release")
	}
}
