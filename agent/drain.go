package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/logging"
	"limehold/settings"
	"limehold/wire"
)

// Causes of a drain that an agent requests.
const (
	causeAgentStops     = "the agent is being stopped"
	causeBackendDrains  = "the back end says that it is leaving"
	causeBackendResumes = "the back end says that it is staying"
)

// drainState is what control has been told of the node's departure. A drain belongs to the session of one
// incarnation of the back end and to one agent process: the next incarnation has another session, and control
// ends the drain when the next process opens the session. It is guarded by Agent.mutex.
type drainState struct {
	// incarnation is the back end's incarnation for which the current session was opened.
	incarnation string
	// reported is set once control has acknowledged that the current session is draining.
	reported bool
	// stopping is set when the agent is to stop, opening while a session is being opened. A stopping agent
	// opens no further session.
	stopping bool
	opening  bool
	// changed wakes reportDrains.
	changed chan struct{}
}

func newDrainState() drainState { return drainState{changed: make(chan struct{}, 1)} }

// beginOpen reports whether a session may be opened. If so, endOpen has to be called afterwards.
func (a *Agent) beginOpen() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.drain.opening = !a.drain.stopping
	return a.drain.opening
}

func (a *Agent) endOpen() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.drain.opening = false
}

// drainWanted returns whether the session of an incarnation should be draining, and why. If the newest health
// report is of another incarnation, it says nothing about this one.
func (a *Agent) drainWanted(incarnation string) (draining bool, cause string) {
	health := a.backend.Health()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	switch {
	case a.drain.stopping:
		return true, causeAgentStops
	case health.Incarnation == incarnation && health.Status == wire.BackendDraining:
		return true, causeBackendDrains
	case health.Incarnation != incarnation && a.drain.incarnation == incarnation:
		return a.drain.reported, ""
	}
	return false, ""
}

// reportDrains tells control when the node begins to drain and when it returns to service.
func (a *Agent) reportDrains(ctx context.Context) error {
	ticker := time.NewTicker(a.options.Settings.Agent.ProbeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.drain.changed:
		}
		a.reportDrain(ctx)
	}
}

// reportDrain tells control whether the current session is draining, if that has changed.
func (a *Agent) reportDrain(ctx context.Context) {
	a.mutex.Lock()
	session, incarnation, reported := a.session, a.drain.incarnation, a.drain.reported
	a.mutex.Unlock()
	draining, cause := a.drainWanted(incarnation)
	if session == 0 || draining == reported {
		return
	}
	if !draining {
		cause = causeBackendResumes
	}
	request := &wire.DrainSelf{Session: session, Resume: !draining, Cause: cause}
	if err := a.links.callLeader(ctx, openTimeout, wire.KindDrainSelf, request, nil); err != nil {
		a.logger.Debug("drain_not_reported", logging.ErrorFields("report drain", "control", err)...)
		_ = pause(ctx, retryPause)
		a.wakeReportDrains()
		return
	}
	a.logger.Info("drain_reported", zap.Uint64("session", uint64(session)), zap.Bool("draining", draining), zap.String("cause", cause))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.session == session {
		a.drain.reported = draining
	}
}

// wakeReportDrains has reportDrains compare the states at once.
func (a *Agent) wakeReportDrains() {
	select {
	case a.drain.changed <- struct{}{}:
	default:
	}
}

// drainBeforeStop waits until the shards have moved to other nodes and no request is in
// flight, for the stop timeout at most. It does nothing in the stop mode "restart".
func (a *Agent) drainBeforeStop() {
	config := a.options.Settings.Agent
	if config.StopMode == settings.StopRestart {
		return
	}
	ctx, cancel := clock.WithTimeout(context.Background(), config.StopTimeout)
	defer cancel()
	a.mutex.Lock()
	a.drain.stopping = true
	a.mutex.Unlock()
	a.wakeReportDrains()
	for !a.hasDrained() {
		if pause(ctx, drainPollInterval) != nil {
			a.logger.Warn("drain_incomplete", zap.Int("shards", a.shards.count()), zap.Int("in_flight", a.backend.Health().InFlight))
			return
		}
	}
	a.logger.Info("drained")
}

// hasDrained reports whether control has acknowledged the drain of a stopping agent, or has no session to
// drain, and neither shards nor requests are left.
func (a *Agent) hasDrained() bool {
	a.mutex.Lock()
	acknowledged := !a.drain.opening && (a.session == 0 || a.drain.reported)
	a.mutex.Unlock()
	return acknowledged && a.shards.count() == 0 && a.backend.Health().InFlight == 0
}
