package callerconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// testNotice is the notice of the test servers.
const testNotice = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// orderedServer is a testServer whose steps are held back by gates, which are called in the HTTP library's goroutines;
// a nil gate is open. Handlers of paths with "closing" close the connection,
// those of paths with "early" without a look at the body.
type orderedServer struct {
	*testServer
	net.Listener
	// state is called before the listener is told of a state, close before a connection's socket is closed.
	state func(fasthttp.ConnState)
	close func()
	// stopping is closed once the server has closed the listener.
	stopping chan struct{}
	once     sync.Once
}

func (o *orderedServer) start(t *testing.T, idleTimeout time.Duration) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Listener, o.stopping = inner, make(chan struct{})
	s := &testServer{address: inner.Addr().String(), gates: map[string]chan struct{}{}, runs: map[string]int{}}
	o.testServer = s
	s.listener = New(o, Options{MaxHeaderBytes: 4 << 10, Notice: []byte(testNotice), WriteTimeout: 5 * time.Second, Handler: func(request *fasthttp.RequestCtx) {
		if strings.Contains(string(request.Path()), "early") {
			request.SetConnectionClose() // without the body
			return
		}
		s.handle(request)
		if strings.Contains(string(request.Path()), "closing") {
			request.SetConnectionClose()
		}
	}, MayRunAhead: func(header *fasthttp.RequestHeader) bool { return header.IsGet() }})
	s.server = &fasthttp.Server{
		Handler: s.listener.Handle, ReadBufferSize: 4 << 10, IdleTimeout: idleTimeout,
		StreamRequestBody: true, MaxRequestBodySize: 1 << 10, Logger: discardLogger{},
		ConnState: func(changed net.Conn, state fasthttp.ConnState) {
			if o.state != nil {
				o.state(state)
			}
			s.listener.ConnState(changed, state)
		},
	}
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.server.ShutdownWithContext(ctx)
	})
}

// Accept implements net.Listener.
func (o *orderedServer) Accept() (net.Conn, error) {
	accepted, err := o.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &orderedConn{accepted.(*net.TCPConn), o}, nil
}

// Close implements net.Listener.
func (o *orderedServer) Close() error {
	o.once.Do(func() { close(o.stopping) })
	return o.Listener.Close()
}

type orderedConn struct {
	*net.TCPConn
	order *orderedServer
}

// Close implements net.Conn.
func (c *orderedConn) Close() error {
	if c.order.close != nil {
		c.order.close()
	}
	return c.TCPConn.Close()
}

// shutDown begins a shutdown and returns once it has begun.
func (o *orderedServer) shutDown() {
	go func() { _ = o.server.Shutdown() }()
	<-o.stopping
}

// stopLikeRouter stops as a router does: it waits for the requests that run ahead and then shuts down.
func (o *orderedServer) stopLikeRouter() {
	o.listener.Drain()
	go func() {
		for o.listener.Ahead() > 0 {
			runtime.Gosched()
		}
		_ = o.server.Shutdown()
	}()
}

// open opens the gates of paths.
func (o *orderedServer) open(paths ...string) {
	for _, path := range paths {
		close(o.gate(path))
	}
}

// awaitRuns waits until each path has been run.
func (o *orderedServer) awaitRuns(t *testing.T, paths ...string) {
	t.Helper()
	for _, path := range paths {
		await(t, path+" to run", func() bool { return o.runsOf(path) > 0 })
	}
}

// rest reads all answers until the connection ends and returns their bodies.
func (c *client) rest() (bodies []string, statuses []int, closing bool) {
	for {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return bodies, statuses, closing
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return bodies, statuses, closing
		}
		bodies, statuses, closing = append(bodies, strings.TrimSpace(string(body))), append(statuses, response.StatusCode), response.Close
	}
}

func getWith(path, header string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n"
}

