package callerconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"limehold/disconnect"
)

// testServer is a server behind a Listener. Requests to paths under /gate/ wait until their gate is opened, those
// under /safe/ and /gate/ may run ahead.
type testServer struct {
	listener *Listener
	server   *fasthttp.Server
	address  string
	mutex    sync.Mutex
	gates    map[string]chan struct{}
	// runs counts the runs by path.
	runs    map[string]int
	running atomic.Int64
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{address: inner.Addr().String(), gates: map[string]chan struct{}{}, runs: map[string]int{}}
	s.listener = New(inner, Options{MaxHeaderBytes: 4 << 10, Handler: s.handle, MayRunAhead: func(header *fasthttp.RequestHeader) bool {
		path := string(header.RequestURI())
		return header.IsGet() && (strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/gate/"))
	}})
	s.server = &fasthttp.Server{
		Handler: s.listener.Handle, ConnState: s.listener.ConnState, ReadBufferSize: 4 << 10,
		IdleTimeout: 10 * time.Second, StreamRequestBody: true, MaxRequestBodySize: 1 << 10, Logger: discardLogger{},
	}
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Shutdown() })
	return s
}

type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *testServer) gate(path string) chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.gates[path] == nil {
		s.gates[path] = make(chan struct{})
	}
	return s.gates[path]
}

func (s *testServer) runsOf(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[path]
}

func (s *testServer) handle(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	s.mutex.Lock()
	s.runs[path]++
	s.mutex.Unlock()
	s.running.Add(1)
	defer s.running.Add(-1)
	if strings.HasPrefix(path, "/gate/") || strings.HasPrefix(path, "/wait/") {
		<-s.gate(path)
	}
	if strings.HasPrefix(path, "/close/") {
		request.SetConnectionClose()
	}
	body := request.Request.Body()
	if request.Request.IsBodyStream() {
		body, _ = io.ReadAll(request.RequestBodyStream())
	}
	fmt.Fprintf(request, "%s %s", path, body)
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// client is a connection to a testServer.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{conn, bufio.NewReader(conn)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func postChunked(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body), body)
}

func (c *client) send(t *testing.T, texts ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(texts, "")); err != nil {
		t.Fatal(err)
	}
}

// answer reads the next answer and returns its body.
func (c *client) answer(t *testing.T) string {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestSafeRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	c := s.connect(t)
	c.send(t, get("/gate/1"), get("/gate/2"), get("/gate/3"))
	await(t, "all three to run", func() bool { return s.running.Load() == 3 })
	close(s.gate("/gate/3"))
	close(s.gate("/gate/2"))
	await(t, "two to finish", func() bool { return s.running.Load() == 1 })
	is.Equal(s.listener.Ahead(), 2)
	close(s.gate("/gate/1"))
	is.Equal(c.answer(t), "/gate/1 ")
	is.Equal(c.answer(t), "/gate/2 ")
	is.Equal(c.answer(t), "/gate/3 ")
	c.send(t, get("/safe/4"))
	is.Equal(c.answer(t), "/safe/4 ")
	// The last one runs ahead if it is read before the server reports the answer before as written.
	await(t, "their places to be free", func() bool { return s.listener.Ahead() == 0 })
}

