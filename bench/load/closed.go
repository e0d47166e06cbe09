package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"limehold/bench/shape"
)

// ClosedOptions configures a closed loop: each worker sends its next request when
// the last one has been answered.
type ClosedOptions struct {
	Stream   *shape.Stream
	Targets  []Target
	Workers  int
	Duration time.Duration
	// RunPrefix begins the name of every request.
	RunPrefix string
}

// Closed is the result of closed loops.
type Closed struct {
	OK     int
	Failed int
	// Best is the highest number of good answers a second of any loop.
	Best  float64
	times []time.Duration
}

// RunClosed runs one loop.
func RunClosed(ctx context.Context, options ClosedOptions) Closed {
	var mutex sync.Mutex
	var all sync.WaitGroup
	sum := Closed{}
	started := time.Now()
	for worker := range options.Workers {
		all.Add(1)
		go func() {
			defer all.Done()
			part := closedWorker(ctx, &options, worker, started.Add(options.Duration))
			mutex.Lock()
			defer mutex.Unlock()
			sum.Add(part)
		}()
	}
	all.Wait()
	sum.Best = float64(sum.OK) / time.Since(started).Seconds()
	return sum
}

func closedWorker(ctx context.Context, options *ClosedOptions, worker int, until time.Time) Closed {
	caller := newCaller(options.Targets[worker%len(options.Targets)])
	prefix := options.Stream.Prefixes[worker%len(options.Stream.Prefixes)]
	part := Closed{}
	for number := 0; ctx.Err() == nil && time.Now().Before(until); number++ {
		result := caller.send(&ask{run: fmt.Sprintf("%s%d-%d", options.RunPrefix, worker, number), stream: options.Stream, prefix: prefix})
		if result.Outcome != OutcomeOK {
			part.Failed++
			continue
		}
		part.OK++
		part.times = append(part.times, result.Latency())
	}
	return part
}

// Add takes another loop's result in.
func (c *Closed) Add(other Closed) {
	c.OK += other.OK
	c.Failed += other.Failed
	c.Best = max(c.Best, other.Best)
	c.times = append(c.times, other.times...)
}

// Quantiles returns the median and the 99th percentile of the good answers' times,
// in microseconds.
func (c *Closed) Quantiles() (median, p99 float64) {
	if len(c.times) == 0 {
		return 0, 0
	}
	slices.Sort(c.times)
	at := func(share float64) float64 {
		return float64(c.times[min(len(c.times)-1, int(share*float64(len(c.times))))]) / float64(time.Microsecond)
	}
	const middle, nearlyAll = 0.5, 0.99
	return at(middle), at(nearlyAll)
}
