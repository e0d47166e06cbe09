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
	"limehold/wire"
)

// Announcement is what an instance says of itself.
type Announcement struct {
	// ID is drawn by each start of the instance.
	ID      string
	Service string
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

// Instance is the instance beside the ingress, as it announces itself. It
// implements agent.Backend: to control, an ingress and its instance are one node.
//
// Invariants:
//   - An announcement that is older than the newest one of its start changes nothing.
//   - A start that has taken its leave is not taken back.
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
	// another one was heard of.
	departed map[string]bool
	followed map[string]bool
	// gone is the start that is known to have ended.
	gone    string
	suspect chan struct{}
	probe   *coldProbe
	pace    pace
	ends    ends
	board   *bulletin.Board
	// endings counts the instances that have ended unannounced, by how that showed.
	endings *prometheus.CounterVec
	success success
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
	// drainMargin is kept for a request's way from the gate to the instance.
	drainMargin = 200 * time.Millisecond
)

func newInstance(options Options, gate *slotGate) *Instance {
	if options.Board == nil {
		options.Board = bulletin.New(options.Settings.Name, options.Logger, options.Metrics)
	}
	i := &Instance{
		board: options.Board, options: options, logger: options.Logger, gate: gate,
		departed: map[string]bool{}, followed: map[string]bool{}, suspect: make(chan struct{}, 1),
	}
	i.endings = options.Metrics.CounterVec("ingress", "instance_ends_total", "Instances that ended without having said that they would, by how it showed.", "cause")
	i.keys = newKeyHolder(options)
	i.probe = newColdProbe(i)
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
	return carrier.beat(ledger.Report{Instance: announced.ID, Sequence: announced.Sequence, Holds: holds, Released: released}, !announced.Draining)
}

// Announce takes an announcement; it counts as acknowledged once this returns. False: it
// is not the newest one of its start, or the start has taken its leave.
func (i *Instance) Announce(announced Announcement) bool {
	now := clock.Now()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.departed[announced.ID] || i.followed[announced.ID] && now-i.heard < followerSilent*i.options.Settings.Ingress.AnnounceEvery {
		return false
	}
	sameStart := i.known && i.current.ID == announced.ID
	if sameStart && announced.Sequence <= i.current.Sequence {
		return false
	}
	before := i.current
	if i.known && !sameStart {
		i.followed[before.ID] = true
		i.noteEnded(before.ID, causeAnotherStart)
		delete(i.followed, announced.ID)
	}
	i.current, i.heard, i.known = announced, now, true
	i.takeCold(announced, now)
	if !sameStart {
		i.leavingSince = 0
		i.probe.doubt("another start")
		i.pace.forget()
		i.success.forget()
		i.gate.resize(i.usable(announced.Slots))
		i.logger.Info("instance_started", zap.String("instance", announced.ID), zap.String("before", before.ID),
			zap.String("service", announced.Service), zap.Int("slots", announced.Slots), zap.String("version", announced.Version), zap.Uint64("sequence", announced.Sequence), zap.Int64("born", announced.Born))
	} else if before.Slots != announced.Slots {
		i.gate.resize(i.usable(announced.Slots))
	}
	switch {
	case announced.Draining && i.leavingSince == 0:
		i.leavingSince = now
		i.logger.Info("instance_draining", zap.String("instance", announced.ID), zap.Uint64("sequence", announced.Sequence))
	case !announced.Draining && i.leavingSince != 0:
		i.leavingSince = 0
		i.logger.Info("instance_resumed", zap.String("instance", announced.ID), zap.Uint64("sequence", announced.Sequence))
	}
	return true
}

// usable is how many of an instance's slots are used at once.
func (i *Instance) usable(slots int) int {
	return max(1, int(float64(slots)*i.options.Settings.Ingress.SlotShare))
}

// Depart takes an instance's leave; it counts as acknowledged once this returns.
func (i *Instance) Depart(id string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.departed[id] = true
	if !i.known || i.current.ID != id {
		return
	}
	if i.leavingSince == 0 {
		i.leavingSince = clock.Now()
	}
	i.logger.Info("instance_departed", zap.String("instance", id))
	i.askWhetherGone()
}

// view is the instance as the gate sees it at one moment.
type view struct {
	id      string
	service string
	version string
	// refused is why no request may be sent to it; empty: they may.
	refused string
}

// Reasons for which a request is not sent to the instance.
const (
	reasonNoInstance   = "no-instance"
	reasonOtherService = "other-service"
)

func (i *Instance) view(now time.Duration) view {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	seen := view{id: i.current.ID, service: i.current.Service, version: i.current.Version}
	switch {
	case !i.known || i.gone == i.current.ID:
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
	id := i.current.ID
	i.mutex.Unlock()
	if i.ends.any(id, clock.Now()) {
		i.awaitEnd(ctx, id)
	}
	refused := 0
	for refused < refusalsGone {
		dialer := net.Dialer{Timeout: dialPatience}
		conn, err := dialer.DialContext(ctx, "tcp", i.options.Settings.Ingress.Instance)
		switch {
		case err == nil:
			conn.Close()
			if i.stays(id) {
				return
			}
			refused = 0
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
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.current.ID == id {
		i.noteEnded(id, causeNobodyListens)
		i.gone = id
		i.logger.Warn("instance_gone", zap.String("instance", id), zap.String("cause", causeNobodyListens), zap.Int("refused", refused))
	}
}

// stays reports whether an instance that accepts connections need not be watched:
// it has not taken its leave.
func (i *Instance) stays(id string) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.current.ID != id || !i.departed[id]
}

// Alive implements agent.Backend.
func (i *Instance) Alive(now time.Duration) (incarnation string, healthy bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fresh := now-i.heard < silentAfter*i.options.Settings.Ingress.AnnounceEvery
	return i.current.ID, i.known && i.gone != i.current.ID && (fresh || i.leavingSince != 0)
}

// Gone implements agent.Backend.
func (i *Instance) Gone(incarnation string) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.gone != "" && i.gone == incarnation
}

// Health implements agent.Backend.
func (i *Instance) Health() wire.BackendHealth {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	health := wire.BackendHealth{Status: wire.BackendOK, Incarnation: i.current.ID, InFlight: i.gate.load().running, Capacity: i.gate.capacity() * i.pace.speed()}
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
	return agent.Description{Version: announced.Version, Pool: announced.Service, Slots: announced.Slots, Connections: connections, Gated: true, Exclusive: true}
}

// HandedBack implements agent.Backend.
func (i *Instance) HandedBack() <-chan []fleet.ReleasedShard { return i.keys.refused }
