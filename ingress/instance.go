package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"limehold"
	"limehold/agent"
	"limehold/bulletin"
	"limehold/clock"
	"limehold/fleet"
	"limehold/ledger"
	"limehold/life"
	"limehold/wire"
)

// Announcement is what an instance says of itself.
type Announcement struct {
	// ID is drawn by most starts of an instance; some have that of the start before.
	ID      string
	Service string
	// Address is where the instance says it listens; empty: it does not say.
	Address string
	Zone    string
	Version string
	Slots   int
	// Draining is set when the instance is about to end.
	Draining bool
	// Cold is how much longer the instance is slow from its start.
	Cold time.Duration
	// Sequence rises with every announcement of one start.
	Sequence uint64
	// Born is the Unix millisecond at which the start began, on its machine's clock. Zero: the
	// instance does not say.
	Born int64
}

// Life is the start that the announcement is of.
func (a Announcement) Life() life.Life { return life.Life{ID: a.ID, Born: a.Born} }

// Instance is the instance beside the ingress, as it announces itself. It
// implements agent.Backend: to control, an ingress and its instance are one node.
//
// Invariants:
//   - An announcement that is older than the newest one of its start changes nothing.
//   - A start that has taken its leave is not taken back.
//   - A start that began before one that was taken is not taken any more: what says when it
//     began is never mistaken for a later one, however late it comes.
//   - A start that another has followed is not taken back while that one is heard: an
//     announcement of it may be seconds late. Which one runs is only known from who goes
//     on: a process that has just started may hear of the earlier one last.
//   - Once a departure was acknowledged, no request reaches the instance later than
//     the drain time after it.
type Instance struct {
	options Options
	logger  *zap.Logger
	gate    *slotGate
	keys    *keyHolder

	mutex   sync.Mutex
	current Announcement
	heard   time.Duration
	known   bool
	// leavingSince is when the departure was acknowledged; zero: not leaving.
	leavingSince time.Duration
	// departed are the starts that have taken their leave, followed those after which
	// another one was heard of, and unheard those that took their leave unheard of.
	departed, followed, unheard *life.Memory
	// youngest is the start taken last of those that say when they began.
	youngest life.Life
	// since is when the present start was first heard of, followsPresent whether it is known to have
	// begun after the one before: by its word, or as that one had been heard for longer than
	// announcements are late, in which each start before it would have been heard of.
	since          time.Duration
	followsPresent bool
	// gone is the start that is known to have ended.
	gone    life.Life
	suspect chan struct{}
	probe   *coldProbe
	sole    *soleStart
	pace    pace
	ends    ends
	board   *bulletin.Board
	// endings counts the instances that have ended unannounced, by how that showed.
	endings  *prometheus.CounterVec
	success  success
	refusals refusals
	// zoneSeen is the newest change of the zone that has been taken in.
	zoneSeen time.Duration
}

const (
	// silentAfter is how many announcements an instance may miss.
	silentAfter = 6
	// followerSilent is how many announcements a start has to miss before the one that it
	// followed is believed again.
	followerSilent = 2
	// refusalsGone connections in a row that are refused, goneEvery apart, show that nobody listens.
	refusalsGone = 3
	goneEvery    = 100 * time.Millisecond
	// dialPatience bounds one such connection, on the same machine.
	dialPatience = 300 * time.Millisecond
	// announcementsLate is longer than announcements are late, a few seconds.
	announcementsLate = doubtTime
	// formerLives is how many starts before the present one are remembered of each kind: what
	// comes late of one comes seconds after it, in which even one that crashes at once starts no
	// more than some dozens of times.
	formerLives = 256
	// drainMargin is kept for a request's way from the gate to the instance.
	drainMargin = 200 * time.Millisecond
)

func newInstance(options Options, gate *slotGate) *Instance {
	if options.Board == nil {
		options.Board = bulletin.New(options.Settings.Name, options.Logger, options.Metrics)
	}
	i := &Instance{
		board: options.Board, options: options, logger: options.Logger, gate: gate,
		departed: life.NewMemory(formerLives), followed: life.NewMemory(formerLives), unheard: life.NewMemory(formerLives),
		suspect: make(chan struct{}, 1), refusals: newRefusals(options.Metrics),
	}
	i.endings = options.Metrics.CounterVec("ingress", "instance_ends_total", "Instances that ended without having said that they would, by how it showed.", "cause")
	i.keys = newKeyHolder(options)
	i.probe = newColdProbe(i)
	i.sole = newSoleStart(i)
	return i
}

// Heartbeat takes an announcement with what the instance says of its keys, and returns
// what it is answered with. It may wait a while for something to answer.
func (i *Instance) Heartbeat(announced Announcement, holds []limehold.KeyRange, released []ledger.ReleasedRange) ledger.Answer {
	newest := i.Announce(announced)
	carrier, ok := i.keys.carrier.(*heartbeatCarrier)
	if !ok || !newest {
		return ledger.Answer{}
	}
	return carrier.beat(ledger.Report{Instance: announced.Life().String(), Sequence: announced.Sequence, Holds: holds, Released: released}, !announced.Draining)
}

