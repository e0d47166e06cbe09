package judge

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limehold/bench/load"
	"limehold/bench/report"
	"limehold/bench/standin"
)

const (
	longestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
	median         = 0.5
)

// Latencies summarizes the latencies of the results with outcome OK.
func Latencies(results []load.Result) report.Latency {
	histogram := hdrhistogram.New(1, longestLatency, latencyDigits)
	for i := range results {
		if results[i].Outcome == load.OutcomeOK {
			_ = histogram.RecordValue(min(longestLatency, results[i].Latency().Microseconds()))
		}
	}
	const p50, p99, p999 = 50, 99, 99.9
	return report.Latency{
		P50: histogram.ValueAtQuantile(p50), P99: histogram.ValueAtQuantile(p99), P999: histogram.ValueAtQuantile(p999),
	}
}

func (c *checker) measure() {
	c.report.Latency = Latencies(c.input.Results)
	c.measureImbalance()
	owners := mergeOwnerships(c.input.Records)
	c.measureChurn(owners)
	c.measureUnavailable(owners)
	c.measureConfig()
}

// measureImbalance compares the run times of requests between the nodes of each pool. A
// request counts in the second in which it ended.
func (c *checker) measureImbalance() {
	seconds := int((c.input.Window.To - c.input.Window.From) / time.Second)
	work := map[string][]float64{}
	for node := range c.input.Pools {
		work[node] = make([]float64, seconds)
	}
	for _, list := range c.executions {
		for i := range list {
			second := int((time.Duration(list[i].At) - c.input.Window.From) / time.Second)
			if second >= 0 && second < seconds && work[list[i].Node] != nil {
				work[list[i].Node][second] += float64(list[i].At - list[i].Started)
			}
		}
	}
	c.report.ImbalanceByPool = map[string]report.Imbalance{}
	var sum report.Imbalance
	for pool, nodes := range c.nodesByPool() {
		measured := poolImbalance(nodes, work, seconds)
		c.report.ImbalanceByPool[pool] = measured
		sum.MaxOverMean += measured.MaxOverMean
		sum.CV += measured.CV
	}
	if count := float64(len(c.report.ImbalanceByPool)); count > 0 {
		c.report.Imbalance = report.Imbalance{MaxOverMean: sum.MaxOverMean / count, CV: sum.CV / count}
	}
}

func (c *checker) nodesByPool() map[string][]string {
	pools := map[string][]string{}
	for node, pool := range c.input.Pools {
		pools[pool] = append(pools[pool], node)
	}
	return pools
}

func poolImbalance(nodes []string, work map[string][]float64, seconds int) report.Imbalance {
	var total report.Imbalance
	counted := 0
	for second := range seconds {
		sum, squares, highest := 0.0, 0.0, 0.0
		for _, node := range nodes {
			value := work[node][second]
			sum += value
			squares += value * value
			highest = max(highest, value)
		}
		if sum == 0 {
			continue
		}
		mean := sum / float64(len(nodes))
		total.MaxOverMean += highest / mean
		total.CV += math.Sqrt(max(0, squares/float64(len(nodes))-mean*mean)) / mean
		counted++
	}
	if counted > 0 {
		total.MaxOverMean /= float64(counted)
		total.CV /= float64(counted)
	}
	return total
}

// measureChurn counts changes of owner within the window. A move counts as caused by a fault
// if the previous owner failed between the starts of the two ownerships.
func (c *checker) measureChurn(owners map[shardID][]ownership) {
	window := span{int64(c.input.Window.From), int64(c.input.Window.To)}
	for _, list := range owners {
		for i := 1; i < len(list); i++ {
			if list[i].node == list[i-1].node || list[i].from < window.from || list[i].from > window.to {
				continue
			}
			c.report.Churn.Moves++
			if c.isLostBetween(list[i-1].node, list[i-1].from, list[i].from) {
				c.report.Churn.MovesAfterFaults++
			}
		}
	}
	hours := time.Duration(window.to - window.from).Hours()
	if c.input.KeyedShards > 0 && hours > 0 {
		c.report.Churn.MovesPerKeyHour = float64(c.report.Churn.Moves) / float64(c.input.KeyedShards) / hours
	}
}

func (c *checker) isLostBetween(node string, from, to int64) bool {
	return slices.ContainsFunc(c.input.NodeFailures, func(failure NodeFailure) bool {
		return failure.Node == node && int64(failure.At) >= from && int64(failure.At) <= to
	})
}

// measureUnavailable adds up the time without an owner, and the time from each failure of an
// owner to the next owner.
func (c *checker) measureUnavailable(owners map[shardID][]ownership) {
	window := span{int64(c.input.Window.From), int64(c.input.Window.To)}
	result := &c.report.Unavailable
	var takeovers []float64
	for _, list := range owners {
		for _, gap := range gaps(c.endAtFailures(list), window) {
			length := time.Duration(gap.to - gap.from)
			result.KeySeconds += length.Seconds() * c.input.KeysPerShard
			result.LongestGapMs = max(result.LongestGapMs, float64(length)/float64(time.Millisecond))
		}
		takeovers = append(takeovers, c.takeoverTimes(list)...)
	}
	result.Losses = len(takeovers)
	if len(takeovers) > 0 {
		slices.Sort(takeovers)
		result.NewOwnerMsP50 = quantile(takeovers, median)
		result.NewOwnerMsMax = takeovers[len(takeovers)-1]
	}
}

// endAtFailures ends ownerships at the time at which their node failed: the lease continued, but
// no process served.
func (c *checker) endAtFailures(list []ownership) []ownership {
	ended := slices.Clone(list)
	for i := range ended {
		for _, failure := range c.input.NodeFailures {
			at := int64(failure.At)
			if failure.Node == ended[i].node && ended[i].from <= at && at < ended[i].to {
				ended[i].to = at
			}
		}
	}
	return ended
}

// takeoverTimes returns, for each failure of the shard's owner, the time in milliseconds until
// the next ownership, or to the end of the window.
func (c *checker) takeoverTimes(list []ownership) []float64 {
	var found []float64
	for _, failure := range c.input.NodeFailures {
		at := int64(failure.At)
		owned := slices.IndexFunc(list, func(o ownership) bool { return o.node == failure.Node && o.from <= at && o.to > at })
		if owned < 0 {
			continue
		}
		next := slices.IndexFunc(list[owned+1:], func(o ownership) bool { return o.from > at })
		to := int64(c.input.Window.To)
		if next >= 0 {
			to = list[owned+1+next].from
		}
		found = append(found, float64(to-at)/float64(time.Millisecond))
	}
	return found
}

func (c *checker) measureConfig() {
	config := &c.report.Config
	config.Accepted = len(c.input.Changes)
	config.Conflicts = c.input.Conflicts
	var times []float64
	for _, change := range c.input.Changes {
		if change.InForce > 0 {
			times = append(times, float64(change.InForce-change.Accepted)/float64(time.Millisecond))
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		config.InForceMsP50 = quantile(times, median)
		config.InForceMsMax = times[len(times)-1]
	}
}

// quantile returns a quantile of a sorted list.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// ReadAll reads the record files of all nodes.
func ReadAll(files map[string]string) (map[string][]standin.Record, error) {
	all := map[string][]standin.Record{}
	for node, path := range files {
		records, err := standin.ReadRecords(path)
		if err != nil {
			return nil, err
		}
		all[node] = records
	}
	return all, nil
}
