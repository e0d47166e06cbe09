package router

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/admission"
	"limehold/clock"
	"limehold/loadview"
	"limehold/upstream"
	"limehold/wire"
)

// attemptState is the result of one attempt.
type attemptState uint8

const (
	// attemptNotSent means that no byte of the request left this process.
	attemptNotSent attemptState = iota
	// attemptNotRun means that the backend, or the ingress in front of it, reported that the
	// request was not run.
	attemptNotRun
	// attemptUnknown means that part of the request was sent and no usable response arrived.
	attemptUnknown
	// attemptAnswered means that the head of the response to this attempt was received.
	attemptAnswered
)

// attempt is one transmission of a request to one instance.
type attempt struct {
	state    attemptState
	reason   string
	response *fasthttp.Response
	conn     *upstream.Conn
	err      error
	// complete is set when the response has been read to its end.
	complete bool
	// retryAfter is the delay that the backend advised with attemptNotRun.
	retryAfter time.Duration
	// reachedBackend is set once a connection to the instance is open, even if no byte is sent. It
	// is not set if the ingress in front of the instance rejected the request.
	reachedBackend bool
	// routeVersion is the version of the route table by which the ingress rejected the request.
	routeVersion uint64
	// load is the load that the instance's ingress reported, zero if it reported none.
	load loadview.Report
	// loads are load reports of other instances that the ingress has passed on.
	loads []loadview.Entry
	// instanceState is the encoded wire.InstanceState of the answer, "" if it has none.
	instanceState string
}

const (
	// maxBufferedResponse is the size in bytes up to which a response is read to its end
	// before any of it is forwarded: the slot becomes free sooner, and a truncated
	// response can still be reported in the header.
	maxBufferedResponse = 64 << 10
	// minRemaining is the least remaining time for which a request is sent.
	minRemaining = 2 * time.Millisecond
	// maxRetryAfter is the delay from which a backend's advice to retry later is ignored.
	maxRetryAfter = time.Minute
	// maxRejectionBody is the size in bytes up to which the body of a rejection is read.
	maxRejectionBody = 8 << 10
)

// send makes one attempt. It closes the connection unless a complete response or a
// rejection was read to its end, or the body is still to be streamed.
func (r *Router) send(request *proxiedRequest, node *wire.NodeView) *attempt {
	result := &attempt{}
	remaining := request.deadline - clock.Now()
	if remaining < minRemaining {
		result.reason = rejectDeadline.reason
		return result
	}
	conn, err := r.upstreams.Get(node.Address, remaining)
	if err != nil {
		result.err, result.reason = err, rejectUnreachable.reason
		return result
	}
	if request.isAbandoned() {
		r.upstreams.Put(conn)
		result.err, result.reason = errCallerGone, rejectCallerGone.reason
		return result
	}
	conn.ReserveForID(request.displayID)
	result.conn = conn
	attemptID := request.nextAttemptID()
	if err := r.write(request, conn, attemptID, node); err != nil {
		conn.Close()
		result.err, result.reason = eris.Wrapf(err, "send request to %s at %s", node.Name, node.Address), reasonNoAnswer
		result.reachedBackend = true
		if errors.Is(err, errCallerGone) {
			result.reason = rejectCallerGone.reason
		}
		if !errors.Is(err, errNothingSent) {
			result.state = attemptUnknown
		}
		return result
	}
	result.reachedBackend = true
	r.receive(request, result, attemptID)
	r.recordInstanceState(node, result)
	return result
}

// uncheckedWait is how long a request may have waited here without a check of its caller's connection before it is sent.
const uncheckedWait = time.Millisecond

// isAbandoned reports whether the caller of a request that has waited here has closed its connection.
func (p *proxiedRequest) isAbandoned() bool {
	if clock.Now()-p.started >= uncheckedWait && p.disconnect.IsDisconnected() {
		p.tracker.Cancel()
	}
	return p.tracker.IsCancelled()
}

var errNothingSent = errors.New("no byte was sent")

