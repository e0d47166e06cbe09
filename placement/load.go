package placement

import (
	"math"
	"time"

	"limehold/ownership"
)

// LoadTable smooths the load of shards as routers report it.
type LoadTable struct {
	// halfLife after which an old measurement counts half.
	halfLife time.Duration
	shards   map[ownership.Key]*shardLoad
}

type shardLoad struct {
	rate    float64
	pending float64
	updated time.Duration
}

// NewLoadTable returns an empty table.
func NewLoadTable(halfLife time.Duration) *LoadTable {
	return &LoadTable{halfLife: halfLife, shards: map[ownership.Key]*shardLoad{}}
}

// Add counts work reported for a shard.
func (t *LoadTable) Add(key ownership.Key, work float64, now time.Duration) {
	known := t.shards[key]
	if known == nil {
		known = &shardLoad{updated: now}
		t.shards[key] = known
	}
	known.pending += work
}

// Settle folds the work reported since the last call into the rates; it is
// called about once a second.
func (t *LoadTable) Settle(now time.Duration) {
	for key, load := range t.shards {
		elapsed := (now - load.updated).Seconds()
		if elapsed <= 0 {
			continue
		}
		keep := math.Exp2(-elapsed / t.halfLife.Seconds())
		load.rate = load.rate*keep + load.pending/elapsed*(1-keep)
		load.pending = 0
		load.updated = now
		if load.rate < 1e-3 {
			delete(t.shards, key)
		}
	}
}

// Rate returns the work a second of a shard.
func (t *LoadTable) Rate(key ownership.Key) float64 {
	if known := t.shards[key]; known != nil {
		return known.rate
	}
	return 0
}

// Budget is a token bucket for planned moves.
type Budget struct {
	tokens  float64
	updated time.Duration
	started bool
}

// Take returns how many whole moves are allowed at now, at perMinute.
func (b *Budget) Take(now time.Duration, perMinute int) int {
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

// Spend takes used moves off the bucket.
func (b *Budget) Spend(used int) { b.tokens -= float64(used) }
