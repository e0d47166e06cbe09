// Package callchain tells which requests are calls that an instance makes while it runs another request. The calls of
// a repeat are repeats as well, as the first run of their request has made them before, although each has an ID of its
// own.
package callchain

import (
	"hash/maphash"
	"strings"
	"sync"
	"time"
)

const (
	// separator follows the ID of a run in the IDs of the calls that it makes.
	separator = "."
	// maxRuns bounds the runs that are remembered. Those beyond it are not, and their calls count as requests of callers.
	maxRuns = 4096
	// maxDepth bounds how many prefixes of an ID are looked up: calls are a few levels deep.
	maxDepth = 16
)

// Runs holds runs at one instance that may make calls. It is safe for concurrent use.
type Runs struct {
	now   func() time.Duration
	mutex sync.Mutex
	// seed is that of the digests of request IDs, which may be long.
	seed maphash.Seed
	// until holds, by the digest of the request ID, the time until which the run may make calls.
	until map[uint64]time.Duration
	// sweepAt is when expired runs are removed next.
	sweepAt time.Duration
}

// New returns an empty Runs that reads the time from now.
func New(now func() time.Duration) *Runs {
	return &Runs{now: now, seed: maphash.MakeSeed(), until: map[uint64]time.Duration{}}
}

// sweepInterval is the interval at which expired runs are removed.
const sweepInterval = time.Second

// Add records a run that begins to run and ends at its deadline at the latest. An instance may go on with it after
// its connection has been closed.
func (r *Runs) Add(requestID string, deadline time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now := r.now(); now >= r.sweepAt || len(r.until) >= maxRuns {
		r.removeExpired(now)
	}
	if len(r.until) < maxRuns {
		digest := maphash.String(r.seed, requestID)
		r.until[digest] = max(r.until[digest], deadline)
	}
}

// removeExpired removes the runs whose deadline has passed. The mutex is held.
func (r *Runs) removeExpired(now time.Duration) {
	r.sweepAt = now + sweepInterval
	for digest, until := range r.until {
		if until <= now {
			delete(r.until, digest)
		}
	}
}

// HasCall reports whether a request is a call of one of the runs.
func (r *Runs) HasCall(requestID string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now, parent := r.now(), requestID
	for range maxDepth {
		at := strings.LastIndex(parent, separator)
		if at <= 0 {
			return false
		}
		parent = parent[:at]
		if r.until[maphash.String(r.seed, parent)] > now {
			return true
		}
	}
	return false
}
