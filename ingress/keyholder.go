package ingress

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"limehold"
	"limehold/agent"
	"limehold/clock"
	"limehold/fleet"
	"limehold/ledger"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quiescence"
	"limehold/settings"
	"limehold/wire"
)

// keyHolder guards the instance's ledger with a mutex and notifies the instance of its keys. Its
// invariants are those of ledger.Ledger.
type keyHolder struct {
	logger   *zap.Logger
	notifier limehold.KeyNotifier
	// heartbeatInterval is the interval of the instance's heartbeats.
	heartbeatInterval time.Duration

	// provenReleases receives the newest session for which it is proven that the instance holds no keys under
	// earlier sessions.
	provenReleases chan membership.SessionID
	// maxHold is the longest time for which keys are granted to the instance at once.
	maxHold time.Duration

	// maxGrantDelay is the longest time after which the instance may apply an unanswered grant.
	maxGrantDelay time.Duration

	// refused receives the shards that the instance does not accept under their epoch.
	refused chan []fleet.ReleasedShard

	calls *keyCalls

	mutex  sync.Mutex
	ledger *ledger.Ledger
	// changed is closed, and replaced by a new channel, when the ledger may have changed.
	changed chan struct{}
}

// answerBytes is the size in bytes available for rows in an answer to a heartbeat: instances accept
// no answer of more than 4096 bytes, and the rest of an answer is shorter than 96.
const answerBytes = 4000

func newKeyHolder(options Options) *keyHolder {
	config := options.Settings.Ingress
	h := &keyHolder{logger: options.Logger, heartbeatInterval: config.AnnounceEvery, provenReleases: make(chan membership.SessionID, 1), maxHold: config.HoldTime, maxGrantDelay: maxGrantDelay(config), refused: make(chan []fleet.ReleasedShard, 1), calls: newKeyCalls(), changed: make(chan struct{})}
	h.ledger = ledger.New(ledger.Options{Shards: fleet.RoutedShards, Hold: config.HoldTime, AnswerBytes: answerBytes, ProcessStart: clock.Now(), Lateness: h.maxGrantDelay})
	switch {
	case config.GrantBy == settings.GrantByHeartbeat:
		h.notifier = newHeartbeatNotifier(h, config, options.Metrics)
	case options.Keys != nil:
		h.notifier = newCallNotifier(h, options.Keys, options.Metrics)
	default:
		h.notifier = noNotifier{}
	}
	return h
}

// maxGrantDelay returns the longest time after which an instance may apply a grant that it leaves unanswered: 0
// with heartbeats, as the instance ignores a late answer and counts the hold time from sending its heartbeat.
func maxGrantDelay(config settings.Ingress) time.Duration {
	if config.GrantBy == settings.GrantByHeartbeat {
		return 0
	}
	return limehold.GrantDelayLimit(config.MaxGrantDelay)
}

// noNotifier is the notifier for an instance whose service is never divided by key.
type noNotifier struct{}

// Run implements limehold.KeyNotifier.
func (noNotifier) Run(context.Context) {}

// NotifyChanged implements limehold.KeyNotifier.
func (noNotifier) NotifyChanged() {}

// Release implements limehold.KeyNotifier.
func (noNotifier) Release(ranges []limehold.KeyRange) ([]limehold.ReleasedRange, error) {
	released := make([]limehold.ReleasedRange, 0, len(ranges))
	for _, ranged := range ranges {
		released = append(released, limehold.ReleasedRange{KeyRange: ranged})
	}
	return released, nil
}

// Revoke implements limehold.KeyNotifier.
func (noNotifier) Revoke([]limehold.KeyRange) {}

// reportProvenRelease sends a session to provenReleases: the instance is proven to hold no keys under
// earlier ones. The session replaces one that has not been received yet.
func (h *keyHolder) reportProvenRelease(session membership.SessionID) {
	select {
	case <-h.provenReleases:
	default:
	}
	h.provenReleases <- session
}

