package router

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Connections that callers have opened by the time at which a router takes no new ones are
// answered, though its server is shut down at once: closing the listener would reset those
// that nobody has accepted yet.
func TestConnectionsThatWaitAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	is := is.New(t)
	const callers, rounds = 40, 20
	for range rounds {
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		listener := newDrainListener(opened.(*net.TCPListener))
		server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(request *fasthttp.RequestCtx) { request.SetBodyString("answer") }}
		var conns []net.Conn
		for range callers {
			conn, err := net.Dial("tcp", opened.Addr().String())
			is.NoErr(err)
			_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
			is.NoErr(err)
			conns = append(conns, conn)
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		listener.stop()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		is.NoErr(server.ShutdownWithContext(ctx))
		cancel()
		is.NoErr(<-served)
		var all sync.WaitGroup
		for _, conn := range conns {
			all.Go(func() {
				defer conn.Close()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Errorf("a connection that was waiting got no answer: %v", err)
				}
			})
		}
		all.Wait()
	}
}

// stop returns only when nothing waits any more, however late the server comes to accept.
func TestStopReturnsOnceNothingWaits(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := newDrainListener(opened.(*net.TCPListener))
	const callers = 30
	for range callers {
		conn, err := net.Dial("tcp", opened.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	var accepted atomic.Int64
	accepting := make(chan struct{})
	go func() {
		<-accepting
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			conn.Close()
		}
	}()
	time.AfterFunc(50*time.Millisecond, func() { close(accepting) })
	listener.stop()
	is.Equal(accepted.Load(), int64(callers))
	is.NoErr(listener.Close())
}

// Callers that open one connection after the other while a listener stops are answered or do
// not connect; none is reset.
func TestStoppingListenerResetsNobody(t *testing.T) {
	is := is.New(t)
	const listeners, callers, before = 60, 4, 40
	var resets atomic.Int64
	var all sync.WaitGroup
	for range listeners {
		listener, err := listenDraining("127.0.0.1:0")
		is.NoErr(err)
		all.Go(func() { serveBytes(listener) })
		answers := make(chan struct{}, callers*before)
		for range callers {
			all.Go(func() {
				for {
					conn, err := net.Dial("tcp", listener.Addr().String())
					if err != nil {
						return
					}
					if exchangeByte(conn) != nil {
						resets.Add(1)
					}
					select {
					case answers <- struct{}{}:
					default:
					}
				}
			})
		}
		for range before {
			<-answers
		}
		listener.stop()
	}
	all.Wait()
	is.Equal(resets.Load(), int64(0))
}

// serveBytes answers each connection by what it has sent, until the listener is closed.
func serveBytes(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go echoByte(conn)
	}
}

func echoByte(conn net.Conn) {
	defer conn.Close()
	one := make([]byte, 1)
	if _, err := conn.Read(one); err == nil {
		_, _ = conn.Write(one)
	}
}

func exchangeByte(conn net.Conn) error {
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}
