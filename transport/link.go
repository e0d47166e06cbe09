package transport

import (
	"context"
	"errors"
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
type Link struct {
	address string
	handler Handler
	options Options
	mutex   sync.Mutex
	conn    *Conn
}

// NewLink returns a link; Run dials it.
func NewLink(address string, handler Handler, options Options) *Link {
	return &Link{address: address, handler: handler, options: options}
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
		select {
		case <-conn.Done():
		case <-ctx.Done():
			conn.Close()
		}
		l.set(nil)
	}
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

// CallOrClose makes a call if the link is up. When nothing at all arrives on the
// connection meanwhile, it is closed and dialed again: what is cut off in silence would
// stay up for long, and there may be another way.
func (l *Link) CallOrClose(ctx context.Context, kind wire.Kind, request, reply any) error {
	conn := l.Conn()
	if conn == nil {
		return ErrClosed
	}
	_, before := conn.Bytes()
	err := conn.Call(ctx, kind, request, reply)
	if _, after := conn.Bytes(); after == before && errors.Is(err, context.DeadlineExceeded) {
		conn.Close()
	}
	return err
}

// Call makes a call if the link is up.
func (l *Link) Call(ctx context.Context, kind wire.Kind, request, reply any) error {
	conn := l.Conn()
	if conn == nil {
		return ErrClosed
	}
	return conn.Call(ctx, kind, request, reply)
}
