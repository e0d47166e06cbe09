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
// its lease for as long as the back end is healthy.
func (a *Agent) holdSession(ctx context.Context) error {
	for ctx.Err() == nil {
		incarnation, healthy := a.backend.Alive(clock.Now())
		if !healthy {
			if pause(ctx, retryPause) != nil {
				return nil
			}
			continue
		}
		opened, err := a.open(ctx, incarnation)
		if err != nil {
			a.failures.Inc()
			a.logger.Debug("session_not_opened", logging.Step("open session", "control", err)...)
			_ = pause(ctx, retryPause)
			continue
		}
		a.logger.Info("session_opened", zap.Uint64("session", uint64(opened.Session)), zap.String("incarnation", incarnation))
		a.renewLoop(ctx, opened, incarnation)
	}
	return nil
}

func (a *Agent) open(ctx context.Context, incarnation string) (*wire.OpenSessionReply, error) {
	config := a.options.Settings
	advertise := config.Agent.Advertise
	if advertise == "" {
		advertise = config.Agent.Backend
	}
	described := a.backend.Description()
	request := &wire.OpenSession{PredecessorGone: described.PredecessorGone, Exclusive: described.Exclusive, Node: membership.Node{
		Name: config.Name, Incarnation: incarnation, Zone: config.Zone, Address: advertise,
		Pool: described.Pool, Slots: described.Slots, Connections: described.Connections, Gated: described.Gated, Version: described.Version, Born: described.Born, Process: a.process, TakesLate: described.TakesLate,
	}}
	reply := &wire.OpenSessionReply{}
	a.backend.Opening(ctx)
	if err := a.links.callLeader(ctx, openTimeout, wire.KindOpenSession, request, reply); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	if a.session != reply.Session {
		a.session = reply.Session
		a.lease.Drop()
	}
	a.superseded = len(reply.Former) > 0
	a.term = max(a.term, reply.Term)
	a.mutex.Unlock()
	a.backend.Opened(Opened{Session: reply.Session, Incarnation: incarnation, Fresh: reply.Fresh, Former: reply.Former})
	a.shards.begin(reply.Session, incarnation)
	return reply, nil
}

// renewLoop returns when control no longer knows the session, or when the back
// end is another process than the one that the session stands for.
func (a *Agent) renewLoop(ctx context.Context, opened *wire.OpenSessionReply, incarnation string) {
	next := clock.Now()
	for ctx.Err() == nil {
		current, healthy := a.backend.Alive(clock.Now())
		if healthy && current != incarnation {
			a.logger.Info("backend_restarted", zap.String("incarnation", current))
			a.dropSession()
			return
		}
		if a.backend.Gone(incarnation) {
			a.endSession(ctx, opened.Session)
			return
		}
		if !healthy {
			// Without renewals control ends the session, and others take over.
			if pause(ctx, retryPause) != nil {
				return
			}
			continue
		}
		err := a.renewOnce(ctx, opened)
		switch {
		case a.isLost(opened.Session):
			a.logger.Warn("session_lost", zap.Uint64("session", uint64(opened.Session)))
			a.dropSession()
			return
		case err == nil:
			a.renewals.Inc()
			now := clock.Now()
			// One that was made ahead of its time takes the place of the next one.
			next = min(max(next+opened.RenewEvery, now), now+opened.RenewEvery)
			a.awaitRenewal(ctx, next-now)
		default:
			a.failures.Inc()
			_ = pause(ctx, retryPause)
		}
	}
}

// awaitRenewal returns when the next renewal is due, or is asked for.
func (a *Agent) awaitRenewal(ctx context.Context, length time.Duration) {
	timer := clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.backend.ClaimNow():
	}
}

// claim is what the next renewal says of grants.
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

// endSession gives the session of a back end up that is known to be gone.
func (a *Agent) endSession(ctx context.Context, session membership.SessionID) {
	a.dropSession()
	request := &wire.EndSession{Session: session, Process: a.process, Cause: "the back end has ended"}
	err := a.links.callLeader(ctx, openTimeout, wire.KindEndSession, request, nil)
	if err != nil {
		// Its lease runs out by itself.
		a.logger.Warn("session_not_ended", logging.Step("end session", "control", err)...)
		return
	}
	a.logger.Info("session_ended", zap.Uint64("session", uint64(session)), zap.String("cause", request.Cause))
}

// endSuperseded ends the sessions that an own one has superseded, once it is proved that nothing is
// held any more that was told under them. Until then their lease keeps what they owned.
func (a *Agent) endSuperseded(ctx context.Context) error {
	for {
		var session membership.SessionID
		select {
		case <-ctx.Done():
			return nil
		case session = <-a.backend.Vacated():
		}
		for a.supersedes(session) {
			request := &wire.EndSession{Session: session, Before: true, Cause: "its successor has had the instance let go of everything"}
			err := a.links.callLeader(ctx, openTimeout, wire.KindEndSession, request, nil)
			if err == nil {
				a.logger.Info("superseded_ended", zap.Uint64("session", uint64(session)), zap.String("proof", "the start that runs holds nothing of them, and they have ended"))
				break
			}
			a.logger.Warn("superseded_not_ended", logging.Step("end superseded sessions", "control", err)...)
			if pause(ctx, retryPause) != nil {
				return nil
			}
		}
	}
}

