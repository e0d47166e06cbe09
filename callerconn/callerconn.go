// Package callerconn lets requests that a caller has pipelined on an HTTP/1.1 connection run side by side. It stands
// between the connections and the HTTP library's server, which handles the requests of a connection one after the
// other: a Conn reads ahead of the server, hands it one request at a time, and starts those early that may run ahead.
// The server still parses each request and writes the answers in order.
package callerconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/pipeline"
	"limehold/upstream"
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

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	listener *Listener

	mutex sync.Mutex
	// changed is signalled when the fields below change.
	changed sync.Cond
	queue   pipeline.Queue
	// idle is set while the server waits for a request.
	idle bool
	// buffer holds what was read and does not belong to a request in heads yet.
	buffer []byte
	// heads holds the requests that were read and not handed to the server, in order.
	heads []*head
	// current is the request that the server handles; nil if it was not read by readAhead.
	current *head
	// unread is the rest of the current request's head, which the server has not read, and bodyLeft the number of
	// bytes of its body that it has not read.
	unread   []byte
	bodyLeft int64
	// direct is set while the server reads the connection by itself, until it waits for a request the next time:
	// for bodies of unknown length and for heads that arrive in parts or are malformed.
	direct bool
	// handover is set if such a head is next in the buffer.
	handover bool
	// waiting is set while the server waits for a request in Read, until deadline.
	waiting  bool
	deadline time.Time
	timedOut bool
	// reading is set while readAhead reads from the connection.
	reading bool
	// err is the error that ended reading.
	err    error
	closed bool
	// parsed is used by readAhead.
	parsed fasthttp.RequestHeader
}

// head is the head of a request, with the number of bytes of the body behind it.
type head struct {
	raw []byte
	// arrived is when the head was complete, by clock.Now; 0 if no request was before it.
	arrived time.Duration
	body    int64
	// unframed is set if the length of the body is not known.
	unframed bool
	// ahead is set if the request was started ahead, forgotten once it no longer counts as such.
	ahead     *aheadRequest
	forgotten bool
}

// aheadRequest is a request that was started before the answers to those before it were written.
type aheadRequest struct {
	// context holds the response once done is closed.
	context *fasthttp.RequestCtx
	done    chan struct{}
}

// errUnexpectedRead is returned if the server reads beyond the end of a request.
var errUnexpectedRead = errors.New("read beyond the end of the request")

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

// Disconnected reports whether the caller has closed the connection, or this process has.
func (c *Conn) Disconnected() bool {
	c.mutex.Lock()
	ended := c.closed || c.err != nil
	c.mutex.Unlock()
	return ended || upstream.Peek(c.Conn) == upstream.PeekClosed
}