// Announce takes an announcement; it counts as acknowledged once this returns. False: it
// is not the newest one of its start, the start is a former one or has taken its leave, or the
// announcement is of none that belongs here.
func (i *Instance) Announce(announced Announcement) bool {
	if i.Fits(announced) != nil {
		return false
	}
	now := clock.Now()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.takes(announced, now) {
		return false
	}
	before := i.current
	sameStart := i.known && before.Life() == announced.Life()
	if i.known && !sameStart {
		i.followed.Add(before.Life())
		i.noteEnded(before.Life(), causeAnotherStart)
	}
	if announced.Born > 0 {
		i.youngest = announced.Life() // also where the time of day has stepped back
	}
	i.current, i.heard, i.known = announced, now, true
	i.takeCold(announced, now)
	if !sameStart {
		later, ordered := announced.Life().Follows(before.Life())
		i.followsPresent = ordered && later || !ordered && before.ID != "" && now-i.since > announcementsLate
		i.since = now
		i.begin(announced, before)
	} else if before.Slots != announced.Slots {
		i.gate.resize(i.usable(announced.Slots))
	}
	i.takeState(announced, now)
	return true
}

// takes reports whether an announcement says something new of the present start, or is of one
// that takes its place. The mutex is held.
func (i *Instance) takes(announced Announcement, now time.Duration) bool {
	said, present := announced.Life(), i.current.Life()
	if i.hasLeft(said) {
		return false
	}
	if later, known := i.youngest.Follows(said); known && later && i.known && now-i.heard < announcementsLate {
		// A late one of a former start. Where the present one has fallen silent, it may be the machine's
		// time of day that has stepped back between the two.
		return false
	}
	if !i.known {
		return true
	}
	if said == present {
		return announced.Sequence > i.current.Sequence
	}
	if later, known := said.Follows(present); known && later {
		return true
	}
	if !i.followed.Has(said) && said.ID != present.ID {
		return true
	}
	// Which of both is the later one is not known: the one that goes on is.
	return now-i.heard >= followerSilent*i.options.Settings.Ingress.AnnounceEvery
}

// hasLeft reports whether a start has taken its leave. The mutex is held.
func (i *Instance) hasLeft(said life.Life) bool {
	return i.departed.Has(said) || i.unheard.Has(said) || i.unheard.HasLater(said)
}

// begin forgets what was believed of the start before. The mutex is held.
func (i *Instance) begin(announced, before Announcement) {
	i.leavingSince = 0
	i.probe.doubt("another start")
	i.pace.forget()
	i.success.forget()
	i.gate.resize(i.usable(announced.Slots))
	i.logger.Info("instance_started", zap.String("instance", announced.ID), zap.Stringer("before", before.Life()),
		zap.String("service", announced.Service), zap.Int("slots", announced.Slots), zap.String("version", announced.Version), zap.Uint64("sequence", announced.Sequence), zap.Int64("born", announced.Born))
}

// takeState takes whether the present start is about to end. The mutex is held.
func (i *Instance) takeState(announced Announcement, now time.Duration) {
	switch {
	case announced.Draining && i.leavingSince == 0:
		i.leavingSince = now
		i.logger.Info("instance_draining", zap.Stringer("instance", announced.Life()), zap.Uint64("sequence", announced.Sequence))
	case !announced.Draining && i.leavingSince != 0:
		i.leavingSince = 0
		i.logger.Info("instance_resumed", zap.Stringer("instance", announced.Life()), zap.Uint64("sequence", announced.Sequence))
	}
}

// usable is how many of an instance's slots are used at once.
func (i *Instance) usable(slots int) int {
	return max(1, int(float64(slots)*i.options.Settings.Ingress.SlotShare))
}

// Depart takes an instance's leave; it counts as acknowledged once this returns. It names no
// start: it is of the present one, if that has the identity, or else of the last that had it.
func (i *Instance) Depart(id string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.known || i.current.ID != id {
		i.departFormer(id)
		return
	}
	left := i.current.Life()
	i.departed.Add(left)
	if i.leavingSince == 0 {
		i.leavingSince = clock.Now()
	}
	i.logger.Info("instance_departed", zap.Stringer("instance", left))
	i.askWhetherGone()
}

// departFormer takes the leave of a start that is not the present one. One that was never heard
// of, as this process has just started, began before now, on the clock of this same machine.
// The mutex is held.
func (i *Instance) departFormer(id string) {
	if former, known := i.followed.Latest(id); known {
		i.departed.Add(former)
		return
	}
	i.unheard.Add(life.Life{ID: id})
	i.unheard.Add(life.Life{ID: id, Born: time.Now().UnixMilli()})
}

