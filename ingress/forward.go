package ingress

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

	"limehold/clock"
	"limehold/logging"
	"limehold/upstream"
	"limehold/wire"
)

// exchangeState is the outcome of sending a request to the instance.
type exchangeState uint8

const (
	// exchangeNotSent: no byte of the request was sent.
	exchangeNotSent exchangeState = iota
	// exchangeNotRun: the instance responded that it did not run the request.
	exchangeNotRun
	// exchangeUnknown: some of the request was sent, and there is no usable response.
	exchangeUnknown
	// exchangeResponded: the header of the response to this request was received.
	exchangeResponded
)

// exchange is one attempt to send a request to the instance.
type exchange struct {
	state    exchangeState
	reason   string
	err      error
	conn     *upstream.Conn
	response *fasthttp.Response
	// bodyRead is set if the body has already been read into the response.
	bodyRead bool
	// sending is set if the request is sent while the response is read.
	sending *sending
}

// connectionBroke reports whether the connection to the instance broke during the request.
func (e *exchange) connectionBroke() bool {
	return e.state == exchangeUnknown && (e.reason == reasonNoAnswer || e.reason == reasonBrokenAnswer || e.reason == wire.BackendReasonCrashed)
}

// Reasons of exchanges without a usable response.
const (
	reasonUnreachable   = "unreachable"
	reasonNoAnswer      = "no-answer"
	reasonLateAnswer    = "late-answer"
	reasonCrossedAnswer = "crossed-answer"
	reasonBrokenAnswer  = "broken-answer"
	reasonFalsePromise  = "false-promise"
	reasonCallerGone    = "caller-gone"
	reasonOtherInstance = "other-instance"
	reasonPanicked      = "ingress-failed"
	// reasonIncompleteBody: the router broke the body off.
	reasonIncompleteBody = "incomplete-body"
)

const (
	// bufferLimit is the size in bytes up to which a response is read completely before any of it
	// is sent on.
	bufferLimit = 64 << 10
	// identityLength is what the HTTP library reports as the length of such a response.
	identityLength = -2
	// minimumRemaining is the shortest time before its deadline in which a request is still sent.
	minimumRemaining = 2 * time.Millisecond
	// keepAliveMargin is subtracted from the announced keep-alive time of the instance, so that no
	// connection is used that the instance may be closing.
	keepAliveMargin = 1500 * time.Millisecond
)

var (
	errNothingSent = errors.New("nothing was sent")
	errCallerGone  = errors.New("the caller has closed its connection")
)

// send performs the exchange. It closes the connection unless a complete response or a not-run
// response was read to its end, or the body is still to be streamed.
func (i *Ingress) send(p *proxyRequest) *exchange {
	result := &exchange{}
	remaining := p.deadline - clock.Now()
	if remaining < minimumRemaining {
		result.reason = wire.BackendReasonDeadline
		return result
	}
	conn, err := i.upstreams.GetFor(i.options.Settings.Ingress.Instance, p.requestID, p.deadline)
	if err != nil {
		i.instance.connectionFailed(err)
		result.err, result.reason = err, reasonUnreachable
		return result
	}
	if p.isAbandoned() {
		i.upstreams.Put(conn)
		result.err, result.reason = errCallerGone, reasonCallerGone
		return result
	}
	conn.ReserveForID(p.requestID)
	result.conn = conn
	if p.upload != nil {
		i.exchangeUpload(p, result)
		return result
	}
	if err := p.write(conn); err != nil {
		conn.Close()
		result.err, result.reason = eris.Wrapf(err, "send request to instance %s", p.instance.id), reasonNoAnswer
		if !errors.Is(err, errNothingSent) {
			result.state = exchangeUnknown
		}
		return result
	}
	i.receive(p, result)
	return result
}

// uncheckedWait is how long a request without an announced body may have waited here without a check of its router's
// connection before it is sent.
const uncheckedWait = time.Millisecond