// notifyChanged notifies all waiters, and the instance's notifier, that the ledger has changed.
func (h *keyHolder) notifyChanged() {
	h.mutex.Lock()
	close(h.changed)
	h.changed = make(chan struct{})
	h.mutex.Unlock()
	h.notifier.NotifyChanged()
}

// withLedger calls a function with the ledger. It unlocks the mutex even if the function panics.
func (h *keyHolder) withLedger(use func(l *ledger.Ledger)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	use(h.ledger)
}

// setLease sets the node's session and the expiry of its lease.
func (h *keyHolder) setLease(session membership.SessionID, expiry time.Duration) {
	h.withLedger(func(l *ledger.Ledger) { l.SetLease(uint64(session), expiry) })
	h.notifyChanged()
}

// setGrants replaces the list of grants for a session by the one that control sent.
func (h *keyHolder) setGrants(session uint64, grants []wire.BackendGrant) {
	var added int
	var removed []ledger.Grant
	h.withLedger(func(l *ledger.Ledger) { added, removed = l.ReplaceGrants(session, ledgerGrants(grants), clock.Now()) })
	if len(removed) > 0 {
		h.notifier.Revoke(h.rangesOf(removed))
	}
	if added > 0 || len(removed) > 0 {
		h.logger.Info("keys_listed", zap.Int("shards", len(grants)), zap.Int("added", added), zap.Int("dropped", len(removed)))
	}
	h.notifyChanged()
}

// holds reports whether the instance may run a request on a shard under an epoch.
func (h *keyHolder) holds(key ownership.Key, epoch uint64, now time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ledger.Holds(key, epoch, now)
}

// awaitKey waits until the instance holds a shard under an epoch that it is expected to hold soon, for at
// most maxWait. The instance is notified at its next heartbeat: if that is due only after maxWait,
// awaitKey does not wait. It returns the time until the next heartbeat if the shard is still expected
// and not held; 0 if it is held or no longer expected, or if the wait was cancelled.
func (h *keyHolder) awaitKey(key ownership.Key, epoch uint64, maxWait time.Duration, cancelled <-chan struct{}) time.Duration {
	if wait := h.untilHeartbeat(clock.Now()); wait > maxWait {
		return wait
	}
	timer := clock.NewTimer(maxWait)
	defer timer.Stop()
	for {
		now := clock.Now()
		var held, expected bool
		var changed chan struct{}
		h.withLedger(func(l *ledger.Ledger) {
			held, expected, changed = l.Holds(key, epoch, now), l.Expects(key, epoch, now), h.changed
		})
		if held || !expected {
			return 0
		}
		select {
		case <-changed:
		case <-timer.C:
			return h.untilHeartbeat(clock.Now())
		case <-cancelled:
			return 0
		}
	}
}

// expectsKey reports whether the instance is about to be granted a shard that it does not hold yet.
func (h *keyHolder) expectsKey(key ownership.Key, epoch uint64) bool {
	now := clock.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.ledger.Holds(key, epoch, now) && h.ledger.Expects(key, epoch, now)
}

// untilHeartbeat returns the time until the instance's next heartbeat is due.
func (h *keyHolder) untilHeartbeat(now time.Duration) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(0, h.ledger.LastHeartbeat()+h.heartbeatInterval-now)
}

// returnRefused offers control the shards that the instance does not accept, so that control raises their
// fence. The token is that of their state, if the instance has returned one. If an earlier offer was
// not received yet, returnRefused drops this one.
func (h *keyHolder) returnRefused(grants []ledger.Grant, token string) {
	shards := make([]fleet.ReleasedShard, 0, len(grants))
	for _, grant := range grants {
		shards = append(shards, fleet.ReleasedShard{Key: grant.Key, Epoch: grant.Epoch, Token: token})
	}
	select {
	case h.refused <- shards:
		h.logger.Warn("keys_refused", zap.Int("shards", len(shards)), zap.Stringer("first", grants[0].Key), zap.Uint64("fence", grants[0].Epoch))
	default:
	}
}

