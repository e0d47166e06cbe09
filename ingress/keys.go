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

// keyHolder is what the instance holds, for several goroutines: the ledger behind a
// mutex, and the carrier that brings it to the instance. Invariants: see ledger.Ledger.
type keyHolder struct {
	logger  *zap.Logger
	carrier limehold.KeyCarrier
	// every is the interval of the instance's heartbeats.
	every time.Duration

	// vacated brings sessions for which it is proved that nothing is held under those before them.
	vacated chan membership.SessionID
	// longest is the longest time for which the instance is told to hold keys at once.
	longest time.Duration

	// refused brings shards that the instance does not take under their epoch.
	refused chan []fleet.ReleasedShard

	mutex  sync.Mutex
	ledger *ledger.Ledger
	// changed is closed, and made anew, when something may have changed.
	changed chan struct{}
}

// answerBytes is the room for rows in an answer to a heartbeat: instances take no answer
// of more than 4096 bytes, and the rest of it is shorter than 96.
const answerBytes = 4000

func newKeyHolder(options Options) *keyHolder {
	config := options.Settings.Ingress
	h := &keyHolder{logger: options.Logger, every: config.AnnounceEvery, vacated: make(chan membership.SessionID, 1), longest: config.HoldTime, refused: make(chan []fleet.ReleasedShard, 1), changed: make(chan struct{})}
	h.ledger = ledger.New(ledger.Options{Shards: fleet.RoutedShards, Hold: config.HoldTime, AnswerBytes: answerBytes, Began: clock.Now(), Lateness: lateness(config.GrantBy)})
	switch {
	case config.GrantBy == settings.GrantByHeartbeat:
		h.carrier = newHeartbeatCarrier(h, config, options.Metrics)
	case options.Keys != nil:
		h.carrier = newCallCarrier(h, options.Keys, options.Metrics)
	default:
		h.carrier = noCarrier{}
	}
	return h
}

// lateness is how late an instance may take what it leaves without an answer. A heartbeat's answer is
// not taken late, and what it says counts from the heartbeat.
func lateness(grantBy string) time.Duration {
	if grantBy == settings.GrantByHeartbeat {
		return 0
	}
	return limehold.GrantLateness
}

// noCarrier stands beside an instance whose service is never divided by key.
type noCarrier struct{}

// Run implements limehold.KeyCarrier.
func (noCarrier) Run(context.Context) {}

// Changed implements limehold.KeyCarrier.
func (noCarrier) Changed() {}

// LetGo implements limehold.KeyCarrier.
func (noCarrier) LetGo(ranges []limehold.KeyRange) ([]limehold.ReleasedRange, error) {
	released := make([]limehold.ReleasedRange, 0, len(ranges))
	for _, ranged := range ranges {
		released = append(released, limehold.ReleasedRange{KeyRange: ranged})
	}
	return released, nil
}

// Dropped implements limehold.KeyCarrier.
func (noCarrier) Dropped([]limehold.KeyRange) {}

// tellVacated says under which session it was proved last that nothing is held of those before.
func (h *keyHolder) tellVacated(session membership.SessionID) {
	select {
	case <-h.vacated:
	default:
	}
	h.vacated <- session
}

// tell says that the ledger has changed.
func (h *keyHolder) tell() {
	h.mutex.Lock()
	close(h.changed)
	h.changed = make(chan struct{})
	h.mutex.Unlock()
	h.carrier.Changed()
}

// with gives access to the ledger. It is let go of also where that panics.
func (h *keyHolder) with(use func(l *ledger.Ledger)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	use(h.ledger)
}

// setLease takes until when the node's lease runs.
func (h *keyHolder) setLease(session membership.SessionID, expiry time.Duration) {
	h.with(func(l *ledger.Ledger) { l.SetLease(uint64(session), expiry) })
	h.tell()
}

// take takes control's list for a session.
func (h *keyHolder) take(session uint64, grants []wire.BackendGrant) {
	var added int
	var dropped []ledger.Grant
	h.with(func(l *ledger.Ledger) { added, dropped = l.List(session, ledgerGrants(grants), clock.Now()) })
	if len(dropped) > 0 {
		h.carrier.Dropped(h.rangesOf(dropped))
	}
	if added > 0 || len(dropped) > 0 {
		h.logger.Info("keys_listed", zap.Int("shards", len(grants)), zap.Int("added", added), zap.Int("dropped", len(dropped)))
	}
	h.tell()
}

// holds reports whether the instance may run a request on a shard under an epoch.
func (h *keyHolder) holds(key ownership.Key, epoch uint64, now time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ledger.Holds(key, epoch, now)
}

// await returns once the instance holds a shard under an epoch that it is expected to
// hold soon, or time for that is over. The instance is told at its next heartbeat: where
// that is due after patience, await returns at once, with the time until then.
func (h *keyHolder) await(key ownership.Key, epoch uint64, patience time.Duration, cancelled <-chan struct{}) time.Duration {
	if wait := h.nextHeartbeat(clock.Now()); wait > patience {
		return wait
	}
	timer := clock.NewTimer(patience)
	defer timer.Stop()
	for {
		now := clock.Now()
		var held, expected bool
		var changed chan struct{}
		h.with(func(l *ledger.Ledger) {
			held, expected, changed = l.Holds(key, epoch, now), l.Expects(key, epoch, now), h.changed
		})
		if held || !expected {
			return 0
		}
		select {
		case <-changed:
		case <-timer.C:
			return h.nextHeartbeat(clock.Now())
		case <-cancelled:
			return 0
		}
	}
}

// expects reports whether the instance is about to be told of a shard that it does not
// hold yet.
func (h *keyHolder) expects(key ownership.Key, epoch uint64) bool {
	now := clock.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return !h.ledger.Holds(key, epoch, now) && h.ledger.Expects(key, epoch, now)
}

