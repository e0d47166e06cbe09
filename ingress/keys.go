package ingress

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/clock"
	"limehold/fleet"
	"limehold/logging"
	"limehold/membership"
	"limehold/ownership"
	"limehold/wire"
)

// keyHolder keeps the instance's grants as control's list says, and knows which of
// them the instance has confirmed.
//
// Invariants:
//   - The instance is never given keys for longer than the node's own lease runs, its
//     clock's error included: when control gives them to another node, it holds none.
//   - A request is let through only while a grant that the instance has confirmed
//     holds, counted from before the grant was sent.
//   - A key that is being released lets nothing through from the moment at which the
//     release begins.
//   - A release shows the instance a higher fence than its grants had: one that got no
//     answer, and is carried out seconds later, is refused by it.
type keyHolder struct {
	client   limehold.KeyClient
	holdTime time.Duration
	logger   *zap.Logger

	// calling is held while a grant is under way: a release is sent after it.
	calling sync.Mutex
	mutex   sync.Mutex
	expiry  time.Duration
	shards  map[ownership.Key]*heldShard
	wake    chan struct{}
}

// heldShard is one shard of control's list.
type heldShard struct {
	epoch uint64
	token string
	// until is when the confirmed grant ends; zero: none is confirmed.
	until time.Duration
	// renewAt is when the grant is to be sent again.
	renewAt time.Duration
	// possible is the latest moment to which any grant that was sent may hold.
	possible  time.Duration
	releasing bool
	// refused is set once the instance has answered that it saw a higher fence.
	refused bool
}

const (
	// instanceDrift is the error of an instance's clock, in thousandths.
	instanceDrift = 20
	permille      = 1000
	// grantMargin is kept between the end of a grant and the end of the lease.
	grantMargin = 100 * time.Millisecond
	// shortestHold is the least time that a grant is worth sending for.
	shortestHold  = 200 * time.Millisecond
	grantTimeout  = 700 * time.Millisecond
	releasePoll   = 5 * time.Second
	grantRetry    = 100 * time.Millisecond
	renewalsAHold = 3
)

func newKeyHolder(client limehold.KeyClient, holdTime time.Duration, logger *zap.Logger) *keyHolder {
	return &keyHolder{client: client, holdTime: holdTime, logger: logger, shards: map[ownership.Key]*heldShard{}, wake: make(chan struct{}, 1)}
}

func (h *keyHolder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Lease implements agent.Backend.
func (i *Instance) Lease(_ membership.SessionID, expiry time.Duration) error {
	i.keys.mutex.Lock()
	i.keys.expiry = expiry
	i.keys.mutex.Unlock()
	i.keys.signal()
	return nil
}

// Grants implements agent.Backend.
func (i *Instance) Grants(list *wire.BackendGrants) error {
	i.keys.take(list.Grants)
	return nil
}

func (h *keyHolder) take(grants []wire.BackendGrant) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	listed := make(map[ownership.Key]bool, len(grants))
	added := 0
	for _, grant := range grants {
		key := ownership.Key{Service: grant.Service, Shard: grant.Shard}
		listed[key] = true
		known := h.shards[key]
		if known != nil && known.epoch == grant.Epoch {
			known.releasing = false
			continue
		}
		h.shards[key] = &heldShard{epoch: grant.Epoch, token: grant.Token}
		added++
	}
	dropped := 0
	var lost []wire.BackendGrant
	now := clock.Now()
	for key, known := range h.shards {
		switch {
		case listed[key]:
		case !known.releasing:
			// It is being released, or belongs to a session that has ended.
			known.releasing = true
			dropped++
			lost = append(lost, wire.BackendGrant{Service: key.Service, Shard: key.Shard, Epoch: known.epoch})
		case known.possible < now:
			delete(h.shards, key)
		}
	}
	if dropped > 0 {
		go h.fenceOff(lost)
	}
	if added > 0 || dropped > 0 {
		h.logger.Info("keys_listed", zap.Int("shards", len(grants)), zap.Int("added", added), zap.Int("dropped", dropped))
	}
	h.signal()
}

// holds reports whether the instance may run a request on a shard under an epoch.
func (h *keyHolder) holds(key ownership.Key, epoch uint64, now time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known := h.shards[key]
	return known != nil && known.epoch == epoch && !known.releasing && now < known.until && now < h.expiry
}

