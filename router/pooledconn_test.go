package router

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/upstream"
)

// pooledConn calls a function when its deadline is cleared, as the connection returns to the pool.
type pooledConn struct {
	*net.TCPConn
	cleared func()
}

func (c *pooledConn) SetDeadline(at time.Time) error {
	if at.IsZero() {
		c.cleared()
	}
	return c.TCPConn.SetDeadline(at)
}

// Guards against a request that is lost because the caller of the request before it on a connection to a node goes
// away: the connection belongs to the next request as soon as it is in the pool.
func TestCallerThatGoesAwayLeavesPooledConnectionsOpen(t *testing.T) {
	for name, c := range map[string]struct {
		head   bool
		answer string
	}{
		"answer":                  {false, "HTTP/1.1 200 OK\r\nLimehold-Attempt: a-1\r\nLimehold-Outcome: ok\r\nContent-Length: 2\r\n\r\nok"},
		"answer without a body":   {true, "HTTP/1.1 200 OK\r\nLimehold-Attempt: a-1\r\nLimehold-Outcome: ok\r\nContent-Length: 2\r\n\r\n"},
		"the request did not run": {false, "HTTP/1.1 503 Service Unavailable\r\nLimehold-Attempt: a-1\r\nLimehold-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			conn, err := upstream.Dial(listener.Addr().String(), time.Minute)
			is.NoErr(err)
			defer conn.Close()
			node, err := listener.Accept()
			is.NoErr(err)
			defer node.Close()
			_, err = io.WriteString(node, c.answer)
			is.NoErr(err)

			r := &Router{upstreams: upstream.NewPool(time.Minute)}
			request := &proxiedRequest{tracker: upstream.NewTracker(), head: c.head}
			conn.Raw = &pooledConn{conn.Raw.(*net.TCPConn), request.tracker.Cancel}
			is.NoErr(conn.SetDeadline(clock.Now(), clock.Now()+time.Minute))
			r.receive(request, &attempt{conn: conn}, "a-1")
			is.Equal(r.upstreams.IdleCount(conn.Address), 1)
			pooled, err := r.upstreams.Get(conn.Address, time.Minute)
			is.NoErr(err)
			is.True(pooled == conn)
		})
	}
}
