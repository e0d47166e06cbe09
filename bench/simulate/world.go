// Package simulate runs the pure cores of control and of the nodes in virtual
// time: network, disks, clocks, pauses and crashes are all drawn from one seed.
// After every step the promises are checked. A failing seed fails again.
package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// event is something that happens to a process at a point of true time.
type event struct {
	at      time.Duration
	order   uint64
	process *process
	// life of the process for which the event is meant; a later life of it does
	// not see the event.
	life int
	run  func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// process is a machine's program: it has a clock of its own, can be frozen, and
// can die and come back.
type process struct {
	name    string
	offset  time.Duration
	rate    float64
	life    int
	running bool
	frozen  bool
	// backlog holds what arrived while the process was frozen.
	backlog []func()
}

// network conditions of a process.
type reach struct {
	// outgoing and incoming are false while messages that way are lost.
	outgoing bool
	incoming bool
}

// world is the whole simulation.
type world struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	queue   eventQueue
	order   uint64
	steps   int
	counts  map[string]int
	reaches map[*process]*reach
	// processes in the order of their making.
	processes []*process
	failure   *Failure
	trace     *trace

	members   []*member
	nodes     []*node
	operators []*operator
	checker   *checker
}

func newWorld(options Options) *world {
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 11)),
		counts: map[string]int{}, reaches: map[*process]*reach{}, trace: newTrace(options.Trace),
	}
	w.checker = newChecker(w)
	return w
}

// newProcess draws a clock: any offset, and a rate within half of the bound, so
// that no two clocks differ by more than the bound.
func (w *world) newProcess(name string) *process {
	bound := float64(w.options.driftPermille) / 1000 / 2
	p := &process{
		name: name, offset: time.Duration(w.random.Int64N(int64(time.Hour))),
		rate: 1 + bound*(2*w.random.Float64()-1), running: true,
	}
	w.reaches[p] = &reach{outgoing: true, incoming: true}
	w.processes = append(w.processes, p)
	return p
}

// clock is the process's own reading of the present.
func (w *world) clock(p *process) time.Duration {
	return p.offset + time.Duration(float64(w.now)*p.rate)
}

// trueLength converts a span on the process's clock into true time.
func (p *process) trueLength(local time.Duration) time.Duration {
	return time.Duration(float64(local) / p.rate)
}

// after schedules work on a process.
func (w *world) after(p *process, delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, &event{at: w.now + delay, order: w.order, process: p, life: p.life, run: run})
}

// run executes events until the end, or until a promise is broken.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.failure == nil {
		next := heap.Pop(&w.queue).(*event)
		if next.at > end {
			return
		}
		w.now = next.at
		w.deliver(next)
	}
}

func (w *world) deliver(next *event) {
	p := next.process
	if p.life != next.life || !p.running {
		return
	}
	if p.frozen {
		p.backlog = append(p.backlog, next.run)
		return
	}
	w.steps++
	next.run()
	w.checker.step()
}

// freeze stops a process; thaw lets it go on with everything that has queued up.
func (w *world) freeze(p *process) { p.frozen = true }

func (w *world) thaw(p *process) {
	if !p.frozen {
		return
	}
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		w.after(p, 0, run)
	}
}

// die ends a process at once; what it had scheduled never happens.
func (w *world) die(p *process) {
	p.life++
	p.running, p.frozen, p.backlog = false, false, nil
}

// send carries a message: it may be lost, delayed, repeated or overtaken.
func (w *world) send(from, to *process, kind string, run func()) {
	w.counts["messages"]++
	if !w.reaches[from].outgoing || !w.reaches[to].incoming {
		w.counts["messages cut off"]++
		return
	}
	if w.random.IntN(1000) < w.options.lossPermille {
		w.counts["messages lost"]++
		return
	}
	copies := 1
	if w.random.IntN(1000) < w.options.repeatPermille {
		w.counts["messages repeated"]++
		copies = 2
	}
	for range copies {
		w.after(to, w.delay(), run)
	}
	w.trace.note(w.now, "%s -> %s %s", from.name, to.name, kind)
}

// delay draws a network delay: mostly short, sometimes long enough to overtake
// everything else.
func (w *world) delay() time.Duration {
	delay := 200*time.Microsecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond)))
	if w.random.IntN(1000) < w.options.latePermille {
		w.counts["messages late"]++
		delay += time.Duration(w.random.Int64N(int64(700 * time.Millisecond)))
	}
	return delay
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// fail ends the run with the first broken promise.
func (w *world) fail(promise, format string, arguments ...any) {
	if w.failure == nil {
		w.failure = &Failure{
			Seed: w.options.Seed, Promise: promise, Message: fmt.Sprintf(format, arguments...), At: w.now, Trace: w.trace.lines(),
		}
	}
}

// trace keeps the last lines of what happened, when asked to.
type trace struct {
	enabled bool
	kept    []string
}

const traceLines = 200

func newTrace(enabled bool) *trace { return &trace{enabled: enabled} }

func (t *trace) note(now time.Duration, format string, arguments ...any) {
	if !t.enabled {
		return
	}
	t.kept = append(t.kept, fmt.Sprintf("%12s  ", now)+fmt.Sprintf(format, arguments...))
	if len(t.kept) > 2*traceLines {
		t.kept = append([]string(nil), t.kept[traceLines:]...)
	}
}

func (t *trace) lines() []string { return t.kept[max(0, len(t.kept)-traceLines):] }
