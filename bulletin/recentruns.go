package bulletin

import (
	"encoding/binary"
	"sync"
	"time"

	"limehold/quarantine"
)

// wellRuns are the requests that the instance beside this process has lately run to a good
// end. Where many ask for the same, it is running at every end of an instance, whatever the
// cause: what has just been survived is not suspected.
//
// A fixed number of digests is kept, 50 KB, each at a place that follows from it: one that
// pushes another out costs that one's good name only.
type wellRuns struct {
	mutex sync.Mutex
	runs  [wellPlaces]wellRun
}

type wellRun struct {
	digest quarantine.Digest
	at     time.Duration
}

const (
	// wellPlaces hold the last two seconds of the busiest instances, some 500 requests a second.
	wellPlaces = 2048
	// wellFor is for how long a good run speaks for a request: it covers what many ask for all
	// the time, and has passed when a request that has turned deadly has ended a few instances.
	wellFor = 2 * time.Second
)

func (w *wellRuns) place(digest quarantine.Digest) *wellRun {
	return &w.runs[binary.LittleEndian.Uint16(digest[:])%wellPlaces]
}

func (w *wellRuns) note(identity quarantine.Identity, now time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	*w.place(identity.Any) = wellRun{identity.Any, now}
	*w.place(identity.Own) = wellRun{identity.Own, now}
}

// lately reports whether a request has lately run to a good end.
func (w *wellRuns) lately(digest quarantine.Digest, now time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known := w.place(digest)
	return known.digest == digest && now-known.at <= wellFor
}
