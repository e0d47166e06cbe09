package router

import (
	"sync"
	"time"
)

// freshness tracks an upper bound on the age of the router's view.
//
// Invariant: the table holds every change that had been accepted at asOf (a reading of this
// machine's clock). asOf is when the question that a member confirmed was sent, so that a
// slow response only makes the view appear older.
type freshness struct {
	mutex sync.Mutex
	asOf  time.Duration
	known bool
	// confirmedAt is when asOf last rose.
	confirmedAt time.Duration
	// pending holds confirmations whose revision has not been applied yet.
	pending []confirmation
}

// confirmation is a member's statement that a view at revision was current at sentAt.
type confirmation struct {
	sentAt   time.Duration
	revision uint64
}

// within reports whether the view was confirmed and is at most bound old.
func (f *freshness) within(now, bound time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known && now-f.asOf <= bound
}

// age returns the age of the view, or an hour if it was never confirmed.
func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.known {
		return time.Hour
	}
	return now - f.asOf
}

// currentAsOf returns the latest time at which the view is known to have been current,
// or 0 if it was never confirmed.
func (f *freshness) currentAsOf() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asOf
}

// lastConfirmed returns when a confirmation last raised asOf, or 0 if none did.
func (f *freshness) lastConfirmed() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.confirmedAt
}

// confirm adds a confirmation; revision is the current one of the table. It reports whether
// asOf rose.
func (f *freshness) confirm(now time.Duration, next confirmation, revision uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pending = append(f.pending, next)
	return f.applyPending(now, revision)
}

// revisionApplied applies the pending confirmations whose revision the table has reached. It
// reports whether asOf rose.
func (f *freshness) revisionApplied(now time.Duration, revision uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.applyPending(now, revision)
}

// applyPending applies the confirmations up to revision and reports whether asOf rose.
func (f *freshness) applyPending(now time.Duration, revision uint64) bool {
	kept := f.pending[:0]
	newer := false
	for _, item := range f.pending {
		if item.revision > revision {
			kept = append(kept, item)
			continue
		}
		newer = newer || !f.known || item.sentAt > f.asOf
		f.asOf = max(f.asOf, item.sentAt)
		f.known = true
	}
	f.pending = kept
	if newer {
		f.confirmedAt = now
	}
	return newer
}
