package router

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/admission"
	"limehold/clock"
	"limehold/upstream"
	"limehold/wire"
)

// attemptState says what became of one attempt.
type attemptState uint8

const (
	// attemptNotSent: no byte of the request left this process.
	attemptNotSent attemptState = iota
	// attemptNotRun: the back end said that it did not run the request.
	attemptNotRun
	// attemptOpen: some of the request was sent and there is no usable answer.
	attemptOpen
	// attemptAnswered: the head of the answer to this very attempt is there.
	attemptAnswered
)

// attempt is one sending of a request to one instance.
type attempt struct {
	state    attemptState
	reason   string
	response *fasthttp.Response
	conn     *upstream.Conn
	err      error
	// whole is true when the body has been read into the response already.
	whole bool
	// retryAfter is the back end's advice with attemptNotRun.
	retryAfter time.Duration
	// reached is true unless the request was refused in front of the back end: by
	// the ingress beside it, or because no connection was had.
	reached bool
	// routeVersion is that of the route table by which the ingress refused.
	routeVersion uint64
	// load is what the ingress of the instance says of it, if it does.
	load admission.Load
}

const (
	// wholeLimit is the size in bytes up to which an answer is read to its end
	// before any of it is passed on: the slot is free sooner, and a cut answer
	// can still be told in the header.
	wholeLimit = 64 << 10
	// minimumRemaining is the least time that is worth sending a request for.
	minimumRemaining = 2 * time.Millisecond
	// maxRetryAfter is the longest advice of a back end that is believed.
	maxRetryAfter = time.Minute
	// notRunBodyLimit bounds what is read of a refusal's body.
	notRunBodyLimit = 8 << 10
)

// send makes one attempt. The connection is closed in every case but a whole
// answer or a refusal that were read to the end.
func (r *Router) send(request *proxied, node *wire.NodeView) *attempt {
	result := &attempt{}
	remaining := request.deadline - clock.Now()
	if remaining < minimumRemaining {
		result.reason = refuseDeadline.reason
		return result
	}
	conn, err := r.upstreams.Get(node.Address, remaining)
	if err != nil {
		result.err, result.reason = err, refuseUnreachable.reason
		return result
	}
	result.conn = conn
	attemptID := request.nextAttemptID()
	if err := r.write(request, conn, attemptID, node); err != nil {
		conn.Close()
		result.err, result.reason = eris.Wrapf(err, "send request to %s at %s", node.Name, node.Address), reasonNoAnswer
		result.reached = true
		if !errors.Is(err, errNothingSent) {
			result.state = attemptOpen
		}
		return result
	}
	result.reached = true
	r.receive(request, result, attemptID)
	return result
}

var errNothingSent = errors.New("nothing was sent")

// write sends the request. An error that is not errNothingSent leaves open how
// much of it arrived.
func (r *Router) write(request *proxied, conn *upstream.Conn, attemptID string, node *wire.NodeView) error {
	now := clock.Now()
	remaining := request.deadline - now
	if err := conn.SetDeadline(now, request.deadline); err != nil {
		return errors.Join(errNothingSent, err)
	}
	out := request.out
	out.Header.Set(wire.HeaderAttempt, attemptID)
	out.Header.Set(wire.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	out.Header.Set(wire.HeaderEpoch, strconv.FormatUint(request.epoch, 10))
	if request.routed != nil {
		left := request.started + request.routed.route.TargetLatency - now
		out.Header.Set(wire.HeaderTarget, strconv.FormatInt(max(0, left.Milliseconds()), 10))
	}
	if ends := time.Duration(r.ends.Load()); ends > 0 && node.Gated {
		out.Header.Set(wire.HeaderEnds, strconv.FormatInt(max(1, (ends-now).Milliseconds()), 10))
	}
	if !request.tracker.Track(conn) {
		return errors.Join(errNothingSent, errCallerGone)
	}
	defer request.tracker.Untrack()
	counted := &conn.Counted
	counted.Written = 0
	request.bodyUsed = request.bodyUsed || out.IsBodyStream()
	err := out.Write(conn.Writer)
	if err == nil {
		err = conn.Writer.Flush()
	}
	r.options.noteSent(int(counted.Written))
	if err != nil && counted.Written == 0 && !out.IsBodyStream() {
		return errors.Join(errNothingSent, err)
	}
	return err
}

var errCallerGone = errors.New("the caller has closed its connection")

// receive reads the head of the answer, and the body too if it is small.
func (r *Router) receive(request *proxied, result *attempt, attemptID string) {
	conn := result.conn
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	response.SkipBody = request.head
	fail := func(reason string, err error) {
		conn.Close()
		fasthttp.ReleaseResponse(response)
		result.state, result.reason, result.err = attemptOpen, reason, err
	}
	if !request.tracker.Track(conn) {
		fail(refuseCallerGone.reason, errCallerGone)
		return
	}
	defer request.tracker.Untrack()
	if err := response.ReadLimitBody(conn.Reader, 0); err != nil {
		reason := reasonNoAnswer
		var timeout net.Error
		if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
			reason = reasonLateAnswer
		}
		fail(reason, eris.Wrapf(err, "read answer of %s", conn.Address))
		return
	}
	if string(response.Header.Peek(wire.HeaderAttempt)) != attemptID {
		fail(reasonCrossedAnswer, eris.Errorf("answer of %s is for attempt %q, not %q", conn.Address, response.Header.Peek(wire.HeaderAttempt), attemptID))
		return
	}
	result.load = parseLoad(response.Header.Peek(wire.HeaderLoad))
	switch string(response.Header.Peek(wire.HeaderOutcome)) {
	case wire.OutcomeUnknown:
		// The ingress beside the instance sent the request and got no usable answer.
		reason := string(response.Header.Peek(wire.HeaderReason))
		fail(reason, eris.Errorf("%s sent the request on and got no usable answer", conn.Address))
		return
	case wire.OutcomeNotRun:
		r.takeNotRun(result, response)
		return
	}
	length := response.Header.ContentLength()
	if length == identityLength && !request.head && !bodyless(response.StatusCode()) {
		fail(reasonUnframed, eris.Errorf("answer of %s has neither a length nor chunks: a cut could not be told from its end", conn.Address))
		return
	}
	result.state, result.response = attemptAnswered, response
	if request.head || bodyless(response.StatusCode()) {
		result.whole = true
		r.finishConn(conn, response)
		return
	}
	if length >= 0 && length <= wholeLimit {
		if err := readWhole(response, length); err != nil {
			fail(reasonBrokenAnswer, eris.Wrapf(err, "read answer body of %s", conn.Address))
			result.response = nil
			return
		}
		result.whole = true
		r.finishConn(conn, response)
	}
}