// SyscallConn implements syscall.Conn, for connections that have a descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetReadDeadline implements net.Conn. The deadline applies to the server's reads only.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = at
	if c.reading {
		return nil // readAhead has none while the server does not wait
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// Read implements net.Conn for the server. It returns bytes of one request at a time.
func (c *Conn) Read(data []byte) (int, error) {
	c.mutex.Lock()
	for {
		switch {
		case c.closed:
			c.mutex.Unlock()
			return 0, net.ErrClosed
		case len(c.unread) > 0:
			count := copy(data, c.unread)
			c.unread = c.unread[count:]
			c.mutex.Unlock()
			return count, nil
		case c.bodyLeft > 0:
			return c.readBody(data[:min(int64(len(data)), c.bodyLeft)])
		case c.direct && !c.idle:
			return c.readDirect(data)
		case !c.idle:
			c.mutex.Unlock()
			return 0, errUnexpectedRead
		}
		if err := c.awaitHead(); err != nil {
			c.mutex.Unlock()
			return 0, err
		}
	}
}

// readBody reads a part of the current request's body. It is called with the mutex and releases it.
func (c *Conn) readBody(data []byte) (int, error) {
	count, err := c.readDirect(data)
	c.mutex.Lock()
	c.bodyLeft -= int64(count)
	if c.bodyLeft == 0 {
		c.changed.Broadcast()
	}
	c.mutex.Unlock()
	return count, err
}

// readDirect reads from the buffer or else from the connection, under the server's deadline. It is called with the
// mutex and releases it.
func (c *Conn) readDirect(data []byte) (int, error) {
	if len(c.buffer) > 0 {
		count := copy(data, c.buffer)
		c.buffer = append(c.buffer[:0], c.buffer[count:]...)
		c.mutex.Unlock()
		return count, nil
	}
	c.mutex.Unlock()
	count, err := c.Conn.Read(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.fail(err)
	}
	return count, err
}

// awaitHead waits for the next request and makes it the current one. The mutex is held. The server has read the
// previous request to its end and has written its answer.
func (c *Conn) awaitHead() error {
	if c.current != nil {
		c.queue.Answered()
		c.forget(c.current)
		c.current = nil
	}
	c.direct = false
	c.changed.Broadcast()
	for {
		switch {
		case c.closed:
			return net.ErrClosed
		case len(c.heads) > 0:
			c.begin(c.heads[0])
			c.heads = append(c.heads[:0], c.heads[1:]...)
			return nil
		case c.handover:
			c.handover, c.direct, c.idle = false, true, false
			return c.Conn.SetReadDeadline(c.deadline)
		case c.err != nil:
			return c.err
		case c.timedOut:
			c.timedOut = false
			return os.ErrDeadlineExceeded
		}
		if err := c.armRead(); err != nil {
			return err
		}
		c.waiting = true
		c.changed.Wait()
		c.waiting = false
	}
}

// armRead sets the deadline of a read that is under way when the server begins to wait. The mutex is held.
func (c *Conn) armRead() error {
	if !c.reading {
		return nil
	}
	if len(c.buffer) > 0 {
		// readAhead hands an incomplete head over at once.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// begin hands a request to the server. The mutex is held.
func (c *Conn) begin(next *head) {
	c.current = next
	c.unread, c.bodyLeft, c.direct = next.raw, next.body, next.unframed
	deadline := c.deadline
	if c.reading {
		deadline = time.Time{}
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil && c.err == nil {
		c.err = err
	}
}

// forget releases the place of a request that ran ahead. The mutex is held.
func (c *Conn) forget(answered *head) {
	if answered.ahead != nil && !answered.forgotten {
		answered.forgotten = true
		c.listener.ahead.Add(-1)
	}
}

// fail records the error that ended reading.
func (c *Conn) fail(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.changed.Broadcast()
}

// mayReadAhead reports whether readAhead may read from the connection. The mutex is held.
func (c *Conn) mayReadAhead() bool {
	return !c.direct && !c.handover && !c.timedOut && c.bodyLeft == 0 && c.queue.MayRead()
}

// readAhead reads requests until the connection ends.
func (c *Conn) readAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		for !c.mayReadAhead() && !c.closed && c.err == nil {
			c.changed.Wait()
		}
		if c.closed || c.err != nil {
			return
		}
		next, err := c.cutHead()
		switch {
		case next != nil:
			c.add(next)
		case err != nil, c.waiting && len(c.buffer) > 0, len(c.buffer) >= c.listener.options.MaxHeaderBytes:
			c.handover = true
			c.changed.Broadcast()
		default:
			c.fill()
		}
	}
}

// fill reads from the connection into the buffer. The mutex is held, but not while it reads.
func (c *Conn) fill() {
	var deadline time.Time
	if c.waiting {
		deadline = c.deadline
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		c.err = err
		c.changed.Broadcast()
		return
	}
	if len(c.buffer) == cap(c.buffer) {
		grown := make([]byte, len(c.buffer), min(2*cap(c.buffer), c.listener.options.MaxHeaderBytes))
		copy(grown, c.buffer)
		c.buffer = grown
	}
	into := c.buffer[len(c.buffer):cap(c.buffer)]
	c.reading = true
	c.mutex.Unlock()
	count, err := c.Conn.Read(into)
	c.mutex.Lock()
	c.reading = false
	c.buffer = c.buffer[:len(c.buffer)+count]
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.err = err
	case c.waiting && !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		c.timedOut = true
	}
	c.changed.Broadcast()
}

// headEnds are the ends of a head that the HTTP library accepts.
var headEnds = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// cutHead removes the first complete head from the buffer and returns it, or nil if there is none yet. It returns an
// error if the head is malformed. The mutex is held.
func (c *Conn) cutHead() (*head, error) {
	complete := false
	for _, end := range headEnds {
		complete = complete || bytes.Contains(c.buffer, end)
	}
	if !complete {
		return nil, nil
	}
	length, err := parseHead(&c.parsed, c.buffer)
	if err != nil {
		return nil, err
	}
	next := &head{raw: bytes.Clone(c.buffer[:length])}
	if c.queue.Unanswered() > 0 {
		next.arrived = clock.Now()
	}
	next.body, next.unframed = int64(max(0, c.parsed.ContentLength())), c.parsed.ContentLength() == chunked
	c.buffer = append(c.buffer[:0], c.buffer[length:]...)
	safe := next.body == 0 && !next.unframed && c.listener.options.MayRunAhead(&c.parsed)
	if c.queue.Add(safe && c.listener.reserve(c.queue.Unanswered())) {
		next.ahead = c.listener.start(c, next.raw)
	}
	return next, nil
}

// chunked is the content length that the HTTP library reports for bodies in chunks.
const chunked = -1

// add appends a request to those that the server has not read. The mutex is held.
func (c *Conn) add(next *head) {
	c.heads = append(c.heads, next)
	c.changed.Broadcast()
}

// parseHead parses the head at the beginning of data and returns its length.
func parseHead(header *fasthttp.RequestHeader, data []byte) (int, error) {
	source := bytes.NewReader(data)
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	if reader.Size() < len(data) {
		reader = bufio.NewReaderSize(source, len(data))
	}
	reader.Reset(source)
	if err := header.Read(reader); err != nil {
		return 0, err
	}
	return len(data) - reader.Buffered() - source.Len(), nil
}

// readers holds buffers for parsing heads.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, initialBuffer) }}

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

// Close implements net.Conn. Requests that run ahead are abandoned.
func (c *Conn) Close() error {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return net.ErrClosed
	}
	c.closed = true
	pending := len(c.heads) > 0 || len(c.buffer) > 0
	if c.current != nil {
		c.forget(c.current)
	}
	for _, abandoned := range c.heads {
		c.forget(abandoned)
		if abandoned.ahead != nil {
			go abandoned.ahead.discard()
		}
	}
	c.heads = nil
	c.queue.Close()
	ended := c.err != nil
	c.changed.Broadcast()
	c.mutex.Unlock()
	if !ended && (pending || upstream.Peek(c.Conn) == upstream.PeekData) {
		if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			go c.linger(half)
			return nil
		}
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	defer c.listener.open.Done()
	return c.Conn.Close()
}

// linger closes the connection once the caller has closed it, or after lingerTime.
func (c *Conn) linger(half interface{ CloseWrite() error }) {
	defer c.closeNow()
	if err := half.CloseWrite(); err != nil {
		return
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // ends by the deadline or by the caller's close
}

// discard waits for an abandoned request and releases its response.
func (a *aheadRequest) discard() {
	<-a.done
	_ = a.context.Response.CloseBodyStream()
}
