package ingress

import (
	"cmp"
	"io"
	"sync"
	"time"

	"limehold/clock"
)

// link schedules the instance's large responses on the machine's network link. Without it
// all of them are sent concurrently: each is late, and the small responses of other
// requests, for which callers elsewhere hold slots, queue behind them. The link sends one
// large response after the other in small chunks, so that small responses pass between the
// chunks, and a request whose response would wait too long is rejected. With links asked for a
// fifth more than they carry, this lets 2 in 100 of the calls to such machines fail instead of 18,
// and a third of the downloads be in time instead of a seventh.
//
// Invariants:
//   - Large responses and the other recorded traffic together take no more than rate bytes a second,
//     apart from maxCatchUp; the other traffic never waits. Between two turns the time of the other traffic is counted
//     only up to maxInterleaved, the length of the last turn or, if longer, of the shortest large
//     response: the waiting responses get about half of the link whatever else is sent.
//   - Of the waiting responses, those that have waited for maxOvertakenTime go first, in the order
//     of their arrival; then those whose router or process stops at a known time, the earliest
//     first, as long as they can be complete by then; then those that can still be in time, the
//     shortest first; then the late ones, the shortest first.
//   - Every response gets its turn, unless its caller disconnects, and no later than after
//     maxOvertakenTime and what was queued before it.
//   - Once endPacing has been called, no response waits: what is left is written as fast as the system
//     takes it.
type link struct {
	// rate is the scheduled part of the link's speed in bytes per second; 0 if the speed is unknown, and
	// then no response waits.
	rate float64

	mutex sync.Mutex
	// freeAt is when the responses that had their turn and the counted other traffic will have been sent.
	freeAt time.Duration
	// lastTurn is the length of the last turn. interleaved is how much of the link's time has since
	// gone to traffic that does not wait.
	lastTurn, interleaved time.Duration
	waiting               []*transfer
	// queuedBytes is the size in bytes of the waiting responses.
	queuedBytes float64
	// expectedBytes is the expected size in bytes of the responses to requests that run or wait for a
	// slot.
	expectedBytes float64
	// sizes holds the smoothed response size in bytes of each route.
	sizes map[string]float64
	// stopsAt is when this process stops; 0 if unknown.
	stopsAt time.Duration
	timer   *clock.Timer
	// paceEnded is closed by endPacing.
	paceEnded chan struct{}
}

// transfer is one response that waits for its turn.
type transfer struct {
	size float64
	// queuedAt is when it was queued, due when it has to be sent to be in time.
	queuedAt time.Duration
	due      time.Duration
	// routerStopsAt is when the router that receives the response stops; 0 if unknown.
	routerStopsAt time.Duration
	turn          chan struct{}
	// startsAt is when its first chunk may be written. It is valid once turn is closed.
	startsAt time.Duration
}

const (
	// schedulableShare is the part of the link's rate that is scheduled. The rest is left for packet
	// headers, retransmissions, and the opening and closing of connections. With 0.97, calls to such
	// machines took longer: the median of a route rose from 600 to 700 ms.
	schedulableShare = 0.9
	// chunkBytes is how much of a response is written at once: 13 ms of a link of 10 Mbit/s.
	chunkBytes = 16 << 10
	// largeResponse is the size in bytes from which responses wait for the link.
	largeResponse = 16 << 10
	// maxHeldBytes bounds the bytes of waiting responses; responses beyond it are streamed.
	maxHeldBytes = 24 << 20
	// maxHeldResponse is the size in bytes of the largest response that is held until its turn.
	maxHeldResponse = 2 << 20
	// sizeDecay is the weight of the previous value in a route's smoothed response size.
	sizeDecay = 0.95
	// bytesPerMegabit converts megabits per second to bytes per second.
	bytesPerMegabit = 1e6 / 8
	// maxRouteSizes bounds the number of routes whose response sizes are kept.
	maxRouteSizes = 1024
	// maxOvertakenTime is for how long a response may be overtaken by others that are in time.
	// Without a bound, a late response waits for as long as such responses arrive: during a planned
	// stop at full links, requests whose runs took 50 ms were cut 5 s after they were sent.
	maxOvertakenTime = 1500 * time.Millisecond
	// turnTolerance is how long before the link is free the next turn may be granted.
	turnTolerance = time.Millisecond
	// maxCatchUp bounds how much of the time for which the link was free while a response waited is made up for, by
	// sending faster: on a busy machine each turn is granted some milliseconds late. What is sent faster is on the link
	// for up to maxCatchUp after its scheduled time, and other traffic waits behind it; before a stop half of
	// lastChunkMargin is left for the peer to read it.
	maxCatchUp = lastChunkMargin / 2
)

