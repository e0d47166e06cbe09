// Package simulate runs the deterministic cores of control and of the nodes in virtual time. Network,
// disks, clocks, pauses and crashes are all drawn from one seed, so that a failing seed fails again. Leader
// leases are checked after every event, the other guarantees when something may violate them or at the end.
package simulate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// event is a function that runs on a process at a point of virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	process  *process
	// incarnation is that of the process when the event was scheduled; a later
	// incarnation does not run the event.
	incarnation int
	run         func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
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

// process has its own clock, can be frozen, and can crash and restart.
type process struct {
	name              string
	offset            time.Duration
	rate              float64
	incarnationNumber int
	running           bool
	frozen            bool
	// backlog holds events that became due while the process was frozen.
	backlog []func()
}

// connectivity is the state of a process's network connection.
type connectivity struct {
	// outgoing and incoming are false while messages in that direction are lost.
	outgoing bool
	incoming bool
}

// simulation is the state of one run.
type simulation struct {
	options      Options
	random       *rand.Rand
	now          time.Duration
	queue        eventQueue
	sequence     uint64
	steps        int
	counts       map[string]int
	connectivity map[*process]*connectivity
	// processes is in order of creation.
	processes []*process
	failure   *Failure
	trace     *trace

	members   []*member
	nodes     []*node
	operators []*operator
	checker   *checker
}

func newSimulation(options Options) *simulation {
	w := &simulation{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 11)),
		counts: map[string]int{}, connectivity: map[*process]*connectivity{}, trace: newTrace(options.Trace),
	}
	w.checker = newChecker(w)
	return w
}

// newProcess creates a process with a random clock: any offset, and a rate within
// half of the drift bound, so that no two clocks drift apart by more than the bound.
func (w *simulation) newProcess(name string) *process {
	bound := float64(w.options.driftPermille) / 1000 / 2
	p := &process{
		name: name, offset: time.Duration(w.random.Int64N(int64(time.Hour))),
		rate: 1 + bound*(2*w.random.Float64()-1), running: true,
	}
	w.connectivity[p] = &connectivity{outgoing: true, incoming: true}
	w.processes = append(w.processes, p)
	return p
}

// clock returns the current time on the process's clock.
func (w *simulation) clock(p *process) time.Duration {
	return p.offset + time.Duration(float64(w.now)*p.rate)
}

// trueLength converts a duration on the process's clock into virtual time.
func (p *process) trueLength(local time.Duration) time.Duration {
	return time.Duration(float64(local) / p.rate)
}

// scheduleOn schedules an event on the current incarnation of a process.
func (w *simulation) scheduleOn(p *process, delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, &event{at: w.now + delay, sequence: w.sequence, process: p, incarnation: p.incarnationNumber, run: run})
}

// run executes events until the end time, or until a guarantee is violated.
func (w *simulation) run(end time.Duration) {
	for len(w.queue) > 0 && w.failure == nil {
		next := heap.Pop(&w.queue).(*event)
		if next.at > end {
			return
		}
		w.now = next.at
		w.execute(next)
	}
}

func (w *simulation) execute(next *event) {
	p := next.process
	if p.incarnationNumber != next.incarnation || !p.running {
		return
	}
	if p.frozen {
		p.backlog = append(p.backlog, next.run)
		return
	}
	w.steps++
	next.run()
	w.checker.checkLeases()
}

// freeze pauses a process. Its events are kept in the backlog until resume runs them.
func (w *simulation) freeze(p *process) { p.frozen = true }

func (w *simulation) resume(p *process) {
	if !p.frozen {
		return
	}
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	for _, run := range backlog {
		w.scheduleOn(p, 0, run)
	}
}

// crash ends a process at once; the events scheduled on it are dropped.
func (w *simulation) crash(p *process) {
	p.incarnationNumber++
	p.running, p.frozen, p.backlog = false, false, nil
}

// send sends a message, which may be lost, delayed, duplicated or reordered.
func (w *simulation) send(from, to *process, kind string, run func()) {
	w.counts["messages"]++
	if !w.connectivity[from].outgoing || !w.connectivity[to].incoming {
		w.counts["messages cut off"]++
		return
	}
	if w.random.IntN(1000) < w.options.lossPermille {
		w.counts["messages lost"]++
		return
	}
	copies := 1
	if w.random.IntN(1000) < w.options.duplicatePermille {
		w.counts["messages repeated"]++
		copies = 2
	}
	for range copies {
		w.scheduleOn(to, w.networkDelay(), run)
	}
	w.trace.add(w.now, "%s -> %s %s", from.name, to.name, kind)
}

// networkDelay returns a random network delay: usually short, sometimes long
// enough for later messages to arrive first.
func (w *simulation) networkDelay() time.Duration {
	delay := 200*time.Microsecond + time.Duration(w.random.Int64N(int64(3*time.Millisecond)))
	if w.random.IntN(1000) < w.options.delayedPermille {
		w.counts["messages late"]++
		delay += time.Duration(w.random.Int64N(int64(700 * time.Millisecond)))
	}
	return delay
}

func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// fail records the first violated guarantee, which ends the run.
func (w *simulation) fail(promise, format string, arguments ...any) {
	if w.failure == nil {
		w.failure = &Failure{
			Seed: w.options.Seed, Guarantee: promise, Message: fmt.Sprintf(format, arguments...), At: w.now, Trace: w.trace.lines(),
		}
	}
}

// trace keeps the last lines of a run's trace if it is enabled.
type trace struct {
	enabled bool
	kept    []string
}

const traceLines = 200

func newTrace(enabled bool) *trace { return &trace{enabled: enabled} }

func (t *trace) add(now time.Duration, format string, arguments ...any) {
	if !t.enabled {
		return
	}
	t.kept = append(t.kept, fmt.Sprintf("%12s  ", now)+fmt.Sprintf(format, arguments...))
	if len(t.kept) > 2*traceLines {
		t.kept = append([]string(nil), t.kept[traceLines:]...)
	}
}

func (t *trace) lines() []string { return t.kept[max(0, len(t.kept)-traceLines):] }
