package upstream

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/clock"
)

// Client makes calls over pooled connections. It never repeats a call by itself.
type Client struct {
	pool    *Pool
	maxBody int
	// sweptAt is when the pool was swept last, by clock.Now.
	sweptAt atomic.Int64
}

// ErrTimeout is returned for a call that has no complete response within its timeout.
var ErrTimeout = errors.New("the call timed out")

// NewClient returns a client that keeps connections idle for up to idleTimeout, and reads response bodies of up to maxBody
// bytes, or of any size if that is 0.
func NewClient(idleTimeout time.Duration, maxBody int) *Client {
	return &Client{pool: NewPool(idleTimeout), maxBody: maxBody}
}

// WithDial returns a client that connects by a function, without connections so far.
func (c *Client) WithDial(dial func(address string, timeout time.Duration) (net.Conn, error)) *Client {
	changed := NewClient(c.pool.idleTimeout, c.maxBody)
	changed.pool.dial = dial
	return changed
}

// Do makes a call and reads the whole response. An error says nothing about whether the call was carried out.
func (c *Client) Do(address string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	c.sweep()
	ctx, cancel := clock.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := c.pool.Get(address, timeout)
	if err != nil {
		return err
	}
	isReusable, err := conn.call(ctx, request, response, c.maxBody)
	if isReusable {
		c.pool.Put(conn)
	} else {
		conn.Close()
	}
	if err != nil && ctx.Err() != nil {
		return ErrTimeout
	}
	return err
}

// sweep closes connections that have been idle for too long, once in SweepInterval.
func (c *Client) sweep() {
	now, swept := clock.Now(), c.sweptAt.Load()
	if now-time.Duration(swept) >= SweepInterval && c.sweptAt.CompareAndSwap(swept, int64(now)) {
		c.pool.Sweep()
	}
}
