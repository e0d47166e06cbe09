package ingress

import (
	"bytes"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/wire"
)

// uploadKey is the name under which the transfer of an announced body is kept while its request is read.
const uploadKey = "upload"

// handleAnnounced decides whether an announced body is asked for, and waits for its turn on the link. It returns
// fasthttp.StatusContinue, or rejects the request: the HTTP library then closes the connection without reading the
// body.
func (i *Ingress) handleAnnounced(request *fasthttp.RequestCtx) int {
	p, ok := i.parse(request)
	if !ok {
		request.Error("this is an ingress: send requests to a router\n", fasthttp.StatusBadRequest)
		return request.Response.StatusCode()
	}
	if reason := i.rejectReason(p, clock.Now()); reason != "" {
		i.reject(request, p, reason, 0)
		return request.Response.StatusCode()
	}
	size := request.Request.Header.ContentLength()
	if size < announcedBody || size > maxHeldBody {
		return fasthttp.StatusContinue // it is read or streamed like one that was not announced
	}
	accepted, excess := i.inbound.announce(size, i.transferLimit(p))
	if accepted == nil {
		i.reject(request, p, wire.BackendReasonFull, excess)
		return request.Response.StatusCode()
	}
	accepted.arrived = p.arrived
	i.inbound.endAt(accepted, p.deadline)
	watched := i.disconnects.Add(request.Conn(), p.tracker.Cancel)
	defer i.disconnects.Remove(watched)
	select {
	case <-accepted.ready:
		if !watched.IsDisconnected() {
			request.SetUserValue(uploadKey, accepted)
			return fasthttp.StatusContinue
		}
	case <-p.tracker.Cancelled():
	}
	i.inbound.release(accepted)
	i.reject(request, p, reasonCallerGone, 0)
	return request.Response.StatusCode()
}

// transferLimit returns within what time a body has to arrive, so that the request can still be served within its
// target latency, or within its deadline if it has no target.
func (i *Ingress) transferLimit(p *proxyRequest) time.Duration {
	remaining := p.deadline - clock.Now()
	if p.target > 0 {
		remaining = min(remaining, p.target)
	}
	return remaining - i.gate.routeRunTime(p.route)
}

// receiveBody reads an announced body, so that the request occupies no slot while its body is on the link. It reports
// false if the body ended early: the request is not run.
func (i *Ingress) receiveBody(request *fasthttp.RequestCtx, p *proxyRequest) bool {
	announced, ok := request.UserValue(uploadKey).(*upload)
	if !ok {
		return true
	}
	p.upload = announced
	p.startAt(announced.arrived)
	if request.Request.IsBodyStream() {
		body := make([]byte, request.Request.Header.ContentLength())
		if _, err := io.ReadFull(request.RequestBodyStream(), body); err != nil {
			i.reject(request, p, reasonIncompleteBody, 0)
			request.SetConnectionClose()
			return false
		}
		p.body = body
	} else {
		// The HTTP library uses its buffer again while the instance may still read the body.
		p.body = bytes.Clone(request.Request.Body())
	}
	i.inbound.arrived(announced)
	return true
}

// startAt counts the times that the router has sent from the arrival of the announcement: they do not begin again when
// the body is asked for.
func (p *proxyRequest) startAt(announced time.Duration) {
	waited := p.arrived - announced
	p.deadline -= waited
	if p.routerStopsAt > 0 {
		p.routerStopsAt -= waited
	}
}

// releaseUpload releases the memory of an announced body.
func (i *Ingress) releaseUpload(p *proxyRequest) {
	if p.upload != nil {
		i.inbound.release(p.upload)
	}
}

// releaseUnlessWatched releases the body of a request that has ended before it was watched; the others release it
// with the request.
func (i *Ingress) releaseUnlessWatched(p *proxyRequest) {
	if p.watched == nil {
		i.releaseUpload(p)
	}
}
