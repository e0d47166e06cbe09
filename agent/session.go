package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"limehold/clock"
	"limehold/codec"
	"limehold/fleet"
	"limehold/logging"
	"limehold/membership"
	"limehold/quiescence"
	"limehold/transport"
	"limehold/wire"
)

// holdSession opens a session for each incarnation of the back end and renews
// its lease while the back end is healthy.
func (a *Agent) holdSession(ctx context.Context) error {
	for ctx.Err() == nil {
		incarnation, healthy := a.backend.CurrentIncarnation(clock.Now())
		if !healthy || !a.beginOpen() {
			if pause(ctx, retryPause) != nil {
				return nil
			}
			continue
		}
		opened, err := a.openSession(ctx, incarnation)
		a.endOpen()
		if err != nil {
			a.failures.Inc()
			a.logger.Debug("session_not_opened", logging.ErrorFields("open session", "control", err)...)
			_ = pause(ctx, retryPause)
			continue
		}
		a.logger.Info("session_opened", zap.Uint64("session", uint64(opened.Session)), zap.String("incarnation", incarnation))
		a.renewLoop(ctx, opened, incarnation)
	}
	return nil
}

func (a *Agent) openSession(ctx context.Context, incarnation string) (*wire.OpenSessionReply, error) {
	config := a.options.Settings
	advertise := config.Agent.Advertise
	if advertise == "" {
		advertise = config.Agent.Backend
	}
	description := a.backend.Description()
	draining, cause := a.drainWanted(incarnation)
	request := &wire.OpenSession{PredecessorsEnded: description.PredecessorsEnded, Exclusive: description.Exclusive, Node: membership.Node{
		Name: config.Name, Incarnation: incarnation, Zone: config.Zone, Address: advertise,
		Pool: description.Pool, Slots: description.Slots, Connections: description.Connections, SelfLimited: description.SelfLimited, Version: description.Version, StartedAt: description.StartedAt, Process: a.process, AppliesLate: description.AppliesLate,
		Draining: draining, DrainCause: cause,
	}}
	reply := &wire.OpenSessionReply{}
	a.backend.BeforeOpen(ctx)
	if err := a.links.callLeader(ctx, openTimeout, wire.KindOpenSession, request, reply); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	if a.session != reply.Session {
		a.session = reply.Session
		a.lease.Drop()
	}
	a.drain.incarnation, a.drain.reported = incarnation, draining && reply.Created
	a.superseded = len(reply.SupersededIncarnations) > 0
	a.term = max(a.term, reply.Term)
	a.mutex.Unlock()
	a.backend.SessionOpened(OpenedSession{Session: reply.Session, Incarnation: incarnation, Created: reply.Created, SupersededIncarnations: reply.SupersededIncarnations})
	a.shards.begin(reply.Session, incarnation)
	return reply, nil
}

// renewLoop renews the session's lease. It returns when control no longer has the
// session, and when the back end has ended or has another incarnation.
func (a *Agent) renewLoop(ctx context.Context, opened *wire.OpenSessionReply, incarnation string) {
	next := clock.Now()
	for ctx.Err() == nil {
		current, healthy := a.backend.CurrentIncarnation(clock.Now())
		if healthy && current != incarnation {
			a.logger.Info("backend_restarted", zap.String("incarnation", current))
			a.dropSession()
			return
		}
		if a.backend.HasEnded(incarnation) {
			a.endSession(ctx, opened.Session)
			return
		}
		if !healthy {
			// Without renewals control ends the session and assigns its shards to other nodes.
			if pause(ctx, retryPause) != nil {
				return
			}
			continue
		}
		err := a.renewOnce(ctx, opened)
		switch {
		case a.isUnknown(opened.Session):
			a.logger.Warn("session_lost", zap.Uint64("session", uint64(opened.Session)))
			a.dropSession()
			return
		case err == nil:
			a.renewals.Inc()
			now := clock.Now()
			// A renewal that was made early replaces the next one.
			next = min(max(next+opened.RenewEvery, now), now+opened.RenewEvery)
			a.awaitRenewal(ctx, next-now)
		default:
			a.failures.Inc()
			_ = pause(ctx, retryPause)
		}
	}
}

