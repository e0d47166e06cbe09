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
	"limehold/clock"
	"limehold/crashreport"
	"limehold/departure"
	"limehold/fleet"
	"limehold/incarnation"
	"limehold/ledger"
	"limehold/wire"
)

// Announcement is the state that an instance announces about itself.
type Announcement struct {
	// ID identifies the instance. Most incarnations generate a new ID; some reuse that of
	// the previous incarnation.
	ID      string
	Service string
	// Address is where the instance listens; empty if it is not announced.
	Address string
	Zone    string
	Version string
	Slots   int
	// Draining is set while the instance is about to stop.
	Draining bool
	// ColdRemaining is how much longer the instance expects its cold start to last.
	ColdRemaining time.Duration
	// Sequence increases with every announcement of one incarnation.
	Sequence uint64
	// StartedAt is the Unix time in milliseconds at which the incarnation began, on its
	// machine's clock; 0 if it is not announced.
	StartedAt int64
}

// From returns the incarnation that sent the announcement.
func (a Announcement) From() incarnation.ID { return incarnation.ID{ID: a.ID, StartedAt: a.StartedAt} }

// Instance is the state of the instance behind the ingress, built from its
// announcements. It implements agent.Backend: for control, an ingress and its instance
// are one node.
//
// Invariants:
//   - An announcement that is older than the newest one of its incarnation changes
//     nothing.
//   - An incarnation that has departed is never accepted again.
//   - An incarnation that is known to have begun before one that was accepted is not accepted,
//     unless no announcement has been accepted for maxAnnouncementDelay.
//   - A superseded incarnation, whose announcements may be seconds late, is not accepted
//     again while its successor keeps announcing, unless it is known to have begun later.
//     Without begin times, only the one that keeps announcing is known to run: a process that
//     has just started may receive the announcement of the earlier incarnation last.
//   - Once an announcement of draining or a departure was acknowledged, no request reaches the
//     incarnation later than the drain time after it, unless it announces before its departure
//     that it is no longer draining. This holds for later processes too: an announcement is
//     acknowledged once control has it, and no request is sent before control was asked for it.
type Instance struct {
	options Options
	logger  *zap.Logger
	gate    *slotGate
	keys    *keyHolder

	mutex       sync.Mutex
	current     Announcement
	announcedAt time.Duration
	isKnown     bool
	// drainingSince is when the current incarnation first announced that it is draining, or departed; 0 if
	// it is not draining.
	drainingSince time.Duration
	// drainingSequence is that of the first of the announcements of draining up to the newest one; 0 if that is none.
	drainingSequence uint64
	// departed holds the incarnations that have departed, superseded those that
	// another one has followed, and departedUnannounced those that departed without having
	// been announced to this process.
	departed, superseded, departedUnannounced *incarnation.RecentSet
	// departuresKnown is set once what earlier processes have recorded is adopted: saidLeaving are the incarnations whose
	// answers said that they leave, and drainedAt the sequences of the announcements with which others began to drain.
	departuresKnown bool
	saidLeaving     *incarnation.RecentSet
	drainedAt       map[incarnation.ID]uint64
	departures      *departures
	// newest is the incarnation accepted last among those that announce when they began.
	newest incarnation.ID
	// firstAnnounced is when the current incarnation was first announced. isSuccessor is set if
	// that incarnation is known by their begin times to have begun after the previous one. Without
	// begin times nothing shows it: an announcement of an earlier incarnation may arrive at any time.
	firstAnnounced time.Duration
	isSuccessor    bool
	// ended is the incarnation that is known to have ended.
	ended            incarnation.ID
	checkRequests    chan struct{}
	probe            *coldProbe
	limitProbe       *limitProbe
	predecessorProof *predecessorProof
	slowdown         slowdown
	load             loadMeter
	crashes          crashRecord
	crashReports     *crashreport.Exchange
	// crashCount counts the crashes of the instance, by how they were detected.
	crashCount *prometheus.CounterVec
	success    success
	rejections rejections
	// reports is what the current incarnation has said of itself in its answers, unreadable counts what it has said
	// and could not be read.
	reports                     selfReports
	unreadable                  *prometheus.CounterVec
	limitLines, unreadableLines logThrottle
	// zoneChangeSeen is the time of the newest change of the zone that has been processed.
	zoneChangeSeen time.Duration
}

