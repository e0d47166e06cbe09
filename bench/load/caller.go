package load

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/bench/shape"
	"limehold/bench/standin"
	"limehold/clock"
	"limehold/wire"
)

const (
	callTimeout = 12 * time.Second
	// idleLimit is shorter than a stopping router's notice, as that of any
	// careful caller.
	idleLimit       = 500 * time.Millisecond
	connectionLimit = 4096
)

// Target is a router, or a back end that is asked directly for comparison.
type Target struct {
	Name string
	// Dial connects to it; an error means that nothing was sent.
	Dial func() (net.Conn, error)
	// Direct targets get no outcome header of a router.
	Direct bool
}

// caller sends requests to one target.
type caller struct {
	target Target
	client *fasthttp.HostClient
}

// errDial marks a request of which nothing can have been sent.
var errDial = errors.New("no connection")

func newCaller(target Target) *caller {
	return &caller{target: target, client: &fasthttp.HostClient{
		Addr: target.Name + ":80",
		Dial: func(string) (net.Conn, error) {
			conn, err := target.Dial()
			if err != nil {
				return nil, errors.Join(errDial, err)
			}
			return conn, nil
		},
		MaxConns: connectionLimit, MaxIdleConnDuration: idleLimit,
		// Nothing is ever repeated by the library: the judge counts executions.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// ask is one request to be sent.
type ask struct {
	run    string
	stream *shape.Stream
	prefix string
	key    string
	work   int
	// deadly requests end the back end that runs them.
	deadly bool
}

func (a *ask) path() string {
	path := a.prefix
	if a.key != "" {
		path += "/" + a.key
	}
	if a.deadly {
		path += "/deadly"
	}
	return path + "/item?" + standin.QueryBytes + "=" + strconv.Itoa(a.stream.Bytes)
}

// send makes the request and judges the answer's content on the spot.
func (c *caller) send(a *ask) Result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(a.stream.Method)
	request.SetRequestURI("http://fleet" + a.path())
	request.Header.Set(standin.HeaderRun, a.run)
	if a.work > 0 {
		request.Header.Set(standin.HeaderWork, strconv.Itoa(a.work))
	}
	if a.deadly {
		request.Header.Set(standin.HeaderDeadly, "1")
	}
	if a.stream.BodyBytes > 0 {
		request.SetBodyRaw(bytes.Repeat([]byte("x"), a.stream.BodyBytes))
	}
	result := Result{
		Run: a.run, Stream: a.stream.Name, Prefix: a.prefix, Key: a.key,
		Repeatable: a.stream.Repeatable, Router: c.target.Name, Sent: clock.Now(),
	}
	err := c.client.DoTimeout(request, response, callTimeout)
	result.Done = clock.Now()
	c.judge(a, response, err, &result)
	return result
}

// SendDeadly sends a request of a stream under which the back end that runs it ends; all of a
// stream are the same request, but for their names.
func SendDeadly(target Target, stream *shape.Stream, run string) Result {
	asked := &ask{run: run, stream: stream, prefix: stream.Prefixes[0], deadly: true}
	if stream.Keys > 0 {
		asked.key = "deadly"
	}
	return newCaller(target).send(asked)
}

// judge fills in what became of the request.
func (c *caller) judge(a *ask, response *fasthttp.Response, err error, result *Result) {
	if err != nil {
		result.Error = err.Error()
		result.Outcome = outcomeOfError(err, response)
		return
	}
	header := &response.Header
	result.Status = response.StatusCode()
	result.Reason = string(header.Peek(wire.HeaderReason))
	result.RetryAfter = len(header.Peek(fasthttp.HeaderRetryAfter)) > 0
	result.Revision, _ = strconv.ParseUint(string(header.Peek(wire.HeaderRevision)), 10, 64)
	result.Outcome = Outcome(header.Peek(wire.HeaderOutcome))
	if c.target.Direct && result.Outcome == "" {
		result.Outcome = OutcomeOK
	}
	if result.Outcome != OutcomeOK {
		return
	}
	if result.Status != fasthttp.StatusOK {
		result.Outcome = OutcomeFailed
		return
	}
	if want := standin.Body(a.run, a.stream.Bytes); !bytes.Equal(response.Body(), want) {
		result.Outcome = OutcomeWrong
		result.Error = fmt.Sprintf("%d bytes, %d wanted, beginning %.60q", len(response.Body()), len(want), response.Body())
	}
}

// outcomeOfError tells a request of which nothing was sent from one that got no
// answer, and that from one whose answer broke off.
func outcomeOfError(err error, response *fasthttp.Response) Outcome {
	switch {
	case errors.Is(err, errDial):
		return OutcomeNotSent
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrConnectionClosed):
		return OutcomeNoAnswer
	case len(response.Header.Peek(wire.HeaderOutcome)) > 0:
		return OutcomeCut
	}
	return OutcomeNoAnswer
}