// usesHeartbeats reports whether the instance is notified of its keys in the answers to its heartbeats.
func (h *keyHolder) usesHeartbeats() bool {
	_, ok := h.notifier.(*heartbeatNotifier)
	return ok
}

// release makes the instance release shards, and returns those that it no longer holds. It returns an error
// only if there are none. Once the ingress stops, it releases nothing.
func (h *keyHolder) release(shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	if !h.calls.begin() {
		return nil, errKeyCallsStopped
	}
	defer h.calls.finish()
	grants := ledgerGrants(shards)
	slices.SortFunc(grants, func(a, b ledger.Grant) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Shard, b.Key.Shard))
	})
	h.withLedger(func(l *ledger.Ledger) { l.BeginRelease(grants) })
	h.notifyChanged()
	byFirst := make(map[uint32]ledger.Grant, len(grants))
	ranges := h.rangesOf(grants)
	for i, ranged := range ranges {
		byFirst[ranged.First] = grants[i]
	}
	done, err := h.notifier.Release(ranges)
	released := make([]fleet.ReleasedShard, 0, len(done))
	for _, ranged := range done {
		grant := byFirst[ranged.First]
		released = append(released, fleet.ReleasedShard{Key: grant.Key, Epoch: grant.Epoch, Token: ranged.Token})
	}
	if len(released) > 0 {
		h.logger.Info("keys_released", zap.Int("shards", len(released)))
		return released, nil
	}
	return nil, err
}

func (h *keyHolder) rangesOf(grants []ledger.Grant) []limehold.KeyRange {
	ranges := make([]limehold.KeyRange, 0, len(grants))
	for _, grant := range grants {
		first, last := ownership.Range(grant.Key.Shard, fleet.RoutedShards)
		ranges = append(ranges, limehold.KeyRange{First: first, Last: last, Fence: grant.Epoch})
	}
	return ranges
}

func ledgerGrants(grants []wire.BackendGrant) []ledger.Grant {
	list := make([]ledger.Grant, 0, len(grants))
	for _, grant := range grants {
		list = append(list, ledger.Grant{Key: ownership.Key{Service: grant.Service, Shard: grant.Shard}, Epoch: grant.Epoch, Token: grant.Token})
	}
	return list
}

// Lease implements agent.Backend.
func (i *Instance) Lease(session membership.SessionID, expiry time.Duration) error {
	i.keys.setLease(session, expiry)
	return nil
}

// Grants implements agent.Backend. It ignores a list without a revision, which precedes the first complete
// list of its session. If keys are granted by heartbeat, it also ignores a list for another incarnation of
// the instance.
func (i *Instance) Grants(list *wire.BackendGrants) error {
	i.mutex.Lock()
	incarnation := i.current.From().String()
	i.mutex.Unlock()
	i.checkGrantMethod()
	if list.Revision == 0 || i.keys.usesHeartbeats() && list.Incarnation != incarnation {
		return nil
	}
	i.keys.withLedger(func(l *ledger.Ledger) { l.RecordRevision(list.Revision) })
	i.keys.setGrants(list.Session, list.Grants)
	return nil
}

// checkGrantMethod logs an error if the route table and the settings differ in how the instance is notified
// of its keys, as the instance then probably expects the other method. The settings apply, as they are
// specific to this machine.
func (i *Instance) checkGrantMethod() {
	if i.options.Service == nil {
		return
	}
	i.mutex.Lock()
	service := i.current.Service
	i.mutex.Unlock()
	own, routed := i.options.Settings.Ingress.GrantBy, i.options.Service(service).NotifyBy
	if routed != "" && routed != own {
		i.logger.Error("grant_ways_differ", zap.String("service", service), zap.String("field", "ingress.grant_by"), zap.String("value", own),
			zap.String("route_table", routed), zap.String("next", "set ingress.grant_by to what the service says, or change the service"))
	}
}