// grantRun is a range of neighbouring shards that one call grants.
type grantRun struct {
	keys   []ownership.Key
	ranged limehold.KeyRange
	token  string
	due    time.Duration
}

// run keeps the instance's grants until ctx ends.
func (h *keyHolder) run(ctx context.Context) {
	if h.client == nil {
		return
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		next := h.renewDue(ctx)
		timer.Reset(next)
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-timer.C:
		}
	}
}

// renewDue sends every grant that is due, and returns when the next one is.
func (h *keyHolder) renewDue(ctx context.Context) time.Duration {
	runs := h.runs()
	slices.SortStableFunc(runs, func(a, b grantRun) int { return cmp.Compare(a.due, b.due) })
	for _, run := range runs {
		now := clock.Now()
		if run.due > now {
			break
		}
		hold := h.holdFor(now)
		if hold < shortestHold {
			// Without a lease there is nothing to give; the next renewal wakes this loop.
			return time.Hour
		}
		if !h.grant(ctx, run, hold, now) {
			return grantRetry
		}
	}
	return h.nextDue()
}

// nextDue is how long it takes until the next grant is due.
func (h *keyHolder) nextDue() time.Duration {
	wait, now := time.Hour, clock.Now()
	for _, run := range h.runs() {
		wait = min(wait, max(0, run.due-now))
	}
	return wait
}

// holdFor is how long the instance may be given keys at now.
func (h *keyHolder) holdFor(now time.Duration) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	left := (h.expiry - now - grantMargin) * permille / (permille + instanceDrift)
	return min(h.holdTime, left)
}

// grant sends one grant; false when it should be tried again after a pause.
func (h *keyHolder) grant(ctx context.Context, run grantRun, hold, now time.Duration) bool {
	possible := now + grantTimeout + hold*(permille+instanceDrift)/permille
	h.each(run, func(shard *heldShard) { shard.possible = max(shard.possible, possible) })
	callContext, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	h.calling.Lock()
	if !h.stillWanted(run) {
		h.calling.Unlock()
		return true
	}
	err := h.client.Grant(callContext, run.ranged, hold, run.token)
	h.calling.Unlock()
	if err == nil {
		h.each(run, func(shard *heldShard) {
			if shard.until == 0 {
				h.logger.Debug("keys_granted", zap.Uint32("first", run.ranged.First), zap.Uint32("last", run.ranged.Last), zap.Uint64("fence", run.ranged.Fence))
			}
			shard.until, shard.renewAt = now+hold, now+hold/renewalsAHold
		})
		return true
	}
	fenced := errors.Is(err, limehold.ErrFenced)
	h.logger.Warn("keys_not_granted", append(logging.Step("grant keys", "instance", err),
		zap.Uint32("first", run.ranged.First), zap.Uint32("last", run.ranged.Last), zap.Uint64("fence", run.ranged.Fence), zap.Bool("fenced", fenced))...)
	if fenced {
		h.each(run, func(shard *heldShard) { shard.refused, shard.until = true, 0 })
		return true
	}
	return false
}

// stillWanted reports whether none of a run's shards is being released by now.
func (h *keyHolder) stillWanted(run grantRun) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, key := range run.keys {
		if shard := h.shards[key]; shard == nil || shard.releasing || shard.epoch != run.ranged.Fence {
			return false
		}
	}
	return true
}

// each changes the shards of a run that are still as they were when it was made.
func (h *keyHolder) each(run grantRun, change func(*heldShard)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, key := range run.keys {
		if shard := h.shards[key]; shard != nil && shard.epoch == run.ranged.Fence && !shard.releasing {
			change(shard)
		}
	}
}

