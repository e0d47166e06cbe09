// Package transport carries frames between limehold's own processes over TCP, or
// TLS if configured. A frame is: length uint32, kind uint8, call uint64 (0 for
// one-way frames), payload. The first frame in each direction is a Hello; a peer
// of another protocol version or cluster is rejected.
package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"limehold/codec"
	"limehold/logging"
	"limehold/wire"
)

const (
	frameHeader = 4 + 1 + 8
	// MaxFrame bounds a frame's payload in bytes; snapshots are the largest.
	MaxFrame     = 256 << 20
	queueLength  = 256
	bufferSize   = 8 << 10
	helloTimeout = 3 * time.Second
	writeTimeout = 5 * time.Second
	keepAlive    = 5 * time.Second
)

// Errors of a connection.
var (
	ErrClosed    = errors.New("the connection is closed")
	ErrQueueFull = errors.New("the peer reads too slowly: the send queue is full")
)

// Handler handles the frames that a peer sends. For a call it returns the reply; for a one-way
// frame the return values are ignored.
type Handler interface {
	// Inline reports whether frames of the kind are handled on the reading
	// goroutine, in order. Such handlers must not block.
	Inline(kind wire.Kind) bool
	Handle(ctx context.Context, conn *Conn, kind wire.Kind, payload []byte) (any, error)
}

// Conn is one connection. Callers receive it only after the hellos have been exchanged.
type Conn struct {
	// Local and Peer are the two sides' hellos.
	Local  wire.Hello
	logger *zap.Logger
	Peer   wire.Hello

	raw      net.Conn
	reader   *bufio.Reader
	queue    chan frame
	ctx      context.Context
	cancel   context.CancelFunc
	handler  Handler
	handlers sync.WaitGroup
	nextCall atomic.Uint64
	mutex    sync.Mutex
	calls    map[uint64]chan frame
	sent     atomic.Uint64
	received atomic.Uint64
	// start is when the connection was created. lastRead is the time in nanoseconds from start until
	// data last arrived, or 0 if none has.
	start    time.Time
	lastRead atomic.Int64
	liveness liveness
}

func newConn(raw net.Conn, options *Options, handler Handler) *Conn {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlivePeriod(keepAlive)
	}
	ctx, cancel := context.WithCancel(context.Background())
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Conn{
		Local: options.Local, logger: logger, raw: raw, reader: bufio.NewReaderSize(raw, bufferSize),
		queue: make(chan frame, queueLength), ctx: ctx, cancel: cancel,
		handler: handler, calls: map[uint64]chan frame{}, start: time.Now(),
	}
}

// exchangeHellos sends this side's hello, reads that of the peer into Peer and checks it. The dialing
// side sends first.
func (c *Conn) exchangeHellos(dialed bool) error {
	deadline := time.Now().Add(helloTimeout)
	if err := c.raw.SetDeadline(deadline); err != nil {
		return eris.Wrap(err, "set hello deadline")
	}
	if dialed {
		if err := c.writeHello(); err != nil {
			return err
		}
	}
	first, err := c.readFrame()
	if err != nil {
		return eris.Wrapf(err, "read hello from %s", c.raw.RemoteAddr())
	}
	if first.kind != wire.KindHello {
		return eris.Errorf("expected a hello from %s, received frame kind %d", c.raw.RemoteAddr(), first.kind)
	}
	if err := codec.Unmarshal(first.payload, &c.Peer); err != nil {
		return eris.Wrapf(err, "hello from %s", c.raw.RemoteAddr())
	}
	if !dialed {
		if err := c.writeHello(); err != nil {
			return err
		}
	}
	if err := c.checkPeer(); err != nil {
		return err
	}
	return eris.Wrap(c.raw.SetDeadline(time.Time{}), "clear hello deadline")
}

func (c *Conn) writeHello() error {
	payload, err := codec.Marshal(&c.Local)
	if err != nil {
		return err
	}
	var header [frameHeader]byte
	putHeader(header[:], frame{kind: wire.KindHello, payload: payload})
	_, err = c.raw.Write(append(header[:], payload...))
	return eris.Wrapf(err, "write hello to %s", c.raw.RemoteAddr())
}

func (c *Conn) checkPeer() error {
	if c.Peer.Version != wire.ProtocolVersion {
		return eris.Errorf("peer %s (%s) speaks protocol version %d, this process speaks %d", c.Peer.Name, c.raw.RemoteAddr(), c.Peer.Version, wire.ProtocolVersion)
	}
	if c.Peer.Cluster != c.Local.Cluster {
		return eris.Errorf("peer %s (%s) belongs to cluster %q, this process to %q", c.Peer.Name, c.raw.RemoteAddr(), c.Peer.Cluster, c.Local.Cluster)
	}
	return checkCertificate(c.raw, c.Peer)
}

// checkCertificate requires that a TLS peer's certificate carries the name and
// role that its hello claims: common name "role:name".
func checkCertificate(raw net.Conn, peer wire.Hello) error {
	tlsConn, ok := raw.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return eris.Errorf("peer %s presented no certificate", peer.Name)
	}
	claimed := string(peer.Role) + ":" + peer.Name
	if certified := certificates[0].Subject.CommonName; certified != claimed {
		return eris.Errorf("peer claims to be %q but its certificate is for %q", claimed, certified)
	}
	return nil
}

// run serves the connection until it fails or is closed, and waits for its handlers.
func (c *Conn) run() {
	defer c.handlers.Wait()
	go c.writeLoop()
	c.readLoop()
	c.Close()
}

