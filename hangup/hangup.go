// Package hangup finds callers that went away while their request is under way:
// the HTTP library does not look at a connection while its handler runs.
package hangup

import (
	"context"
	"net"
	"sync"
	"time"

	"limehold/upstream"
)

const (
	// lookEvery is how often connections are looked at while there are requests.
	lookEvery = 100 * time.Millisecond
	// lookAge spares the look at requests that end soon anyway.
	lookAge = 100 * time.Millisecond
)

// Watcher looks at the callers' connections of the requests under way.
type Watcher struct {
	mutex    sync.Mutex
	requests map[*Watched]struct{}
	// wake is signalled when the first request comes.
	wake chan struct{}
}

// Watched is one request under way.
type Watched struct {
	caller net.Conn
	cancel func()
	since  time.Time
}

// NewWatcher returns a watcher; Run does its work.
func NewWatcher() *Watcher {
	return &Watcher{requests: map[*Watched]struct{}{}, wake: make(chan struct{}, 1)}
}

// Add watches a caller's connection; cancel is called, at most once and from
// another goroutine, when the caller has closed it.
func (w *Watcher) Add(caller net.Conn, cancel func()) *Watched {
	watched := &Watched{caller: caller, cancel: cancel, since: time.Now()}
	w.mutex.Lock()
	w.requests[watched] = struct{}{}
	first := len(w.requests) == 1
	w.mutex.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return watched
}

// Remove ends the watch over a request.
func (w *Watcher) Remove(watched *Watched) {
	w.mutex.Lock()
	delete(w.requests, watched)
	w.mutex.Unlock()
}

// Count is the number of requests under way.
func (w *Watcher) Count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.requests)
}

// Run looks at the connections until ctx ends; without requests it sleeps.
func (w *Watcher) Run(ctx context.Context) error {
	timer := time.NewTimer(lookEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-timer.C:
			w.look(time.Now())
		}
		if w.Count() > 0 {
			timer.Reset(lookEvery)
		}
	}
}

func (w *Watcher) look(now time.Time) {
	w.mutex.Lock()
	var gone []*Watched
	for watched := range w.requests {
		if now.Sub(watched.since) >= lookAge && upstream.Peek(watched.caller) == upstream.PeekClosed {
			gone = append(gone, watched)
			delete(w.requests, watched)
		}
	}
	w.mutex.Unlock()
	for _, watched := range gone {
		watched.cancel()
	}
}
