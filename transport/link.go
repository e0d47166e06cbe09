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
// sent while it is down are dropped: protocols above repeat what matters.
//
// A connection may also end without a word, when the other machine has lost its power or the way between
// has been forgotten: nothing fails, and what is sent on it reaches nobody. With Options.ProveEvery that is
// found within four times as long, whether anything is sent or not.
type Link struct {
	address string
	handler Handler
	options Options
	// doubted wakes Run when the connection may have gone silent.
	doubted chan doubt
	mutex   sync.Mutex
	conn    *Conn
}

// doubt is that a connection has been silent while an answer was due.
type doubt struct {
	conn *Conn
	// received is how many bytes had come on it then.
	received uint64
}

// NewLink returns a link; Run dials it.
func NewLink(address string, handler Handler, options Options) *Link {
	return &Link{address: address, handler: handler, options: options, doubted: make(chan doubt, 1)}
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
		l.keep(ctx, conn)
		l.set(nil)
	}
}

// keep returns once the link is down.
func (l *Link) keep(ctx context.Context, conn *Conn) {
	var looks <-chan time.Time
	if l.options.ProveEvery > 0 {
		ticker := time.NewTicker(l.options.ProveEvery)
		defer ticker.Stop()
		looks = ticker.C
	}
	for {
		select {
		case <-looks:
			if conn.missing() {
				conn = l.replaced(ctx, doubt{conn: conn, received: conn.life.received})
			}
		case <-conn.Done():
			return
		case <-ctx.Done():
			conn.Close()
			return
		case doubted := <-l.doubted:
			if doubted.conn == conn {
				conn = l.replaced(ctx, doubted)
			}
		}
	}
}

// replaced dials anew beside a connection that may have gone silent, and returns the one
// that is to be used: the old one if something has come on it meanwhile. Words that wait
// for a full link would wait twice as long on a connection that has yet to be opened.
func (l *Link) replaced(ctx context.Context, doubted doubt) *Conn {
	next, err := Dial(ctx, l.address, l.handler, l.options)
	if err != nil {
		return doubted.conn
	}
	if _, received := doubted.conn.Bytes(); received != doubted.received {
		next.Close()
		return doubted.conn
	}
	l.options.told("connection_replaced", doubted.conn)
	l.set(next)
	doubted.conn.Close()
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

// CallOrDoubt makes a call if the link is up. When nothing at all arrives on the
// connection within the patience, it is dialed anew beside: what is cut off in silence
// would stay up for long, and there may be another way. The call itself goes on until ctx
// ends.
func (l *Link) CallOrDoubt(ctx context.Context, patience time.Duration, kind wire.Kind, request, reply any) error {
	conn := l.Conn()
	if conn == nil {
		return ErrClosed
	}
	_, before := conn.Bytes()
	timer := time.AfterFunc(patience, func() {
		if _, after := conn.Bytes(); after == before {
			l.doubt(conn, after)
		}
	})
	defer timer.Stop()
	return conn.Call(ctx, kind, request, reply)
}

// doubt has Run look for another connection. It never blocks.
func (l *Link) doubt(conn *Conn, received uint64) {
	select {
	case l.doubted <- doubt{conn: conn, received: received}:
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
