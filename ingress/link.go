package ingress

import (
	"cmp"
	"io"
	"sync"
	"time"

	"limehold/clock"
)

// link shares the machine's link among the instance's large answers. Left to themselves,
// all of them are under way side by side: each is late, and the small answers of other
// requests, for which callers elsewhere hold slots, wait behind them. Here one goes after
// the other, a piece at a time, so that what is small passes between the pieces; and a
// request whose answer would wait too long is not let in.
//
// Measured over whole days of 67 machines whose downloads asked for a fifth more than their
// links carry, with the patience of short requests that came along: requests of another
// service that call to these machines failed 2 times in 100 in place of 18, their median
// answer came after 570 ms in place of 910, and of the downloads a third was in time in place
// of a seventh.
//
// Invariants:
//   - Large answers and what else is known to be sent take no more than rate bytes a second
//     of the link together; the latter never waits. While answers wait, as much of that as
//     their turn was long is taken into account between two turns: they have half of the link,
//     whatever else is sent. 2,900 refusals a second left them nothing for 2.2 s.
//   - Of the answers that wait, those that have waited for mostOvertaken go first, in the order
//     in which they came; then those whose way ends at a known time, by that, as long as they
//     can still be whole by then; then those that are still in time, the shorter one first;
//     then the late ones.
//   - Every answer gets its turn, unless its caller leaves, and no later than mostOvertaken
//     and what waited before it.
type link struct {
	// rate in bytes a second; zero: the link's speed is not known, and nothing waits.
	rate float64

	mutex sync.Mutex
	// freeAt is when what has had its turn will have been sent.
	freeAt time.Duration
	// turnTime is how long the last turn was; between is how much of the link's time has gone
	// since to what does not wait.
	turnTime, between time.Duration
	waiting           []*transfer
	// queued is the size in bytes of those that wait.
	queued float64
	// coming is the expected size of answers whose requests run or wait for a slot.
	coming float64
	// sizes are the smoothed sizes of the routes' answers.
	sizes map[string]float64
	// ends is when this process stops; zero: that is not known.
	ends  time.Duration
	timer *clock.Timer
}

// transfer is one answer that waits for its turn.
type transfer struct {
	size float64
	// since is when it began to wait, due when it has to be sent to be in time.
	since time.Duration
	due   time.Duration
	// ends is when whoever passes it on stops; zero: that is not known.
	ends time.Duration
	turn chan struct{}
	// starts is when its first piece may be written, once turn is closed.
	starts time.Duration
}

const (
	// linkShare is the part of the link that is planned: the rest is for packets' heads, for
	// packets that are sent again, and for connections that open and close. With 0.97 calls
	// to such machines took longer again (a median booking 700 ms in place of 600).
	linkShare = 0.9
	// pieceBytes is how much of an answer is written at once: 13 ms of a link of 10 Mbit/s.
	pieceBytes = 16 << 10
	// largeAnswer is the size in bytes from which answers wait for the link: a tenth of a
	// second's worth of a hundred answers of a kilobyte.
	largeAnswer = 16 << 10
	// heldLimit bounds the bytes of answers that wait; answers beyond it are streamed.
	heldLimit = 24 << 20
	// heldAnswer is the largest answer that is held.
	heldAnswer = 2 << 20
	// sizeKeep is how much of a route's smoothed size an answer leaves.
	sizeKeep = 0.95
	// bytesAMegabit is how many bytes a second a megabit a second is.
	bytesAMegabit = 1e6 / 8
	// maxSizes bounds the routes whose sizes are kept.
	maxSizes = 1024
	// mostOvertaken is for how long an answer may be overtaken by others that are in time.
	// Without a bound one that is late waits for as long as such come: in a planned stop at
	// full links 4 requests were cut 5 s after they were sent, whose runs took 50 ms.
	mostOvertaken = 1500 * time.Millisecond
	// turnAtOnce is how much earlier than the link is free a turn may be given.
	turnAtOnce = time.Millisecond
)

// newLink takes the link's speed in megabits a second.
func newLink(megabits float64) *link {
	return &link{rate: megabits * bytesAMegabit * linkShare, sizes: map[string]float64{}}
}

// paced reports whether answers wait for the link at all.
func (l *link) paced() bool { return l.rate > 0 }

// expected is the size in bytes of a route's next answer; zero for small ones.
func (l *link) expected(route string) float64 {
	if size := l.sizes[route]; size >= largeAnswer {
		return size
	}
	return 0
}

// wait is how long the answer to a request of a route would wait for the link if it came
// now, and its own time on it included; zero for routes with small answers.
func (l *link) wait(route string, now time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size := l.expected(route)
	if !l.paced() || size == 0 {
		return 0
	}
	return l.backlog(now) + l.time(size)
}

// backlog is how long the link is taken by what waits, and by what is expected of requests
// under way.
func (l *link) backlog(now time.Duration) time.Duration {
	return max(0, l.freeAt-now) + l.time(l.queued+l.coming)
}

// sent notes bytes that went over the link without waiting for a turn.
func (l *link) sent(bytes int, now time.Duration) {
	if !l.paced() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.freeAt <= now {
		l.freeAt, l.between = now, 0
	}
	taken := min(l.time(float64(bytes)), max(0, l.mostBetween()-l.between))
	l.between += taken
	l.freeAt += taken
}