// Guards against requests that run before one that they may depend on, or before the answers to those before them.
func TestOthersWaitForTheAnswersBeforeThem(t *testing.T) {
	for name, c := range map[string]struct {
		requests []string
		// first blocks, and none of later may have run meanwhile.
		first string
		later []string
	}{
		"unsafe behind safe":   {[]string{get("/gate/1"), post("/unsafe", "x")}, "/gate/1", []string{"/unsafe"}},
		"safe behind unsafe":   {[]string{get("/wait/1"), get("/safe/2")}, "/wait/1", []string{"/safe/2"}},
		"safe behind a body":   {[]string{post("/wait/1", "body"), get("/safe/2")}, "/wait/1", []string{"/safe/2"}},
		"safe behind chunks":   {[]string{postChunked("/wait/1", "body"), get("/safe/2")}, "/wait/1", []string{"/safe/2"}},
		"behind both":          {[]string{get("/gate/1"), post("/unsafe", "x"), get("/safe/3")}, "/gate/1", []string{"/unsafe", "/safe/3"}},
		"chunks behind a safe": {[]string{get("/gate/1"), postChunked("/unsafe", "x"), get("/safe/3")}, "/gate/1", []string{"/unsafe", "/safe/3"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			caller := s.connect(t)
			caller.send(t, c.requests...)
			await(t, "the first to run", func() bool { return s.runsOf(c.first) == 1 })
			// Another connection shows that the server has had time for what is behind the first.
			for range 20 {
				other := s.connect(t)
				other.send(t, get("/safe/other"))
				other.answer(t)
			}
			for _, path := range c.later {
				if s.runsOf(path) > 0 {
					t.Errorf("%s ran before the answer to %s", path, c.first)
				}
			}
			close(s.gate(c.first))
			for range c.requests {
				caller.answer(t)
			}
			for _, path := range c.later {
				if s.runsOf(path) != 1 {
					t.Errorf("%s ran %d times", path, s.runsOf(path))
				}
			}
		})
	}
}

// Guards against bodies that are taken for requests, and the other way round.
func TestBodiesAndRequestsStayApart(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	c := s.connect(t)
	long := strings.Repeat("y", 20<<10) + get("/safe/inside")
	var want []string
	for i := range 5 {
		c.send(t, get(fmt.Sprintf("/safe/%d", i)), post("/a", long), postChunked("/b", long), get("/safe/x"), post("/c", ""))
		want = append(want, fmt.Sprintf("/safe/%d ", i), "/a "+long, "/b "+long, "/safe/x ", "/c ")
	}
	for _, body := range want {
		is.Equal(c.answer(t), body)
	}
	is.Equal(s.runsOf("/safe/inside"), 0)
}