const (
	// unhealthyAfterMissed is the number of missed announcements in a row after which an instance
	// counts as unhealthy.
	unhealthyAfterMissed = 6
	// successorSilentAfterMissed is the number of announcements that an incarnation has to miss before
	// the one that it superseded is accepted again.
	successorSilentAfterMissed = 2
	// endedRefusals connections refused in a row, endedCheckInterval apart, show that the instance has
	// ended.
	endedRefusals      = 3
	endedCheckInterval = 100 * time.Millisecond
	// dialTimeout is the timeout of one such connection, which is on the same machine.
	dialTimeout = 300 * time.Millisecond
	// maxAnnouncementDelay is longer than any announcement is delayed, which is a few seconds.
	maxAnnouncementDelay = uncertaintyTimeout
	// maxFormerIncarnations is how many former incarnations of each kind are remembered. Late messages
	// of an incarnation arrive seconds after its end; even an instance that crashes at once starts
	// only dozens of times in that span.
	maxFormerIncarnations = 256
	// drainMargin is reserved for the time that a request takes from the gate to the
	// instance.
	drainMargin = 200 * time.Millisecond
)

func newInstance(options Options, gate *slotGate) *Instance {
	if options.CrashReports == nil {
		options.CrashReports = crashreport.New(options.Settings.Name, options.Logger, options.Metrics)
	}
	i := &Instance{
		load:         newLoadMeter(),
		crashReports: options.CrashReports, options: options, logger: options.Logger, gate: gate,
		departed: incarnation.NewRecentSet(maxFormerIncarnations), superseded: incarnation.NewRecentSet(maxFormerIncarnations), departedUnannounced: incarnation.NewRecentSet(maxFormerIncarnations),
		checkRequests: make(chan struct{}, 1), rejections: newRejections(options.Metrics),
	}
	i.crashCount = options.Metrics.CounterVec("ingress", "instance_ends_total", "Instances that ended without having said that they would, by how it showed.", "cause")
	i.unreadable = options.Metrics.CounterVec("ingress", "answer_fields_unreadable_total", "Header fields of the instance's answers that were ignored because they could not be read, by field.", "field")
	i.saidLeaving, i.drainedAt = incarnation.NewRecentSet(maxFormerIncarnations), map[incarnation.ID]uint64{}
	i.departures, i.departuresKnown = newDepartures(options), options.Departures == nil
	i.keys = newKeyHolder(options)
	i.probe = newColdProbe(i)
	i.limitProbe = newLimitProbe(i)
	i.predecessorProof = newPredecessorProof(i)
	return i
}

// Heartbeat processes an announcement together with the keys that the instance reports,
// and returns the answer to the heartbeat. It may wait until there is something to answer.
func (i *Instance) Heartbeat(announced Announcement, holds []limehold.KeyRange, released []ledger.ReleasedRange) ledger.Answer {
	accepted := i.Announce(announced)
	notifier, ok := i.keys.notifier.(*heartbeatNotifier)
	if !ok || !accepted {
		return ledger.Answer{}
	}
	return notifier.answer(ledger.Report{Instance: announced.From().String(), Sequence: announced.Sequence, Holds: holds, Released: released}, !announced.Draining)
}

// Announce processes an announcement. One of draining may be acknowledged once AwaitRecorded has
// returned, any other at once. Announce reports whether the announcement was accepted. An announcement is not accepted if it is
// not the newest of its incarnation, if its incarnation is a former one or has departed, or
// if it does not belong to this instance.
func (i *Instance) Announce(announced Announcement) bool {
	if i.Validate(announced) != nil {
		return false
	}
	now := clock.Now()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.accepts(announced, now) {
		if announced.Draining {
			i.keepDrain(announced)
		}
		return false
	}
	before, isFirst := i.current, !i.isKnown
	sameIncarnation := i.isKnown && before.From() == announced.From()
	if i.isKnown && !sameIncarnation {
		i.superseded.Add(before.From())
		i.recordEnd(before.From(), causeSuperseded)
	}
	if announced.StartedAt > 0 {
		i.newest = announced.From() // also if the time of day has stepped back
	}
	i.current, i.announcedAt, i.isKnown = announced, now, true
	i.updateCold(announced, now)
	if !sameIncarnation {
		later, ordered := announced.From().Follows(before.From())
		i.isSuccessor = ordered && later
		i.firstAnnounced = now
		i.beginIncarnation(announced, before)
	} else if before.Slots != announced.Slots {
		i.gate.resize(i.usableSlots(announced.Slots))
	}
	if isFirst && announced.Draining {
		// It may have been draining for as long as this process has been away.
		i.drainingSince = i.drainedBefore()
		i.logger.Info("instance_draining", zap.Stringer("instance", announced.From()), zap.Uint64("sequence", announced.Sequence), zap.String("since", "before this process heard of it"))
	}
	i.updateDraining(announced, now)
	if announced.Draining {
		i.departures.record(departure.Notice{Kind: departure.Draining, Incarnation: announced.From(), Sequence: i.drainingSequence})
	}
	return true
}

