package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a surplus copy of an earlier health answer that is taken for the answer to a later probe: it would prove that
// an incarnation runs which has ended.
func TestCopyOfAHealthAnswerAnswersNoProbe(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	var mutex sync.Mutex
	var first net.Conn
	answer := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Identity: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					mutex.Lock()
					if first == nil {
						first = conn
						_, _ = io.WriteString(conn, answer("i-1"))
						mutex.Unlock()
						continue
					}
					_, _ = io.WriteString(first, answer("i-1")) // fails if the connection is closed
					mutex.Unlock()
					time.Sleep(copyLead)
					_, _ = io.WriteString(conn, answer("i-2"))
				}
			}()
		}
	}()
	for _, want := range []string{"i-1", "i-2"} {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		is.NoErr(queryHealth(listener.Addr().String(), "/health", request, response))
		is.Equal(string(response.Header.Peek("X-Identity")), want)
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
	}
}
