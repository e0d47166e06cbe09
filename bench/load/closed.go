package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"limehold/bench/shape"
)

// ClosedOptions configures a closed loop, in which each worker sends its next
// request once the last one has been answered.
type ClosedOptions struct {
	Stream   *shape.Stream
	Targets  []Target
	Workers  int
	Duration time.Duration
	// RunPrefix is the prefix of the run names of all requests.
	RunPrefix string
}

// ClosedResult is the result of one or more closed loops.
type ClosedResult struct {
	OK     int
	Failed int
	// BestRate is the highest number of successful requests per second of any loop.
	BestRate  float64
	latencies []time.Duration
}

// RunClosed runs a closed loop for the duration and returns its result.
func RunClosed(ctx context.Context, options ClosedOptions) ClosedResult {
	var mutex sync.Mutex
	var workers sync.WaitGroup
	total := ClosedResult{}
	started := time.Now()
	for worker := range options.Workers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			part := closedWorker(ctx, &options, worker, started.Add(options.Duration))
			mutex.Lock()
			defer mutex.Unlock()
			total.Add(part)
		}()
	}
	workers.Wait()
	total.BestRate = float64(total.OK) / time.Since(started).Seconds()
	return total
}

func closedWorker(ctx context.Context, options *ClosedOptions, worker int, until time.Time) ClosedResult {
	caller := newCaller(options.Targets[worker%len(options.Targets)])
	prefix := options.Stream.Prefixes[worker%len(options.Stream.Prefixes)]
	part := ClosedResult{}
	for number := 0; ctx.Err() == nil && time.Now().Before(until); number++ {
		result := caller.send(&requestSpec{run: fmt.Sprintf("%s%d-%d", options.RunPrefix, worker, number), stream: options.Stream, prefix: prefix})
		if result.Outcome != OutcomeOK {
			part.Failed++
			continue
		}
		part.OK++
		part.latencies = append(part.latencies, result.Latency())
	}
	return part
}

// Add merges the result of another loop into c.
func (c *ClosedResult) Add(other ClosedResult) {
	c.OK += other.OK
	c.Failed += other.Failed
	c.BestRate = max(c.BestRate, other.BestRate)
	c.latencies = append(c.latencies, other.latencies...)
}

// Quantiles returns the median and the 99th percentile of the latency of successful
// requests, in microseconds, or zeros if there are none.
func (c *ClosedResult) Quantiles() (median, p99 float64) {
	if len(c.latencies) == 0 {
		return 0, 0
	}
	slices.Sort(c.latencies)
	quantile := func(q float64) float64 {
		return float64(c.latencies[min(len(c.latencies)-1, int(q*float64(len(c.latencies))))]) / float64(time.Microsecond)
	}
	const middle, nearlyAll = 0.5, 0.99
	return quantile(middle), quantile(nearlyAll)
}
