// Package callerconn lets requests that a caller has pipelined on an HTTP/1.1 connection run side by side. It stands
// between the connections and the HTTP library's server, which handles the requests of a connection one after the
// other: a Conn reads ahead of the server, hands it one request at a time, and starts those early that may run ahead.
// The server still parses each request and writes the answers in order.
package callerconn

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// initialBuffer is the size in bytes of a connection's buffer until a longer head arrives.
	initialBuffer = 2 << 10
	// maxAhead bounds the requests of all connections that run ahead: their answers are held in memory until those
	// before them have been written.
	maxAhead = 256
	// lingerTime is how long a connection stays readable after an answer that closes it, when the caller has sent
	// further requests. A close with unread bytes would reset the connection before the caller has read the answer.
	lingerTime = 500 * time.Millisecond
)

// Options configures a Listener.
type Options struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int
	// MayRunAhead reports whether a request, which has no body, is safe and may run before the answers to the
	// requests before it are written.
	MayRunAhead func(header *fasthttp.RequestHeader) bool
	// Handler handles requests, those that run ahead in goroutines of their own.
	Handler fasthttp.RequestHandler
	Logger  fasthttp.Logger
}

// Listener wraps the connections that it accepts. The server that serves them has to have its Handle method as the
// handler and its ConnState method as the hook.
type Listener struct {
	net.Listener
	options  Options
	ahead    atomic.Int64
	started  atomic.Int64
	draining atomic.Bool
	// open counts the connections that are not closed or linger.
	open sync.WaitGroup
}

// New returns a listener for pipelined requests.
func New(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l, idle: true, buffer: make([]byte, 0, min(initialBuffer, l.options.MaxHeaderBytes))}
	c.changed.L = &c.mutex
	l.open.Add(1)
	go c.readAhead()
	return c, nil
}

// ConnState is the server's hook for changes of the state of a connection.
func (l *Listener) ConnState(changed net.Conn, state fasthttp.ConnState) {
	if c, ok := changed.(*Conn); ok {
		c.mutex.Lock()
		c.idle = state == fasthttp.StateNew || state == fasthttp.StateIdle
		c.mutex.Unlock()
	}
}

// Handle handles a request whose turn on its connection has come. One that was started ahead has its response already,
// or is waited for.
func (l *Listener) Handle(request *fasthttp.RequestCtx) {
	c, _ := request.Conn().(*Conn)
	if ahead := c.startedAhead(); ahead != nil {
		<-ahead.done
		moveResponse(&request.Response, &ahead.context.Response)
	} else {
		l.options.Handler(request)
	}
	// While draining, a connection is closed only behind the last answer of a request that has been started.
	if l.draining.Load() && !c.hasAhead() {
		request.SetConnectionClose()
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

// Drain stops starting requests ahead, and closes each connection behind the answers to those that were started.
func (l *Listener) Drain() { l.draining.Store(true) }

// Wait waits until all connections are closed. It may be called once the server has shut down; connections may then
// stay readable for a fraction of a second.
func (l *Listener) Wait() { l.open.Wait() }

// aheadRequest is a request that was started before the answers to those before it were written.
type aheadRequest struct {
	// context holds the response once done is closed.
	context *fasthttp.RequestCtx
	done    chan struct{}
}

// startedAhead returns the request that the server has begun to handle if it was started ahead, or nil.
func (c *Conn) startedAhead() *aheadRequest {
	if c == nil {
		return nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current == nil {
		return nil
	}
	return c.current.ahead
}

// hasAhead reports whether requests behind the current one were started ahead.
func (c *Conn) hasAhead() bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.queue.Ahead() > 0
}

// reserve reports whether a request may run ahead as far as the listener's limit goes; before is the number of
// requests before it.
func (l *Listener) reserve(before int) bool {
	return before == 0 || !l.draining.Load() && l.ahead.Load() < maxAhead
}

// start starts a request ahead.
func (l *Listener) start(c *Conn, raw []byte) *aheadRequest {
	l.ahead.Add(1)
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