// parseLoad reads an ingress's word on its load; zero when there is none.
func parseLoad(text []byte) admission.Load {
	parts := strings.Split(string(text), ",")
	if len(parts) != loadParts {
		return admission.Load{}
	}
	var numbers [loadParts]int
	for i, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return admission.Load{}
		}
		numbers[i] = number
	}
	return admission.Load{
		Running: numbers[0], Waiting: numbers[1], Slots: numbers[2],
		RunTime: time.Duration(numbers[3]) * time.Millisecond, Well: float64(numbers[4]) / permille,
		Link: time.Duration(numbers[5]) * time.Millisecond,
	}
}

// loadParts is how many numbers wire.HeaderLoad has.
const (
	loadParts = 6
	permille  = 1000
)

// identityLength is what fasthttp reports for an answer that ends with the connection.
const identityLength = -2

func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

func readWhole(response *fasthttp.Response, length int) error {
	body := make([]byte, length)
	stream := response.BodyStream()
	if _, err := io.ReadFull(stream, body); err != nil {
		return err
	}
	_ = response.CloseBodyStream()
	response.SetBodyRaw(body)
	return nil
}

// takeNotRun ends an attempt that the back end refused.
func (r *Router) takeNotRun(result *attempt, response *fasthttp.Response) {
	result.state = attemptNotRun
	result.reason = string(response.Header.Peek(wire.HeaderReason))
	result.reached = len(response.Header.Peek(wire.HeaderInFront)) == 0
	result.takeRouteVersion(&response.Header)
	if seconds, err := strconv.ParseFloat(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), 64); err == nil && seconds > 0 && seconds < maxRetryAfter.Seconds() {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	length := response.Header.ContentLength()
	if length >= 0 && length <= notRunBodyLimit && readWhole(response, length) == nil {
		r.finishConn(result.conn, response)
	} else {
		result.conn.Close()
	}
	fasthttp.ReleaseResponse(response)
}

// finishConn takes a connection back after an answer that was read to its end.
func (r *Router) finishConn(conn *upstream.Conn, response *fasthttp.Response) {
	if response.ConnectionClose() {
		conn.Close()
		return
	}
	r.upstreams.Put(conn)
}

// answerBody streams an answer to the caller and holds the slot until its end.
type answerBody struct {
	router   *Router
	request  *proxied
	attempt  *attempt
	stream   io.Reader
	finished bool
	broken   bool
	release  func(admission.Outcome)
	once     sync.Once
}

// Read implements io.Reader. An error other than io.EOF makes the server cut
// the caller's connection, so that a cut answer never looks whole.
// Both sides have to go on within the service's stall timeout: a back end that
// froze, or a caller that stopped reading, would otherwise keep the slot.
func (b *answerBody) Read(data []byte) (int, error) {
	stall := b.request.service.spec.StallTimeout.Std()
	_ = b.attempt.conn.Raw.SetReadDeadline(time.Now().Add(stall))
	count, err := b.stream.Read(data)
	// What was read is written to the caller before the next read.
	_ = b.request.caller.SetWriteDeadline(time.Now().Add(stall))
	switch {
	case err == io.EOF:
		b.finished = true
	case err != nil:
		b.broken = true
	}
	return count, err
}

// Close implements io.Closer; the server calls it when it is done.
func (b *answerBody) Close() error {
	b.once.Do(func() {
		b.request.tracker.Untrack()
		outcome := admission.OutcomeGood
		if b.finished {
			b.router.finishConn(b.attempt.conn, b.attempt.response)
		} else {
			b.attempt.conn.Close()
			outcome = admission.OutcomeNeutral
		}
		if b.broken {
			outcome = admission.OutcomeFailed
			b.router.metrics.cutAnswers.Inc()
		}
		_ = b.attempt.response.CloseBodyStream()
		fasthttp.ReleaseResponse(b.attempt.response)
		b.release(outcome)
	})
	return nil
}
