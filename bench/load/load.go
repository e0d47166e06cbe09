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

// Options configures an open loop of requests.
type Options struct {
	Shape *shape.Shape
	// Rate is the number of requests per second over all targets.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Targets are the routers or back ends; each request goes to one of them at random.
	Targets []Target
	// RunPrefix is the prefix of the run names of all requests.
	RunPrefix string
	// Skew is the exponent of the keys' popularity. With 0 all keys are equally popular.
	Skew float64
	// HotShift is when all popular keys are replaced by others; 0 if never.
	HotShift time.Duration
	// Workload changes demand during the run. The default is steady.
	Workload *Workload
}

// Run sends requests for the duration and returns all results once the last
// request has ended.
func Run(ctx context.Context, options Options) []Result {
	run := newRunner(options)
	return run.run(ctx)
}

type runner struct {
	options     Options
	callers     []*caller
	random      *rand.Rand
	totalWeight float64
	keys        *keyPicker
	// shiftCount counts the popularity shifts so far.
	shiftCount int
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
	maxKeys := 0
	for i := range options.Shape.Streams {
		r.totalWeight += options.Shape.Streams[i].Weight
		maxKeys = max(maxKeys, options.Shape.Streams[i].Keys)
	}
	r.keys = newKeyPicker(maxKeys, options.Skew)
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
		rate := r.options.Rate * r.options.Workload.rate(r.progress(since))
		next = next.Add(time.Duration(r.random.ExpFloat64() / math.Max(rate, 0.1) * float64(time.Second)))
	}
	r.pending.Wait()
	return r.results
}

func (r *runner) progress(since time.Duration) float64 {
	return since.Seconds() / r.options.Duration.Seconds()
}

// shiftKeys applies the popularity shifts that are due.
func (r *runner) shiftKeys(since time.Duration) {
	for float64(r.shiftCount) < since.Minutes()*r.options.Workload.shiftRate(len(r.keys.ranks)) {
		r.keys.shift(r.random)
		r.shiftCount++
	}
	if r.options.HotShift > 0 && since >= r.options.HotShift && !r.shiftedAll {
		r.shiftedAll = true
		r.keys.shiftAll()
	}
}

func (r *runner) launch(number int, since time.Duration) {
	spec := r.nextRequest(number, since)
	first := r.random.IntN(len(r.callers))
	r.pending.Add(1)
	go func() {
		defer r.pending.Done()
		result := r.sendWithFailover(spec, first)
		r.mutex.Lock()
		r.results = append(r.results, result)
		r.mutex.Unlock()
	}()
}

// sendWithFailover sends the request to the next target only if the last one did
// not accept a connection, so that no request is sent twice.
func (r *runner) sendWithFailover(spec *requestSpec, first int) Result {
	var result Result
	for i := range r.callers {
		result = r.callers[(first+i)%len(r.callers)].send(spec)
		if result.Outcome != OutcomeNotSent {
			break
		}
	}
	return result
}

func (r *runner) nextRequest(number int, since time.Duration) *requestSpec {
	stream := r.pickStream()
	spec := &requestSpec{run: fmt.Sprintf("%s%d-%d", r.options.RunPrefix, r.options.Seed, number), stream: stream}
	spec.prefix = r.options.Workload.pickPrefix(r.random, stream, r.progress(since))
	if stream.Keys > 0 {
		r.shiftKeys(since)
		spec.key = r.keys.pick(r.random, stream.Keys)
	}
	return spec
}

func (r *runner) pickStream() *shape.Stream {
	at := r.random.Float64() * r.totalWeight
	streams := r.options.Shape.Streams
	for i := range streams {
		at -= streams[i].Weight
		if at < 0 {
			return &streams[i]
		}
	}
	return &streams[len(streams)-1]
}