// newLink returns a link with a speed in megabits per second.
func newLink(megabits float64) *link {
	return &link{rate: megabits * bytesPerMegabit * schedulableShare, sizes: map[string]float64{}, paceEnded: make(chan struct{})}
}

// isPaced reports whether large responses wait for the link.
func (l *link) isPaced() bool { return l.rate > 0 }

// expectedSize returns the expected size in bytes of a route's next response; 0 if it is small.
func (l *link) expectedSize(route string) float64 {
	if size := l.sizes[route]; size >= largeResponse {
		return size
	}
	return 0
}

// wait returns how long a response of an expected size would take if the request arrived now: its wait for the link and
// its own time on it. It is 0 for small responses. The mutex is held.
func (l *link) wait(size float64, now time.Duration) time.Duration {
	if !l.isPaced() || size == 0 {
		return 0
	}
	return l.backlog(now) + l.transferTime(size)
}

// backlog returns for how long the link is occupied by the responses that had their turn, the waiting
// ones, and those expected for the requests in flight. The mutex is held.
func (l *link) backlog(now time.Duration) time.Duration {
	return max(0, l.freeAt-now) + l.transferTime(l.queuedBytes+l.expectedBytes)
}

// recordSent records bytes that went over the link without waiting for a turn.
func (l *link) recordSent(bytes int, now time.Duration) {
	if !l.isPaced() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.freeAt <= now && len(l.waiting) == 0 {
		// While a response waits, its turn is due and about to be granted.
		l.freeAt, l.interleaved = now, 0
	}
	counted := min(l.transferTime(float64(bytes)), max(0, l.maxInterleaved()-l.interleaved))
	l.interleaved += counted
	l.freeAt += counted
}

// maxInterleaved returns how much of the link's time between two turns is counted for traffic
// that does not wait. Without this limit, 2,900 rejections a second left the waiting responses
// nothing for 2.2 s.
func (l *link) maxInterleaved() time.Duration { return max(l.lastTurn, l.transferTime(largeResponse)) }

// load returns the backlog, which routers use to choose among instances.
func (l *link) load(now time.Duration) time.Duration {
	if !l.isPaced() {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.backlog(now)
}

func (l *link) transferTime(size float64) time.Duration {
	return time.Duration(size / l.rate * float64(time.Second))
}

// reserve adds the expected response size of a request that is admitted if its response's expected wait does not exceed
// a limit. Otherwise it adds nothing and returns by how much. Both are one step: requests that arrive at once would all
// see the same backlog. Each call must be followed by a call of cancelReservation with the returned size.
func (l *link) reserve(route string, now, limit time.Duration) (size float64, excess time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size = l.expectedSize(route)
	if wait := l.wait(size, now); wait > limit {
		return 0, wait - limit
	}
	l.expectedBytes += size
	return size, 0
}

// cancelReservation removes what reserve added: the response has arrived, or there is none.
func (l *link) cancelReservation(expected float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expectedBytes = max(0, l.expectedBytes-expected)
}

// recordSize updates a route's smoothed response size.
func (l *link) recordSize(route string, size int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, seen := l.sizes[route]
	if !seen {
		if len(l.sizes) >= maxRouteSizes {
			return
		}
		known = float64(size)
	}
	l.sizes[route] = known*sizeDecay + float64(size)*(1-sizeDecay)
}

// canHold reports whether a response of a size may be held until its turn.
func (l *link) canHold(size int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.isPaced() && size >= largeResponse && size <= maxHeldResponse && l.queuedBytes+float64(size) <= maxHeldBytes
}

// setStop sets the time at which this process stops, by which all responses have to be sent.
func (l *link) setStop(stopsAt time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopsAt = stopsAt
}

// endPacing sends all waiting responses at once, and from now on each response when it is there. It must be called once,
// when so little time is left before this process stops that a response would be cut.
func (l *link) endPacing() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.paceEnded)
	l.grantTurns()
}

// isPaceEnded reports whether endPacing has been called.
func (l *link) isPaceEnded() bool {
	select {
	case <-l.paceEnded:
		return true
	default:
		return false
	}
}

