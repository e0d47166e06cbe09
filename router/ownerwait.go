package router

import (
	"time"

	"limehold/admission"
	"limehold/clock"
	"limehold/membership"
)

// ownerWait bounds the total time that a keyed request waits for an owner.
type ownerWait struct {
	deadline time.Duration
	// rejectedEpoch is the epoch under which the owner reported that it has no grant.
	rejectedEpoch uint64
	// triedReleasing is the epoch of the last releasing owner that was tried.
	triedReleasing uint64
	delay          time.Duration
}

func newOwnerWait(p *proxiedRequest) *ownerWait {
	return &ownerWait{deadline: min(p.deadline, p.started+p.maxOwnerWait())}
}

// targetWaitDivisor divides a route's target latency. Its requests wait for an owner no longer than
// the result, so that a caller whose request is then rejected can retry and still be served within
// the target latency.
const targetWaitDivisor = 4

func (p *proxiedRequest) maxOwnerWait() time.Duration {
	if p.routed != nil && p.routed.route.TargetLatency > 0 {
		return min(p.route.Hold.Std(), p.routed.route.TargetLatency/targetWaitDivisor)
	}
	return p.route.Hold.Std()
}

func (w *ownerWait) remaining() time.Duration { return w.deadline - clock.Now() }

// backoff returns the next delay between attempts, which doubles up to ownerRetryMax.
func (w *ownerWait) backoff() time.Duration {
	w.delay = min(ownerRetryMax, max(ownerRetryMin, 2*w.delay))
	return w.delay
}

// pause waits for length, at most until the deadline of the wait. It returns early when the
// table changes or the caller closes its connection.
func (w *ownerWait) pause(r *Router, p *proxiedRequest, length time.Duration) {
	_, _, changed := r.table.owner(p.service, p.shard)
	timer := clock.NewTimer(max(0, min(length, w.remaining())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-p.tracker.Cancelled():
	}
}

func sessionOf(id admission.InstanceID) membership.SessionID { return membership.SessionID(id) }