// supersedes reports whether a session is the present one and has superseded others.
func (a *Agent) supersedes(session membership.SessionID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.session == session && a.superseded
}

// dropSession forgets the session, its lease and its shards.
func (a *Agent) dropSession() {
	a.mutex.Lock()
	a.session = 0
	a.lease.Drop()
	a.mutex.Unlock()
	a.shards.begin(0, "")
	a.signal()
}

// renewOnce renews the lease. The lease counts from before the renewal is sent.
func (a *Agent) renewOnce(ctx context.Context, opened *wire.OpenSessionReply) error {
	ctx, cancel := context.WithTimeout(ctx, max(minRenewTimeout, opened.RenewEvery))
	defer cancel()
	health := a.backend.Health()
	request := &wire.Renew{
		Session: opened.Session, Revision: a.shards.revision(), InFlight: health.InFlight, Healthy: true,
		Capacity: health.Capacity, Members: a.links.memberVersion(), Claim: a.claim(),
	}
	sentAt := clock.Now()
	return a.links.renew(ctx, max(minRenewPerTry, opened.RenewEvery/renewTries), request, func(reply *wire.RenewReply, err error) {
		a.renewalEnded(opened.Session, sentAt, reply, err)
		if err == nil {
			a.backend.Claimed(request.Claim)
		}
	})
}

// renewalEnded takes how a renewal has ended that was sent at sentAt or later.
func (a *Agent) renewalEnded(session membership.SessionID, sentAt time.Duration, reply *wire.RenewReply, err error) {
	var refused *wire.Error
	unknown := errors.As(err, &refused) && refused.Code == wire.CodeUnknownSession
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
		a.lost = session
	default:
		a.term = max(a.term, reply.Term)
		a.lease.Acknowledge(session, sentAt, reply.LeaseLength)
	}
	a.mutex.Unlock()
	a.signal()
}

// isLost reports whether control has said that it does not know a session.
func (a *Agent) isLost(session membership.SessionID) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lost == session
}

// Inline implements transport.Handler: lists are taken in order.
func (a *Agent) Inline(wire.Kind) bool { return true }

// Handle implements transport.Handler.
func (a *Agent) Handle(_ context.Context, conn *transport.Conn, kind wire.Kind, payload []byte) (any, error) {
	if kind != wire.KindAssignments {
		return nil, nil
	}
	list := &wire.Assignments{}
	if err := codec.Unmarshal(payload, list); err != nil {
		a.logger.Error("assignments_unreadable", logging.Step("decode assignments", conn.Peer.Name, err)...)
		return nil, err
	}
	if a.shards.take(list) {
		a.signal()
	}
	return nil, nil
}

// tellBackend passes the lease and the list of shards on, whenever either has
// changed. Only the newest state matters, so that one goroutine is enough.
func (a *Agent) tellBackend(ctx context.Context) error {
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
				a.logger.Debug("lease_not_passed_on", logging.Step("pass lease on", a.options.Settings.Agent.Backend, err)...)
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
			a.logger.Warn("grants_not_passed_on", logging.Step("pass grants on", a.options.Settings.Agent.Backend, err)...)
			_ = pause(ctx, retryPause)
			a.signal()
			continue
		}
		sentVersion = version
	}
}

// releaseLoop lets shards go that control wants back: the back end finishes
// what is in flight, then control is told, again and again until its list no
// longer names the shard.
func (a *Agent) releaseLoop(ctx context.Context) error {
	for {
		session, wanted := a.shards.releasing()
		if len(wanted) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-a.shards.changed():
			case refused := <-a.backend.HandedBack():
				a.reportReleased(ctx, session, refused, true)
			}
			continue
		}
		done, err := a.backend.Release(session, wanted)
		if err != nil {
			a.logger.Warn("release_failed", logging.Step("release shards", a.options.Settings.Agent.Backend, err)...)
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

// reportReleased tells control of shards that the back end holds no longer; with again it is to be
// given them under a higher epoch.
func (a *Agent) reportReleased(ctx context.Context, session membership.SessionID, done []fleet.ReleasedShard, again bool) {
	reply := &wire.ReleasedReply{}
	if err := a.links.callLeader(ctx, openTimeout, wire.KindReleased, &wire.Released{Session: session, Shards: done, Again: again}, reply); err != nil {
		a.logger.Warn("release_not_acknowledged", logging.Step("report released shards", "control", err)...)
		return
	}
	a.shards.released(session, done)
}