// write sends the request. After an error that is not errNothingSent, it is unknown
// how much of the request arrived.
func (r *Router) write(request *proxiedRequest, conn *upstream.Conn, attemptID string, node *wire.NodeView) error {
	now := clock.Now()
	remaining := request.deadline - now
	if err := conn.SetDeadline(now, request.deadline); err != nil {
		return errors.Join(errNothingSent, err)
	}
	out := request.outbound
	out.Header.Set(wire.HeaderAttempt, attemptID)
	out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	out.Header.Set(wire.HeaderEpoch, strconv.FormatUint(request.epoch, 10))
	r.setInstanceState(node, out)
	request.setUsualRun(out)
	request.setLoadView(node, out)
	if request.isRepeat() {
		out.Header.Set(wire.HeaderRepeat, strconv.FormatBool(true))
	}
	if request.routed != nil {
		targetRemaining := request.started + request.routed.route.TargetLatency - now
		out.Header.Set(wire.HeaderTarget, strconv.FormatInt(max(0, targetRemaining.Milliseconds()), 10))
	}
	if responsesDue := time.Duration(r.responsesDue.Load()); responsesDue > 0 && node.SelfLimited {
		out.Header.Set(wire.HeaderStopsIn, strconv.FormatInt(max(1, (responsesDue-now).Milliseconds()), 10))
	}
	if !request.tracker.Track(conn) {
		return errors.Join(errNothingSent, errCallerGone)
	}
	defer request.tracker.Untrack()
	counter := &conn.Written
	counter.Written = 0
	var err error
	if node.SelfLimited && request.announcesBody() {
		err = request.writeAnnounced(conn)
	} else {
		request.bodyUsed = request.bodyUsed || out.IsBodyStream()
		err = out.Write(conn.Writer)
		if err == nil {
			err = conn.Writer.Flush()
		}
	}
	r.options.bodySent(int(counter.Written))
	if err != nil && counter.Written == 0 && !out.IsBodyStream() {
		return errors.Join(errNothingSent, err)
	}
	return err
}

var errCallerGone = errors.New("the caller has closed its connection")

// receive reads the head of the response, and also the body if it is small.
func (r *Router) receive(request *proxiedRequest, result *attempt, attemptID string) {
	conn := result.conn
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	response.SkipBody = request.head
	fail := func(reason string, err error) {
		conn.Close()
		fasthttp.ReleaseResponse(response)
		result.state, result.reason, result.err = attemptUnknown, reason, err
	}
	if !request.tracker.Track(conn) {
		fail(rejectCallerGone.reason, errCallerGone)
		return
	}
	defer request.tracker.Untrack()
	if err := conn.ReadResponse(response, 0); err != nil {
		fail(readFailureReason(err), eris.Wrapf(err, "read response from %s", conn.Address))
		return
	}
	if isClosedNotice(&response.Header) {
		r.readRejection(request, result, response)
		return
	}
	if string(response.Header.Peek(wire.HeaderAttempt)) != attemptID {
		fail(reasonCrossedAnswer, eris.Errorf("response from %s is for attempt %q, want %q", conn.Address, response.Header.Peek(wire.HeaderAttempt), attemptID))
		return
	}
	result.instanceState = string(response.Header.Peek(wire.HeaderInstanceState))
	r.readLoads(result, &response.Header)
	switch string(response.Header.Peek(wire.HeaderOutcome)) {
	case wire.OutcomeUnknown:
		// The ingress forwarded the request and received no usable response.
		reason := string(response.Header.Peek(wire.HeaderReason))
		fail(reason, eris.Errorf("%s forwarded the request and received no usable response", conn.Address))
		return
	case wire.OutcomeNotRun:
		r.readRejection(request, result, response)
		return
	}
	length := response.Header.ContentLength()
	if length == identityLength && !request.head && !hasNoBody(response.StatusCode()) {
		fail(reasonUnframed, eris.Errorf("response from %s has neither a content length nor chunked encoding: truncation could not be detected", conn.Address))
		return
	}
	result.state, result.response = attemptAnswered, response
	if request.head || hasNoBody(response.StatusCode()) {
		result.complete = true
		r.returnConn(request, conn, response)
		return
	}
	if length >= 0 && length <= maxBufferedResponse {
		if err := readFullBody(response, length); err != nil {
			fail(reasonBrokenAnswer, eris.Wrapf(err, "read response body from %s", conn.Address))
			result.response = nil
			return
		}
		result.complete = true
		r.returnConn(request, conn, response)
	}
}

