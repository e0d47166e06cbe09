package upstream

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connectTCP returns both ends of a connection.
func connectTCP(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against closes that are not seen because data lies unread before them, as the body of a request does while
// nobody asks for it.
func TestPeekSeesACloseBehindUnreadData(t *testing.T) {
	send := func(c *net.TCPConn) { _, _ = io.WriteString(c, "data") }
	for name, c := range map[string]struct {
		steps []func(*net.TCPConn)
		state PeekState
	}{
		"open":                   {nil, PeekIdle},
		"data":                   {[]func(*net.TCPConn){send}, PeekData},
		"closed":                 {[]func(*net.TCPConn){func(c *net.TCPConn) { c.Close() }}, PeekClosed},
		"closed behind data":     {[]func(*net.TCPConn){send, func(c *net.TCPConn) { c.Close() }}, PeekClosed},
		"sending side closed":    {[]func(*net.TCPConn){send, func(c *net.TCPConn) { _ = c.CloseWrite() }}, PeekClosed},
		"reset behind data":      {[]func(*net.TCPConn){send, func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }}, PeekClosed},
		"reset, nothing to read": {[]func(*net.TCPConn){func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }}, PeekClosed},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connectTCP(t)
			for _, step := range c.steps {
				step(client)
			}
			for deadline := time.Now().Add(10 * time.Second); Peek(server) != c.state; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("Peek returns %d, want %d", Peek(server), c.state)
				}
			}
		})
	}
}

// Guards against a close that waits behind data which a slow link has not carried yet.
func TestAbortDiscardsWhatHasNotArrived(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(*Conn)
		whole bool
	}{
		"close": {(*Conn).Close, true},
		"abort": {(*Conn).Abort, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, server := connectTCP(t)
			// The peer reads nothing: once its window is full, the rest stays here.
			is.NoErr(client.SetWriteBuffer(256 << 10))
			is.NoErr(client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
			sent, err := client.Write(make([]byte, 8<<20))
			is.True(os.IsTimeout(err))
			c.end(&Conn{Raw: client})
			arrived, err := io.Copy(io.Discard, server)
			is.Equal(err == nil && arrived == int64(sent), c.whole)
		})
	}
}