func (c *Conn) readLoop() {
	for {
		received, err := c.readFrame()
		if err != nil {
			return
		}
		c.received.Add(uint64(frameHeader + len(received.payload)))
		c.lastRead.Store(int64(time.Since(c.start)))
		switch {
		case received.kind == wire.KindReply || received.kind == wire.KindErrorReply:
			c.deliver(received)
		case received.kind == wire.KindPing:
			// If the queue is full, the frames in it serve as well as an answer.
			_ = c.enqueue(frame{kind: wire.KindPong})
		case received.kind == wire.KindPong:
		case c.handler == nil:
		case c.handler.Inline(received.kind):
			c.handleAndReply(received)
		default:
			c.handlers.Go(func() { c.handleAndReply(received) })
		}
	}
}

// handle calls the handler. If the handler panics, the request fails with an error and the process
// continues: otherwise one message could crash every process to which it is sent.
func (c *Conn) handle(request frame) (reply any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(c.logger, "handle message kind "+strconv.Itoa(int(request.kind)), c.Peer.Name, cause)
			err = eris.Errorf("the handler of messages of kind %d failed", request.kind)
		}
	}()
	return c.handler.Handle(c.ctx, c, request.kind, request.payload)
}

func (c *Conn) handleAndReply(request frame) {
	reply, err := c.handle(request)
	if request.call == 0 {
		return
	}
	answer := frame{kind: wire.KindReply, call: request.call}
	if err != nil {
		answer.kind = wire.KindErrorReply
		reply = c.wireError(err)
	}
	if answer.payload, err = codec.Marshal(reply); err != nil {
		answer.kind = wire.KindErrorReply
		answer.payload = codec.MustMarshal(c.wireError(err))
	}
	_ = c.enqueue(answer)
}

func (c *Conn) wireError(err error) *wire.Error {
	var typed *wire.Error
	if errors.As(err, &typed) {
		return typed
	}
	return &wire.Error{Code: wire.CodeInternal, Message: err.Error(), Step: "handle request", Peer: c.Local.Name}
}

func (c *Conn) deliver(reply frame) {
	c.mutex.Lock()
	waiter := c.calls[reply.call]
	delete(c.calls, reply.call)
	c.mutex.Unlock()
	if waiter != nil {
		waiter <- reply
	}
}

func (c *Conn) writeLoop() {
	writer := bufio.NewWriterSize(c.raw, bufferSize)
	for {
		select {
		case <-c.ctx.Done():
			return
		case next := <-c.queue:
			if err := c.writeBatch(writer, next); err != nil {
				c.Close()
				return
			}
		}
	}
}

// writeBatch writes a frame and all frames queued behind it, then flushes.
func (c *Conn) writeBatch(writer *bufio.Writer, next frame) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		var header [frameHeader]byte
		putHeader(header[:], next)
		if _, err := writer.Write(header[:]); err != nil {
			return err
		}
		if _, err := writer.Write(next.payload); err != nil {
			return err
		}
		c.sent.Add(uint64(frameHeader + len(next.payload)))
		select {
		case next = <-c.queue:
		default:
			return writer.Flush()
		}
	}
}

func (c *Conn) enqueue(f frame) error {
	select {
	case <-c.ctx.Done():
		return ErrClosed
	default:
	}
	select {
	case c.queue <- f:
		return nil
	default:
		return ErrQueueFull
	}
}

// Send queues a one-way frame. It never blocks; with ErrQueueFull the frame is dropped.
func (c *Conn) Send(kind wire.Kind, message any) error {
	payload, err := codec.Marshal(message)
	if err != nil {
		return err
	}
	return c.SendEncoded(kind, payload)
}

// SendEncoded is like Send for a payload that is already encoded.
func (c *Conn) SendEncoded(kind wire.Kind, payload []byte) error {
	return c.enqueue(frame{kind: kind, payload: payload})
}

// Call sends a request and decodes the reply into reply, a pointer. An error
// reported by the peer is a *wire.Error; after any other error the peer may or may
// not have carried out the request.
func (c *Conn) Call(ctx context.Context, kind wire.Kind, request, reply any) error {
	payload, err := codec.Marshal(request)
	if err != nil {
		return err
	}
	call := c.nextCall.Add(1)
	waiter := make(chan frame, 1)
	c.mutex.Lock()
	c.calls[call] = waiter
	c.mutex.Unlock()
	defer c.removeCall(call)
	if err := c.enqueue(frame{kind: kind, call: call, payload: payload}); err != nil {
		return eris.Wrapf(err, "send request kind %d to %s", kind, c.Peer.Name)
	}
	select {
	case answer := <-waiter:
		return decodeReply(answer, reply)
	case <-c.ctx.Done():
		return eris.Wrapf(ErrClosed, "wait for reply of %s to request kind %d", c.Peer.Name, kind)
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "wait for reply of %s to request kind %d", c.Peer.Name, kind)
	}
}

func decodeReply(answer frame, reply any) error {
	if answer.kind == wire.KindErrorReply {
		failure := &wire.Error{}
		if err := codec.Unmarshal(answer.payload, failure); err != nil {
			return err
		}
		return failure
	}
	if reply == nil {
		return nil
	}
	return codec.Unmarshal(answer.payload, reply)
}

func (c *Conn) removeCall(call uint64) {
	c.mutex.Lock()
	delete(c.calls, call)
	c.mutex.Unlock()
}

// Close closes the connection; pending calls fail with ErrClosed.
func (c *Conn) Close() {
	c.cancel()
	c.raw.Close()
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// RemoteAddr returns the peer's network address.
func (c *Conn) RemoteAddr() string { return c.raw.RemoteAddr().String() }

// Silence returns the time since data last arrived, or since the connection was created if none has.
func (c *Conn) Silence() time.Duration { return time.Since(c.start) - time.Duration(c.lastRead.Load()) }

// Bytes returns the payload and header bytes sent and received so far.
func (c *Conn) Bytes() (sent, received uint64) { return c.sent.Load(), c.received.Load() }
