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

// lateKeys is an instance that leaves grants unanswered and applies them later, after newer ones. Their
// hold times count from their arrival.
type lateKeys struct {
	// cleared records the clearings of the incarnation that listens.
	cleared []limehold.KeyRange
	// unanswered is set to leave grants without an answer.
	unanswered bool
	pending    []lateGrant
	// start is the incarnation that is connected to. lost makes the next grant fail because no
	// connection is left.
	incarnation uint64
	lost        bool
	// seen and held are keyed by the first key of a range of one shard.
	seen map[uint32]uint64
	held map[uint32]lateGrant
}

type lateGrant struct {
	keys  limehold.KeyRange
	until time.Duration
}

var errNoAnswer = errors.New("no answer")

func newLateKeys() *lateKeys {
	return &lateKeys{incarnation: 1, seen: map[uint32]uint64{}, held: map[uint32]lateGrant{}}
}

func (l *lateKeys) each(keys limehold.KeyRange, do func(first uint32)) {
	size := rangeOf(0, 0, 0).Last + 1
	for first := keys.First; first <= keys.Last; first += size {
		do(first)
	}
}

// take applies a grant, unless a higher fence was seen on one of its keys.
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
		l.lost, l.incarnation = false, l.incarnation+1
		return limehold.ErrOtherIncarnation
	}
	grant := lateGrant{keys, clock.Now() + hold}
	if l.unanswered {
		l.pending = append(l.pending, grant)
		return errNoAnswer
	}
	return l.take(grant)
}

// Connect implements limehold.KeyClient.
func (l *lateKeys) Connect(context.Context) (uint64, error) { return l.incarnation, nil }

// Incarnation implements limehold.KeyClient.
func (l *lateKeys) Incarnation() uint64 { return l.incarnation }

// ReleaseAt implements limehold.KeyClient.
func (l *lateKeys) ReleaseAt(ctx context.Context, _ uint64, keys limehold.KeyRange) (string, error) {
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

// deliverPending applies the unanswered grants.
func (l *lateKeys) deliverPending() {
	for _, grant := range l.pending {
		_ = l.take(grant) // an error is expected in some cases; held shows the result
	}
	l.pending = nil
}

// holds returns the fence under which the instance holds a shard; 0 if it does not.
func (l *lateKeys) holds(shard uint32) uint64 {
	return l.held[rangeOf(shard, shard, 0).First].keys.Fence
}

// An unanswered grant may be applied seconds later, after newer ones. It must not admit requests
// meanwhile, and must not restore keys that were released or granted anew.
func TestGrantThatIsTakenLateBringsNothingBack(t *testing.T) {
	const shard = 4
	for name, c := range map[string]struct {
		// between happens after the unanswered grant under fence 3 and before that grant is applied.
		between func(holder callHolder, client *lateKeys)
		// held is the fence under which the instance then holds the shard, and admitted the epoch under
		// which requests are admitted; 0 if none.
		held, admitted uint64
	}{
		"nothing happened": {func(callHolder, *lateKeys) {}, 3, 0},
		"granted again":    {func(holder callHolder, _ *lateKeys) { holder.renewDue(context.Background()) }, 3, 3},
		"let go":           {func(holder callHolder, _ *lateKeys) { _, _ = holder.release(listOf(3, shard)) }, 0, 0},
		"let go, and given back": {func(holder callHolder, _ *lateKeys) {
			_, _ = holder.release(listOf(3, shard))
			holder.setGrants(1, listOf(7, shard))
			holder.renewDue(context.Background())
		}, 7, 7},
		"another shard given": {func(holder callHolder, _ *lateKeys) {
			holder.setGrants(1, append(listOf(3, shard), listOf(5, shard+1)...))
			holder.renewDue(context.Background())
		}, 3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newLateKeys()
			holder := newHolder(client, 5*time.Second)
			holder.setGrants(1, listOf(3, shard))
			client.unanswered = true
			holder.renewDue(context.Background())
			client.unanswered = false
			key := ownership.Key{Service: "numbers", Shard: shard}
			is.Equal(holder.holds(key, 3, clock.Now()), false) // it is not known to be held
			c.between(holder, client)
			client.deliverPending()
			is.Equal(client.holds(shard), c.held)
			for _, epoch := range []uint64{3, 7} {
				is.Equal(holder.holds(key, epoch, clock.Now()), epoch == c.admitted)
			}
		})
	}
}

// An unanswered grant must not be applied once its keys may belong to another node: after the
// incarnation was cleared and the shard returned, or after the node's lease.
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
			holder.connectForSession(context.Background())
			holder.sessionOpened(9, true, true)
			holder.setLease(9, clock.Now()+lease)
			holder.renewDue(context.Background())
			<-holder.provenReleases
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client := newLateKeys()
			holder := newHolder(client, lease)
			holder.setGrants(1, listOf(3, shard))
			client.unanswered = true
			holder.renewDue(context.Background())
			client.unanswered = false
			is.Equal(len(client.pending), 1)
			between(holder, client)
			client.deliverPending()
			is.Equal(client.holds(shard), uint64(0))
		})
	}
}