// view is the instance as the gate sees it at one moment.
type view struct {
	id string
	// born is when its start began; see Announcement.
	born    int64
	service string
	version string
	// refused is why no request may be sent to it; empty: they may.
	refused string
}

// life is the start that was seen.
func (v view) life() life.Life { return life.Life{ID: v.id, Born: v.born} }

// Reasons for which a request is not sent to the instance.
const (
	reasonNoInstance   = "no-instance"
	reasonOtherService = "other-service"
)

func (i *Instance) view(now time.Duration) view {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	seen := view{id: i.current.ID, born: i.current.Born, service: i.current.Service, version: i.current.Version}
	switch {
	case !i.known || i.gone == i.current.Life():
		seen.refused = reasonNoInstance
	case i.leavingSince != 0 && now-i.leavingSince > i.options.Settings.Ingress.DrainTime-drainMargin:
		seen.refused = wire.BackendReasonDraining
	}
	return seen
}

// Run watches the instance and renews its keys until ctx ends.
func (i *Instance) Run(ctx context.Context) error {
	go i.keys.carrier.Run(ctx)
	go i.probe.run(ctx)
	go i.sole.run(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.suspect:
		}
		i.findOut(ctx)
	}
}

// connectionFailed notes that no connection to the instance was had.
func (i *Instance) connectionFailed(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	i.probe.doubt("nobody listened at its address")
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.askWhetherGone()
}

func (i *Instance) askWhetherGone() {
	select {
	case i.suspect <- struct{}{}:
	default:
	}
}

// findOut tries to connect until somebody listens or it is sure that nobody does.
func (i *Instance) findOut(ctx context.Context) {
	i.mutex.Lock()
	watched := i.current.Life()
	i.mutex.Unlock()
	told := i.keys.toldNow()
	if i.ends.any(watched.String(), clock.Now()) {
		i.awaitEnd(ctx, watched)
	}
	refused := 0
	for refused < refusalsGone {
		dialer := net.Dialer{Timeout: dialPatience}
		conn, err := dialer.DialContext(ctx, "tcp", i.options.Settings.Ingress.Instance)
		switch {
		case err == nil:
			conn.Close()
			if i.stays(watched) {
				return
			}
			refused, told = 0, i.keys.toldNow()
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
		default:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(goneEvery):
		}
	}
	if !i.keys.endSession(told) {
		i.logger.Info("instance_not_gone", zap.Stringer("instance", watched), zap.String("cause", "another start has been connected to since"))
		i.askWhetherGone()
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.current.Life() == watched {
		i.noteEnded(watched, causeNobodyListens)
		i.gone = watched
		i.logger.Warn("instance_gone", zap.Stringer("instance", watched), zap.String("cause", causeNobodyListens), zap.Int("refused", refused))
	}
}

// stays reports whether an instance that accepts connections need not be watched:
// it has not taken its leave.
func (i *Instance) stays(watched life.Life) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.current.Life() != watched || !i.departed.Has(watched)
}

// Alive implements agent.Backend.
func (i *Instance) Alive(now time.Duration) (incarnation string, healthy bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fresh := now-i.heard < silentAfter*i.options.Settings.Ingress.AnnounceEvery
	return i.current.Life().String(), i.known && i.gone != i.current.Life() && (fresh || i.leavingSince != 0)
}

// Gone implements agent.Backend.
func (i *Instance) Gone(incarnation string) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.gone.Known() && i.gone.String() == incarnation
}

// Health implements agent.Backend.
func (i *Instance) Health() wire.BackendHealth {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	health := wire.BackendHealth{Status: wire.BackendOK, Incarnation: i.current.Life().String(), InFlight: i.gate.load().running, Capacity: i.gate.capacity() * i.pace.speed()}
	if i.leavingSince != 0 {
		health.Status = wire.BackendDraining
	}
	return health
}

// Description implements agent.Backend.
func (i *Instance) Description() agent.Description {
	i.mutex.Lock()
	announced := i.current
	i.mutex.Unlock()
	connections := i.options.Settings.Agent.Connections
	if i.options.Service != nil {
		if told := i.options.Service(announced.Service).Connections; told > 0 {
			connections = told
		}
	}
	gone, exclusive := i.proofs()
	_, takesLate := i.keys.carrier.(*callCarrier)
	return agent.Description{
		Version: announced.Version, Pool: announced.Service, Slots: announced.Slots, Connections: connections, Gated: true,
		Born: announced.Born, PredecessorGone: gone, Exclusive: exclusive, TakesLate: takesLate,
	}
}

// HandedBack implements agent.Backend.
func (i *Instance) HandedBack() <-chan []fleet.ReleasedShard { return i.keys.refused }