// endProofs returns Description.PredecessorsEnded and Description.Exclusive of package agent. Without keys
// both are true. With calls both are false: the proof that nothing of an earlier session is held is the
// clearing of the incarnation. With heartbeats an incarnation is granted only the keys of its own
// session, and the earlier incarnation has ended if the current one is known to be its successor.
func (i *Instance) endProofs() (predecessorsEnded, exclusive bool) {
	switch i.keys.notifier.(type) {
	case noNotifier:
		return true, true
	case *heartbeatNotifier:
		i.mutex.Lock()
		defer i.mutex.Unlock()
		return i.isSuccessor, true
	}
	return false, false
}

// grantRecipient is the recipient of grants at a moment: the session and, with calls, the incarnation.
type grantRecipient struct{ session, incarnation uint64 }

func (h *keyHolder) recipient() grantRecipient {
	var current grantRecipient
	h.withLedger(func(l *ledger.Ledger) { current.session = l.Session() })
	if notifier, ok := h.notifier.(*callNotifier); ok {
		current.incarnation = notifier.client.Incarnation()
	}
	return current
}

// endSession stops granting keys under a session because its instance has ended. before is the recipient
// from before the end was detected. It reports false, and the session continues, if another incarnation has
// been connected to since: that one may have been granted keys under the session.
func (h *keyHolder) endSession(before grantRecipient) bool {
	if notifier, ok := h.notifier.(*callNotifier); ok {
		return notifier.endSession(before)
	}
	h.withLedger(func(l *ledger.Ledger) { l.EndSession(before.session) })
	return true
}

// BeforeOpen implements agent.Backend. With calls it connects to the instance, so that the keys of the session
// that is requested next are assigned after that connection was made.
func (i *Instance) BeforeOpen(ctx context.Context) {
	if notifier, ok := i.keys.notifier.(*callNotifier); ok && i.mayBeKeyed() {
		notifier.connectForSession(ctx)
	}
}

// mayBeKeyed reports whether the instance's service is divided by key, or is not known yet.
func (i *Instance) mayBeKeyed() bool {
	if i.options.Service == nil {
		return true
	}
	i.mutex.Lock()
	name := i.current.Service
	i.mutex.Unlock()
	service := i.options.Service(name)
	return service.Name == "" || service.Keyed
}

// SessionOpened implements agent.Backend.
func (i *Instance) SessionOpened(opened agent.OpenedSession) {
	switch notifier := i.keys.notifier.(type) {
	case *callNotifier:
		notifier.sessionOpened(uint64(opened.Session), opened.Created, len(opened.SupersededIncarnations) > 0)
	case *heartbeatNotifier:
		if len(opened.SupersededIncarnations) > 0 {
			i.predecessorProof.request(opened)
		}
	}
}

// ProvenReleases implements agent.Backend.
func (i *Instance) ProvenReleases() <-chan membership.SessionID { return i.keys.provenReleases }

// Claim implements agent.Backend. With heartbeats there is nothing to claim, as the hold time of a grant
// counts from the heartbeat.
func (i *Instance) Claim() quiescence.Claim {
	if notifier, ok := i.keys.notifier.(*callNotifier); ok {
		return notifier.claim()
	}
	return quiescence.Claim{}
}

// ClaimAcknowledged implements agent.Backend.
func (i *Instance) ClaimAcknowledged(claim quiescence.Claim) {
	if notifier, ok := i.keys.notifier.(*callNotifier); ok {
		notifier.claimAcknowledged(claim)
	}
}

// RenewNow implements agent.Backend.
func (i *Instance) RenewNow() <-chan struct{} {
	if notifier, ok := i.keys.notifier.(*callNotifier); ok {
		return notifier.inFlight.renewRequests
	}
	return i.load.renewRequests
}

// Release implements agent.Backend. A range counts as released once the instance confirms that, or once
// every grant that the instance may have received has expired.
func (i *Instance) Release(_ membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	return i.keys.release(shards)
}
