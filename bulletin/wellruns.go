package bulletin

import (
	"encoding/binary"
	"sync"
	"time"

	"limehold/quarantine"
)

// recentRuns holds the requests that the local instance has recently completed. A request that
// many callers send is running during almost every crash, whatever the cause; a request that
// has just completed is therefore not suspected.
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

func (w *recentRuns) slot(digest quarantine.Digest) *recentRun {
	return &w.runs[binary.LittleEndian.Uint16(digest[:])%recentRunSlots]
}

func (w *recentRuns) add(identity quarantine.Identity, now time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	*w.slot(identity.Any) = recentRun{identity.Any, now}
	*w.slot(identity.Own) = recentRun{identity.Own, now}
}

// contains reports whether a request has recently completed.
func (w *recentRuns) contains(digest quarantine.Digest, now time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.slot(digest)
	return known.digest == digest && now-known.at <= recentRunTTL
}
