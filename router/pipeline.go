package router

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"limehold/routing"
	"limehold/wire"
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

// closedNotice returns the response to a request that crosses the close of its connection.
func (r *Router) closedNotice() []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	rejected := rejectClosed
	response.SetStatusCode(rejected.status)
	response.SetConnectionClose()
	response.Header.SetContentType("application/json")
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	response.Header.Set(wire.HeaderReason, rejected.reason)
	if after := r.options.Settings.Router.RetryAfter; after > 0 {
		response.Header.Set(fasthttp.HeaderRetryAfter, r.retryAfterText(after))
	}
	response.SetBodyString(`{"outcome":"` + wire.OutcomeNotRun + `","reason":"` + rejected.reason + `","message":"` + rejected.advice + "\"}\n")
	return []byte(response.String())
}

func (r *Router) registerPipelineMetrics() {
	registry := r.options.Metrics
	registry.Gauge("router", "pipelined_ahead", "Pipelined requests that run, or have run, before the answers to those before them are written.", func() float64 { return float64(r.pipelines.Ahead()) })
	registry.Gauge("router", "pipelined_ahead_total", "Pipelined requests that were started ahead.", func() float64 { return float64(r.pipelines.Started()) })
	registry.Gauge("router", "close_notices_total", "Idle connections of callers that were closed with the notice that no request ran.", func() float64 { return float64(r.pipelines.Notices()) })
}