// runs joins neighbouring shards of one fence and token.
func (h *keyHolder) runs() []grantRun {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	keys := make([]ownership.Key, 0, len(h.shards))
	for key, shard := range h.shards {
		if !shard.releasing && !shard.refused {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b ownership.Key) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	var runs []grantRun
	for _, key := range keys {
		shard := h.shards[key]
		first, last := ownership.Range(key.Shard, fleet.RoutedShards)
		if count := len(runs); count > 0 {
			previous := &runs[count-1]
			neighbour := previous.keys[len(previous.keys)-1]
			if neighbour.Service == key.Service && previous.ranged.Last+1 == first && previous.ranged.Fence == shard.epoch && previous.token == shard.token {
				previous.keys = append(previous.keys, key)
				previous.ranged = previous.ranged.WithLast(last)
				previous.due = min(previous.due, shard.renewAt)
				continue
			}
		}
		runs = append(runs, grantRun{keys: []ownership.Key{key}, ranged: limehold.KeyRange{First: first, Last: last, Fence: shard.epoch}, token: shard.token, due: shard.renewAt})
	}
	return runs
}

// Release implements agent.Backend: it lets shards go, range by range. A range is
// let go once the instance says so, or once no grant that was ever sent can hold.
func (i *Instance) Release(_ membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	return i.keys.release(shards)
}

func (h *keyHolder) release(shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	sortGrants(shards)
	h.mutex.Lock()
	for _, item := range shards {
		key := ownership.Key{Service: item.Service, Shard: item.Shard}
		if known := h.shards[key]; known != nil && known.epoch == item.Epoch {
			known.releasing = true
		}
	}
	h.mutex.Unlock()
	var released []fleet.ReleasedShard
	var last error
	for len(shards) > 0 {
		count, ranged := neighbours(shards)
		token, err := h.releaseRange(ranged, shards[:count])
		if err != nil {
			last = err
		} else {
			for _, item := range shards[:count] {
				released = append(released, fleet.ReleasedShard{Key: ownership.Key{Service: item.Service, Shard: item.Shard}, Epoch: item.Epoch, Token: token})
			}
		}
		shards = shards[count:]
	}
	if len(released) > 0 {
		h.logger.Info("keys_released", zap.Int("shards", len(released)))
		return released, nil
	}
	return nil, last
}

// fenceOff shows the instance a higher fence on shards that control's list no longer
// names, without waiting for anything: a grant of them may still be on its way to it.
func (h *keyHolder) fenceOff(shards []wire.BackendGrant) {
	sortGrants(shards)
	for len(shards) > 0 {
		count, ranged := neighbours(shards)
		if _, err := h.releaseRange(ranged, shards[:count]); err != nil {
			h.logger.Info("keys_not_fenced_off", append(logging.Step("release keys", "instance", err), zap.Uint32("first", ranged.First), zap.Uint32("last", ranged.Last))...)
		}
		shards = shards[count:]
	}
}

func sortGrants(shards []wire.BackendGrant) {
	slices.SortFunc(shards, func(a, b wire.BackendGrant) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
}

// neighbours is how many of the first shards one call releases, and their range.
func neighbours(shards []wire.BackendGrant) (int, limehold.KeyRange) {
	first, last := ownership.Range(shards[0].Shard, fleet.RoutedShards)
	ranged := limehold.KeyRange{First: first, Last: last, Fence: shards[0].Epoch}
	count := 1
	for count < len(shards) && shards[count].Service == shards[0].Service && shards[count].Shard == shards[count-1].Shard+1 && shards[count].Epoch == shards[0].Epoch {
		_, last = ownership.Range(shards[count].Shard, fleet.RoutedShards)
		count++
	}
	return count, ranged.WithLast(last)
}

func (h *keyHolder) releaseRange(ranged limehold.KeyRange, shards []wire.BackendGrant) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), releasePoll)
	defer cancel()
	// Grants of these shards are not sent any more; one that is under way ends first.
	h.awaitCall()
	token, err := h.client.Release(ctx, ranged.WithFence(ranged.Fence+1))
	if err == nil {
		h.forget(shards)
		return token, nil
	}
	if h.possiblyHeld(shards) <= clock.Now() {
		h.forget(shards)
		return "", nil
	}
	return "", err
}

// awaitCall returns once no grant is under way that began before.
func (h *keyHolder) awaitCall() {
	h.calling.Lock()
	defer h.calling.Unlock()
}

// possiblyHeld is the latest moment to which a grant of the shards may hold.
func (h *keyHolder) possiblyHeld(shards []wire.BackendGrant) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var latest time.Duration
	for _, item := range shards {
		if known := h.shards[ownership.Key{Service: item.Service, Shard: item.Shard}]; known != nil {
			latest = max(latest, known.possible)
		}
	}
	return latest
}

func (h *keyHolder) forget(shards []wire.BackendGrant) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, item := range shards {
		key := ownership.Key{Service: item.Service, Shard: item.Shard}
		if known := h.shards[key]; known != nil && known.epoch == item.Epoch {
			delete(h.shards, key)
		}
	}
}