// Guards against heads that are not answered because they arrive in parts, are malformed or too long.
func TestUnusualHeadsAreLeftToTheServer(t *testing.T) {
	whole := get("/safe/1")
	for name, c := range map[string]struct {
		parts  []string
		status int
	}{
		"in two parts":        {[]string{whole[:9], whole[9:]}, http.StatusOK},
		"byte by byte":        {strings.Split(whole, ""), http.StatusOK},
		"after an empty line": {[]string{"\r\n" + whole}, http.StatusOK},
		"malformed":           {[]string{"GET\r\n\r\n"}, http.StatusBadRequest},
		"too long":            {[]string{"GET /" + strings.Repeat("x", 5<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n"}, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t)
			caller := s.connect(t)
			caller.send(t, get("/safe/0"))
			is.Equal(caller.answer(t), "/safe/0 ")
			for _, part := range c.parts {
				caller.send(t, part)
			}
			response, err := http.ReadResponse(caller.reader, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
}

// Guards against requests that run although they are behind an answer that closes the connection, and against a reset
// that destroys that answer.
func TestNothingBehindAClosingAnswerRuns(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	c := s.connect(t)
	c.send(t, get("/safe/1"), get("/close/2"), get("/safe/3"), get("/safe/4"), post("/unsafe", "x"))
	is.Equal(c.answer(t), "/safe/1 ")
	is.Equal(c.answer(t), "/close/2 ")
	_, err := c.reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
	c.Close()
	is.NoErr(s.server.Shutdown())
	s.listener.Wait()
	is.Equal(s.runsOf("/safe/3")+s.runsOf("/safe/4")+s.runsOf("/unsafe"), 0)
}

// Guards against requests of a caller that has gone away which go on, the ones that run ahead too.
func TestRequestsOfAClosedConnectionAreCancelled(t *testing.T) {
	for name, end := range map[string]func(*client){
		"close": func(c *client) { c.Close() },
		"reset": func(c *client) { _ = c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			watcher := disconnect.NewWatcher()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = watcher.Run(ctx) }()
			var cancelled atomic.Int64
			listener := New(inner, Options{MaxHeaderBytes: 4 << 10, MayRunAhead: func(*fasthttp.RequestHeader) bool { return true }, Handler: func(request *fasthttp.RequestCtx) {
				gone := make(chan struct{})
				watched := watcher.Add(request.Conn(), func() { close(gone) })
				<-gone
				cancelled.Add(1)
				watcher.Remove(watched)
			}})
			server := &fasthttp.Server{Handler: listener.Handle, ConnState: listener.ConnState, Logger: discardLogger{}}
			go func() { _ = server.Serve(listener) }()
			s := &testServer{address: inner.Addr().String()}
			caller := s.connect(t)
			caller.send(t, get("/1"), get("/2"), get("/3"))
			await(t, "all to run", func() bool { return watcher.Count() == 3 })
			end(caller)
			await(t, "all to be cancelled", func() bool { return cancelled.Load() == 3 })
			await(t, "their places to be free", func() bool { return listener.Ahead() == 0 })
			if err := server.Shutdown(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Guards against a check of the connection that waits for the read which is under way on it.
func TestConnectionIsCheckedWhileItIsRead(t *testing.T) {
	s := newTestServer(t)
	s.listener.options.Handler = func(request *fasthttp.RequestCtx) {
		if request.Conn().(*Conn).Disconnected() {
			request.SetStatusCode(fasthttp.StatusGone)
		}
	}
	c := s.connect(t)
	for range 100 {
		c.send(t, get("/safe/1"))
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response, err)
		}
	}
}

// Guards against a planned stop that cuts requests which run ahead.
func TestDrainAnswersAllThatWasStarted(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	c := s.connect(t)
	c.send(t, get("/gate/1"), get("/gate/2"), get("/gate/3"))
	await(t, "all three to run", func() bool { return s.running.Load() == 3 })
	s.listener.Drain()
	c.send(t, get("/safe/4"))
	for i := 3; i >= 1; i-- {
		close(s.gate(fmt.Sprintf("/gate/%d", i)))
	}
	for i := 1; i <= 3; i++ {
		response, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		is.Equal(response.Close, i == 3)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
	}
	_, err := c.reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
	is.Equal(s.runsOf("/safe/4"), 0)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	for name, before := range map[string]string{"new": "", "kept": get("/safe/1")} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := New(inner, Options{MaxHeaderBytes: 4 << 10, MayRunAhead: func(*fasthttp.RequestHeader) bool { return true }, Handler: func(*fasthttp.RequestCtx) {}})
			server := &fasthttp.Server{Handler: listener.Handle, ConnState: listener.ConnState, ReadTimeout: 50 * time.Millisecond, Logger: discardLogger{}}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Shutdown() }()
			s := &testServer{address: inner.Addr().String()}
			caller := s.connect(t)
			caller.send(t, before)
			if before != "" {
				caller.answer(t)
			}
			if _, err := io.Copy(io.Discard, caller.reader); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against memory that grows with the requests that callers send without reading the answers.
func TestReadingAheadIsBounded(t *testing.T) {
	s := newTestServer(t)
	c := s.connect(t)
	for i := range 100 {
		c.send(t, get(fmt.Sprintf("/gate/%d", i)))
	}
	await(t, "requests to run ahead", func() bool { return s.running.Load() >= 16 })
	for range 20 {
		other := s.connect(t)
		other.send(t, get("/safe/other"))
		other.answer(t)
	}
	if running := s.running.Load(); running != 16 {
		t.Errorf("%d requests run, want 16", running)
	}
	for i := range 100 {
		close(s.gate(fmt.Sprintf("/gate/%d", i)))
	}
	for i := range 100 {
		if got, want := c.answer(t), fmt.Sprintf("/gate/%d ", i); got != want {
			t.Fatalf("answer %q, want %q", got, want)
		}
	}
}
