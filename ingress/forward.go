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
	"limehold/upstream"
	"limehold/wire"
)

// exchangeState says what became of a request that was to be sent to the instance.
type exchangeState uint8

const (
	// exchangeNotSent: no byte of it left this process.
	exchangeNotSent exchangeState = iota
	// exchangeNotRun: the instance said that it did not run the request.
	exchangeNotRun
	// exchangeOpen: some of it was sent, and there is no usable answer.
	exchangeOpen
	// exchangeAnswered: the head of the answer to this very request is there.
	exchangeAnswered
)

// exchange is one sending of a request to the instance.
type exchange struct {
	state    exchangeState
	reason   string
	err      error
	conn     *upstream.Conn
	response *fasthttp.Response
	// whole is true when the body has been read into the response already.
	whole bool
}

// broke reports whether the connection to the instance broke under the request.
func (e *exchange) broke() bool {
	return e.state == exchangeOpen && (e.reason == reasonNoAnswer || e.reason == reasonBrokenAnswer || e.reason == wire.BackendReasonEnded)
}

// Reasons of exchanges without a usable answer.
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
)

const (
	// wholeLimit is the size in bytes up to which an answer is read to its end
	// before any of it is passed on.
	wholeLimit = 64 << 10
	// unframedLimit bounds an answer that ends with its connection: it is read whole,
	// as only its end shows whether it is complete.
	unframedLimit = 16 << 20
	// identityLength is what the library reports for such an answer.
	identityLength = -2
	// minimumRemaining is the least time that is worth sending a request for.
	minimumRemaining = 2 * time.Millisecond
	// keepAliveMargin is taken off the time for which the instance says it keeps a
	// connection: one that it may be closing is not used.
	keepAliveMargin = 1500 * time.Millisecond
)

var (
	errNothingSent = errors.New("nothing was sent")
	errCallerGone  = errors.New("the caller has closed its connection")
)

// send makes the exchange. The connection is closed in every case but a whole
// answer or a refusal that were read to the end.
func (i *Ingress) send(p *passage) *exchange {
	result := &exchange{}
	remaining := p.deadline - clock.Now()
	if remaining < minimumRemaining {
		result.reason = wire.BackendReasonDeadline
		return result
	}
	conn, err := i.upstreams.Get(i.options.Settings.Ingress.Instance, remaining)
	if err != nil {
		i.instance.connectionFailed(err)
		result.err, result.reason = err, reasonUnreachable
		return result
	}
	result.conn = conn
	if err := p.write(conn); err != nil {
		conn.Close()
		result.err, result.reason = eris.Wrapf(err, "send request to instance %s", p.seen.id), reasonNoAnswer
		if !errors.Is(err, errNothingSent) {
			result.state = exchangeOpen
		}
		return result
	}
	i.receive(p, result)
	return result
}

// write sends the request. An error that is not errNothingSent leaves open how much
// of it arrived.
func (p *passage) write(conn *upstream.Conn) error {
	now := clock.Now()
	remaining := p.deadline - now
	if err := conn.SetDeadline(now, p.deadline); err != nil {
		return errors.Join(errNothingSent, err)
	}
	p.out.Header.Set(p.names.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if !p.tracker.Track(conn) {
		return errors.Join(errNothingSent, errCallerGone)
	}
	defer p.tracker.Untrack()
	conn.Counted.Written = 0
	err := p.out.Write(conn.Writer)
	if err == nil {
		err = conn.Writer.Flush()
	}
	if err != nil && conn.Counted.Written == 0 && !p.out.IsBodyStream() {
		return errors.Join(errNothingSent, err)
	}
	return err
}

// receive reads the head of the answer, and the body too if it is small.
func (i *Ingress) receive(p *passage, result *exchange) {
	conn := result.conn
	response := fasthttp.AcquireResponse()
	response.StreamBody = true
	response.SkipBody = p.head
	fail := func(reason string, err error) {
		conn.Close()
		fasthttp.ReleaseResponse(response)
		result.response = nil
		result.state, result.reason, result.err = exchangeOpen, reason, err
	}
	if !p.tracker.Track(conn) {
		fail(reasonCallerGone, errCallerGone)
		return
	}
	defer p.tracker.Untrack()
	if err := response.ReadLimitBody(conn.Reader, 0); err != nil {
		fail(readFailure(err), eris.Wrapf(err, "read answer of instance %s", p.seen.id))
		return
	}
	if answered := string(response.Header.Peek(p.names.RequestID)); answered != p.requestID {
		fail(reasonCrossedAnswer, eris.Errorf("instance %s answered request %q in place of %q", p.seen.id, answered, p.requestID))
		return
	}
	if refusal := p.notRun(response); refusal != "" {
		i.takeNotRun(result, response, refusal)
		return
	}
	if promisesNotRun(response.StatusCode()) {
		// The callers would take the status for the promise that the instance did
		// not give.
		fail(reasonFalsePromise, eris.Errorf("instance %s answered %d without saying that it did not run the request", p.seen.id, response.StatusCode()))
		return
	}
	i.instance.pace.observe(response.Header.Peek(p.names.Load), clock.Now())
	result.state, result.response = exchangeAnswered, response
	conn.KeepFor = keepAlive(response)
	length := response.Header.ContentLength()
	switch {
	case p.head || bodyless(response.StatusCode()):
		result.whole = true
		i.finish(conn, response)
	case length == identityLength:
		if err := readUnframed(response); err != nil {
			fail(reasonBrokenAnswer, eris.Wrapf(err, "read answer body of instance %s to the end of its connection", p.seen.id))
			return
		}
		result.whole = true
		conn.Close()
	case length >= 0 && (length <= wholeLimit || i.link.mayHold(length)):
		if err := readWhole(response, length); err != nil {
			fail(reasonBrokenAnswer, eris.Wrapf(err, "read answer body of instance %s", p.seen.id))
			return
		}
		result.whole = true
		i.finish(conn, response)
	}
}

func readFailure(err error) string {
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
		return reasonLateAnswer
	}
	return reasonNoAnswer
}

