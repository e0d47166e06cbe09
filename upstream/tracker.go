package upstream

import "sync"

// Tracker records the connection that a request uses, so that the connection can be closed
// when the caller goes away, which notifies the server at once.
type Tracker struct {
	mutex      sync.Mutex
	conn       *Conn
	cancelled  chan struct{}
	callerGone bool
}

// NewTracker returns the tracker of a request that uses no connection yet.
func NewTracker() *Tracker { return &Tracker{cancelled: make(chan struct{})} }

// Track records the connection that the request uses. It returns false if the caller is
// already gone.
func (t *Tracker) Track(conn *Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.callerGone {
		return false
	}
	t.conn = conn
	return true
}

// Untrack records that the request no longer uses a connection.
func (t *Tracker) Untrack() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.conn = nil
}

// Cancel closes the request's connection because the caller is gone. What has not reached the server is discarded.
func (t *Tracker) Cancel() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.callerGone {
		return
	}
	t.callerGone = true
	close(t.cancelled)
	if t.conn != nil {
		t.conn.Abort()
	}
}

// IsCancelled reports whether the caller is gone.
func (t *Tracker) IsCancelled() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.callerGone
}

// Cancelled returns a channel that is closed once the caller is gone.
func (t *Tracker) Cancelled() <-chan struct{} { return t.cancelled }