// Guards against requests that ran and get no answer, by what ends the connection. A request that does not run needs
// none here.
func TestRequestThatRanIsAnswered(t *testing.T) {
	gates := func(paths ...string) (text string) {
		for _, path := range paths {
			text += get(path)
		}
		return text
	}
	for name, c := range map[string]struct {
		requests string
		paths    []string
		// first is the gate of the first request; those in run have to run before end is called.
		first string
		run   []string
		end   func(t *testing.T, o *orderedServer, caller *client)
	}{
		"shutdown without drain": {
			gates("/gate/1", "/gate/2", "/gate/3"), []string{"/gate/1", "/gate/2", "/gate/3"}, "/gate/1", []string{"/gate/2", "/gate/3"},
			func(_ *testing.T, o *orderedServer, _ *client) { o.shutDown(); o.open("/gate/2", "/gate/3") },
		},
		"stop of a router": {
			gates("/gate/1", "/gate/2", "/gate/3"), []string{"/gate/1", "/gate/2", "/gate/3"}, "/gate/1", []string{"/gate/2", "/gate/3"},
			func(_ *testing.T, o *orderedServer, _ *client) { o.stopLikeRouter(); o.open("/gate/2", "/gate/3") },
		},
		"end of the shutdown's time": {
			gates("/gate/1", "/gate/2", "/gate/3"), []string{"/gate/1", "/gate/2", "/gate/3"}, "/gate/1", []string{"/gate/2", "/gate/3"},
			func(t *testing.T, o *orderedServer, _ *client) {
				o.listener.Drain()
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				if err := o.server.ShutdownWithContext(ctx); !errors.Is(err, context.Canceled) {
					t.Fatal(err)
				}
				o.open("/gate/2", "/gate/3")
			},
		},
		"first closes": {
			gates("/gate/closing1", "/safe/2", "/safe/3"), []string{"/gate/closing1", "/safe/2", "/safe/3"}, "/gate/closing1", []string{"/safe/2", "/safe/3"}, nil,
		},
		"first closes while draining": {
			gates("/gate/closing1", "/safe/2"), []string{"/gate/closing1", "/safe/2"}, "/gate/closing1", []string{"/safe/2"},
			func(_ *testing.T, o *orderedServer, _ *client) { o.listener.Drain() },
		},
		"one that ran ahead closes": {
			gates("/gate/1", "/safe/closing2", "/safe/3"), []string{"/gate/1", "/safe/closing2", "/safe/3"}, "/gate/1", []string{"/safe/closing2", "/safe/3"}, nil,
		},
		"malformed head behind": {
			gates("/gate/1", "/safe/2") + "GET\r\n\r\n", []string{"/gate/1", "/safe/2"}, "/gate/1", []string{"/safe/2"}, nil,
		},
		"head too long behind": {
			gates("/gate/1", "/safe/2") + "GET /" + strings.Repeat("x", 5<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n", []string{"/gate/1", "/safe/2"}, "/gate/1", []string{"/safe/2"}, nil,
		},
		"ambiguous length behind": {
			gates("/gate/1", "/safe/2") + "POST /unsafe HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\nContent-Length: 98\r\n\r\n", []string{"/gate/1", "/safe/2"}, "/gate/1", []string{"/safe/2"}, nil,
		},
		"head cut short behind": {
			gates("/gate/1", "/safe/2") + "GET /safe/3 HT", []string{"/gate/1", "/safe/2"}, "/gate/1", []string{"/safe/2"},
			func(t *testing.T, _ *orderedServer, caller *client) {
				if err := caller.Conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := &orderedServer{}
			o.start(t, time.Minute)
			caller := o.connect(t)
			caller.send(t, c.requests)
			o.awaitRuns(t, append([]string{c.first}, c.run...)...)
			if c.end != nil {
				c.end(t, o, caller)
			}
			o.open(c.first)
			go func() { // ends connections that are not closed otherwise
				for o.listener.Ahead() > 0 {
					runtime.Gosched()
				}
				o.listener.Drain()
				_ = o.server.Shutdown()
			}()
			bodies, _, _ := caller.rest()
			checkAnswered(t, o, c.paths, bodies)
		})
	}
}

// checkAnswered checks that each path that ran has its own answer, in the order of the requests.
func checkAnswered(t *testing.T, o *orderedServer, paths, bodies []string) {
	t.Helper()
	for at, path := range paths {
		switch {
		case o.runsOf(path) == 0:
		case at >= len(bodies):
			t.Errorf("%s ran and got no answer", path)
		case bodies[at] != path:
			t.Errorf("%s ran and got the answer %q", path, bodies[at])
		}
	}
}

// Guards against requests that run although they are behind one that ends the connection: the server never answers
// them.
func TestRequestBehindTheLastDoesNotRun(t *testing.T) {
	for name, c := range map[string]struct{ first, last string }{
		"first says close":                 {"", getWith("/gate/1", "Connection: close")},
		"first is of HTTP/1.0":             {"", "GET /gate/1 HTTP/1.0\r\nHost: h\r\n\r\n"},
		"second says close":                {get("/safe/0"), getWith("/gate/1", "Connection: close")},
		"first has no URI that parses":     {"", "GET http://[::1/gate/1 HTTP/1.1\r\nHost: h\r\n\r\n"},
		"first has a host that is refused": {"", "GET /gate/1 HTTP/1.1\r\nHost: user@h\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			o := &orderedServer{}
			o.start(t, time.Minute)
			caller := o.connect(t)
			caller.send(t, c.first, c.last, get("/safe/behind"))
			refused := !strings.Contains(name, "close") && !strings.Contains(name, "1.0")
			if !refused {
				o.awaitRuns(t, "/gate/1")
				// Another connection shows that the server has had time for what is behind.
				for range 20 {
					other := o.connect(t)
					other.send(t, get("/safe/other"))
					other.answer(t)
				}
				o.open("/gate/1")
			}
			caller.rest()
			if err := o.server.Shutdown(); err != nil {
				t.Fatal(err)
			}
			o.listener.Wait()
			await(t, "the handlers", func() bool { return o.running.Load() == 0 })
			if o.runsOf("/safe/behind") > 0 {
				t.Error("the request behind ran")
			}
		})
	}
}

