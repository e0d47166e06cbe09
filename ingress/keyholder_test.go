package ingress

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/fleet"
	"limehold/ledger"
	"limehold/metrics"
	"limehold/ownership"
	"limehold/settings"
	"limehold/wire"
)

// fakeKeys is the instance's side of the key calls.
type fakeKeys struct {
	// cleared records the clearings of the incarnation that listens.
	cleared  []limehold.KeyRange
	mutex    sync.Mutex
	grants   []limehold.KeyRange
	holds    []time.Duration
	releases []limehold.KeyRange
	failing  error
}

// Grant implements limehold.KeyClient.
func (f *fakeKeys) Grant(_ context.Context, _ uint64, keys limehold.KeyRange, hold time.Duration, _ string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failing != nil {
		return f.failing
	}
	f.grants = append(f.grants, keys)
	f.holds = append(f.holds, hold)
	return nil
}

// Connect implements limehold.KeyClient.
func (f *fakeKeys) Connect(context.Context) (uint64, error) { return 1, nil }

// Incarnation implements limehold.KeyClient.
func (f *fakeKeys) Incarnation() uint64 { return 1 }

// ReleaseAt implements limehold.KeyClient.
func (f *fakeKeys) ReleaseAt(_ context.Context, _ uint64, keys limehold.KeyRange) (string, error) {
	f.cleared = append(f.cleared, keys)
	return "", nil
}

// Release implements limehold.KeyClient.
func (f *fakeKeys) Release(_ context.Context, keys limehold.KeyRange) (string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failing != nil {
		return "", f.failing
	}
	f.releases = append(f.releases, keys)
	return "token", nil
}

func shardKey(shard uint32) ownership.Key { return ownership.Key{Service: "numbers", Shard: shard} }

func listOf(epoch uint64, shards ...uint32) []wire.BackendGrant {
	var list []wire.BackendGrant
	for _, shard := range shards {
		list = append(list, wire.BackendGrant{Service: "numbers", Shard: shard, Epoch: epoch})
	}
	return list
}

// rangeOf returns the range of keys from the first shard to the last one.
func rangeOf(first, last uint32, fence uint64) limehold.KeyRange {
	const numbers = ownership.NumberSpace / fleet.RoutedShards
	return limehold.KeyRange{First: first * numbers, Last: (last+1)*numbers - 1, Fence: fence}
}

// callHolder is a holder whose instance is notified of its keys by calls.
type callHolder struct {
	*keyHolder
	*callNotifier
}

// testGrantDelay is the setting max_grant_delay of tests that need a limit.
const testGrantDelay = 15 * time.Second

func newHolder(client limehold.KeyClient, lease time.Duration) callHolder {
	return newHolderWithDelay(client, lease, testGrantDelay)
}

// newHolderWithDelay is like newHolder with the given setting max_grant_delay.
func newHolderWithDelay(client limehold.KeyClient, lease, maxGrantDelay time.Duration) callHolder {
	options := Options{Settings: settings.Default(), Keys: client, Logger: zap.NewNop(), Metrics: metrics.New()}
	options.Settings.Ingress.MaxGrantDelay = maxGrantDelay
	holder := newKeyHolder(options)
	notifier := holder.notifier.(*callNotifier)
	notifier.connectForSession(context.Background())
	notifier.sessionOpened(1, true, false)
	holder.setLease(1, clock.Now()+lease)
	return callHolder{holder, notifier}
}

func TestNeighboursAreGrantedTogetherAndNoLongerThanTheLease(t *testing.T) {
	is := is.New(t)
	client := &fakeKeys{}
	holder := newHolder(client, 2*time.Second)
	holder.setGrants(1, listOf(3, 0, 1, 2, 9))
	is.Equal(holder.holds(shardKey(0), 3, clock.Now()), false) // not confirmed yet
	holder.renewDue(context.Background())
	is.Equal(client.grants, []limehold.KeyRange{rangeOf(0, 2, 3), rangeOf(9, 9, 3)})
	for _, hold := range client.holds {
		is.True(ledger.RealHold(hold) < 2*time.Second)
	}
	is.True(holder.holds(shardKey(2), 3, clock.Now()))
	is.Equal(holder.holds(shardKey(2), 4, clock.Now()), false) // another epoch
	is.Equal(holder.holds(shardKey(3), 3, clock.Now()), false) // not granted
	is.Equal(holder.holds(shardKey(2), 3, clock.Now()+3*time.Second), false)
}

func TestNothingIsGrantedWithoutALease(t *testing.T) {
	is := is.New(t)
	client := &fakeKeys{}
	holder := newHolder(client, ledger.MinHold/2)
	holder.setGrants(1, listOf(3, 0))
	holder.renewDue(context.Background())
	is.Equal(len(client.grants), 0)
}

func TestReleasedKeysLetNothingThroughAndCarryTheToken(t *testing.T) {
	is := is.New(t)
	client := &fakeKeys{}
	holder := newHolder(client, 5*time.Second)
	holder.setGrants(1, listOf(3, 0, 1))
	holder.renewDue(context.Background())
	released, err := holder.release(listOf(3, 1))
	is.NoErr(err)
	is.Equal(len(released), 1)
	is.Equal(released[0].Token, "token")
	is.Equal(client.releases, []limehold.KeyRange{rangeOf(1, 1, 4)}) // above the fence of its grants
	is.Equal(holder.holds(shardKey(1), 3, clock.Now()), false)
	is.True(holder.holds(shardKey(0), 3, clock.Now()))
}

// If an instance does not answer a release, its keys must not be free before its last grant has expired.
func TestUnansweredReleaseWaitsForTheGrantToRunOut(t *testing.T) {
	is := is.New(t)
	client := &fakeKeys{}
	holder := newHolder(client, 5*time.Second)
	holder.setGrants(1, listOf(3, 0))
	holder.renewDue(context.Background())
	client.failing = errors.New("no answer")
	released, err := holder.release(listOf(3, 0))
	is.True(err != nil)
	is.Equal(len(released), 0)
	is.Equal(holder.holds(shardKey(0), 3, clock.Now()), false)
	holder.now = func() time.Duration { return clock.Now() + 20*time.Second }
	released, err = holder.release(listOf(3, 0))
	is.NoErr(err)
	is.Equal(len(released), 1)
}

func TestFencedGrantIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	client := &fakeKeys{failing: limehold.ErrFenced}
	holder := newHolder(client, 5*time.Second)
	holder.setGrants(1, listOf(3, 0))
	holder.renewDue(context.Background())
	is.Equal(holder.holds(shardKey(0), 3, clock.Now()), false)
	// It may hold the rest of its keys: it is cleared, and control has to raise the fence.
	client.failing = nil
	holder.renewDue(context.Background())
	is.Equal(client.cleared, []limehold.KeyRange{{Last: ownership.NumberSpace - 1, Fence: 1}, {Last: ownership.NumberSpace - 1, Fence: 4}})
	is.Equal(<-holder.refused, []fleet.ReleasedShard{{Key: shardKey(0), Epoch: 3}})
	is.Equal(len(client.grants), 0)
	holder.setGrants(1, listOf(4, 0))
	holder.renewDue(context.Background())
	is.Equal(client.grants, []limehold.KeyRange{rangeOf(0, 0, 4)})
}
