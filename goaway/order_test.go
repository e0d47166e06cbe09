package goaway

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

// order forces the order in which the HTTP library, a Listener and a peer act on one connection. Its gates are called
// in the library's goroutines; a nil gate is open.
type order struct {
	net.Listener
	goaway *Listener
	server *fasthttp.Server
	// accept is called before a connection is accepted, read after each read, write, deadline and close before the
	// operation, state before the Listener is told of a state.
	accept, write, deadline, close func()
	read                           func(count int)
	state                          func(fasthttp.ConnState)
	// stopping is closed once the server has closed the listener, closed once the first close of a connection has
	// returned.
	stopping, closed         chan struct{}
	stoppingOnce, closedOnce sync.Once
	mutex                    sync.Mutex
	states                   []fasthttp.ConnState
	accepted                 *conn
	// blocked is closed by the test.
	blocked chan struct{}
	runs    int
}

// start serves a prepared order and returns a connection to the server.
func (o *order) start(t *testing.T, server *fasthttp.Server) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.goaway = New(inner, []byte(testNotice))
	o.Listener, o.server = o.goaway, server
	o.stopping, o.closed = make(chan struct{}), make(chan struct{})
	handler := server.Handler
	server.Handler = func(request *fasthttp.RequestCtx) {
		o.mutex.Lock()
		o.runs++
		o.mutex.Unlock()
		if handler != nil {
			handler(request)
		}
	}
	server.Handler = o.goaway.Handler(server.Handler)
	server.Logger = silent{}
	server.ConnState = func(changed net.Conn, state fasthttp.ConnState) {
		if o.state != nil {
			o.state(state)
		}
		o.goaway.ConnState(changed.(*orderedConn).Conn, state)
		o.mutex.Lock()
		o.states = append(o.states, state)
		o.mutex.Unlock()
	}
	go func() { _ = server.Serve(o) }()
	return o.connect(t)
}

func (o *order) connect(t *testing.T) (*net.TCPConn, *bufio.Reader) {
	t.Helper()
	dialled, err := net.Dial("tcp", o.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close() })
	if err := dialled.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return dialled.(*net.TCPConn), bufio.NewReader(dialled)
}

// shutDown begins a shutdown.
func (o *order) shutDown() { go func() { _ = o.server.Shutdown() }() }

// reached reports whether the server has reported a state.
func (o *order) reached(state fasthttp.ConnState) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, reported := range o.states {
		if reported == state {
			return true
		}
	}
	return false
}

func (o *order) ran() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.runs
}

// Accept implements net.Listener.
func (o *order) Accept() (net.Conn, error) {
	if o.accept != nil {
		o.accept()
	}
	accepted, err := o.Listener.Accept()
	if err != nil {
		return nil, err
	}
	o.mutex.Lock()
	o.accepted = accepted.(*conn)
	o.mutex.Unlock()
	return &orderedConn{accepted, o}, nil
}

// Close implements net.Listener.
func (o *order) Close() error {
	o.stoppingOnce.Do(func() { close(o.stopping) })
	return o.Listener.Close()
}

type orderedConn struct {
	net.Conn
	order *order
}

// NetConn returns the connection of the Listener.
func (c *orderedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *orderedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if c.order.read != nil {
		c.order.read(count)
	}
	return count, err
}

// Write implements net.Conn.
func (c *orderedConn) Write(data []byte) (int, error) {
	if c.order.write != nil {
		c.order.write()
	}
	return c.Conn.Write(data)
}

// SetReadDeadline implements net.Conn.
func (c *orderedConn) SetReadDeadline(at time.Time) error {
	if c.order.deadline != nil {
		c.order.deadline()
	}
	return c.Conn.SetReadDeadline(at)
}

// Close implements net.Conn.
func (c *orderedConn) Close() error {
	if c.order.close != nil {
		c.order.close()
	}
	err := c.Conn.Close()
	c.order.closedOnce.Do(func() { close(c.order.closed) })
	return err
}

