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
	"limehold/upstream"
	"limehold/wire"
)

const (
	callTimeout = 12 * time.Second
	// idleTimeout is shorter than the drain notice of a stopping router, so that no
	// request is sent on a connection that the router is about to close.
	idleTimeout = 500 * time.Millisecond
)

// Target is a router, or a back end that is called directly for comparison.
type Target struct {
	Name string
	// Dial connects to the target. An error means that nothing was sent.
	Dial func() (net.Conn, error)
	// Direct marks a back end, whose answers lack the router's outcome header.
	Direct bool
}

// caller sends requests to one target.
type caller struct {
	target Target
	client *upstream.Client
}

// errDial marks a request that was not sent because no connection was made.
var errDial = errors.New("no connection")

func newCaller(target Target) *caller {
	dial := func(string, time.Duration) (net.Conn, error) {
		conn, err := target.Dial()
		if err != nil {
			return nil, errors.Join(errDial, err)
		}
		return conn, nil
	}
	return &caller{target: target, client: upstream.NewClient(idleTimeout, 0).WithDial(dial)}
}

// requestSpec describes one request to be sent.
type requestSpec struct {
	run    string
	stream *shape.Stream
	prefix string
	key    string
	work   int
	// crashing requests crash the back end that runs them.
	crashing bool
}

func (r *requestSpec) path() string {
	path := r.prefix
	if r.key != "" {
		path += "/" + r.key
	}
	if r.crashing {
		path += "/deadly"
	}
	return path + "/item?" + standin.QueryBytes + "=" + strconv.Itoa(r.stream.Bytes)
}

// send sends the request, classifies its outcome and verifies the answer's body.
func (c *caller) send(spec *requestSpec) Result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(spec.stream.Method)
	request.SetRequestURI("http://fleet" + spec.path())
	request.Header.Set(standin.HeaderRun, spec.run)
	if spec.work > 0 {
		request.Header.Set(standin.HeaderWork, strconv.Itoa(spec.work))
	}
	if spec.crashing {
		request.Header.Set(standin.HeaderCrash, "1")
	}
	if spec.stream.BodyBytes > 0 {
		request.SetBodyRaw(bytes.Repeat([]byte("x"), spec.stream.BodyBytes))
	}
	result := Result{
		Run: spec.run, Stream: spec.stream.Name, Prefix: spec.prefix, Key: spec.key,
		Repeatable: spec.stream.Repeatable, Router: c.target.Name, Sent: clock.Now(),
	}
	err := c.client.Do(c.target.Name, request, response, callTimeout)
	result.Done = clock.Now()
	c.classify(spec, response, err, &result)
	return result
}

// SendCrashing sends a request that crashes the back end that runs it. All crashing
// requests of a stream are identical but for their run names.
func SendCrashing(target Target, stream *shape.Stream, run string) Result {
	spec := &requestSpec{run: run, stream: stream, prefix: stream.Prefixes[0], crashing: true}
	if stream.Keys > 0 {
		spec.key = "deadly"
	}
	return newCaller(target).send(spec)
}

// classify fills in the outcome of the request and the fields of its answer.
func (c *caller) classify(spec *requestSpec, response *fasthttp.Response, err error, result *Result) {
	if err != nil {
		result.Error = err.Error()
		result.Outcome = classifyError(err, response)
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
	if want := standin.Body(spec.run, spec.stream.Bytes); !bytes.Equal(response.Body(), want) {
		result.Outcome = OutcomeWrong
		result.Error = fmt.Sprintf("%d bytes, %d wanted, beginning %.60q", len(response.Body()), len(want), response.Body())
	}
}

// classifyError distinguishes requests that were not sent, requests without an
// answer, and requests whose answer was cut after its header.
func classifyError(err error, response *fasthttp.Response) Outcome {
	switch {
	case errors.Is(err, errDial):
		return OutcomeNotSent
	case errors.Is(err, upstream.ErrTimeout):
		return OutcomeNoAnswer
	case len(response.Header.Peek(wire.HeaderOutcome)) > 0:
		return OutcomeCut
	}
	return OutcomeNoAnswer
}
