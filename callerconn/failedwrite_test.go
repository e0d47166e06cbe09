package callerconn

import (
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// failingWrites accepts connections whose next write fails while failing is set, behind a share of its data.
type failingWrites struct {
	net.Listener
	failing *atomic.Bool
	share   float64
}

// Accept implements net.Listener.
func (l failingWrites) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &failingConn{accepted.(*net.TCPConn), l}, nil
}

type failingConn struct {
	*net.TCPConn
	listener failingWrites
}

// Write implements net.Conn.
func (c *failingConn) Write(data []byte) (int, error) {
	if !c.listener.failing.CompareAndSwap(true, false) {
		return c.TCPConn.Write(data)
	}
	count, err := c.TCPConn.Write(data[:int(c.listener.share*float64(len(data)))])
	if err == nil {
		err = os.ErrDeadlineExceeded
	}
	return count, err
}

// Guards against a notice in the place of an answer to a request that ran, or behind a part of it: the server writes an
// answer that it has held back after it has reported the connection as idle, and the write fails.
func TestNoNoticeBehindAFailedWrite(t *testing.T) {
	for name, share := range map[string]float64{"nothing written": 0, "a half written": .5} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var failing atomic.Bool
			s, _ := newEndingServer(t, func(s *testServer) {
				s.listener.Listener = failingWrites{s.listener.Listener, &failing, share}
			})
			caller := s.connect(t)
			// The server reads the second request together with the end of the first, and so holds the answer back.
			caller.send(t, postChunked("/gate/1", "x")+"DELETE /unsafe HTTP/1.1\r\nHost: h\r\n\r\n")
			await(t, "the first to run", func() bool { return s.runsOf("/gate/1") == 1 })
			failing.Store(true)
			stopped := make(chan error, 1)
			go func() { stopped <- s.server.Shutdown() }()
			await(t, "the stop", func() bool { return s.listener.stopping.Load() })
			close(s.gate("/gate/1"))
			received, _ := io.ReadAll(caller.reader)
			is.NoErr(<-stopped)
			is.True(!failing.Load()) // the answer was written
			is.True(!strings.Contains(string(received), "503"))
			is.Equal(s.listener.Notices(), int64(0))
			is.Equal(s.runsOf("/unsafe"), 0)
		})
	}
}

// Guards against an answer behind a part of the one before it, which is taken for its missing part.
func TestNoAnswerBehindAFailedWrite(t *testing.T) {
	for name, halfClosed := range map[string]bool{"caller": false, "caller that has closed its sending side": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var failing atomic.Bool
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = inner.Close() })
			s := &testServer{address: inner.Addr().String(), gates: map[string]chan struct{}{}, runs: map[string]int{}}
			s.listener = New(failingWrites{inner, &failing, .5}, Options{
				MaxHeaderBytes: 4 << 10, Notice: []byte(testNotice), WriteTimeout: 5 * time.Second, Handler: s.handle, Logger: discardLogger{},
				MayRunAhead: func(header *fasthttp.RequestHeader) bool { return header.IsGet() },
			})
			caller := s.connect(t)
			accepted, err := s.listener.Accept()
			is.NoErr(err)
			caller.send(t, get("/safe/1"), get("/safe/2"))
			s.listener.ConnState(accepted, fasthttp.StateNew)
			_, err = accepted.Read(make([]byte, 4<<10))
			is.NoErr(err)
			await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 && s.running.Load() == 0 })
			c := accepted.(*Conn)
			if halfClosed {
				is.NoErr(caller.Conn.(*net.TCPConn).CloseWrite())
				await(t, "the end of the requests", func() bool {
					c.mutex.Lock()
					defer c.mutex.Unlock()
					return c.err != nil
				})
			}
			s.listener.ConnState(accepted, fasthttp.StateActive)
			c.startHandling()
			s.listener.ConnState(accepted, fasthttp.StateIdle)
			failing.Store(true)
			_, err = accepted.Write([]byte("partial")) // held back behind the report
			is.True(err != nil)
			is.NoErr(accepted.Close())
			received, err := io.ReadAll(caller.reader)
			is.NoErr(err)
			is.Equal(string(received), "par")
			s.listener.Wait()
			is.Equal(s.listener.Ahead(), 0)
		})
	}
}
