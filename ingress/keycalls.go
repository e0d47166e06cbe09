package ingress

import (
	"context"
	"errors"
	"sync"
	"time"
)

// callStopTimeout is how long calls to the instance that are under way when the ingress stops may still take.
const callStopTimeout = 250 * time.Millisecond

var errKeyCallsStopped = errors.New("the ingress stops")

// keyCalls are the calls that grant and release keys. Once they are stopped, none begins.
type keyCalls struct {
	mutex   sync.Mutex
	running sync.WaitGroup
	// stopping is closed when the calls are stopped.
	stopping chan struct{}
	stopped  bool
	// ended ends callStopTimeout later.
	ended context.Context
	end   context.CancelFunc
}

func newKeyCalls() *keyCalls {
	calls := &keyCalls{stopping: make(chan struct{})}
	calls.ended, calls.end = context.WithCancel(context.Background())
	return calls
}

// begin reports whether a call may begin. If so, finish has to be called afterwards.
func (c *keyCalls) begin() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return false
	}
	c.running.Add(1)
	return true
}

func (c *keyCalls) finish() { c.running.Done() }

// context returns the context of a call.
func (c *keyCalls) context(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ended, timeout)
}

// stop refuses further calls and waits for those under way.
func (c *keyCalls) stop() {
	c.mutex.Lock()
	if !c.stopped {
		c.stopped = true
		close(c.stopping)
	}
	c.mutex.Unlock()
	timer := time.AfterFunc(callStopTimeout, c.end)
	defer timer.Stop()
	c.running.Wait()
	c.end()
}
