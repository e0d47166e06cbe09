package callerconn

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against answers written at the close of a connection that differ from the server's own: a body behind the
// answer to HEAD would be taken for the next answer.
func TestAnswersAtTheCloseAreFramedLikeTheServers(t *testing.T) {
	for name, stop := range map[string]bool{"by the server": false, "at the close": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newEndingServer(t, func(s *testServer) {
				s.listener.options.MayRunAhead = func(*fasthttp.RequestHeader) bool { return true }
			})
			caller := s.connect(t)
			head := "HEAD /safe/2 HTTP/1.1\r\nHost: h\r\n\r\n"
			caller.send(t, get("/gate/1"), head, get("/safe/3"))
			await(t, "the others to run", func() bool { return s.runsOf("/safe/2") == 1 && s.runsOf("/safe/3") == 1 })
			if stop {
				go func() { _ = s.server.Shutdown() }()
				await(t, "the stop", func() bool { return s.listener.stopping.Load() })
			}
			close(s.gate("/gate/1"))
			for place, method := range []string{http.MethodGet, http.MethodHead, http.MethodGet} {
				response, err := http.ReadResponse(caller.reader, &http.Request{Method: method})
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), []string{"/gate/1 ", "", "/safe/3 "}[place])
				is.Equal(response.ContentLength, int64(len("/gate/1 "))) // all answers have this length
				is.Equal(response.Close, stop && place == 2)
			}
		})
	}
}

// Guards against a stop that lasts until a caller reads an answer which is written at the close of its connection.
func TestStopDoesNotWaitForACallerThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	large := bytes.Repeat([]byte("x"), 64<<20) // more than the sockets hold
	s, _ := newEndingServer(t, func(s *testServer) {
		s.listener.options.WriteTimeout = 50 * time.Millisecond
		handle := s.listener.options.Handler
		s.listener.options.Handler = func(request *fasthttp.RequestCtx) {
			handle(request)
			if string(request.Path()) == "/safe/2" {
				request.Response.SetBodyRaw(large)
			}
		}
	})
	caller := s.connect(t)
	caller.send(t, get("/gate/1"), get("/safe/2"))
	await(t, "the second to run", func() bool { return s.runsOf("/safe/2") == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Shutdown() }()
	await(t, "the stop", func() bool { return s.listener.stopping.Load() })
	close(s.gate("/gate/1"))
	is.NoErr(<-stopped)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(s.listener.WaitContext(ctx))
	is.Equal(s.listener.Ahead(), 0)
}

// Guards against a connection on which nothing has been sent and which a stop leaves open once the time of the server's
// shutdown is over.
func TestNewConnectionGetsTheNoticeAfterTheDeadlineOfTheShutdown(t *testing.T) {
	is := is.New(t)
	s, accepted := newEndingServer(t, nil)
	caller := s.connect(t)
	c := <-accepted
	await(t, "the server to wait", func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.waiting
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.server.ShutdownWithContext(ctx) // an error unless the connection is closed by then
	_, statuses, closing := caller.rest()
	is.Equal(statuses, []int{http.StatusServiceUnavailable})
	is.True(closing)
	s.listener.Wait()
}

// Guards against an answer in chunks to a caller that speaks HTTP/1.0, which cannot read it.
func TestAnswersInChunksAreForCallersThatReadThem(t *testing.T) {
	for name, stop := range map[string]bool{"by the server": false, "at the close": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newEndingServer(t, func(s *testServer) {
				handle := s.listener.options.Handler
				s.listener.options.Handler = func(request *fasthttp.RequestCtx) {
					handle(request)
					request.SetBodyStream(strings.NewReader("stream"), -1)
				}
			})
			caller := s.connect(t)
			caller.send(t, "GET /gate/1 HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "GET /safe/2 HTTP/1.0\r\nHost: h\r\n\r\n")
			await(t, "the first to run", func() bool { return s.runsOf("/gate/1") == 1 })
			// Other connections show that the server has had time for the second.
			for range 20 {
				other := s.connect(t)
				other.send(t, get("/safe/other"))
				other.answer(t)
			}
			if stop {
				go func() { _ = s.server.Shutdown() }()
				await(t, "the stop", func() bool { return s.listener.stopping.Load() })
			}
			close(s.gate("/gate/1"))
			received, err := io.ReadAll(caller.reader)
			is.NoErr(err)
			is.True(!strings.Contains(string(received), "chunked"))
			is.True(strings.Contains(string(received), "stream"))
		})
	}
}