// awaitRenewal waits until the next renewal is due or the back end requests one.
func (a *Agent) awaitRenewal(ctx context.Context, length time.Duration) {
	timer := clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.backend.RenewNow():
	}
}

// claim returns the claim on grants for the next renewal.
func (a *Agent) claim() quiescence.Claim {
	claim := a.backend.Claim()
	if claim.Sequence == 0 {
		return claim
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	claim.Process, claim.Term = a.process, a.term
	return claim
}

// endSession discards the session of a back end that is known to have ended, and requests that
// control close it.
func (a *Agent) endSession(ctx context.Context, session membership.SessionID) {
	a.dropSession()
	request := &wire.EndSession{Session: session, Process: a.process, Cause: "the back end has ended"}
	err := a.links.callLeader(ctx, openTimeout, wire.KindEndSession, request, nil)
	if err != nil {
		// The lease expires without this request.
		a.logger.Warn("session_not_ended", logging.ErrorFields("end session", "control", err)...)
		return
	}
	a.logger.Info("session_ended", zap.Uint64("session", uint64(session)), zap.String("cause", request.Cause))
}

// endSuperseded closes the sessions that this agent's session has superseded, once the back end
// is proved to hold nothing granted under them. Without that proof they keep their shards until
// their leases expire.
func (a *Agent) endSuperseded(ctx context.Context) error {
	for {
		var session membership.SessionID
		select {
		case <-ctx.Done():
			return nil
		case session = <-a.backend.ProvenReleases():
		}
		for a.hasSuperseded(session) {
			request := &wire.EndSession{Session: session, CloseSuperseded: true, Cause: "its successor has had the instance let go of everything"}
			err := a.links.callLeader(ctx, openTimeout, wire.KindEndSession, request, nil)
			if err == nil {
				a.logger.Info("superseded_ended", zap.Uint64("session", uint64(session)), zap.String("proof", "the running incarnation holds none of their grants, and the former ones have ended"))
				break
			}
			a.logger.Warn("superseded_not_ended", logging.ErrorFields("end superseded sessions", "control", err)...)
			if pause(ctx, retryPause) != nil {
				return nil
			}
		}
	}
}

// hasSuperseded reports whether a session is the current one and has superseded others.
func (a *Agent) hasSuperseded(session membership.SessionID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.session == session && a.superseded
}

// dropSession discards the session, its lease and its shards.
func (a *Agent) dropSession() {
	a.mutex.Lock()
	a.session = 0
	a.lease.Drop()
	a.mutex.Unlock()
	a.shards.begin(0, "")
	a.signal()
}

// renewOnce renews the lease, whose length counts from before the renewal is sent.
func (a *Agent) renewOnce(ctx context.Context, opened *wire.OpenSessionReply) error {
	ctx, cancel := context.WithTimeout(ctx, max(minRenewTimeout, opened.RenewEvery))
	defer cancel()
	health := a.backend.Health()
	request := &wire.Renew{
		Session: opened.Session, Revision: a.shards.revision(), InFlight: health.InFlight, Healthy: true,
		Capacity: health.Capacity, Speed: health.Speed, Load: a.backend.LoadReport(), MembersVersion: a.links.memberVersion(), Claim: a.claim(),
	}
	sentAt := clock.Now()
	return a.links.renew(ctx, max(minRenewTryTimeout, opened.RenewEvery/renewTries), request, func(reply *wire.RenewReply, err error) {
		a.handleRenewal(opened.Session, sentAt, reply, err)
		if err == nil {
			a.backend.ClaimAcknowledged(request.Claim)
		}
	})
}

// handleRenewal processes the outcome of a renewal that was sent at or after sentAt.
func (a *Agent) handleRenewal(session membership.SessionID, sentAt time.Duration, reply *wire.RenewReply, err error) {
	var rejected *wire.Error
	unknown := errors.As(err, &rejected) && rejected.Code == wire.CodeUnknownSession
	if err != nil && !unknown {
		return
	}
	if err == nil {
		a.links.update(reply.Members)
	}
	a.mutex.Lock()
	switch {
	case a.session != session:
	case unknown:
		a.unknownSession = session
	default:
		a.term = max(a.term, reply.Term)
		a.lease.Acknowledge(session, sentAt, reply.LeaseLength)
	}
	a.mutex.Unlock()
	a.signal()
}

// isUnknown reports whether control has reported a session as unknown.
func (a *Agent) isUnknown(session membership.SessionID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.unknownSession == session
}

// Inline implements transport.Handler. Lists must be processed in order.
func (a *Agent) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (a *Agent) Handle(_ context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind != wire.KindAssignments {
		return nil, nil
	}
	list := &wire.Assignments{}
	if err := codec.Unmarshal(payload, list); err != nil {
		a.logger.Error("assignments_unreadable", logging.ErrorFields("decode assignments", conn.Peer.Name, err)...)
		return nil, err
	}
	if a.shards.apply(list) {
		a.signal()
	}
	return nil, nil
}

// updateBackend sends the lease and the grants to the back end whenever they have
// changed. Only the newest state matters, so one goroutine is enough.
func (a *Agent) updateBackend(ctx context.Context) error {
	var sentExpiry time.Duration
	var sentVersion uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		a.mutex.Lock()
		session, expiry := a.session, a.lease.Expiry()
		a.mutex.Unlock()
		if expiry != sentExpiry {
			if err := a.backend.Lease(session, expiry); err != nil {
				a.logger.Debug("lease_not_passed_on", logging.ErrorFields("pass lease on", a.options.Settings.Agent.Backend, err)...)
				_ = pause(ctx, retryPause)
				a.signal()
				continue
			}
			sentExpiry = expiry
		}
		list, version := a.shards.grants()
		if version == sentVersion || expiry == 0 {
			continue
		}
		if err := a.backend.Grants(list); err != nil {
			a.logger.Warn("grants_not_passed_on", logging.ErrorFields("pass grants on", a.options.Settings.Agent.Backend, err)...)
			_ = pause(ctx, retryPause)
			a.signal()
			continue
		}
		sentVersion = version
	}
}