// isAbandoned reports whether the router has closed the connection of a request that has waited here. The router does
// that once its caller is gone.
func (p *proxyRequest) isAbandoned() bool {
	if p.upload == nil && clock.Now()-p.arrived < uncheckedWait {
		return false
	}
	if p.watched.IsDisconnected() {
		p.tracker.Cancel()
	}
	return p.tracker.IsCancelled()
}

// exchangeUpload sends a request with a large body and reads the response meanwhile: instances may respond before they
// have read the body, and read the rest of it later.
func (i *Ingress) exchangeUpload(p *proxyRequest, result *exchange) {
	result.sending = startSending(func() error { return p.write(result.conn) })
	i.receive(p, result)
	if result.state != exchangeUnknown {
		return
	}
	// receive has closed the connection, which ends the sending.
	if errors.Is(result.sending.wait(), errNothingSent) {
		result.state = exchangeNotSent
	}
}

// write sends the request. After an error other than errNothingSent it is unknown how much of
// the request was received.
func (p *proxyRequest) write(conn *upstream.Conn) error {
	now := clock.Now()
	remaining := p.deadline - now
	if err := conn.SetDeadline(now, p.deadline); err != nil {
		return errors.Join(errNothingSent, err)
	}
	p.outgoing.Header.Set(p.names.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if !p.tracker.Track(conn) {
		return errors.Join(errNothingSent, errCallerGone)
	}
	if p.upload == nil {
		defer p.tracker.Untrack() // otherwise the response is being read
	}
	conn.Written.Written = 0
	err := p.outgoing.Write(conn.Writer)
	if err == nil {
		err = conn.Writer.Flush()
	}
	if err != nil && conn.Written.Written == 0 && !p.outgoing.IsBodyStream() {
		return errors.Join(errNothingSent, err)
	}
	return err
}

// receive reads the header of the response. It also reads the body if that is small, may be held until its
// turn on the link, or ends with the connection.
func (i *Ingress) receive(p *proxyRequest, result *exchange) {
	conn := result.conn
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	response.SkipBody = p.isHead
	fail := func(reason string, err error) {
		conn.Close()
		fasthttp.ReleaseResponse(response)
		result.response = nil
		result.state, result.reason, result.err = exchangeUnknown, reason, err
	}
	if !p.tracker.Track(conn) {
		fail(reasonCallerGone, errCallerGone)
		return
	}
	defer p.tracker.Untrack()
	if err := conn.ReadResponse(response, 0); err != nil {
		fail(readFailureReason(err), eris.Wrapf(err, "read response of instance %s", p.instance.id))
		return
	}
	if answered := string(response.Header.Peek(p.names.RequestID)); answered != p.requestID {
		fail(reasonCrossedAnswer, eris.Errorf("response of instance %s is for request %q, want %q", p.instance.id, logging.ShortID(answered), logging.ShortID(p.requestID)))
		return
	}
	if response.StatusCode() != fasthttp.StatusMisdirectedRequest {
		// That status may be the answer of another instance.
		i.instance.observeAnswer(p.instance.from(), &response.Header, p.sent)
	}
	i.firstAnswers.log(i.logger, p.instance.from(), &response.Header)
	if refusal := p.notRun(response); refusal != "" {
		i.handleNotRun(p, result, response, refusal)
		return
	}
	if guaranteesNotRun(response.StatusCode()) {
		// Callers read this status as the guarantee that the request did not run, which the instance
		// did not give.
		fail(reasonFalsePromise, eris.Errorf("instance %s responded with status %d but did not mark the request as not run", p.instance.id, response.StatusCode()))
		return
	}
	i.instance.slowdown.observe(response.Header.Peek(p.names.Load), clock.Now())
	result.state, result.response = exchangeResponded, response
	conn.PeerIdleTimeout = keepAlive(response)
	length := response.Header.ContentLength()
	switch {
	case p.isHead || hasNoBody(response.StatusCode()):
		result.bodyRead = true
		i.releaseConn(p, result, response)
	case length == identityLength:
		err := i.readUnframed(p, response)
		conn.Close()
		if err == nil {
			err = result.brokenBySending()
		}
		if err != nil {
			fail(reasonBrokenAnswer, eris.Wrapf(err, "read response body of instance %s to the end of its connection", p.instance.id))
			return
		}
		result.bodyRead = true
	case length >= 0 && (length <= bufferLimit || i.link.canHold(length)):
		if err := readBody(response, length); err != nil {
			fail(reasonBrokenAnswer, eris.Wrapf(err, "read response body of instance %s", p.instance.id))
			return
		}
		result.bodyRead = true
		i.releaseConn(p, result, response)
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

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// guaranteesNotRun reports whether callers read a status as the guarantee that the request did
// not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// notRun returns why the instance did not run the request; empty if the response does not state
// that.
func (p *proxyRequest) notRun(response *fasthttp.Response) string {
	marked := p.names.NotRun != "" && len(response.Header.Peek(p.names.NotRun)) > 0
	status := response.StatusCode()
	switch {
	case status == fasthttp.StatusMisdirectedRequest && p.keyed && marked:
		return wire.BackendReasonNotOwner
	case status == fasthttp.StatusMisdirectedRequest:
		return reasonOtherInstance
	case marked:
		return wire.BackendReasonFull
	}
	return ""
}

func (i *Ingress) handleNotRun(p *proxyRequest, result *exchange, response *fasthttp.Response, reason string) {
	result.state, result.reason = exchangeNotRun, reason
	length := response.Header.ContentLength()
	if length >= 0 && length <= bufferLimit && readBody(response, length) == nil {
		i.releaseConn(p, result, response)
	} else {
		result.conn.Close()
	}
	fasthttp.ReleaseResponse(response)
}

func readBody(response *fasthttp.Response, length int) error {
	body := make([]byte, length)
	if _, err := io.ReadFull(response.BodyStream(), body); err != nil {
		return err
	}
	_ = response.CloseBodyStream()
	response.SetBodyRaw(body)
	return nil
}

// keepAlive returns how long an idle connection may still be used according to the response's
// Keep-Alive header; 0 if that contains no timeout.
func keepAlive(response *fasthttp.Response) time.Duration {
	for part := range strings.SplitSeq(string(response.Header.Peek("Keep-Alive")), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return max(time.Millisecond, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return 0
}

// releaseConn returns the connection of an exchange to the pool after a response that was read to its end, or closes
// the connection if the response requires that. While the request is still being sent, the connection is not used for
// another one.
func (i *Ingress) releaseConn(p *proxyRequest, result *exchange, response *fasthttp.Response) {
	p.tracker.Untrack() // from the pool on, the connection belongs to the next request
	if response.ConnectionClose() {
		result.conn.Close()
		return
	}
	if result.sending == nil {
		i.upstreams.Put(result.conn)
		return
	}
	conn, sending := result.conn, result.sending
	go func() {
		if err := sending.wait(); err != nil {
			conn.Close() // the instance has not read the whole body
			return
		}
		i.upstreams.Put(conn)
	}()
}

// responseBody streams a response to the router and holds the slot until its end.
type responseBody struct {
	ingress  *Ingress
	request  *proxyRequest
	exchange *exchange
	stream   io.Reader
	complete bool
	once     sync.Once
}

// Read implements io.Reader. An error other than io.EOF makes the server cut the router's
// connection, so that a truncated response never looks complete.
func (b *responseBody) Read(data []byte) (int, error) {
	count, err := b.stream.Read(data)
	switch {
	case err == io.EOF:
		b.complete = true
	case err != nil:
		b.ingress.recordBroken(b.request)
	}
	return count, err
}

// Close implements io.Closer. The server calls it when it has finished with the response.
func (b *responseBody) Close() error {
	b.once.Do(func() {
		b.request.tracker.Untrack()
		if b.complete {
			b.ingress.recordSuccess(b.request, b.exchange.response.StatusCode())
			b.ingress.releaseConn(b.request, b.exchange, b.exchange.response)
		} else {
			b.exchange.conn.Close()
		}
		_ = b.exchange.response.CloseBodyStream()
		fasthttp.ReleaseResponse(b.exchange.response)
		b.ingress.release(b.request)
	})
	return nil
}
