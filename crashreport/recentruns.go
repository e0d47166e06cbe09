package crashreport

import (
	"encoding/binary"
	"sync"
	"time"

	"limehold/quarantine"
)

// recentRuns holds the requests that the local instance has recently completed. They do not become
// suspects: a request that many callers send is running during almost every crash, whatever the cause.
//
// The table has a fixed number of slots, about 50 KB, indexed by digest. A collision only
// removes the older entry.
type recentRuns struct {
	mutex sync.Mutex
	runs  [recentRunSlots]recentRun
}

type recentRun struct {
	digest quarantine.Digest
	at     time.Duration
}

const (
	// recentRunSlots suffices for two seconds of the busiest instances, about 500 requests a second with two
	// digests each.
	recentRunSlots = 2048
	// recentRunTTL is how long a completed run protects a request from suspicion. Popular requests
	// repeat sooner; a request that has started to crash instances loses the protection after a
	// few crashes.
	recentRunTTL = 2 * time.Second
)

func (r *recentRuns) slot(digest quarantine.Digest) *recentRun {
	return &r.runs[binary.LittleEndian.Uint16(digest[:])%recentRunSlots]
}

func (r *recentRuns) add(identity quarantine.Identity, now time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	*r.slot(identity.Any) = recentRun{identity.Any, now}
	*r.slot(identity.PerCaller) = recentRun{identity.PerCaller, now}
}

// contains reports whether a request has recently completed.
func (r *recentRuns) contains(digest quarantine.Digest, now time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.slot(digest)
	return known.digest == digest && now-known.at <= recentRunTTL
}