// Guards against requests that run ahead, are then refused by the server as malformed, and so are told not to have
// run.
func TestRequestThatTheServerRefusesDoesNotRunAhead(t *testing.T) {
	for name, refused := range map[string]string{
		"host":         "GET /safe/2 HTTP/1.1\r\nHost: user@h\r\n\r\n",
		"absolute URI": "GET http://user@h/safe/2 HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			o := &orderedServer{}
			o.start(t, time.Minute)
			caller := o.connect(t)
			caller.send(t, get("/gate/1"), refused, get("/safe/3"))
			o.awaitRuns(t, "/gate/1")
			for range 20 {
				other := o.connect(t)
				other.send(t, get("/safe/other"))
				other.answer(t)
			}
			o.open("/gate/1")
			_, statuses, _ := caller.rest()
			for at, path := range []string{"/safe/2", "/safe/3"} {
				if o.runsOf(path) > 0 && (at+1 >= len(statuses) || statuses[at+1] != http.StatusOK) {
					t.Errorf("%s ran; statuses %v", path, statuses)
				}
			}
		})
	}
}

// Guards against a request that ran and got no answer, on a connection with one request at a time: it arrives before
// the server has reported the connection as idle behind the answer before.
func TestRequestBeforeTheIdleReportIsAnswered(t *testing.T) {
	for name, stop := range map[string]func(o *orderedServer){
		"shutdown without drain": (*orderedServer).shutDown,
		"stop of a router":       (*orderedServer).stopLikeRouter,
	} {
		t.Run(name, func(t *testing.T) {
			o := &orderedServer{}
			arrived := make(chan struct{})
			o.state = func(state fasthttp.ConnState) {
				if state == fasthttp.StateIdle {
					<-arrived
				}
			}
			o.start(t, time.Minute)
			caller := o.connect(t)
			caller.send(t, get("/safe/1"))
			caller.answer(t)
			caller.send(t, get("/safe/2"))
			o.awaitRuns(t, "/safe/2")
			stop(o)
			close(arrived)
			bodies, _, _ := caller.rest()
			checkAnswered(t, o, []string{"/safe/2"}, bodies)
		})
	}
}

// Guards against a reservation that Drain does not see: a stopping router takes it that nothing runs ahead, and shuts
// the server down while the request is started.
func TestReservationIsSeenByDrain(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	is.True(s.listener.reserve())
	s.listener.Drain()
	is.Equal(s.listener.Ahead(), 1) // what is reserved is started after the check for Ahead() == 0
}