type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// await waits for an event.
func await[T any](t *testing.T, what string, event <-chan T) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(10 * time.Second):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// awaitThat waits until a condition holds.
func awaitThat(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// isNotice checks that the next response is the notice.
func isNotice(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("the request got neither an answer nor the notice: %v", err)
	}
	if response.Header.Get("X-Closed") != "1" {
		t.Fatalf("response %d is not the notice", response.StatusCode)
	}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// Guards against requests that were not run and get neither an answer nor the notice, by the order in which their
// connection is closed.
func TestRequestThatWasNotRunGetsTheNotice(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, o *order){
		"closed between the read of the request and its beginning": func(t *testing.T, o *order) {
			reads := 0
			o.read = func(int) {
				if reads++; reads == 2 {
					o.shutDown()
					<-o.closed
				}
			}
			conn, reader := o.start(t, &fasthttp.Server{})
			if _, _, err := exchange(t, conn, reader); err != nil {
				t.Fatal(err)
			}
			send(t, conn, testRequest)
			isNotice(t, reader)
		},
		"shutdown while the answer before is written": func(t *testing.T, o *order) {
			o.write = sync.OnceFunc(func() {
				o.shutDown()
				<-o.stopping
			})
			conn, reader := o.start(t, &fasthttp.Server{CloseOnShutdown: true})
			response, _, err := exchange(t, conn, reader)
			if err != nil || response.Close {
				t.Fatal(response, err)
			}
			_, _ = io.WriteString(conn, testRequest)
			isNotice(t, reader)
		},
		"first head incomplete at the end of the library's grace": func(t *testing.T, o *order) {
			conn, reader := o.start(t, &fasthttp.Server{})
			send(t, conn, testRequest[:16])
			awaitThat(t, "the first bytes", func() bool { return o.reached(fasthttp.StateActive) })
			o.shutDown()
			await(t, "the close", o.closed)
			_, _ = io.WriteString(conn, testRequest[16:])
			isNotice(t, reader)
		},
		"first head read whole at the end of the library's grace": func(t *testing.T, o *order) {
			reads := 0
			o.read = func(int) {
				if reads++; reads == 2 {
					o.shutDown()
					<-o.closed
				}
			}
			conn, reader := o.start(t, &fasthttp.Server{})
			send(t, conn, testRequest[:16])
			awaitThat(t, "the first bytes", func() bool { return o.reached(fasthttp.StateActive) })
			send(t, conn, testRequest[16:])
			isNotice(t, reader)
		},
		"read time-out of a new connection": func(t *testing.T, o *order) {
			conn, reader := o.start(t, &fasthttp.Server{ReadTimeout: 20 * time.Millisecond})
			await(t, "the close", o.closed)
			_, _ = io.WriteString(conn, testRequest)
			isNotice(t, reader)
		},
		"in the listener's queue": func(t *testing.T, o *order) {
			accepts := 0
			o.accept = func() {
				if accepts++; accepts == 2 {
					<-o.stopping
				}
			}
			conn, reader := o.start(t, &fasthttp.Server{CloseOnShutdown: true})
			if _, _, err := exchange(t, conn, reader); err != nil {
				t.Fatal(err)
			}
			queued, reader := o.connect(t)
			send(t, queued, testRequest)
			o.shutDown()
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("the request got neither an answer nor the notice: %v", err)
			}
			if response.Header.Get("X-Closed") != "1" && o.ran() != 2 {
				t.Fatalf("response %d", response.StatusCode)
			}
		},
		"connection that becomes idle after the end of the shutdown's time": func(t *testing.T, o *order) {
			begun, end := make(chan struct{}), make(chan struct{})
			conn, reader := o.start(t, &fasthttp.Server{CloseOnShutdown: true, Handler: func(*fasthttp.RequestCtx) {
				close(begun)
				<-end
			}})
			send(t, conn, testRequest)
			await(t, "the request to run", begun)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if err := o.server.ShutdownWithContext(ctx); !errors.Is(err, context.Canceled) {
				t.Fatal(err)
			}
			close(end)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.Close {
				return // the peer sends no further request
			}
			if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
				t.Fatal(err)
			}
			isNotice(t, reader) // otherwise the connection stays open until the end of the process, and has a bare end then
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run(t, &order{})
		})
	}
}

