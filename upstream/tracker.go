package upstream

import "sync"

// Tracker knows on which connection a request is, so that the connection can be closed
// when the caller goes away: closing it is how the other side hears of it.
type Tracker struct {
	mutex     sync.Mutex
	conn      *Conn
	cancelled chan struct{}
	gone      bool
}

// NewTracker returns the tracker of a request that is on no connection yet.
func NewTracker() *Tracker { return &Tracker{cancelled: make(chan struct{})} }

// Track notes the connection that the request is on. It returns false if the caller is
// gone already.
func (t *Tracker) Track(conn *Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.gone {
		return false
	}
	t.conn = conn
	return true
}

// Untrack notes that the request is on no connection any more.
func (t *Tracker) Untrack() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.conn = nil
}

// Cancel ends the request because its caller is gone.
func (t *Tracker) Cancel() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.gone {
		return
	}
	t.gone = true
	close(t.cancelled)
	if t.conn != nil {
		t.conn.Close()
	}
}

// Cancelled is closed once the caller is gone.
func (t *Tracker) Cancelled() <-chan struct{} { return t.cancelled }
