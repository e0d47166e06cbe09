package router

import (
	"context"
	"sync"
	"time"
)

const (
	hangupShards = 16
	hangupEvery  = 100 * time.Millisecond
	// hangupAge spares the look at requests that end soon anyway.
	hangupAge = 100 * time.Millisecond
)

// hangups finds callers that went away while their request is under way. The
// HTTP library does not look at a connection while its handler runs.
type hangups struct {
	shards [hangupShards]hangupShard
}

type hangupShard struct {
	mutex    sync.Mutex
	requests map[*proxied]time.Time
}

func newHangups() *hangups {
	h := &hangups{}
	for i := range h.shards {
		h.shards[i].requests = map[*proxied]time.Time{}
	}
	return h
}

func (h *hangups) shard(p *proxied) *hangupShard { return &h.shards[int(p.id[0])%hangupShards] }

func (h *hangups) add(p *proxied) {
	shard := h.shard(p)
	shard.mutex.Lock()
	shard.requests[p] = time.Now()
	shard.mutex.Unlock()
}

func (h *hangups) remove(p *proxied) {
	shard := h.shard(p)
	shard.mutex.Lock()
	delete(shard.requests, p)
	shard.mutex.Unlock()
}

// run looks at the callers' connections until ctx ends.
func (h *hangups) run(ctx context.Context) error {
	ticker := time.NewTicker(hangupEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for i := range h.shards {
				h.shards[i].look(now)
			}
		}
	}
}

func (s *hangupShard) look(now time.Time) {
	s.mutex.Lock()
	var gone []*proxied
	for p, since := range s.requests {
		if now.Sub(since) >= hangupAge && peek(p.caller) == peekClosed {
			gone = append(gone, p)
		}
	}
	s.mutex.Unlock()
	for _, p := range gone {
		p.cancel()
	}
}

// count is the number of requests under way.
func (h *hangups) count() int {
	total := 0
	for i := range h.shards {
		h.shards[i].mutex.Lock()
		total += len(h.shards[i].requests)
		h.shards[i].mutex.Unlock()
	}
	return total
}