// completeBy returns the time by which a response must be complete if the router that receives it
// stops at routerStopsAt; 0 if no stop is known.
func (l *link) completeBy(routerStopsAt time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return earlier(routerStopsAt, l.stopsAt)
}

// awaitTurn waits for a response's turn and returns the time at which the turn begins. It returns
// early if the caller disconnects.
func (l *link) awaitTurn(t *transfer, cancelled <-chan struct{}) time.Duration {
	t.queuedAt, t.turn = clock.Now(), make(chan struct{})
	l.mutex.Lock()
	l.waiting = append(l.waiting, t)
	l.queuedBytes += t.size
	l.grantTurns()
	l.mutex.Unlock()
	select {
	case <-t.turn:
		return t.startsAt
	case <-cancelled:
		l.cancel(t)
	}
	return clock.Now()
}

// pacedBody is a response body that is sent over the link in chunks, at the link's rate.
type pacedBody struct {
	link *link
	// unsent is the rest of the body; nextChunkAt is when its next chunk may be sent.
	unsent      []byte
	nextChunkAt time.Duration
	// onClose is called once, when the server has finished with the response.
	onClose func()
}

// Read implements io.Reader.
func (b *pacedBody) Read(data []byte) (int, error) {
	if len(b.unsent) == 0 {
		return 0, io.EOF
	}
	// The server reads less than a chunk at once, so that a read may be early by one chunk.
	if wait := b.nextChunkAt - clock.Now(); wait > b.link.transferTime(chunkBytes) {
		clock.Sleep(wait, b.link.paceEnded)
	}
	count := copy(data, b.unsent)
	b.unsent = b.unsent[count:]
	b.nextChunkAt += b.link.transferTime(float64(count))
	return count, nil
}

// Close implements io.Closer.
func (b *pacedBody) Close() error {
	if b.onClose != nil {
		b.onClose()
		b.onClose = nil
	}
	return nil
}

// cancel removes a response from the queue. A turn that was already granted stays used.
func (l *link) cancel(t *transfer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, other := range l.waiting {
		if other == t {
			l.remove(i)
			return
		}
	}
}

func (l *link) remove(i int) {
	l.queuedBytes = max(0, l.queuedBytes-l.waiting[i].size)
	l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
}

// grantTurns grants turns while the link is free, and sets a timer for the next one. The mutex is held.
func (l *link) grantTurns() {
	for len(l.waiting) > 0 {
		now := clock.Now()
		if untilFree := l.freeAt - now; untilFree > turnTolerance && !l.isPaceEnded() {
			l.scheduleTurn(untilFree)
			return
		}
		i := l.mostUrgent(now)
		chosen := l.waiting[i]
		l.remove(i)
		chosen.startsAt = max(l.freeAt, chosen.queuedAt, now-maxCatchUp)
		l.lastTurn, l.interleaved = l.transferTime(chosen.size), 0
		l.freeAt = chosen.startsAt + l.lastTurn
		close(chosen.turn)
	}
}

// mostUrgent returns the index of the waiting response that goes next.
func (l *link) mostUrgent(now time.Duration) int {
	best := 0
	for i, other := range l.waiting {
		if l.urgencyOf(other, now).compare(l.urgencyOf(l.waiting[best], now)) < 0 {
			best = i
		}
	}
	return best
}

// urgency orders the waiting responses: by class, and by rank within a class.
type urgency struct {
	class int
	rank  float64
}

// Classes of responses, the most urgent first.
const (
	classOvertaken = iota
	classStopping
	classInTime
	classLate
)

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.class, other.class), cmp.Compare(u.rank, other.rank))
}

func (l *link) urgencyOf(t *transfer, now time.Duration) urgency {
	sent := now + l.transferTime(t.size)
	stop := earlier(t.routerStopsAt, l.stopsAt)
	switch {
	case now-t.queuedAt >= maxOvertakenTime:
		return urgency{classOvertaken, float64(t.queuedAt)}
	case stop > 0 && sent <= stop:
		return urgency{classStopping, float64(stop)}
	case sent <= t.due:
		return urgency{classInTime, t.size}
	}
	return urgency{classLate, t.size}
}

// earlier returns the earlier of two times, of which 0 means unknown.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (l *link) scheduleTurn(untilFree time.Duration) {
	if l.timer != nil {
		return
	}
	l.timer = clock.AfterFunc(untilFree, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.timer = nil
		l.grantTurns()
	})
}