func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// promisesNotRun reports whether callers take the status for a promise.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	}
	return false
}

// notRun returns why the instance did not run the request; empty: it does not say so.
func (p *passage) notRun(response *fasthttp.Response) string {
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

func (i *Ingress) takeNotRun(result *exchange, response *fasthttp.Response, reason string) {
	result.state, result.reason = exchangeNotRun, reason
	length := response.Header.ContentLength()
	if length >= 0 && length <= wholeLimit && readWhole(response, length) == nil {
		i.finish(result.conn, response)
	} else {
		result.conn.Close()
	}
	fasthttp.ReleaseResponse(response)
}

func readWhole(response *fasthttp.Response, length int) error {
	body := make([]byte, length)
	if _, err := io.ReadFull(response.BodyStream(), body); err != nil {
		return err
	}
	_ = response.CloseBodyStream()
	response.SetBodyRaw(body)
	return nil
}

// readUnframed reads an answer up to the orderly end of its connection.
func readUnframed(response *fasthttp.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.BodyStream(), unframedLimit+1))
	if err != nil {
		return err
	}
	if len(body) > unframedLimit {
		return eris.Errorf("the answer is longer than %d bytes and has no length", unframedLimit)
	}
	_ = response.CloseBodyStream()
	response.SetBodyRaw(body)
	return nil
}

// keepAlive is how long an idle connection may still be used, by the instance's word.
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

// finish takes a connection back after an answer that was read to its end.
func (i *Ingress) finish(conn *upstream.Conn, response *fasthttp.Response) {
	if response.ConnectionClose() {
		conn.Close()
		return
	}
	i.upstreams.Put(conn)
}

// answerBody streams an answer to the router and holds the slot until its end.
type answerBody struct {
	ingress  *Ingress
	passage  *passage
	exchange *exchange
	stream   io.Reader
	finished bool
	once     sync.Once
}

// Read implements io.Reader. An error other than io.EOF makes the server cut the
// router's connection, so that a cut answer never looks whole.
func (b *answerBody) Read(data []byte) (int, error) {
	count, err := b.stream.Read(data)
	switch {
	case err == io.EOF:
		b.finished = true
	case err != nil:
		b.ingress.runBroke(b.passage)
	}
	return count, err
}

// Close implements io.Closer; the server calls it when it is done.
func (b *answerBody) Close() error {
	b.once.Do(func() {
		b.passage.tracker.Untrack()
		if b.finished {
			b.ingress.survived(b.passage, b.exchange.response.StatusCode())
			b.ingress.finish(b.exchange.conn, b.exchange.response)
		} else {
			b.exchange.conn.Close()
		}
		_ = b.exchange.response.CloseBodyStream()
		fasthttp.ReleaseResponse(b.exchange.response)
		b.ingress.end(b.passage)
	})
	return nil
}
