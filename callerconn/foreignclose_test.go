package callerconn

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against the answer to a request that ran ahead which arrives as the answer to the request before it: a shutdown
// closes a connection whose first request the server has begun to read, and never handles.
func TestCloseBeforeTheFirstRequestRunsKeepsTheOrder(t *testing.T) {
	for name, states := range map[string][]fasthttp.ConnState{
		"first byte not reported": {fasthttp.StateNew},
		"first byte reported":     {fasthttp.StateNew, fasthttp.StateActive},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = inner.Close() })
			s := &testServer{address: inner.Addr().String(), gates: map[string]chan struct{}{}, runs: map[string]int{}}
			s.listener = New(inner, Options{
				MaxHeaderBytes: 4 << 10, Notice: []byte(testNotice), WriteTimeout: 5 * time.Second, Handler: s.handle, Logger: discardLogger{},
				MayRunAhead: func(header *fasthttp.RequestHeader) bool { return header.IsGet() },
			})
			caller := s.connect(t)
			accepted, err := s.listener.Accept()
			is.NoErr(err)
			caller.send(t, get("/safe/1"), get("/safe/2"))
			s.listener.ConnState(accepted, states[0])
			_, err = accepted.Read(make([]byte, 4<<10))
			is.NoErr(err)
			await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 && s.running.Load() == 0 })
			for _, state := range states[1:] {
				s.listener.ConnState(accepted, state)
			}
			is.NoErr(accepted.Close()) // as the shutdown does
			_, err = accepted.Write([]byte("between the answers"))
			is.True(errors.Is(err, net.ErrClosed))
			bodies, _, _ := caller.rest()
			is.Equal(bodies, []string{"/safe/1", "/safe/2"})
			s.listener.Wait()
			is.Equal(s.listener.Ahead(), 0)
		})
	}
}
