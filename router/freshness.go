package router

import (
	"sync"
	"time"
)

// freshness is how old the router's view may be at the most.
//
// Invariant: at asOf (a reading of this machine's clock), the table held every
// change that had been accepted by then. It counts from the sending of the
// question, so that a slow answer only makes the view older.
type freshness struct {
	mutex sync.Mutex
	asOf  time.Duration
	known bool
	// settledAt is when asOf last rose.
	settledAt time.Duration
	// waiting are confirmations whose revision has not arrived yet.
	waiting []confirmation
}

type confirmation struct {
	sentAt   time.Duration
	revision uint64
}

func (f *freshness) within(now, bound time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known && now-f.asOf <= bound
}

func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.known {
		return time.Hour
	}
	return now - f.asOf
}

// confirmed is as of when the view was current at least; zero: never confirmed.
func (f *freshness) confirmed() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asOf
}

// settled is when the view was last confirmed, however late; zero: never.
func (f *freshness) settled() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.settledAt
}

// confirm notes that a view at revision is as current as sentAt. It reports whether the
// view is now known to be younger.
func (f *freshness) confirm(now time.Duration, next confirmation, inForce uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiting = append(f.waiting, next)
	return f.settle(now, inForce)
}

// arrived takes up a new revision in force. It reports whether the view is now known to
// be younger.
func (f *freshness) arrived(now time.Duration, inForce uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.settle(now, inForce)
}

func (f *freshness) settle(now time.Duration, inForce uint64) bool {
	kept := f.waiting[:0]
	younger := false
	for _, item := range f.waiting {
		if item.revision > inForce {
			kept = append(kept, item)
			continue
		}
		younger = younger || !f.known || item.sentAt > f.asOf
		f.asOf = max(f.asOf, item.sentAt)
		f.known = true
	}
	f.waiting = kept
	if younger {
		f.settledAt = now
	}
	return younger
}
