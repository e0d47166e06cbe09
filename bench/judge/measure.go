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

// Latencies summarizes results that were answered.
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

func (j *judge) measure() {
	j.report.Latency = Latencies(j.input.Results)
	j.measureImbalance()
	owners := merge(j.input.Records)
	j.measureChurn(owners)
	j.measureUnavailable(owners)
	j.measureConfig()
}

// measureImbalance adds up the work of each instance in each second.
func (j *judge) measureImbalance() {
	seconds := int((j.input.Window.To - j.input.Window.From) / time.Second)
	work := map[string][]float64{}
	for node := range j.input.Pools {
		work[node] = make([]float64, seconds)
	}
	for _, list := range j.executions {
		for i := range list {
			second := int((time.Duration(list[i].At) - j.input.Window.From) / time.Second)
			if second >= 0 && second < seconds && work[list[i].Node] != nil {
				work[list[i].Node][second] += float64(list[i].At - list[i].Started)
			}
		}
	}
	j.report.ImbalanceByPool = map[string]report.Imbalance{}
	var sum report.Imbalance
	for pool, nodes := range j.nodesByPool() {
		measured := poolImbalance(nodes, work, seconds)
		j.report.ImbalanceByPool[pool] = measured
		sum.MaxOverMean += measured.MaxOverMean
		sum.CV += measured.CV
	}
	if count := float64(len(j.report.ImbalanceByPool)); count > 0 {
		j.report.Imbalance = report.Imbalance{MaxOverMean: sum.MaxOverMean / count, CV: sum.CV / count}
	}
}

func (j *judge) nodesByPool() map[string][]string {
	pools := map[string][]string{}
	for node, pool := range j.input.Pools {
		pools[pool] = append(pools[pool], node)
	}
	return pools
}

func poolImbalance(nodes []string, work map[string][]float64, seconds int) report.Imbalance {
	var total report.Imbalance
	counted := 0
	for second := range seconds {
		sum, squares, most := 0.0, 0.0, 0.0
		for _, node := range nodes {
			value := work[node][second]
			sum += value
			squares += value * value
			most = max(most, value)
		}
		if sum == 0 {
			continue
		}
		mean := sum / float64(len(nodes))
		total.MaxOverMean += most / mean
		total.CV += math.Sqrt(max(0, squares/float64(len(nodes))-mean*mean)) / mean
		counted++
	}
	if counted > 0 {
		total.MaxOverMean /= float64(counted)
		total.CV /= float64(counted)
	}
	return total
}

// measureChurn counts changes of owner within the window. A move counts as
// forced when the node that lost the shard had been lost before.
func (j *judge) measureChurn(owners map[shardID][]ownership) {
	window := span{int64(j.input.Window.From), int64(j.input.Window.To)}
	for _, list := range owners {
		for i := 1; i < len(list); i++ {
			if list[i].node == list[i-1].node || list[i].from < window.from || list[i].from > window.to {
				continue
			}
			j.report.Churn.Moves++
			if j.lostBetween(list[i-1].node, list[i-1].from, list[i].from) {
				j.report.Churn.MovesAfterFaults++
			}
		}
	}
	hours := time.Duration(window.to - window.from).Hours()
	if j.input.KeyedShards > 0 && hours > 0 {
		j.report.Churn.MovesPerKeyHour = float64(j.report.Churn.Moves) / float64(j.input.KeyedShards) / hours
	}
}

func (j *judge) lostBetween(node string, from, to int64) bool {
	return slices.ContainsFunc(j.input.Losses, func(loss Loss) bool {
		return loss.Node == node && int64(loss.At) >= from && int64(loss.At) <= to
	})
}

// measureUnavailable adds up the time without an owner, and the time from each
// loss to the next owner.
func (j *judge) measureUnavailable(owners map[shardID][]ownership) {
	window := span{int64(j.input.Window.From), int64(j.input.Window.To)}
	result := &j.report.Unavailable
	var newOwner []float64
	for _, list := range owners {
		for _, gap := range gaps(j.cutAtLosses(list), window) {
			length := time.Duration(gap.to - gap.from)
			result.KeySeconds += length.Seconds() * j.input.KeysPerShard
			result.LongestGapMs = max(result.LongestGapMs, float64(length)/float64(time.Millisecond))
		}
		newOwner = append(newOwner, j.afterLosses(list)...)
	}
	result.Losses = len(newOwner)
	if len(newOwner) > 0 {
		slices.Sort(newOwner)
		result.NewOwnerMsP50 = quantile(newOwner, median)
		result.NewOwnerMsMax = newOwner[len(newOwner)-1]
	}
}

// cutAtLosses ends ownerships at the moment at which their node was lost: its
// lease went on, but nobody served.
func (j *judge) cutAtLosses(list []ownership) []ownership {
	cut := slices.Clone(list)
	for i := range cut {
		for _, loss := range j.input.Losses {
			at := int64(loss.At)
			if loss.Node == cut[i].node && cut[i].from <= at && at < cut[i].to {
				cut[i].to = at
			}
		}
	}
	return cut
}

// afterLosses returns, for each loss of the shard's owner, the milliseconds
// until another node owned it.
func (j *judge) afterLosses(list []ownership) []float64 {
	var found []float64
	for _, loss := range j.input.Losses {
		at := int64(loss.At)
		owned := slices.IndexFunc(list, func(o ownership) bool { return o.node == loss.Node && o.from <= at && o.to > at })
		if owned < 0 {
			continue
		}
		next := slices.IndexFunc(list[owned+1:], func(o ownership) bool { return o.from > at })
		to := int64(j.input.Window.To)
		if next >= 0 {
			to = list[owned+1+next].from
		}
		found = append(found, float64(to-at)/float64(time.Millisecond))
	}
	return found
}

func (j *judge) measureConfig() {
	config := &j.report.Config
	config.Accepted = len(j.input.Changes)
	config.Conflicts = j.input.Conflicts
	var times []float64
	for _, change := range j.input.Changes {
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

// quantile of a sorted list.
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
