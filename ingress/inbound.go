package ingress

import (
	"slices"
	"sync"
	"time"

	"limehold/clock"
)

// inbound schedules large request bodies on the machine's network link. Without it all of them arrive at the same
// time: each is late, and each holds a slot of the instance meanwhile. A router announces a large body and sends it
// once the ingress asks for it; a request whose body could not arrive in time is rejected before any of it is sent.
//
// Invariants:
//   - At most what the link carries in window is asked for and not received, but always one body.
//   - Bodies that have been asked for or wait take no more than maxBodyBytes of memory.
//   - Every transfer ends: when its body has arrived, its request has ended, or its deadline has passed.
type inbound struct {
	// rate is the scheduled part of the link's speed in bytes per second; 0 if the speed is unknown, and then no body
	// waits.
	rate float64

	mutex sync.Mutex
	// receiving is the size in bytes of the bodies that have been asked for and not received, held that of those in
	// memory until their requests end.
	receiving float64
	held      float64
	waiting   []*upload
}

// upload is one announced body.
type upload struct {
	size float64
	// arrived is when the announcement arrived, by clock.Now.
	arrived time.Duration
	// ready is closed when the body may be sent.
	ready   chan struct{}
	granted bool
	// received is set once the body has arrived or the transfer has been given up, and released once it is no longer
	// in memory.
	received bool
	released bool
	timer    *clock.Timer
}

const (
	// announcedBody is the size in bytes from which routers announce a body and wait until it is asked for.
	announcedBody = 16 << 10
	// maxHeldBody is the size in bytes of the largest body that is held in memory until the request has a slot; a
	// larger one is streamed while it occupies the slot.
	maxHeldBody = 2 << 20
	// maxBodyBytes bounds the bytes of all bodies in memory.
	maxBodyBytes = 24 << 20
	// inboundShare is the part of the link's rate that is scheduled for bodies. The rest is for responses to the
	// machine's own callers.
	inboundShare = 0.85
	// inboundWindow is the time for which bodies are asked for in advance: it covers the way of the request for a body
	// to a router in another region, and of the body back.
	inboundWindow = 60 * time.Millisecond
)

// newInbound returns the schedule for a link with a speed in megabits per second.
func newInbound(megabits float64) *inbound {
	return &inbound{rate: megabits * bytesPerMegabit * inboundShare}
}

// transferTime returns how long bytes take on the link. It is 0 if the speed is unknown.
func (s *inbound) transferTime(size float64) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	return time.Duration(size / s.rate * float64(time.Second))
}

// load returns for how long the link is taken by announced bodies.
func (s *inbound) load() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.transferTime(s.queued())
}

// queued returns the bytes of all announced bodies that have not arrived. The mutex is held.
func (s *inbound) queued() float64 {
	queued := s.receiving
	for _, other := range s.waiting {
		queued += other.size
	}
	return queued
}

// memory returns the bytes of the bodies that are in memory or have been asked for.
func (s *inbound) memory() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.held
}

// announce decides on a body that has to arrive within the given time. It returns the transfer to wait for, or by how
// much too late the body would be.
func (s *inbound) announce(size int, within time.Duration) (accepted *upload, excess time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	needed := s.transferTime(s.queued() + float64(size))
	if needed > within {
		return nil, needed - within
	}
	held := s.held
	for _, other := range s.waiting {
		held += other.size
	}
	if held+float64(size) > maxBodyBytes {
		return nil, max(time.Millisecond, needed)
	}
	accepted = &upload{size: float64(size), ready: make(chan struct{})}
	s.waiting = append(s.waiting, accepted)
	s.grant()
	return accepted, 0
}

// grant asks for the bodies that are next. The mutex is held.
func (s *inbound) grant() {
	for len(s.waiting) > 0 && (s.receiving == 0 || s.transferTime(s.receiving) < inboundWindow) {
		next := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		s.receiving += next.size
		s.held += next.size
		next.granted = true
		close(next.ready)
	}
}

// endAt gives a transfer up at a time by clock.Now, unless it has ended before: nothing tells of a body whose router
// has gone.
func (s *inbound) endAt(u *upload, at time.Duration) {
	timer := clock.AfterFunc(max(0, at-clock.Now()), func() { s.release(u) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if u.released {
		timer.Stop()
		return
	}
	u.timer = timer
}

// arrived records that a body has arrived.
func (s *inbound) arrived(u *upload) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endTransfer(u)
}

// endTransfer removes a body from those on the link. The mutex is held.
func (s *inbound) endTransfer(u *upload) {
	if u.received {
		return
	}
	u.received = true
	if u.granted {
		s.receiving -= u.size
	} else if at := slices.Index(s.waiting, u); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)
	}
	s.grant()
}

// release records that a body is no longer in memory.
func (s *inbound) release(u *upload) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if u.released {
		return
	}
	u.released = true
	if u.timer != nil {
		u.timer.Stop()
	}
	s.endTransfer(u)
	if u.granted {
		s.held -= u.size
	}
}
