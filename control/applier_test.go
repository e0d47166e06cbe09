package control

import (
	"context"
	"sync"
	"testing"
	"time"
)

// endingContext ends right after it has been asked whether it has ended.
type endingContext struct {
	context.Context
	cancel context.CancelFunc
	// ended is closed by a function that runs when the context has ended.
	ended chan struct{}
}

func newEndingContext() *endingContext {
	c := &endingContext{ended: make(chan struct{})}
	c.Context, c.cancel = context.WithCancel(context.Background())
	context.AfterFunc(c.Context, func() { close(c.ended) })
	return c
}

// Err implements context.Context.
func (c *endingContext) Err() error {
	err := c.Context.Err()
	c.cancel()
	<-c.ended
	return err
}

// Guards against a wait for a log index that goes on after its context has ended, until the next entry is applied.
func TestWaitEndsWithItsContext(t *testing.T) {
	const rounds, limit = 200, 20 * time.Second
	for range rounds {
		a := &applier{}
		a.progress = sync.NewCond(&a.mutex)
		done := make(chan error, 1)
		go func() { done <- a.waitApplied(newEndingContext(), 1) }()
		select {
		case err := <-done:
			if err == nil {
				t.Fatal("the index counts as applied")
			}
		case <-time.After(limit):
			t.Fatal("the wait has not ended with its context")
		}
	}
}
