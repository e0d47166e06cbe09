// Package disconnect detects callers that disconnect while their request is running. The
// HTTP library does not read from a connection while its handler runs.
package disconnect

import (
	"context"
	"net"
	"sync"
	"time"

	"limehold/upstream"
)

const (
	// checkInterval is the interval between checks while requests are running.
	checkInterval = 100 * time.Millisecond
	// minCheckAge is the age from which a request is checked. Shorter requests are never checked.
	minCheckAge = 100 * time.Millisecond
)

// Watcher checks the callers' connections of running requests.
type Watcher struct {
	mutex    sync.Mutex
	requests map[*Request]struct{}
	// wake is signalled when the first request is added.
	wake chan struct{}
}

// Request is one running request.
type Request struct {
	caller net.Conn
	cancel func()
	added  time.Time
}

// NewWatcher returns a watcher. Run must be called for it to check connections.
func NewWatcher() *Watcher {
	return &Watcher{requests: map[*Request]struct{}{}, wake: make(chan struct{}, 1)}
}

// Add watches a caller's connection. cancel is called when the caller has closed it, at most
// once and from another goroutine.
func (w *Watcher) Add(caller net.Conn, cancel func()) *Request {
	watched := &Request{caller: caller, cancel: cancel, added: time.Now()}
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

// IsDisconnected checks the caller's connection at once.
func (r *Request) IsDisconnected() bool { return isDisconnected(r.caller) }

// Remove stops watching a request.
func (w *Watcher) Remove(watched *Request) {
	w.mutex.Lock()
	delete(w.requests, watched)
	w.mutex.Unlock()
}

// Count returns the number of watched requests.
func (w *Watcher) Count() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.requests)
}

// Run checks the connections until ctx ends. It is idle while there are no requests.
func (w *Watcher) Run(ctx context.Context) error {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		case <-timer.C:
			w.check(time.Now())
		}
		if w.Count() > 0 {
			timer.Reset(checkInterval)
		}
	}
}

func (w *Watcher) check(now time.Time) {
	w.mutex.Lock()
	var closed []*Request
	for watched := range w.requests {
		if now.Sub(watched.added) >= minCheckAge && isDisconnected(watched.caller) {
			closed = append(closed, watched)
			delete(w.requests, watched)
		}
	}
	w.mutex.Unlock()
	for _, watched := range closed {
		watched.cancel()
	}
}

// isDisconnected reports whether a caller has closed its connection. Connections that are read while a request runs
// report it themselves.
func isDisconnected(caller net.Conn) bool {
	if reporting, ok := caller.(interface{ Disconnected() bool }); ok {
		return reporting.Disconnected()
	}
	return upstream.Peek(caller) == upstream.PeekClosed
}