// nextHeartbeat is how long it takes until the instance's next heartbeat is due.
func (h *keyHolder) nextHeartbeat(now time.Duration) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return max(0, h.ledger.Heard()+h.every-now)
}

// handBack offers control the shards that the instance refuses: their fence has to rise. The token
// is that of their state, if the instance has given one.
func (h *keyHolder) handBack(grants []ledger.Grant, token string) {
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

// byHeartbeat reports whether the instance is told its keys in answers to heartbeats.
func (h *keyHolder) byHeartbeat() bool {
	_, ok := h.carrier.(*heartbeatCarrier)
	return ok
}

// release lets shards go; it returns those that the instance holds no longer.
func (h *keyHolder) release(shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	grants := ledgerGrants(shards)
	slices.SortFunc(grants, func(a, b ledger.Grant) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Shard, b.Key.Shard))
	})
	h.with(func(l *ledger.Ledger) { l.BeginRelease(grants) })
	h.tell()
	byFirst := make(map[uint32]ledger.Grant, len(grants))
	ranges := h.rangesOf(grants)
	for i, ranged := range ranges {
		byFirst[ranged.First] = grants[i]
	}
	done, err := h.carrier.LetGo(ranges)
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

// Grants implements agent.Backend. A list that is not the first whole one of its session
// yet, or is for another start of the instance, says nothing.
func (i *Instance) Grants(list *wire.BackendGrants) error {
	i.mutex.Lock()
	started := i.current.Life().String()
	i.mutex.Unlock()
	i.checkGrantWay()
	if list.Revision == 0 || i.keys.byHeartbeat() && list.Incarnation != started {
		return nil
	}
	i.keys.with(func(l *ledger.Ledger) { l.Listed(list.Revision) })
	i.keys.take(list.Session, list.Grants)
	return nil
}

// checkGrantWay says when the route table has the instance told its keys in another way
// than the settings: it will hardly take any. Settings go first, as the machine's own.
func (i *Instance) checkGrantWay() {
	if i.options.Service == nil {
		return
	}
	i.mutex.Lock()
	service := i.current.Service
	i.mutex.Unlock()
	own, told := i.options.Settings.Ingress.GrantBy, i.options.Service(service).GrantBy
	if told != "" && told != own {
		i.logger.Error("grant_ways_differ", zap.String("service", service), zap.String("field", "ingress.grant_by"), zap.String("value", own),
			zap.String("route_table", told), zap.String("next", "set ingress.grant_by to what the service says, or change the service"))
	}
}

// proofs say what the end of an earlier start proves of its keys; see agent.Description. By calls
// a start is cleared for that. By heartbeat a start is told what its own session owns, and nothing
// of another's.
func (i *Instance) proofs() (predecessorGone, exclusive bool) {
	switch i.keys.carrier.(type) {
	case noCarrier:
		return true, true
	case *heartbeatCarrier:
		i.mutex.Lock()
		defer i.mutex.Unlock()
		return i.followsPresent, true
	}
	return false, false
}

// toldTo is to whom keys are told at a moment: under which session, and, by calls, to which start.
type toldTo struct{ session, start uint64 }

func (h *keyHolder) toldNow() toldTo {
	var now toldTo
	h.with(func(l *ledger.Ledger) { now.session = l.Session() })
	if carrier, ok := h.carrier.(*callCarrier); ok {
		now.start = carrier.client.Start()
	}
	return now
}

// endSession stops telling keys under a session, as the instance that it stands for has ended; before
// is from before that showed. False: another start was connected to since, and may have been given
// keys under the session: it is not over.
func (h *keyHolder) endSession(before toldTo) bool {
	if carrier, ok := h.carrier.(*callCarrier); ok {
		return carrier.endSession(before)
	}
	h.with(func(l *ledger.Ledger) { l.EndSession(before.session) })
	return true
}

// Opening implements agent.Backend. The instance is connected to first: what the session is given
// was then given after that connection was made.
func (i *Instance) Opening(ctx context.Context) {
	if carrier, ok := i.keys.carrier.(*callCarrier); ok && i.mayBeKeyed() {
		carrier.opening(ctx)
	}
}

// mayBeKeyed reports whether the instance's service is divided by key, or is not known.
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

// Opened implements agent.Backend.
func (i *Instance) Opened(opened agent.Opened) {
	switch carrier := i.keys.carrier.(type) {
	case *callCarrier:
		carrier.opened(uint64(opened.Session), opened.Fresh, len(opened.Former) > 0)
	case *heartbeatCarrier:
		if len(opened.Former) > 0 {
			i.sole.seek(opened)
		}
	}
}

// Vacated implements agent.Backend.
func (i *Instance) Vacated() <-chan membership.SessionID { return i.keys.vacated }

// Claim implements agent.Backend. What an instance is told by heartbeat counts from the heartbeat.
func (i *Instance) Claim() quiescence.Claim {
	if carrier, ok := i.keys.carrier.(*callCarrier); ok {
		return carrier.claim()
	}
	return quiescence.Claim{}
}

// Claimed implements agent.Backend.
func (i *Instance) Claimed(claim quiescence.Claim) {
	if carrier, ok := i.keys.carrier.(*callCarrier); ok {
		carrier.claimed(claim)
	}
}

// ClaimNow implements agent.Backend.
func (i *Instance) ClaimNow() <-chan struct{} {
	if carrier, ok := i.keys.carrier.(*callCarrier); ok {
		return carrier.inFlight.asked
	}
	return nil
}

// Release implements agent.Backend: it lets shards go, range by range. A range is
// let go once the instance says so, or once nothing that it was ever told can hold.
func (i *Instance) Release(_ membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	return i.keys.release(shards)
}
