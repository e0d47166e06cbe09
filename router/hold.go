package router

import (
	"time"

	"limehold/admission"
	"limehold/clock"
	"limehold/membership"
)

// hold is the time that a keyed request may wait, in all, for an owner.
type hold struct {
	until time.Duration
	// refusedEpoch is the epoch under which the owner said it has no grant.
	refusedEpoch uint64
	// sentToReleasing is the epoch of the releasing owner that was tried.
	sentToReleasing uint64
	step            time.Duration
}

func newHold(p *proxied) *hold {
	return &hold{until: min(p.deadline, p.started+p.holdTime())}
}

// targetShare is the part of a route's target latency for which its requests wait
// for an owner: refused by then, they may still be served in time when they return.
const targetShare = 4

func (p *proxied) holdTime() time.Duration {
	if p.routed != nil && p.routed.route.TargetLatency > 0 {
		return min(p.route.Hold.Std(), p.routed.route.TargetLatency/targetShare)
	}
	return p.route.Hold.Std()
}

func (h *hold) remaining() time.Duration { return h.until - clock.Now() }

// backoff doubles the pause between attempts.
func (h *hold) backoff() time.Duration {
	h.step = min(ownerRetryMax, max(ownerRetryMin, 2*h.step))
	return h.step
}

// pause waits, at most until the hold is over, the table changes, or the caller leaves.
func (h *hold) pause(r *Router, p *proxied, length time.Duration) {
	_, _, changed := r.table.owner(p.service, p.shard)
	timer := clock.NewTimer(max(0, min(length, h.remaining())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-p.tracker.Cancelled():
	}
}

func wireSession(id admission.InstanceID) membership.SessionID { return membership.SessionID(id) }
