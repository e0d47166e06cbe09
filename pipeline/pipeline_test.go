package pipeline

import (
	"fmt"
	"slices"
	"testing"
)

// model is a connection with a queue, as a server drives it: requests are read while the queue allows it, the first
// one is handled, and its answer is written once it has finished.
type model struct {
	queue Queue
	// safe and closing describe the requests that the client sends.
	safe, closing []bool
	// read is how many of them have been read; started, finished and answered are by number.
	read                         int
	started, finished, abandoned []bool
	answered                     int
	closed                       bool
}

func newModel(safe, closing []bool) *model {
	n := len(safe)
	return &model{safe: safe, closing: closing, started: make([]bool, n), finished: make([]bool, n), abandoned: make([]bool, n)}
}

func (m *model) clone() *model {
	c := *m
	c.queue.requests = slices.Clone(m.queue.requests)
	c.started, c.finished, c.abandoned = slices.Clone(m.started), slices.Clone(m.finished), slices.Clone(m.abandoned)
	return &c
}

// steps returns everything that can happen next.
func (m *model) steps() []func(*model) error {
	var steps []func(*model) error
	if !m.closed && m.read < len(m.safe) && m.queue.MayRead() {
		steps = append(steps, (*model).readNext)
	}
	if !m.closed && m.answered < m.read && !m.started[m.answered] {
		steps = append(steps, func(m *model) error { return m.start(m.answered) })
	}
	for i := range m.started {
		if m.started[i] && !m.finished[i] && !m.abandoned[i] {
			steps = append(steps, func(m *model) error { m.finished[i] = true; return nil })
		}
	}
	if !m.closed && m.answered < m.read && m.finished[m.answered] {
		steps = append(steps, (*model).answer)
	}
	return steps
}

func (m *model) readNext() error {
	i := m.read
	m.read++
	if m.queue.Add(m.safe[i]) {
		return m.start(i)
	}
	return nil
}

func (m *model) start(i int) error {
	if m.started[i] {
		return fmt.Errorf("request %d is started twice", i)
	}
	for before := m.answered; before < i; before++ {
		if !m.safe[before] || !m.safe[i] {
			return fmt.Errorf("request %d is started ahead of the answer to request %d: safe %v", i, before, m.safe)
		}
	}
	m.started[i] = true
	return nil
}

func (m *model) answer() error {
	closing := m.closing[m.answered]
	m.answered++
	if !closing {
		m.queue.Answered()
		return nil
	}
	m.queue.Close()
	m.closed = true
	for i := m.answered; i < len(m.abandoned); i++ {
		m.abandoned[i] = true
	}
	return nil
}

// check returns an error if the queue disagrees with the model.
func (m *model) check() error {
	ahead := 0
	for i := m.answered + 1; i < m.read && !m.closed; i++ {
		if m.started[i] {
			ahead++
		}
	}
	if m.queue.Ahead() != ahead {
		return fmt.Errorf("%d requests run ahead, the queue says %d", ahead, m.queue.Ahead())
	}
	if want := m.read - m.answered; !m.closed && m.queue.Unanswered() != want {
		return fmt.Errorf("%d requests are unanswered, the queue says %d", want, m.queue.Unanswered())
	}
	return nil
}

// Guards against answers out of order, unsafe requests that run ahead, requests that run twice, and requests that are
// started behind an answer that closes the connection, in all interleavings of five requests.
func TestAllInterleavings(t *testing.T) {
	const requests = 5
	states := 0
	for choice := range 1 << (2 * requests) {
		var safe, closing []bool
		for i := range requests {
			safe = append(safe, choice>>i&1 == 1)
			closing = append(closing, choice>>(requests+i)&1 == 1)
		}
		seen := map[string]bool{}
		var explore func(m *model)
		explore = func(m *model) {
			key := fmt.Sprint(m.queue, m.read, m.started, m.finished, m.abandoned, m.answered, m.closed)
			if seen[key] {
				return
			}
			seen[key] = true
			steps := m.steps()
			if len(steps) == 0 && !m.closed && m.answered < requests {
				t.Fatalf("safe %v, closing %v: stuck after %d answers", safe, closing, m.answered)
			}
			for _, step := range steps {
				next := m.clone()
				if err := step(next); err != nil {
					t.Fatal(err)
				}
				if err := next.check(); err != nil {
					t.Fatalf("safe %v, closing %v: %v", safe, closing, err)
				}
				explore(next)
			}
		}
		explore(newModel(safe, closing))
		states += len(seen)
	}
	if states < 10_000 {
		t.Errorf("only %d states were explored", states)
	}
}

func TestReadingAheadIsBounded(t *testing.T) {
	var queue Queue
	for queue.MayRead() {
		queue.Add(true)
	}
	if queue.Unanswered() != MaxRequests {
		t.Errorf("%d requests were read, want %d", queue.Unanswered(), MaxRequests)
	}
}
