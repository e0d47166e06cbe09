package ingress

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/metrics"
	"limehold/settings"
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

// Guards against a request that is lost because the router of the request before it on the connection to the instance
// goes away: the connection belongs to the next request as soon as it is in the pool.
func TestRouterThatGoesAwayLeavesPooledConnectionsOpen(t *testing.T) {
	for name, c := range map[string]struct {
		head   bool
		answer string
	}{
		"answer":                  {false, "HTTP/1.1 200 OK\r\nRequest-Token: r-1\r\nContent-Length: 2\r\n\r\nok"},
		"answer without a body":   {true, "HTTP/1.1 200 OK\r\nRequest-Token: r-1\r\nContent-Length: 2\r\n\r\n"},
		"the request did not run": {false, "HTTP/1.1 421 Misdirected Request\r\nRequest-Token: r-1\r\nContent-Length: 2\r\n\r\nno"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			conn, err := upstream.Dial(listener.Addr().String(), time.Minute)
			is.NoErr(err)
			defer conn.Close()
			instance, err := listener.Accept()
			is.NoErr(err)
			defer instance.Close()
			_, err = io.WriteString(instance, c.answer)
			is.NoErr(err)

			config := settings.Default()
			options := Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()}
			i := &Ingress{options: options, logger: options.Logger, upstreams: upstream.NewPool(time.Minute), link: newLink(0)}
			i.instance = newInstance(options, newSlotGate(config.Ingress.QueueTime))
			names := config.Headers
			names.RequestID = "Request-Token"
			p := &proxyRequest{tracker: upstream.NewTracker(), requestID: "r-1", isHead: c.head, names: names}
			conn.Raw = &pooledConn{conn.Raw.(*net.TCPConn), p.tracker.Cancel}
			is.NoErr(conn.SetDeadline(clock.Now(), clock.Now()+time.Minute))
			i.receive(p, &exchange{conn: conn})
			is.Equal(i.upstreams.IdleCount(conn.Address), 1)
			pooled, err := i.upstreams.Get(conn.Address, time.Minute)
			is.NoErr(err)
			is.True(pooled == conn)
		})
	}
}