// accepts reports whether an announcement is a newer one of the current incarnation, or of one
// that supersedes it. The mutex is held.
func (i *Instance) accepts(announced Announcement, now time.Duration) bool {
	incarnation, current := announced.From(), i.current.From()
	if i.hasDeparted(incarnation) || announced.Sequence <= i.drainedAt[incarnation] {
		return false
	}
	if later, known := i.newest.Follows(incarnation); known && later && i.isKnown && now-i.announcedAt < maxAnnouncementDelay {
		// A late announcement of a former incarnation. If the current one has stopped announcing,
		// the machine's time of day may have stepped back between the two instead.
		return false
	}
	if !i.isKnown {
		return true
	}
	if incarnation == current {
		return announced.Sequence > i.current.Sequence
	}
	if later, known := incarnation.Follows(current); known && later {
		return true
	}
	if !i.superseded.Has(incarnation) && incarnation.ID != current.ID {
		return true
	}
	// The order of the two is unknown: the one that keeps announcing is the current one.
	return now-i.announcedAt >= successorSilentAfterMissed*i.options.Settings.Ingress.AnnounceEvery
}

// beginIncarnation resets the state that was derived from the previous incarnation. The mutex is held.
func (i *Instance) beginIncarnation(announced, before Announcement) {
	i.drainingSince, i.drainingSequence = 0, 0
	i.probe.markUncertain("new incarnation")
	i.slowdown.reset()
	i.load.reset()
	i.success.reset()
	i.gate.forgetRunTimes()
	i.setLimit(0, i.firstAnnounced)
	i.reports = selfReports{}
	i.applyDepartures(announced)
	i.gate.resize(i.usableSlots(announced.Slots))
	i.logger.Info("instance_started", zap.String("instance", announced.ID), zap.Stringer("before", before.From()),
		zap.String("service", announced.Service), zap.Int("slots", announced.Slots), zap.String("version", announced.Version), zap.Uint64("sequence", announced.Sequence), zap.Int64("born", announced.StartedAt))
}

// updateDraining records whether the current incarnation is draining. The mutex is held.
func (i *Instance) updateDraining(announced Announcement, now time.Duration) {
	if !announced.Draining {
		i.drainingSequence = 0
	} else if i.drainingSequence == 0 {
		i.drainingSequence = announced.Sequence
	}
	switch {
	case announced.Draining && i.drainingSince == 0:
		i.drainingSince = now
		i.logger.Info("instance_draining", zap.Stringer("instance", announced.From()), zap.Uint64("sequence", announced.Sequence))
	case !announced.Draining && i.drainingSince != 0 && !i.reports.leaving:
		i.drainingSince = 0
		i.logger.Info("instance_resumed", zap.Stringer("instance", announced.From()), zap.Uint64("sequence", announced.Sequence))
	}
}

// usableSlots returns how many of an instance's slots may be used at once.
func (i *Instance) usableSlots(slots int) int {
	return max(1, int(float64(slots)*i.options.Settings.Ingress.SlotShare))
}

// instanceState is the state of the instance at one moment, as the gate uses it.
type instanceState struct {
	id string
	// started is when the incarnation began; see Announcement.
	started int64
	service string
	version string
	// rejectReason is the reason why no request may be sent to the instance; empty if requests
	// may be sent.
	rejectReason string
}

// from returns the incarnation that the state is of.
func (s instanceState) from() incarnation.ID { return incarnation.ID{ID: s.id, StartedAt: s.started} }

// Reasons for which a request is not sent to the instance.
const (
	reasonNoInstance   = "no-instance"
	reasonOtherService = "other-service"
)

func (i *Instance) state(now time.Duration) instanceState {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	state := instanceState{id: i.current.ID, started: i.current.StartedAt, service: i.current.Service, version: i.current.Version}
	switch {
	case !i.departuresKnown:
		state.rejectReason = wire.BackendReasonStarting
	case !i.isKnown || i.ended == i.current.From():
		state.rejectReason = reasonNoInstance
	case i.drainingSince != 0 && now-i.drainingSince > i.options.Settings.Ingress.DrainTime-drainMargin:
		state.rejectReason = wire.BackendReasonDraining
	}
	return state
}