// mostBetween is how much of the link's time what does not wait may take between two turns.
func (l *link) mostBetween() time.Duration { return max(l.turnTime, l.time(largeAnswer)) }

// load is the backlog, for routers that choose among instances.
func (l *link) load(now time.Duration) time.Duration {
	if !l.paced() {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.backlog(now)
}

func (l *link) time(size float64) time.Duration {
	return time.Duration(size / l.rate * float64(time.Second))
}

// begin counts a request that was let in; end must follow with what it returns.
func (l *link) begin(route string) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	size := l.expected(route)
	l.coming += size
	return size
}

// end takes back what begin returned: the answer is there, or there is none.
func (l *link) end(expected float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.coming = max(0, l.coming-expected)
}

// learn takes the size of a route's answer.
func (l *link) learn(route string, size int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known, seen := l.sizes[route]
	if !seen {
		if len(l.sizes) >= maxSizes {
			return
		}
		known = float64(size)
	}
	l.sizes[route] = known*sizeKeep + float64(size)*(1-sizeKeep)
}

// mayHold reports whether an answer of a size may be held until its turn.
func (l *link) mayHold(size int) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.paced() && size >= largeAnswer && size <= heldAnswer && l.queued+float64(size) <= heldLimit
}

// stop has everything be sent before this process ends.
func (l *link) stop(ends time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ends = ends
}

// endOf is until when an answer can be under way whose asker stops at ends; zero: nobody is
// known to stop.
func (l *link) endOf(ends time.Duration) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return earlier(ends, l.ends)
}

// await returns when it is an answer's turn, with the time at which that begins; or when
// its caller has left.
func (l *link) await(mine *transfer, cancelled <-chan struct{}) time.Duration {
	mine.since, mine.turn = clock.Now(), make(chan struct{})
	l.mutex.Lock()
	l.waiting = append(l.waiting, mine)
	l.queued += mine.size
	l.next()
	l.mutex.Unlock()
	select {
	case <-mine.turn:
		return mine.starts
	case <-cancelled:
		l.leave(mine)
	}
	return clock.Now()
}

// pacedBody is an answer on its way over the link: a piece at a time, at the link's rate.
type pacedBody struct {
	link *link
	// rest has not been read yet; begun is when its first piece may go.
	rest  []byte
	begun time.Duration
	// closed is called once, when the server is done with the answer.
	closed func()
}

// Read implements io.Reader.
func (b *pacedBody) Read(data []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	// The server reads less than a piece at once: a piece may go ahead of its time.
	if wait := b.begun - clock.Now(); wait > b.link.time(pieceBytes) {
		clock.Sleep(wait, nil)
	}
	count := copy(data, b.rest)
	b.rest = b.rest[count:]
	b.begun += b.link.time(float64(count))
	return count, nil
}

// Close implements io.Closer.
func (b *pacedBody) Close() error {
	if b.closed != nil {
		b.closed()
		b.closed = nil
	}
	return nil
}

// leave gives up a turn; one that has come already stays taken.
func (l *link) leave(mine *transfer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for i, other := range l.waiting {
		if other == mine {
			l.remove(i)
			return
		}
	}
}

func (l *link) remove(i int) {
	l.queued = max(0, l.queued-l.waiting[i].size)
	l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
}

// next gives turns for as long as the link is free, and sets a timer for the next one.
func (l *link) next() {
	for len(l.waiting) > 0 {
		now := clock.Now()
		if free := l.freeAt - now; free > turnAtOnce {
			l.after(free)
			return
		}
		i := l.first(now)
		chosen := l.waiting[i]
		l.remove(i)
		chosen.starts = max(l.freeAt, now)
		l.turnTime, l.between = l.time(chosen.size), 0
		l.freeAt = chosen.starts + l.turnTime
		close(chosen.turn)
	}
}

// first is which of the waiting answers goes next.
func (l *link) first(now time.Duration) int {
	best := 0
	for i, other := range l.waiting {
		if l.urgencyOf(other, now).compare(l.urgencyOf(l.waiting[best], now)) < 0 {
			best = i
		}
	}
	return best
}

// urgency orders the answers that wait: by class, and within one by what counts there.
type urgency struct {
	class int
	rank  float64
}

// Classes of answers, the most urgent first.
const (
	classOvertaken = iota
	classEnds
	classInTime
	classLate
)

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.class, other.class), cmp.Compare(u.rank, other.rank))
}

func (l *link) urgencyOf(t *transfer, now time.Duration) urgency {
	sent := now + l.time(t.size)
	ends := earlier(t.ends, l.ends)
	switch {
	case now-t.since >= mostOvertaken:
		return urgency{classOvertaken, float64(t.since)}
	case ends > 0 && sent <= ends:
		return urgency{classEnds, float64(ends)}
	case sent <= t.due:
		return urgency{classInTime, t.size}
	}
	return urgency{classLate, t.size}
}

// earlier is the earlier of two times, of which zero is not known.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (l *link) after(free time.Duration) {
	if l.timer != nil {
		return
	}
	l.timer = clock.AfterFunc(free, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.timer = nil
		l.next()
	})
}
