package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"limehold/ownership"
)

// LoadTable smooths the load of shards as reported by routers.
type LoadTable struct {
	// halfLife is the time after which the weight of a measurement has halved.
	halfLife time.Duration
	// isSteady is set if rates follow only changes that chance does not explain; see NewSteadyLoadTable.
	isSteady bool
	shards   map[ownership.Key]*shardLoad
	// start is the time of the first reported work, and updated that of the newest Update of a steady table.
	start, updated time.Duration
}

type shardLoad struct {
	rate    float64
	pending float64
	updated time.Duration
	// steady is the rate over a longer time, and grain the mean work of one report, which is about that of one request.
	// Both are kept by steady tables only.
	steady, grain float64
}

const (
	// steadyFactor is the half-life of steady rates, as a multiple of the half-life of the table.
	steadyFactor = 5
	// surprise is by how many standard deviations the rate has to differ from the steady one to replace it.
	surprise = 3
	// grainDecay is the weight of the previous grain at each report.
	grainDecay = 0.8
)

// NewSteadyLoadTable returns a table that follows a change of a shard's load as quickly as one of NewLoadTable if the
// change is more than the chance arrival of single requests explains, and smooths it for longer otherwise: shards that
// get a few requests a second would be moved because of chance alone.
func NewSteadyLoadTable(halfLife time.Duration) *LoadTable {
	table := NewLoadTable(halfLife)
	table.isSteady = true
	return table
}

// NewLoadTable returns an empty table whose measurements have the given half-life.
func NewLoadTable(halfLife time.Duration) *LoadTable {
	return &LoadTable{halfLife: halfLife, shards: map[ownership.Key]*shardLoad{}}
}

// Add adds reported work to a shard.
func (t *LoadTable) Add(key ownership.Key, work float64, now time.Duration) {
	load := t.shards[key]
	if load == nil {
		load = &shardLoad{updated: now}
		t.shards[key] = load
	}
	load.pending += work
	if t.start == 0 {
		t.start = now
	}
	if load.grain == 0 {
		load.grain = work
	}
	load.grain = load.grain*grainDecay + work*(1-grainDecay)
}

// Update merges the work reported since the last call into the smoothed rates, and removes shards
// whose rate has become negligible. It is called before every full placement round.
func (t *LoadTable) Update(now time.Duration) {
	t.updated = now
	for key, load := range t.shards {
		elapsed := (now - load.updated).Seconds()
		if elapsed <= 0 {
			continue
		}
		decay := math.Exp2(-elapsed / t.halfLife.Seconds())
		current := load.pending / elapsed
		load.rate = load.rate*decay + current*(1-decay)
		if t.isSteady {
			t.updateSteady(load, current, elapsed)
		}
		load.pending = 0
		load.updated = now
		if load.rate < 1e-3 && load.steady < 1e-3 {
			delete(t.shards, key)
		}
	}
}

// Rate returns the smoothed work per second of a shard, or 0 if none was reported.
func (t *LoadTable) Rate(key ownership.Key) float64 {
	load := t.shards[key]
	switch {
	case load == nil:
		return 0
	case t.isSteady:
		return load.steady / t.weight(steadyFactor)
	}
	return load.rate
}

// updateSteady updates the steady rate, or replaces it by the rate if chance does not explain the difference.
func (t *LoadTable) updateSteady(load *shardLoad, current, elapsed float64) {
	decay := math.Exp2(-elapsed / t.halfLife.Seconds() / steadyFactor)
	load.steady = load.steady*decay + current*(1-decay)
	rate, steady := load.rate/t.weight(1), load.steady/t.weight(steadyFactor)
	// The variance of an exponentially weighted rate of single requests.
	variance := max(rate, steady) * load.grain * math.Ln2 / (2 * t.halfLife.Seconds() * t.weight(1))
	if square(rate-steady) > square(surprise)*variance {
		load.steady = rate * t.weight(steadyFactor)
	}
}

// weight returns the total weight of what a steady table has measured, with its half-life times factor: it is below 1
// in the first seconds.
func (t *LoadTable) weight(factor float64) float64 {
	elapsed := max((t.updated - t.start).Seconds(), minMeasured.Seconds())
	return 1 - math.Exp2(-elapsed/t.halfLife.Seconds()/factor)
}

// minMeasured is the shortest time that a rate counts for.
const minMeasured = 50 * time.Millisecond

// Budget is a token bucket for planned moves, which holds the moves of ten seconds, at least one.
// The zero value is a full bucket.
type Budget struct {
	tokens  float64
	updated time.Duration
	started bool
}

// Available refills the bucket at perMinute moves a minute, and returns how many moves are allowed now.
func (b *Budget) Available(now time.Duration, perMinute int) int {
	limit := math.Max(1, float64(perMinute)/6)
	if !b.started {
		b.started = true
		b.updated = now
		b.tokens = limit
	}
	b.tokens = math.Min(limit, b.tokens+(now-b.updated).Minutes()*float64(perMinute))
	b.updated = now
	if perMinute == 0 {
		return 0
	}
	return int(b.tokens)
}

// Spend removes used moves from the bucket.
func (b *Budget) Spend(used int) { b.tokens -= float64(used) }

// ShardRate is the smoothed work per second of one shard.
type ShardRate struct {
	Key  ownership.Key
	Rate float64
}

// Busiest returns the shards with the highest rates, at most count of each service, by service and falling rate.
func (t *LoadTable) Busiest(count int) []ShardRate {
	byService := map[string][]ShardRate{}
	for key := range t.shards {
		list := byService[key.Service]
		next := ShardRate{Key: key, Rate: t.Rate(key)}
		at, _ := slices.BinarySearchFunc(list, next, compareRates)
		if at < count {
			list = slices.Insert(list, at, next)
			byService[key.Service] = list[:min(count, len(list))]
		}
	}
	var busiest []ShardRate
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		busiest = append(busiest, byService[name]...)
	}
	return busiest
}

// compareRates orders rates of one service, the highest first.
func compareRates(a, b ShardRate) int {
	return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key.Shard, b.Key.Shard))
}
