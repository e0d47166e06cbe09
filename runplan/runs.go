package runplan

import (
	"math"
	"time"
)

const (
	// buckets is the number of the buckets, and bucketsPerDoubling how many of them a factor of two spans. The first
	// one ends at firstBound; the last one ends after about a minute and also holds longer runs.
	buckets            = 64
	bucketsPerDoubling = 4
	firstBound         = time.Millisecond
	// runDecay is the weight of earlier runs at each further one.
	runDecay = 0.98
	// agingTime is the time constant with which earlier runs lose weight in the time between two runs.
	agingTime = 10 * time.Second
	// minWeight is the weight of the recorded runs from which on their times count as known.
	minWeight = 8
)

// bounds holds the upper bound of each bucket.
var bounds = func() (all [buckets]time.Duration) {
	for i := range all {
		all[i] = time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return all
}()

// Runs is a histogram of run times in which recent runs count more. Its zero value is empty.
type Runs struct {
	weights [buckets]float32
	total   float32
	changed time.Duration
}

func (r *Runs) isKnown() bool { return r.total >= minWeight }

// Share returns the share of the runs that end within a time; 0 if there are none.
func (r *Runs) Share(within time.Duration) float64 {
	if r.total <= 0 {
		return 0
	}
	sum, lower := 0.0, time.Duration(0)
	for i, upper := range bounds {
		if upper > within {
			sum += float64(r.weights[i]) * float64(within-lower) / float64(upper-lower)
			break
		}
		sum, lower = sum+float64(r.weights[i]), upper
	}
	return sum / float64(r.total)
}

// Within returns the time within which a share of the runs ends, the inverse of Share.
func (r *Runs) Within(share float64) time.Duration {
	sum, lower := 0.0, time.Duration(0)
	wanted := share * float64(r.total)
	for i, upper := range bounds {
		weight := float64(r.weights[i])
		if weight > 0 && sum+weight >= wanted {
			return lower + time.Duration(float64(upper-lower)*max(0, wanted-sum)/weight)
		}
		sum, lower = sum+weight, upper
	}
	return bounds[buckets-1]
}

// add adds a run that ended by itself.
func (r *Runs) add(ran, now time.Duration) {
	r.age(now)
	r.weights[bucketOf(ran)]++
	r.total++
}

// addCut adds a run that had not ended by itself after a time. It is counted as longer, in the proportion of the
// longer runs that are known; if there are none, as slightly longer.
func (r *Runs) addCut(after, now time.Duration) {
	r.age(now)
	first := min(bucketOf(after)+1, buckets-1)
	longer := float32(0)
	for _, weight := range r.weights[first:] {
		longer += weight
	}
	r.total++
	if longer <= 0 {
		r.weights[first]++
		return
	}
	for i := first; i < buckets; i++ {
		r.weights[i] += r.weights[i] / longer
	}
}

// age reduces the weight of the earlier runs.
func (r *Runs) age(now time.Duration) {
	factor := float32(runDecay * math.Exp(-float64(max(0, now-r.changed))/float64(agingTime)))
	r.changed = max(r.changed, now)
	r.total = 0
	for i := range r.weights {
		r.weights[i] *= factor
		r.total += r.weights[i]
	}
}

// bucketOf returns the bucket of a run time.
func bucketOf(ran time.Duration) int {
	for i, upper := range bounds {
		if ran <= upper {
			return i
		}
	}
	return buckets - 1
}
