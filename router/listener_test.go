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

// Connections that callers have opened before a stop are served, though the server shuts down
// at once: closing the listener would reset those that are not accepted yet.
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
					t.Errorf("a pending connection received no response: %v", err)
				}
			})
		}
		all.Wait()
	}
}

// stop returns only when no connection is pending, even if the server accepts late.
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

// Callers that open connections while a listener stops are served or do not connect; no
// connection is reset.
func TestStoppingListenerResetsNobody(t *testing.T) {
	is := is.New(t)
	const listeners, callers, minAnswers = 60, 4, 40
	var resets atomic.Int64
	var all sync.WaitGroup
	for range listeners {
		listener, err := listenDraining("127.0.0.1:0")
		is.NoErr(err)
		all.Go(func() { serveBytes(listener) })
		answers := make(chan struct{}, callers*minAnswers)
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
		for range minAnswers {
			<-answers
		}
		listener.stop()
	}
	all.Wait()
	is.Equal(resets.Load(), int64(0))
}

// serveBytes echoes a byte on each connection until the listener is closed.
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