func readFailureReason(err error) string {
	var timeout net.Error
	switch {
	case upstream.IsMalformed(err):
		return reasonBrokenAnswer
	case errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout():
		return reasonLateAnswer
	}
	return reasonNoAnswer
}

// isClosedNotice reports whether a response is the notice that an ingress writes when it closes a kept connection.
// It names no attempt: it is the response to whichever request crosses the close.
func isClosedNotice(header *fasthttp.ResponseHeader) bool {
	return len(header.Peek(wire.HeaderAttempt)) == 0 && len(header.Peek(wire.HeaderFromIngress)) > 0 &&
		string(header.Peek(wire.HeaderReason)) == wire.BackendReasonClosed
}

// identityLength is the content length that fasthttp reports for a response that
// ends when the connection is closed.
const identityLength = -2

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func readFullBody(response *fasthttp.Response, length int) error {
	body := make([]byte, length)
	stream := response.BodyStream()
	if _, err := io.ReadFull(stream, body); err != nil {
		return err
	}
	_ = response.CloseBodyStream()
	response.SetBodyRaw(body)
	return nil
}

// readRejection reads the response to an attempt that the backend did not run.
func (r *Router) readRejection(request *proxiedRequest, result *attempt, response *fasthttp.Response) {
	result.state = attemptNotRun
	result.reason = string(response.Header.Peek(wire.HeaderReason))
	result.reachedBackend = len(response.Header.Peek(wire.HeaderFromIngress)) == 0
	result.parseRouteVersion(&response.Header)
	if seconds, err := strconv.ParseFloat(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil && seconds > 0 && seconds < maxRetryAfter.Seconds() {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	length := response.Header.ContentLength()
	if length >= 0 && length <= maxRejectionBody && readFullBody(response, length) == nil {
		r.returnConn(request, result.conn, response)
	} else {
		result.conn.Close()
	}
	fasthttp.ReleaseResponse(response)
}

// returnConn returns a connection to the pool after a response was read to its end, or closes
// it if the response announced that.
func (r *Router) returnConn(request *proxiedRequest, conn *upstream.Conn, response *fasthttp.Response) {
	request.tracker.Untrack() // from the pool on, the connection belongs to the next request
	if response.ConnectionClose() {
		conn.Close()
		return
	}
	r.upstreams.Put(conn)
}

// responseBody streams a response to the caller and holds the slot until its end.
type responseBody struct {
	router   *Router
	request  *proxiedRequest
	attempt  *attempt
	stream   io.Reader
	finished bool
	failed   bool
	release  func(admission.Outcome)
	once     sync.Once
}

// Read implements io.Reader. After an error other than io.EOF the server closes
// the caller's connection, so that a truncated response never looks complete.
// Backend and caller must both make progress within the service's stall timeout:
// a frozen backend, or a caller that stopped reading, would otherwise hold the slot.
func (b *responseBody) Read(data []byte) (int, error) {
	stall := b.request.service.spec.StallTimeout.Std()
	_ = b.attempt.conn.Raw.SetReadDeadline(time.Now().Add(stall))
	count, err := b.stream.Read(data)
	// The data read here is written to the caller before the next read.
	_ = b.request.caller.SetWriteDeadline(time.Now().Add(stall))
	switch {
	case err == io.EOF:
		b.finished = true
	case err != nil:
		b.failed = true
	}
	return count, err
}

// Close implements io.Closer. The server calls it when it has finished with the body.
func (b *responseBody) Close() error {
	b.once.Do(func() {
		b.request.tracker.Untrack()
		outcome := admission.OutcomeSuccess
		if b.finished {
			b.router.returnConn(b.request, b.attempt.conn, b.attempt.response)
		} else {
			b.attempt.conn.Close()
			outcome = admission.OutcomeNeutral
		}
		if b.failed {
			outcome = admission.OutcomeFailed
			b.router.metrics.truncatedResponses.Inc()
		}
		_ = b.attempt.response.CloseBodyStream()
		fasthttp.ReleaseResponse(b.attempt.response)
		b.release(outcome)
	})
	return nil
}
