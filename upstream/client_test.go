package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestClientCalls(t *testing.T) {
	const limit = 1 << 10
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/silent":
			<-release
		case "/long":
			_, _ = io.WriteString(writer, strings.Repeat("a", 2*limit))
		case "/last":
			writer.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(writer, request.URL.Path)
	}))
	defer server.Close()
	defer close(release)
	dials := 0
	client := NewClient(time.Minute, limit).WithDial(func(address string, timeout time.Duration) (net.Conn, error) {
		dials++
		return net.DialTimeout("tcp", address, timeout)
	})
	// The calls are made in this order.
	for _, c := range []struct {
		path    string
		timeout time.Duration
		err     error
		dials   int
	}{
		{"/a", time.Minute, nil, 1},
		{"/b", time.Minute, nil, 1},
		{"/last", time.Minute, nil, 1},
		{"/long", time.Minute, fasthttp.ErrBodyTooLarge, 2},
		{"/silent", 50 * time.Millisecond, ErrTimeout, 3},
		{"/c", time.Minute, nil, 4},
	} {
		t.Run(strings.TrimPrefix(c.path, "/"), func(t *testing.T) {
			is := is.New(t)
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://" + server.Listener.Addr().String() + c.path)
			err := client.Do(server.Listener.Addr().String(), request, response, c.timeout)
			is.True(errors.Is(err, c.err))
			is.Equal(dials, c.dials)
			if c.err == nil {
				is.Equal(string(response.Body()), c.path)
			}
		})
	}
}
