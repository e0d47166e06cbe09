package callerconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// holdIdle makes the server stop each time it reports a connection as idle, which it does once the answer is written,
// until the returned function is called. idle is sent a value each time.
func (s *testServer) holdIdle() (idle <-chan struct{}, release func()) {
	reached, released := make(chan struct{}, 64), make(chan struct{})
	s.server.ConnState = func(changed net.Conn, state fasthttp.ConnState) {
		if state == fasthttp.StateIdle {
			reached <- struct{}{}
			<-released
		}
		s.listener.ConnState(changed, state)
	}
	return reached, sync.OnceFunc(func() { close(released) })
}

// shutDown starts a shutdown and waits until it has closed the connections that the server regards as idle.
func (s *testServer) shutDown(t *testing.T, of *Conn) {
	t.Helper()
	go func() { _ = s.server.Shutdown() }()
	await(t, "the connection to be closed", func() bool {
		of.mutex.Lock()
		defer of.mutex.Unlock()
		return of.Closed()
	})
}

// conns returns the connections that a listener accepts.
type conns struct {
	net.Listener
	accepted chan *Conn
}

// Accept implements net.Listener.
func (c *conns) Accept() (net.Conn, error) {
	accepted, err := c.Listener.Accept()
	if err == nil {
		c.accepted <- accepted.(*Conn)
	}
	return accepted, err
}

// newEndingServer starts a server whose connections are sent to the returned channel. prepare is called before it serves.
func newEndingServer(t *testing.T, prepare func(*testServer)) (*testServer, <-chan *Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: inner.Addr().String(), gates: map[string]chan struct{}{}, runs: map[string]int{}}
	s.listener = New(inner, Options{MaxHeaderBytes: 4 << 10, Notice: []byte(testNotice), WriteTimeout: 5 * time.Second, Handler: s.handle, Logger: discardLogger{}, MayRunAhead: func(header *fasthttp.RequestHeader) bool {
		return header.IsGet()
	}})
	s.server = &fasthttp.Server{Handler: s.listener.Handle, ConnState: s.listener.ConnState, ReadBufferSize: 4 << 10, StreamRequestBody: true, Logger: discardLogger{}}
	if prepare != nil {
		prepare(s)
	}
	accepting := &conns{s.listener, make(chan *Conn, 64)}
	go func() { _ = s.server.Serve(accepting) }()
	t.Cleanup(func() { _ = s.server.Shutdown() })
	return s, accepting.accepted
}

// answers reads answers until the connection ends and returns their number.
func (c *client) answers() int {
	for count := 0; ; count++ {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return count
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return count
		}
	}
}

// Guards against requests that run and whose answers are never written because the connection ends before their turn.
func TestNothingThatRanAheadLacksAnAnswer(t *testing.T) {
	closing := "GET /gate/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	for name, drive := range map[string]func(t *testing.T) (s *testServer, answered int, paths []string){
		"shutdown without drain, one runs ahead": func(t *testing.T) (*testServer, int, []string) {
			var idle <-chan struct{}
			var release func()
			s, accepted := newEndingServer(t, func(s *testServer) { idle, release = s.holdIdle() })
			c := s.connect(t)
			c.send(t, get("/gate/1"), get("/safe/2"))
			await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 && s.running.Load() == 1 })
			close(s.gate("/gate/1"))
			<-idle
			s.shutDown(t, <-accepted)
			release()
			return s, c.answers(), []string{"/gate/1", "/safe/2"}
		},
		"shutdown without drain, one at a time": func(t *testing.T) (*testServer, int, []string) {
			var idle <-chan struct{}
			var release func()
			s, accepted := newEndingServer(t, func(s *testServer) { idle, release = s.holdIdle() })
			c := s.connect(t)
			c.send(t, get("/safe/1"))
			c.answer(t)
			<-idle
			c.send(t, get("/safe/2"))
			await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 && s.running.Load() == 0 })
			s.shutDown(t, <-accepted)
			release()
			return s, 1 + c.answers(), []string{"/safe/1", "/safe/2"}
		},
		"closing answer while draining": func(t *testing.T) (*testServer, int, []string) {
			s, _ := newEndingServer(t, func(s *testServer) {
				handle := s.listener.options.Handler
				s.listener.options.Handler = func(request *fasthttp.RequestCtx) {
					handle(request)
					if s.listener.draining.Load() {
						request.SetConnectionClose() // as the router does for its own answers
					}
				}
			})
			c := s.connect(t)
			c.send(t, get("/gate/1"), get("/safe/2"))
			await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 && s.running.Load() == 1 })
			s.listener.Drain()
			close(s.gate("/gate/1"))
			return s, c.answers(), []string{"/gate/1", "/safe/2"}
		},
		"closing request": func(t *testing.T) (*testServer, int, []string) {
			s, _ := newEndingServer(t, nil)
			c := s.connect(t)
			c.send(t, closing, get("/safe/2"))
			await(t, "the first to run", func() bool { return s.runsOf("/gate/1") == 1 })
			// Another connection shows that the server has had time for what is behind the first.
			for range 20 {
				other := s.connect(t)
				other.send(t, get("/safe/other"))
				other.answer(t)
			}
			close(s.gate("/gate/1"))
			return s, c.answers(), []string{"/gate/1", "/safe/2"}
		},
		"error answer": func(t *testing.T) (*testServer, int, []string) {
			s, _ := newEndingServer(t, nil)
			c := s.connect(t)
			c.send(t, get("/gate/1"), strings.Replace(get("/safe/2"), "Host: h", "Host: h/%zz", 1), get("/safe/3"))
			await(t, "the first to run", func() bool { return s.runsOf("/gate/1") == 1 })
			for range 20 {
				other := s.connect(t)
				other.send(t, get("/safe/other"))
				other.answer(t)
			}
			close(s.gate("/gate/1"))
			return s, c.answers(), []string{"/gate/1", "/safe/2", "/safe/3"}
		},
		"hijacking answer": func(t *testing.T) (*testServer, int, []string) {
			s, _ := newEndingServer(t, func(s *testServer) {
				handle := s.listener.options.Handler
				s.listener.options.Handler = func(request *fasthttp.RequestCtx) {
					handle(request)
					if string(request.Path()) == "/gate/1" {
						request.SetConnectionClose() // as the router does for rejected requests with a body
						request.Hijack(func(net.Conn) {})
					}
				}
			})
			c := s.connect(t)
			c.send(t, get("/gate/1"), get("/safe/2"))
			await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 && s.running.Load() == 1 })
			close(s.gate("/gate/1"))
			return s, c.answers(), []string{"/gate/1", "/safe/2"}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, answered, paths := drive(t)
			for place, path := range paths {
				if place >= answered && s.runsOf(path) > 0 {
					t.Errorf("%s ran and got no answer; %d answers", path, answered)
				}
			}
		})
	}
}
