package callerconn

import (
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
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
