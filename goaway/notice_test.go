package goaway

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// write is the result of a write.
type write struct {
	count int
	err   error
}

// scriptedConn is a connection with given results of writes.
type scriptedConn struct {
	net.Conn
	writes []write
}

// SetWriteDeadline implements net.Conn.
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Write implements net.Conn.
func (c *scriptedConn) Write([]byte) (int, error) {
	next := c.writes[0]
	c.writes = c.writes[1:]
	return next.count, next.err
}

// Guards against a notice that is lost because the process does not run for as long as the time-out, and against a notice
// behind a part of one.
func TestWritingOfANotice(t *testing.T) {
	stalled, whole := write{0, os.ErrDeadlineExceeded}, write{6, nil}
	for name, c := range map[string]struct {
		writes []write
		left   int
		want   error
	}{
		"at once":            {[]write{whole, whole}, 1, nil},
		"stalled once":       {[]write{stalled, whole, whole}, 1, nil},
		"stalled twice":      {[]write{stalled, stalled, whole, whole}, 1, nil},
		"caller reads never": {[]write{stalled, stalled, stalled, whole}, 1, os.ErrDeadlineExceeded},
		"a part":             {[]write{{3, os.ErrDeadlineExceeded}, whole}, 1, os.ErrDeadlineExceeded},
		"broken":             {[]write{{0, io.ErrClosedPipe}, whole}, 1, io.ErrClosedPipe},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := &scriptedConn{writes: c.writes}
			is.Equal(WriteNotice(conn, []byte("notice")), c.want)
			is.Equal(len(conn.writes), c.left)
		})
	}
}

// Guards against a stop that waits for a connection which is its hijacker's.
func TestWaitLeavesOutHijackedConnections(t *testing.T) {
	l, served, _ := accepted(t)
	l.ConnState(served, fasthttp.StateNew)
	l.ConnState(served, fasthttp.StateActive)
	served.started()
	l.ConnState(served, fasthttp.StateHijacked)
	waited := make(chan struct{})
	go func() {
		l.Wait()
		close(waited)
	}()
	await(t, "Wait", waited)
}
