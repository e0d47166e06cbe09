package transport

import (
	"context"
	"sync"
	"time"

	"limehold/wire"
)

const (
	redialMin = 20 * time.Millisecond
	redialMax = 500 * time.Millisecond
)

// Link is an outgoing connection that is dialed again when it breaks. Frames
// sent while it is down are dropped: protocols above resend what matters.
//
// A connection may also be half-open, after the other machine lost power or a device on the path lost its state:
// writes do not fail, but the data reaches no process. With Options.ProbeInterval set, the link detects this within
// four such intervals, whether or not the application sends anything.
type Link struct {
	address string
	handler Handler
	options Options
	// suspicions wakes Run when the connection may be half-open.
	suspicions chan suspicion
	mutex      sync.Mutex
	conn       *Conn
}

// suspicion identifies a connection that received nothing while a reply was due.
type suspicion struct {
	conn *Conn
	// received is the number of bytes that the connection had received by then.
	received uint64
}

// NewLink returns a link; Run dials it.
func NewLink(address string, handler Handler, options Options) *Link {
	return &Link{address: address, handler: handler, options: options, suspicions: make(chan suspicion, 1)}
}

// Run keeps the link up until ctx ends.
func (l *Link) Run(ctx context.Context) {
	pause := redialMin
	for ctx.Err() == nil {
		conn, err := Dial(ctx, l.address, l.handler, l.options)
		if err != nil {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
			pause = min(2*pause, redialMax)
			continue
		}
		pause = redialMin
		l.set(conn)
		l.supervise(ctx, conn)
		l.set(nil)
	}
}

// supervise replaces the connection whenever it is half-open, and returns once the link is down.
func (l *Link) supervise(ctx context.Context, conn *Conn) {
	var checks <-chan time.Time
	if l.options.ProbeInterval > 0 {
		ticker := time.NewTicker(l.options.ProbeInterval)
		defer ticker.Stop()
		checks = ticker.C
	}
	for {
		select {
		case <-checks:
			if conn.probeFailed() {
				conn = l.replace(ctx, suspicion{conn: conn, received: conn.liveness.received})
			}
		case <-conn.Done():
			return
		case <-ctx.Done():
			conn.Close()
			return
		case suspected := <-l.suspicions:
			if suspected.conn == conn {
				conn = l.replace(ctx, suspected)
			}
		}
	}
}

// replace dials a new connection in parallel to one that may be half-open, and returns the one to
// use: the old one if data has arrived on it meanwhile or dialing fails. On a saturated link,
// queued data would wait twice as long if the old connection were closed first.
func (l *Link) replace(ctx context.Context, suspected suspicion) *Conn {
	next, err := Dial(ctx, l.address, l.handler, l.options)
	if err != nil {
		return suspected.conn
	}
	if _, received := suspected.conn.Bytes(); received != suspected.received {
		next.Close()
		return suspected.conn
	}
	l.options.logSilence("connection_replaced", suspected.conn)
	l.set(next)
	suspected.conn.Close()
	return next
}

func (l *Link) set(conn *Conn) {
	l.mutex.Lock()
	l.conn = conn
	l.mutex.Unlock()
}

// Conn returns the connection, or nil while the link is down.
func (l *Link) Conn() *Conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.conn
}

// SendEncoded sends a one-way frame if the link is up.
func (l *Link) SendEncoded(kind wire.Kind, payload []byte) error {
	conn := l.Conn()
	if conn == nil {
		return ErrClosed
	}
	return conn.SendEncoded(kind, payload)
}

// CallWithProbe makes a call if the link is up. If no data arrives on the connection within
// silenceLimit, Run dials a new connection in parallel, which may take another path; a half-open
// connection could otherwise stay in use for long. The call itself continues until ctx ends.
func (l *Link) CallWithProbe(ctx context.Context, silenceLimit time.Duration, kind wire.Kind, request, reply any) error {
	conn := l.Conn()
	if conn == nil {
		return ErrClosed
	}
	_, before := conn.Bytes()
	timer := time.AfterFunc(silenceLimit, func() {
		if _, after := conn.Bytes(); after == before {
			l.suspect(conn, after)
		}
	})
	defer timer.Stop()
	return conn.Call(ctx, kind, request, reply)
}

// suspect requests that Run replace a connection that may be half-open. It never blocks.
func (l *Link) suspect(conn *Conn, received uint64) {
	select {
	case l.suspicions <- suspicion{conn: conn, received: received}:
	default:
	}
}

// Call makes a call if the link is up.
func (l *Link) Call(ctx context.Context, kind wire.Kind, request, reply any) error {
	conn := l.Conn()
	if conn == nil {
		return ErrClosed
	}
	return conn.Call(ctx, kind, request, reply)
}
