package goaway

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const connNotice = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// accepted returns both ends of a connection that no server serves.
func accepted(t *testing.T) (l *Listener, c *conn, client *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = inner.Close() })
	l = New(inner, []byte(connNotice))
	l.Handler(nil)
	dialed, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = dialed.Close() })
	served, err := l.Accept()
	is.NoErr(err)
	return l, served.(*conn), dialed.(*net.TCPConn)
}

// Guards against bytes behind the notice, and against a notice in the place of an answer, or behind a part of it.
func TestWhatAClosedConnectionWrites(t *testing.T) {
	for name, c := range map[string]struct {
		before func(is *is.I, c *conn)
		want   string
	}{
		"idle": {func(*is.I, *conn) {}, connNotice},
		"write of an answer that was held back failed": {func(is *is.I, c *conn) {
			is.NoErr(c.SetWriteDeadline(PastDeadline))
			_, err := c.Write([]byte("answer"))
			is.True(err != nil)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, served, client := accepted(t)
			l.ConnState(served, fasthttp.StateNew)
			l.ConnState(served, fasthttp.StateActive)
			served.started()
			l.ConnState(served, fasthttp.StateIdle)
			c.before(is, served)
			is.NoErr(served.Close())
			_, err := served.Write([]byte("late"))
			is.True(errors.Is(err, net.ErrClosed))
			is.NoErr(client.SetReadDeadline(time.Now().Add(5 * time.Second)))
			received, err := io.ReadAll(client)
			is.NoErr(err)
			is.Equal(string(received), c.want)
			is.NoErr(client.Close())
			l.Wait()
		})
	}
}

// Guards against a request that times out because its first part arrives while a stop wakes the connection.
func TestRequestThatArrivesAtTheWakeIsReadOn(t *testing.T) {
	is := is.New(t)
	_, served, client := accepted(t)
	is.NoErr(served.SetReadDeadline(time.Now().Add(time.Minute)))
	data, read := make([]byte, 64), make(chan error)
	go func() {
		_, err := served.Read(data)
		read <- err
	}()
	awaitThat(t, "the read", func() bool {
		return isIn("TestRequestThatArrivesAtTheWakeIsReadOn.", "goaway.(*conn).Read", "waitRead")
	})
	served.mutex.Lock()
	_, err := client.Write([]byte("GET / "))
	is.NoErr(err)
	awaitThat(t, "the first part", func() bool {
		return isIn("TestRequestThatArrivesAtTheWakeIsReadOn.", "goaway.(*conn).Read", "(*Mutex).Lock")
	})
	served.woken = true // what wake does
	is.NoErr(served.TCPConn.SetReadDeadline(PastDeadline))
	served.mutex.Unlock()
	is.NoErr(<-read)
	_, err = client.Write([]byte("HTTP/1.1"))
	is.NoErr(err)
	count, err := served.Read(data)
	is.NoErr(err)
	is.Equal(string(data[:count]), "HTTP/1.1")
}

// isIn reports whether a goroutine is in all of these functions.
func isIn(functions ...string) bool {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		found := true
		for _, function := range functions {
			found = found && strings.Contains(stack, function)
		}
		if found {
			return true
		}
	}
	return false
}

// Guards against a response of the server's own to the time-out of a connection without a request, and against a request
// whose rest does not arrive and which gets none.
func TestTimeoutOfARead(t *testing.T) {
	for name, c := range map[string]struct {
		sent string
		want error
	}{
		"no request":        {"", io.EOF},
		"part of a request": {"GET / ", os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, served, client := accepted(t)
			data := make([]byte, 64)
			if c.sent != "" {
				_, err := client.Write([]byte(c.sent))
				is.NoErr(err)
				_, err = served.Read(data)
				is.NoErr(err)
			}
			is.NoErr(served.SetReadDeadline(PastDeadline))
			_, err := served.Read(data)
			is.True(errors.Is(err, c.want))
		})
	}
}

// Guards against a read that goes on after a close which waits for the server's next state.
func TestCloseEndsARead(t *testing.T) {
	is := is.New(t)
	l, served, _ := accepted(t)
	l.ConnState(served, fasthttp.StateNew)
	l.ConnState(served, fasthttp.StateActive)
	served.started()
	read := make(chan error, 1)
	go func() {
		_, err := served.Read(make([]byte, 64))
		read <- err
	}()
	awaitThat(t, "the read", func() bool { return isIn("TestCloseEndsARead.", "goaway.(*conn).Read", "waitRead") })
	is.NoErr(served.Close())
	select {
	case err := <-read:
		is.True(errors.Is(err, net.ErrClosed))
	case <-time.After(5 * time.Second):
		t.Error("the read goes on")
	}
	l.ConnState(served, fasthttp.StateClosed)
	l.Wait()
}
