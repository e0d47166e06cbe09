// Package callerconn lets requests that a caller has pipelined on an HTTP/1.1 connection run side by side. It stands
// between the connections and the HTTP library's server, which handles the requests of a connection one after the
// other: a Conn reads ahead of the server, hands it one request at a time, and starts those early that may run ahead.
// The server still parses each request and writes the answers in order.
package callerconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/goaway"
)

const (
	// initialBuffer is the size in bytes of a connection's buffer until a longer head arrives.
	initialBuffer = 2 << 10
	// maxAhead bounds the requests of all connections that run ahead: their answers are held in memory until those
	// before them have been written.
	maxAhead = 256
	// lingerTime is how long a connection stays readable after its last answer, for a caller that still sends a body.
	lingerTime = 500 * time.Millisecond
)

// Options configures a Listener.
type Options struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// MayRunAhead reports whether a request, which has no body, is safe and may run before the answers to the
	// requests before it are written.
	MayRunAhead func(header *fasthttp.RequestHeader) bool
	// Handler handles requests, those that run ahead in goroutines of their own. It can't hijack connections: one that
	// it hijacks is closed behind the answer.
	Handler fasthttp.RequestHandler
	// Notice is a complete response. It is written to a connection that is closed between two requests, and is the
	// answer to a request that crosses the close and does not run.
	Notice []byte
	// WriteTimeout bounds the writing of an answer to a request that ran ahead, when its connection is closed.
	WriteTimeout time.Duration
	Logger       fasthttp.Logger
}

// Listener wraps the connections that it accepts. The server that serves them has to have its Handle method as the
// handler and its ConnState method as the hook.
type Listener struct {
	net.Listener
	options  Options
	ahead    atomic.Int64
	started  atomic.Int64
	notices  atomic.Int64
	draining atomic.Bool
	stopping atomic.Bool
	// open counts the connections that are not closed.
	open  sync.WaitGroup
	mutex sync.Mutex
	conns map[*Conn]struct{}
}

// New returns a listener for pipelined requests.
func New(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options, conns: map[*Conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l, idle: true, buffer: make([]byte, 0, min(initialBuffer, l.options.MaxHeaderBytes))}
	c.changed.L, c.ReportsStart = &c.mutex, true
	l.open.Add(1)
	l.mutex.Lock()
	l.conns[c] = struct{}{}
	l.mutex.Unlock()
	go c.readAhead()
	return c, nil
}

// Handle handles a request whose turn on its connection has come. One that was started ahead has its response already,
// or is waited for.
func (l *Listener) Handle(request *fasthttp.RequestCtx) {
	c, _ := request.Conn().(*Conn)
	if ahead := c.startHandling(); ahead != nil {
		<-ahead.done
		moveResponse(&request.Response, &ahead.context.Response)
	} else {
		l.options.Handler(request)
	}
	if request.Hijacked() {
		request.Hijack(nil)
		request.SetConnectionClose()
	}
	if c != nil {
		c.settleClose(&request.Response)
	}
}

// moveResponse moves the response of a request that ran ahead to the request that the server answers.
func moveResponse(to, from *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.SkipBody = from.SkipBody
	if from.IsBodyStream() {
		to.SetBodyStream(from.BodyStream(), from.Header.ContentLength())
		return
	}
	to.SetBodyRaw(from.Body())
}

// ArrivedAt returns when a request arrived, by clock.Now, if it had to wait for others on its connection; otherwise 0.
func ArrivedAt(request *fasthttp.RequestCtx) time.Duration {
	c, ok := request.Conn().(*Conn)
	if !ok {
		return 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current == nil || c.current.ahead != nil {
		return 0
	}
	return c.current.arrived
}

// Ahead returns the number of requests that run ahead, or have run and wait for the answers before theirs.
func (l *Listener) Ahead() int { return int(l.ahead.Load()) }

// Started returns how many requests have been started ahead.
func (l *Listener) Started() int64 { return l.started.Load() }

// Notices returns how many connections were closed with the notice.
func (l *Listener) Notices() int64 { return l.notices.Load() }

// Drain stops starting requests ahead, and closes each connection behind the answers to those that were started.
func (l *Listener) Drain() { l.draining.Store(true) }

// Wait waits until all connections are closed, which includes the answers to requests that were started ahead. The server
// has to be shut down first.
func (l *Listener) Wait() { l.open.Wait() }

// WaitContext is Wait for as long as the context lasts. It returns the context's error if connections are still open.
func (l *Listener) WaitContext(ctx context.Context) error { return goaway.Wait(ctx, &l.open) }

// aheadRequest is a request that was started before the answers to those before it were written.
type aheadRequest struct {
	// context holds the response once done is closed.
	context *fasthttp.RequestCtx
	done    chan struct{}
}

// startHandling records that the server handles a request, and returns the request if it was started ahead.
func (c *Conn) startHandling() *aheadRequest {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.Started()
	if c.current == nil {
		return nil
	}
	return c.current.ahead
}

// reserve counts one more request that runs ahead, and reports whether the listener's limit allows it.
func (l *Listener) reserve() bool {
	if l.ahead.Add(1) <= maxAhead && !l.draining.Load() {
		return true
	}
	l.ahead.Add(-1)
	return false
}

// start starts a request ahead, which counts as such already.
func (l *Listener) start(c *Conn, raw []byte) *aheadRequest {
	l.started.Add(1)
	started := &aheadRequest{context: &fasthttp.RequestCtx{}, done: make(chan struct{})}
	started.context.Init2(c, l.options.Logger, false)
	go func() {
		defer close(started.done)
		if _, err := parseHead(&started.context.Request.Header, raw); err != nil {
			// The same bytes have been parsed before.
			started.context.Error("the request cannot be parsed twice\n", fasthttp.StatusBadRequest)
			return
		}
		l.options.Handler(started.context)
	}()
	return started
}

// discard waits for an abandoned request and releases its response.
func (a *aheadRequest) discard() {
	<-a.done
	_ = a.context.Response.CloseBodyStream()
}