// Run monitors the instance and renews its keys until ctx ends. No call to the instance begins after that, and those
// under way have ended when Run returns.
func (i *Instance) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	defer parts.Wait()
	parts.Go(func() { i.keys.notifier.Run(ctx) })
	parts.Go(func() { i.departures.run(ctx, i.adoptDepartures) })
	parts.Go(func() { i.probe.run(ctx) })
	parts.Go(func() { i.limitProbe.run(ctx) })
	parts.Go(func() { i.predecessorProof.run(ctx) })
	parts.Go(func() {
		<-ctx.Done()
		i.keys.calls.stop()
	})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-i.checkRequests:
		}
		i.checkEnded(ctx)
	}
}

// connectionFailed records that a connection to the instance could not be established.
func (i *Instance) connectionFailed(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	i.probe.markUncertain("connection refused")
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.requestCheck()
}

func (i *Instance) requestCheck() {
	select {
	case i.checkRequests <- struct{}{}:
	default:
	}
}

// checkEnded connects to the instance repeatedly. The check ends when a connection is accepted by an
// incarnation that has not departed, or by another one than at the beginning, or when endedRefusals
// connections in a row are refused, which shows that the instance has ended. Any other failure ends the
// check without a result.
func (i *Instance) checkEnded(ctx context.Context) {
	i.mutex.Lock()
	checked := i.current.From()
	i.mutex.Unlock()
	recipient := i.keys.recipient()
	if i.crashes.hasBroken(checked.String(), clock.Now()) {
		i.detectCrash(ctx, checked)
	}
	refused := 0
	for refused < endedRefusals {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", i.options.Settings.Ingress.Instance)
		switch {
		case err == nil:
			conn.Close()
			if i.isCheckDone(checked) {
				return
			}
			refused, recipient = 0, i.keys.recipient()
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
		default:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(endedCheckInterval):
		}
	}
	if !i.keys.endSession(recipient) {
		i.logger.Info("instance_not_gone", zap.Stringer("instance", checked), zap.String("cause", "another incarnation was connected to after the check began"))
		i.requestCheck()
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.current.From() == checked {
		i.recordEnd(checked, causeNotListening)
		i.ended = checked
		i.logger.Warn("instance_gone", zap.Stringer("instance", checked), zap.String("cause", causeNotListening), zap.Int("refused", refused))
	}
}

// isCheckDone reports whether an instance that has accepted a connection need not be checked again: the
// incarnation has not departed, or is no longer the current one.
func (i *Instance) isCheckDone(checked incarnation.ID) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.current.From() != checked || !i.departed.Has(checked)
}

// CurrentIncarnation implements agent.Backend.
func (i *Instance) CurrentIncarnation(now time.Duration) (incarnation string, healthy bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fresh := now-i.announcedAt < unhealthyAfterMissed*i.options.Settings.Ingress.AnnounceEvery
	return i.current.From().String(), i.isKnown && i.departuresKnown && i.ended != i.current.From() && (fresh || i.drainingSince != 0)
}

// HasEnded implements agent.Backend.
func (i *Instance) HasEnded(incarnation string) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.ended.Known() && i.ended.String() == incarnation
}

// Health implements agent.Backend.
func (i *Instance) Health() wire.BackendHealth {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	speed := i.slowdown.speed()
	health := wire.BackendHealth{Status: wire.BackendOK, Incarnation: i.current.From().String(), InFlight: i.gate.load().running, Capacity: i.gate.capacity() * speed, Speed: speed}
	if i.drainingSince != 0 {
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
		if configured := i.options.Service(announced.Service).Connections; configured > 0 {
			connections = configured
		}
	}
	predecessorsEnded, exclusive := i.endProofs()
	_, appliesLate := i.keys.notifier.(*callNotifier)
	return agent.Description{
		Version: announced.Version, Pool: announced.Service, Slots: announced.Slots, Connections: connections, SelfLimited: true,
		StartedAt: announced.StartedAt, PredecessorsEnded: predecessorsEnded, Exclusive: exclusive, AppliesLate: appliesLate,
	}
}

// ReturnedShards implements agent.Backend.
func (i *Instance) ReturnedShards() <-chan []fleet.ReleasedShard { return i.keys.refused }
