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
	// Profile multiplies the rate by the time since the start. Optional.
	Profile func(since time.Duration) float64
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
	mutex   sync.Mutex
	results []Result
	pending sync.WaitGroup
}

func newRunner(options Options) *runner {
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
		rate := r.options.Rate
		if r.options.Profile != nil {
			rate *= r.options.Profile(since)
		}
		next = next.Add(time.Duration(r.random.ExpFloat64() / math.Max(rate, 0.1) * float64(time.Second)))
	}
	r.pending.Wait()
	return r.results
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
	a.prefix = stream.Prefixes[r.random.IntN(len(stream.Prefixes))]
	if stream.Keys > 0 {
		shifted := r.options.HotShift > 0 && since >= r.options.HotShift
		a.key = r.keys.pick(r.random, stream.Keys, shifted)
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

// keyPicker draws keys whose popularity falls with their rank.
type keyPicker struct {
	cumulative []float64
}

func newKeyPicker(keys int, skew float64) *keyPicker {
	picker := &keyPicker{}
	sum := 0.0
	for rank := 1; rank <= keys; rank++ {
		sum += math.Pow(float64(rank), -skew)
		picker.cumulative = append(picker.cumulative, sum)
	}
	return picker
}

// pick draws one of the first count keys; shifted makes other keys popular.
func (p *keyPicker) pick(random *rand.Rand, count int, shifted bool) string {
	at := random.Float64() * p.cumulative[count-1]
	rank := 0
	for p.cumulative[rank] < at {
		rank++
	}
	if shifted {
		rank = (rank + count/2) % count
	}
	return fmt.Sprintf("key-%d", rank)
}
