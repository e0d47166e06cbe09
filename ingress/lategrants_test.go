package ingress

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold"
	"limehold/clock"
	"limehold/ownership"
)

// lateKeys is an instance that leaves grants unanswered and takes them later, behind newer
// ones. Their time counts from when they arrived.
type lateKeys struct {
	// cleared are the clearings of the start that listens.
	cleared []limehold.KeyRange
	// mute leaves grants without an answer.
	mute    bool
	pending []lateGrant
	// start is the one that is connected to, lost has the next grant find that no connection is left.
	start uint64
	lost  bool
	// seen and held are by the first key of a range of one shard.
	seen map[uint32]uint64
	held map[uint32]lateGrant
}

type lateGrant struct {
	keys  limehold.KeyRange
	until time.Duration
}

var errMute = errors.New("no answer")

func newLateKeys() *lateKeys {
	return &lateKeys{start: 1, seen: map[uint32]uint64{}, held: map[uint32]lateGrant{}}
}

func (l *lateKeys) each(keys limehold.KeyRange, do func(first uint32)) {
	size := rangeOf(0, 0, 0).Last + 1
	for first := keys.First; first <= keys.Last; first += size {
		do(first)
	}
}

// take takes a grant, unless a higher fence was seen on one of its keys.
func (l *lateKeys) take(grant lateGrant) error {
	fenced := false
	l.each(grant.keys, func(first uint32) { fenced = fenced || l.seen[first] > grant.keys.Fence })
	if fenced {
		return limehold.ErrFenced
	}
	l.each(grant.keys, func(first uint32) { l.seen[first], l.held[first] = grant.keys.Fence, grant })
	return nil
}

// Grant implements limehold.KeyClient.
func (l *lateKeys) Grant(_ context.Context, _ uint64, keys limehold.KeyRange, hold time.Duration, _ string) error {
	if l.lost {
		l.lost, l.start = false, l.start+1
		return limehold.ErrAnotherStart
	}
	grant := lateGrant{keys, clock.Now() + hold}
	if l.mute {
		l.pending = append(l.pending, grant)
		return errMute
	}
	return l.take(grant)
}

// Connect implements limehold.KeyClient.
func (l *lateKeys) Connect(context.Context) (uint64, error) { return l.start, nil }

// Start implements limehold.KeyClient.
func (l *lateKeys) Start() uint64 { return l.start }

// Clear implements limehold.KeyClient.
func (l *lateKeys) Clear(ctx context.Context, _ uint64, keys limehold.KeyRange) (string, error) {
	l.cleared = append(l.cleared, keys)
	return l.Release(ctx, keys)
}

// Release implements limehold.KeyClient.
func (l *lateKeys) Release(_ context.Context, keys limehold.KeyRange) (string, error) {
	l.each(keys, func(first uint32) {
		l.seen[first] = max(l.seen[first], keys.Fence)
		delete(l.held, first)
	})
	return "token", nil
}

// late takes what was left unanswered.
func (l *lateKeys) late() {
	for _, grant := range l.pending {
		_ = l.take(grant) // refused is what some cases are about; held tells
	}
	l.pending = nil
}

// holds is the fence under which the instance holds a shard; zero: it does not.
func (l *lateKeys) holds(shard uint32) uint64 {
	return l.held[rangeOf(shard, shard, 0).First].keys.Fence
}

// A grant that got no answer may be taken seconds later, behind newer ones. It lets nothing
// through meanwhile, and brings back nothing that was let go or given anew.
func TestGrantThatIsTakenLateBringsNothingBack(t *testing.T) {
	const shard = 4
	for name, c := range map[string]struct {
		// between happens after the unanswered grant under fence 3 and before it is taken.
		between func(holder callHolder, client *lateKeys)
		// held is the fence under which the instance then holds the shard, let is the epoch
		// under which requests are let through; zero: none.
		held, let uint64
	}{
		"nothing happened": {func(callHolder, *lateKeys) {}, 3, 0},
		"granted again":    {func(holder callHolder, _ *lateKeys) { holder.renewDue(context.Background()) }, 3, 3},
		"let go":           {func(holder callHolder, _ *lateKeys) { _, _ = holder.release(listOf(3, shard)) }, 0, 0},
		"let go, and given back": {func(holder callHolder, _ *lateKeys) {
			_, _ = holder.release(listOf(3, shard))
			holder.take(1, listOf(7, shard))
			holder.renewDue(context.Background())
		}, 7, 7},
		"another shard given": {func(holder callHolder, _ *lateKeys) {
			holder.take(1, append(listOf(3, shard), listOf(5, shard+1)...))
			holder.renewDue(context.Background())
		}, 3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newLateKeys()
			holder := newHolder(client, 5*time.Second)
			holder.take(1, listOf(3, shard))
			client.mute = true
			holder.renewDue(context.Background())
			client.mute = false
			key := ownership.Key{Service: "numbers", Shard: shard}
			is.Equal(holder.holds(key, 3, clock.Now()), false) // it is not known to be taken
			c.between(holder, client)
			client.late()
			is.Equal(client.holds(shard), c.held)
			for _, epoch := range []uint64{3, 7} {
				is.Equal(holder.holds(key, epoch, clock.Now()), epoch == c.let)
			}
		})
	}
}

// A grant that got no answer is taken once its keys may be another node's: after the start was cleared
// and the shard handed back, or after the node's lease.
func TestGrantThatIsTakenLateTakesNothingFromOthers(t *testing.T) {
	const shard = 4
	const lease = 1200 * time.Millisecond
	for name, between := range map[string]func(holder callHolder, client *lateKeys){
		"connections lost, cleared again": func(holder callHolder, client *lateKeys) {
			client.lost = true
			holder.renewDue(context.Background())
			holder.renewDue(context.Background())
			<-holder.refused
		},
		"the lease over": func(holder callHolder, _ *lateKeys) {
			holder.now = func() time.Duration { return clock.Now() + 2*lease }
			holder.renewDue(context.Background())
		},
		"the session dropped": func(holder callHolder, _ *lateKeys) {
			holder.setLease(0, 0)
			holder.renewDue(context.Background())
		},
		"another session": func(holder callHolder, _ *lateKeys) {
			holder.opening(context.Background())
			holder.opened(9, true, true)
			holder.setLease(9, clock.Now()+lease)
			holder.renewDue(context.Background())
			<-holder.vacated
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newLateKeys()
			holder := newHolder(client, lease)
			holder.take(1, listOf(3, shard))
			client.mute = true
			holder.renewDue(context.Background())
			client.mute = false
			is.Equal(len(client.pending), 1)
			between(holder, client)
			client.late()
			is.Equal(client.holds(shard), uint64(0))
		})
	}
}
