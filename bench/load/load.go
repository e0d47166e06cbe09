package load

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"limehold/bench/shape"
)

// Options configures a run of callers.
type Options struct {
	Shape *shape.Shape
	// Rate of requests a second over all callers.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Targets are the routers; requests are spread over them evenly.
	Targets []Target
	// RunPrefix begins the name of every request.
	RunPrefix string
	// Skew is the exponent of the keys' popularity; 0 asks for all keys alike.
	Skew float64
	// HotShift is when the popular keys become others; 0: never.
	HotShift time.Duration
	// Workload changes demand during the run. Default steady.
	Workload *Workload
}

// Run sends requests until the duration is over and returns all results once
// the last request has ended.
func Run(ctx context.Context, options Options) []Result {
	run := newRunner(options)
	return run.run(ctx)
}

type runner struct {
	options Options
	callers []*caller
	random  *rand.Rand
	weights float64
	keys    *keyPicker
	// shifted counts the shifts of popularity so far.
	shifted    int
	shiftedAll bool
	mutex      sync.Mutex
	results    []Result
	pending    sync.WaitGroup
}

func newRunner(options Options) *runner {
	if options.Workload == nil {
		options.Workload, _ = WorkloadByName("steady")
	}
	r := &runner{options: options, random: rand.New(rand.NewPCG(options.Seed, 1))}
	for _, target := range options.Targets {
		r.callers = append(r.callers, newCaller(target))
	}
	most := 0
	for i := range options.Shape.Streams {
		r.weights += options.Shape.Streams[i].Weight
		most = max(most, options.Shape.Streams[i].Keys)
	}
	r.keys = newKeyPicker(most, options.Skew)
	return r
}

func (r *runner) run(ctx context.Context) []Result {
	started := time.Now()
	next := started
	for number := 0; ctx.Err() == nil; number++ {
		since := next.Sub(started)
		if since >= r.options.Duration {
			break
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		r.launch(number, since)
		rate := r.options.Rate * r.options.Workload.rate(r.share(since))
		next = next.Add(time.Duration(r.random.ExpFloat64() / math.Max(rate, 0.1) * float64(time.Second)))
	}
	r.pending.Wait()
	return r.results
}

func (r *runner) share(since time.Duration) float64 {
	return since.Seconds() / r.options.Duration.Seconds()
}

// shiftKeys changes the popularity of keys as far as it is due.
func (r *runner) shiftKeys(since time.Duration) {
	for float64(r.shifted) < since.Minutes()*r.options.Workload.shiftRate(len(r.keys.ranks)) {
		r.keys.shift(r.random)
		r.shifted++
	}
	if r.options.HotShift > 0 && since >= r.options.HotShift && !r.shiftedAll {
		r.shiftedAll = true
		r.keys.shiftAll()
	}
}

func (r *runner) launch(number int, since time.Duration) {
	a := r.draw(number, since)
	first := r.random.IntN(len(r.callers))
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		result := r.sendSomewhere(a, first)
		r.mutex.Lock()
		r.results = append(r.results, result)
		r.mutex.Unlock()
	}()
}

// sendSomewhere tries the next router only when the last one did not accept a
// connection, so that nothing can have been sent.
func (r *runner) sendSomewhere(a *ask, first int) Result {
	var result Result
	for i := range r.callers {
		result = r.callers[(first+i)%len(r.callers)].send(a)
		if result.Outcome != OutcomeNotSent {
			break
		}
	}
	return result
}

func (r *runner) draw(number int, since time.Duration) *ask {
	stream := r.stream()
	a := &ask{run: fmt.Sprintf("%s%d-%d", r.options.RunPrefix, r.options.Seed, number), stream: stream}
	a.prefix = r.options.Workload.prefix(r.random, stream, r.share(since))
	if stream.Keys > 0 {
		r.shiftKeys(since)
		a.key = r.keys.pick(r.random, stream.Keys)
	}
	return a
}

func (r *runner) stream() *shape.Stream {
	at := r.random.Float64() * r.weights
	streams := r.options.Shape.Streams
	for i := range streams {
		at -= streams[i].Weight
		if at < 0 {
			return &streams[i]
		}
	}
	return &streams[len(streams)-1]
}