// releaseLoop releases the shards that control has asked for: the back end completes the
// requests in flight, then the release is reported to control, repeatedly until control
// acknowledges it. It also reports the shards that the back end returns.
func (a *Agent) releaseLoop(ctx context.Context) error {
	for {
		session, wanted := a.shards.releasing()
		if len(wanted) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-a.shards.changed():
			case returned := <-a.backend.ReturnedShards():
				a.reportReleased(ctx, session, returned, true)
			}
			continue
		}
		done, err := a.release(ctx, session, wanted)
		if ctx.Err() != nil && err != nil {
			return nil
		}
		if err != nil {
			a.logger.Warn("release_failed", logging.ErrorFields("release shards", a.options.Settings.Agent.Backend, err)...)
			if pause(ctx, retryPause) != nil {
				return nil
			}
			continue
		}
		if len(done) > 0 {
			a.reportReleased(ctx, session, done, false)
		}
		if pause(ctx, retryPause) != nil {
			return nil
		}
	}
}

// releaseStopTimeout bounds the wait of a stopping agent for a release that is under way.
const releaseStopTimeout = 250 * time.Millisecond

// release releases shards at the back end. Once ctx has ended it waits for up to releaseStopTimeout; what is still
// under way then ends with the process.
func (a *Agent) release(ctx context.Context, session membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	type result struct {
		done []fleet.ReleasedShard
		err  error
	}
	results := make(chan result, 1)
	go func() {
		done, err := a.backend.Release(session, shards)
		results <- result{done, err}
	}()
	select {
	case r := <-results:
		return r.done, r.err
	case <-ctx.Done():
	}
	timer := clock.NewTimer(releaseStopTimeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.done, r.err
	case <-timer.C:
		return nil, ctx.Err()
	}
}

// reportReleased reports shards that the back end no longer holds to control. If again is set,
// control assigns them to this session again, under a higher epoch.
func (a *Agent) reportReleased(ctx context.Context, session membership.SessionID, done []fleet.ReleasedShard, again bool) {
	reply := &wire.ReleasedReply{}
	if err := a.links.callLeader(ctx, openTimeout, wire.KindReleased, &wire.Released{Session: session, Shards: done, Reassign: again}, reply); err != nil {
		a.logger.Warn("release_not_acknowledged", logging.ErrorFields("report released shards", "control", err)...)
		return
	}
	a.shards.markReleased(session, done)
}
