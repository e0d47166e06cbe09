package placement

import (
	"math"
	"time"

	"limehold/ownership"
)

// LoadTable smooths the load of shards as reported by routers.
type LoadTable struct {
	// halfLife is the time after which the weight of a measurement has halved.
	halfLife time.Duration
	shards   map[ownership.Key]*shardLoad
}

type shardLoad struct {
	rate    float64
	pending float64
	updated time.Duration
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
}

// Update merges the work reported since the last call into the smoothed rates, and removes shards
// whose rate has become negligible. It is called before every full placement round.
func (t *LoadTable) Update(now time.Duration) {
	for key, load := range t.shards {
		elapsed := (now - load.updated).Seconds()
		if elapsed <= 0 {
			continue
		}
		decay := math.Exp2(-elapsed / t.halfLife.Seconds())
		load.rate = load.rate*decay + load.pending/elapsed*(1-decay)
		load.pending = 0
		load.updated = now
		if load.rate < 1e-3 {
			delete(t.shards, key)
		}
	}
}

// Rate returns the smoothed work per second of a shard, or 0 if none was reported.
func (t *LoadTable) Rate(key ownership.Key) float64 {
	if load := t.shards[key]; load != nil {
		return load.rate
	}
	return 0
}

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