// Guards against answers of requests that ran which do not arrive whole because the connection is closed behind them.
func TestAnswerBeforeACloseArrivesWhole(t *testing.T) {
	const size = 150 << 10
	large, bodyStart := strings.Repeat("x", size), strings.Repeat("y", 8<<10)
	for name, c := range map[string]struct {
		request string
		// unread is sent while the request runs.
		unread  string
		handler fasthttp.RequestHandler
	}{
		"close of the handler":                    {testRequest, "", (*fasthttp.RequestCtx).SetConnectionClose},
		"close of the request":                    {"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "", func(*fasthttp.RequestCtx) {}},
		"close of the handler, unread body":       {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 600000\r\n\r\n" + bodyStart, strings.Repeat("y", 30<<10), (*fasthttp.RequestCtx).SetConnectionClose},
		"close of the library, unread body":       {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 600000\r\n\r\n" + bodyStart, strings.Repeat("y", 30<<10), func(*fasthttp.RequestCtx) {}},
		"close of the handler, a request follows": {testRequest, testRequest, (*fasthttp.RequestCtx).SetConnectionClose},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begun, end := make(chan struct{}), make(chan struct{})
			o := &order{}
			conn, reader := o.start(t, &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: 4 << 10, Handler: func(request *fasthttp.RequestCtx) {
				close(begun)
				<-end
				request.SetBodyString(large)
				c.handler(request)
			}})
			is.NoErr(conn.SetReadBuffer(8 << 10))
			send(t, conn, c.request)
			await(t, "the request to run", begun)
			o.mutex.Lock()
			is.NoErr(o.accepted.SetWriteBuffer(4 * size)) // the server need not wait for the peer
			o.mutex.Unlock()
			send(t, conn, c.unread)
			close(end)
			awaitThat(t, "the close", func() bool { return o.reached(fasthttp.StateClosed) })
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err) // the rest of the answer was dropped with a reset
			is.Equal(len(body), size)
		})
	}
}

// Guards against connections that are not closed, or whose blocked writes do not end, because the server reports no
// state after the close.
func TestCloseOfAHijackedConnectionIsCarriedOut(t *testing.T) {
	for name, inHijack := range map[string]func(t *testing.T, o *order, hijacked net.Conn){
		"at the end of the hijacker": func(*testing.T, *order, net.Conn) {},
		"while a write is blocked": func(t *testing.T, o *order, hijacked net.Conn) {
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = hijacked.Write(make([]byte, 256<<20)) // more than the buffers of both sides hold
			}()
			<-o.blocked
			o.mutex.Lock()
			accepted := o.accepted
			o.mutex.Unlock()
			_ = accepted.Close()
			select {
			case <-ended:
			case <-time.After(3 * time.Second):
				t.Error("the write goes on after the close")
				_ = accepted.TCPConn.Close()
				<-ended
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := &order{blocked: make(chan struct{})}
			ended := make(chan struct{})
			conn, reader := o.start(t, &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) {
				request.SetStatusCode(fasthttp.StatusSwitchingProtocols)
				request.Hijack(func(hijacked net.Conn) {
					defer close(ended)
					awaitThat(t, "the state", func() bool { return o.reached(fasthttp.StateHijacked) })
					inHijack(t, o, hijacked)
				})
			}})
			send(t, conn, testRequest)
			if _, err := http.ReadResponse(reader, nil); err != nil {
				t.Fatal(err)
			}
			if strings.Contains(name, "write") {
				if _, err := reader.ReadByte(); err != nil { // the write has begun and cannot end
					t.Fatal(err)
				}
			}
			close(o.blocked)
			await(t, "the hijacker", ended)
			if err := conn.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, reader); err != nil && !errors.Is(err, io.ErrUnexpectedEOF) && !isReset(err) {
				t.Errorf("the peer does not see the close: %v", err)
			}
		})
	}
}

func isReset(err error) bool { return strings.Contains(err.Error(), "reset by peer") }

// Guards against a process that ends before its last connections have been closed with the notice: the server's
// shutdown ends before its workers close them.
func TestWaitIncludesConnectionsThatTheServerIsAboutToClose(t *testing.T) {
	is := is.New(t)
	closing, goOn := make(chan struct{}), make(chan struct{})
	o := &order{close: sync.OnceFunc(func() {
		close(closing)
		<-goOn
	})}
	conn, reader := o.start(t, &fasthttp.Server{IdleTimeout: 20 * time.Millisecond})
	_, _, err := exchange(t, conn, reader)
	is.NoErr(err)
	await(t, "the worker's close", closing)
	is.NoErr(o.server.Shutdown())
	waited := make(chan struct{})
	go func() {
		o.goaway.Wait()
		close(waited)
	}()
	select {
	case <-waited: // the process may end now
		is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
		_, err := reader.Peek(1)
		is.NoErr(err) // Wait returned before the connection was closed
	case <-time.After(200 * time.Millisecond):
	}
	close(goOn)
	isNotice(t, reader)
	is.NoErr(conn.Close())
	await(t, "Wait", waited)
}