// Guards against requests that cross the close of a caller's connection and end without an answer: the caller of one
// that must not be repeated cannot know that it has not run.
func TestRequestThatCrossesTheCloseOfACallerGetsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		idleTimeout time.Duration
		// before is sent and answered first, queued is sent while it runs.
		before, queued string
		end            func(o *orderedServer)
	}{
		"shutdown of an idle connection":  {time.Minute, get("/gate/1"), "", (*orderedServer).stopLikeRouter},
		"idle time-out":                   {20 * time.Millisecond, get("/gate/1"), "", func(*orderedServer) {}},
		"shutdown, a request is queued":   {time.Minute, get("/gate/1"), "DELETE /unsafe HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		"drain, a request is queued":      {time.Minute, get("/gate/1"), "DELETE /unsafe HTTP/1.1\r\nHost: h\r\n\r\n", nil},
		"shutdown behind an unsafe queue": {time.Minute, post("/gate/1", "x"), "DELETE /unsafe HTTP/1.1\r\nHost: h\r\n\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &orderedServer{}
			o.start(t, c.idleTimeout)
			caller := o.connect(t)
			caller.send(t, c.before)
			o.awaitRuns(t, "/gate/1")
			caller.send(t, c.queued)
			if c.end == nil && strings.HasPrefix(name, "drain") {
				o.stopLikeRouter()
			} else if c.end == nil {
				o.shutDown()
			}
			o.open("/gate/1")
			response, err := http.ReadResponse(caller.reader, nil)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.NoErr(err)
			if response.Close {
				return // the caller knows that nothing behind it runs
			}
			if c.end != nil {
				c.end(o)
				// Not read as the caller does not look at the connection before it sends the next request.
				await(t, "the close", func() bool { return peerHasClosed(caller) })
				_, _ = io.WriteString(caller, "DELETE /unsafe HTTP/1.1\r\nHost: h\r\n\r\n")
			}
			bodies, _, _ := caller.rest()
			if len(bodies) == 0 {
				t.Errorf("the request got no answer; it ran %d times", o.runsOf("/unsafe"))
			}
		})
	}
}

// peerHasClosed reports whether the server has sent something, or closed the connection.
func peerHasClosed(c *client) bool {
	_, err := c.reader.Peek(1)
	return err == nil || errors.Is(err, io.EOF)
}

// Guards against a process that ends before its connections are closed.
func TestWaitIncludesConnectionsThatAreBeingClosed(t *testing.T) {
	is := is.New(t)
	closing, goOn := make(chan struct{}), make(chan struct{})
	o := &orderedServer{close: sync.OnceFunc(func() {
		close(closing)
		<-goOn
	})}
	o.start(t, 20*time.Millisecond)
	caller := o.connect(t)
	caller.send(t, get("/safe/1"))
	caller.answer(t)
	<-closing
	is.NoErr(o.server.Shutdown())
	waited := make(chan struct{})
	go func() {
		o.listener.Wait()
		close(waited)
	}()
	select {
	case <-waited:
		t.Error("Wait returned before the connection was closed")
	case <-time.After(200 * time.Millisecond):
	}
	close(goOn)
	<-waited
}

// Guards against a stop that lasts as long as the idle time-out: the server may set that on a connection which it is
// closing in another goroutine.
func TestLingeringEndsAlthoughTheServerSetsADeadline(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	listener := New(inner, Options{MaxHeaderBytes: 4 << 10, Notice: []byte(testNotice), WriteTimeout: 5 * time.Second, MayRunAhead: func(*fasthttp.RequestHeader) bool { return false }})
	dialled, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer dialled.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	_, err = io.WriteString(dialled, post("/unsafe", "x"))
	is.NoErr(err)
	c := accepted.(*Conn)
	await(t, "the request", func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return len(c.heads) == 1
	})
	is.NoErr(c.Close())
	await(t, "lingering", func() bool {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		for _, stack := range strings.Split(string(stacks), "\n\n") {
			if strings.Contains(stack, "callerconn.(*Conn)") && strings.Contains(stack, "io.Copy(") {
				return true
			}
		}
		return false
	})
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	waited := make(chan struct{})
	go func() {
		listener.Wait()
		close(waited)
	}()
	select {
	case <-waited:
	case <-time.After(6 * lingerTime):
		t.Error("the connection lingers on")
	}
}

// Guards against resets that destroy the answer to a request whose body is still on its way.
func TestAnswerBeforeTheBodyIsNotFollowedByAReset(t *testing.T) {
	is := is.New(t)
	o := &orderedServer{}
	o.start(t, time.Minute)
	caller := o.connect(t)
	caller.send(t, "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("y", 1<<10))
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	is.True(response.Close)
	var end [1]byte
	_, err = caller.Read(end[:])
	is.True(errors.Is(err, io.EOF))
	for range 2 { // the first write is answered with the reset
		_, err = io.WriteString(caller, "more of the body")
		is.NoErr(err)
	}
}

// Guards against memory that grows with the connections on which requests run ahead.
func TestRequestsThatRunAheadAreBounded(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	for range maxAhead {
		is.True(s.listener.reserve())
	}
	is.True(!s.listener.reserve())
	is.Equal(s.listener.Ahead(), maxAhead)
}
