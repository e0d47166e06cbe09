package router

import (
	"bytes"
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/routing"
)

// mayRunAhead reports whether a pipelined request without a body may run before the answers to the requests before it
// are written: its method and its route must be safe. Downloads wait, because their responses do not fit in memory.
func (r *Router) mayRunAhead(header *fasthttp.RequestHeader) bool {
	if !header.IsGet() && !header.IsHead() || len(header.Peek(fasthttp.HeaderExpect)) > 0 || !unambiguous(header.RawHeaders()) {
		return false
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	routed := r.table.route(string(header.Host()), string(path))
	return routed != nil && routed.route.Kind == routing.KindSafe
}

// pipelinePoll is the interval at which a stopping router checks whether all requests that run ahead are answered.
const pipelinePoll = 5 * time.Millisecond

// awaitPipelines waits until all requests that were started ahead have been answered: the HTTP library's shutdown
// closes each connection behind the current answer.
func (r *Router) awaitPipelines(ctx context.Context) {
	ticker := time.NewTicker(pipelinePoll)
	defer ticker.Stop()
	for r.pipelines.Ahead() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Router) registerPipelineMetrics() {
	registry := r.options.Metrics
	registry.Gauge("router", "pipelined_ahead", "Pipelined requests that run, or have run, before the answers to those before them are written.", func() float64 { return float64(r.pipelines.Ahead()) })
	registry.Gauge("router", "pipelined_ahead_total", "Pipelined requests that were started ahead.", func() float64 { return float64(r.pipelines.Started()) })
}
