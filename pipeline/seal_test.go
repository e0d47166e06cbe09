package pipeline

import (
	"fmt"
	"slices"
	"testing"
)

// closing is a connection that a server may decide to close before any answer.
type closing struct {
	queue Queue
	safe  []bool
	// read and answered count requests, started is by number.
	read, answered int
	started        []bool
	wanted, closed bool
}

func (c *closing) clone() *closing {
	copied := *c
	copied.queue.requests = slices.Clone(c.queue.requests)
	copied.started = slices.Clone(c.started)
	return &copied
}

// next returns the connection after each event that can come next.
func (c *closing) next() []*closing {
	if c.closed {
		return nil
	}
	var all []*closing
	if c.read < len(c.safe) && c.queue.MayRead() {
		n := c.clone()
		n.started[n.read] = n.queue.Add(n.safe[n.read])
		n.read++
		all = append(all, n)
	}
	if !c.wanted {
		n := c.clone()
		n.wanted = true
		all = append(all, n)
	}
	if c.answered < c.read {
		n := c.clone()
		n.started[n.answered] = true
		if n.wanted || n.queue.Sealed() {
			n.closed = n.queue.Seal()
		}
		n.queue.Answered()
		n.answered++
		all = append(all, n)
	}
	return all
}

// Guards against a close that cuts requests which have been started, in all interleavings of four requests and the
// decision to close.
func TestCloseComesBehindTheLastStartedRequest(t *testing.T) {
	const requests = 4
	states := 0
	for choice := range 1 << requests {
		first := &closing{started: make([]bool, requests)}
		for i := range requests {
			first.safe = append(first.safe, choice>>i&1 == 1)
		}
		seen := map[string]bool{}
		var explore func(c *closing)
		explore = func(c *closing) {
			key := fmt.Sprint(c.queue, c.read, c.answered, c.started, c.wanted, c.closed)
			if seen[key] {
				return
			}
			seen[key] = true
			if c.closed && slices.Contains(c.started[c.answered:], true) {
				t.Fatalf("safe %v: closed behind answer %d, started %v", c.safe, c.answered, c.started)
			}
			if c.wanted && !c.closed && c.answered == requests && c.queue.Sealed() {
				t.Fatalf("safe %v: not closed behind the last answer", c.safe)
			}
			for _, n := range c.next() {
				explore(n)
			}
		}
		explore(first)
		states += len(seen)
	}
	t.Logf("%d states", states)
}