// Guards against a shutdown that lasts as long as the idle time-out: the library sets that on a connection which is
// being closed.
func TestLingeringEndsAlthoughTheServerSetsADeadline(t *testing.T) {
	noticed := make(chan struct{})
	o := &order{}
	o.deadline = func() {
		if !o.reached(fasthttp.StateIdle) {
			return
		}
		o.shutDown()
		<-o.closed
		<-noticed
	}
	conn, reader := o.start(t, &fasthttp.Server{IdleTimeout: time.Minute})
	if _, _, err := exchange(t, conn, reader); err != nil {
		t.Fatal(err)
	}
	isNotice(t, reader)
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	awaitThat(t, "the deadline of lingering", lingers)
	close(noticed)
	waited := make(chan struct{})
	go func() {
		o.goaway.Wait()
		close(waited)
	}()
	// The peer leaves its side open.
	select {
	case <-waited:
	case <-time.After(10 * lingerTime):
		t.Error("the connection lingers on")
	}
}

// lingers reports whether a closed connection is being read until its end.
func lingers() bool {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, stack := range strings.Split(string(stacks), "\n\n") {
		if strings.Contains(stack, "goaway.(*conn)") && strings.Contains(stack, "io.Copy(") {
			return true
		}
	}
	return false
}

// Guards against connections that stay open because a second close, the worker's, forgets the first.
func TestConnectionThatIsClosedWhileBusyEnds(t *testing.T) {
	for name, prepare := range map[string]func(o *order, server *fasthttp.Server, closeIt func()){
		"while the request runs": func(_ *order, server *fasthttp.Server, closeIt func()) {
			server.Handler = func(*fasthttp.RequestCtx) { closeIt() }
		},
		"before it is reported closed": func(o *order, _ *fasthttp.Server, closeIt func()) {
			o.state = func(state fasthttp.ConnState) {
				if state == fasthttp.StateClosed {
					closeIt()
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			o, server := &order{}, &fasthttp.Server{DisableKeepalive: true}
			prepare(o, server, func() {
				o.mutex.Lock()
				defer o.mutex.Unlock()
				_ = o.accepted.Close()
			})
			conn, reader := o.start(t, server)
			send(t, conn, testRequest)
			awaitThat(t, "the end of the worker", func() bool { return o.reached(fasthttp.StateClosed) })
			if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, reader); err != nil && !isReset(err) {
				t.Errorf("the peer does not see the close: %v", err)
			}
		})
	}
}

// Guards against a peer that has closed its side and gets no answer, and against notices behind error answers.
func TestLastAnswerOfAConnection(t *testing.T) {
	for name, c := range map[string]struct {
		sent      string
		closeSide bool
		status    int
	}{
		"peer has closed its side": {testRequest, true, http.StatusOK},
		"malformed head":           {"GET\r\n\r\n", false, http.StatusBadRequest},
		"malformed second head":    {testRequest + "GET\r\n\r\n", false, http.StatusBadRequest},
		"head too long":            {"GET /" + strings.Repeat("x", 8<<10) + " HTTP/1.1\r\n\r\n", false, http.StatusRequestHeaderFieldsTooLarge},
		"body too long":            {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n", false, http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &order{}
			conn, reader := o.start(t, &fasthttp.Server{MaxRequestBodySize: 4 << 10})
			send(t, conn, c.sent)
			if c.closeSide {
				is.NoErr(conn.CloseWrite())
			}
			status := 0
			for {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					is.True(errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || isReset(err))
					break
				}
				_, err = io.Copy(io.Discard, response.Body)
				is.NoErr(err)
				status = response.StatusCode
			}
			is.Equal(status, c.status) // nothing behind it
		})
	}
}
