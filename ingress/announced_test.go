package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// sendUpload sends a request with an announced body, as a router does, and returns the status of the response, and
// the body if it was asked for.
func sendUpload(t *testing.T, i *Ingress, id string, body []byte) (status int, asked bool) {
	t.Helper()
	conn, err := net.Dial("tcp", i.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n%s: %s.1\r\n%s: orders\r\n%s: 2000\r\n%s: 1000\r\nX-Request-Id: %s\r\n\r\n",
		len(body), wire.HeaderAttempt, id, wire.HeaderService, wire.HeaderDeadline, wire.HeaderTarget, id)
	reader := bufio.NewReader(conn)
	start, err := reader.Peek(len("HTTP/1.1 100"))
	if err != nil {
		t.Fatal(err)
	}
	if asked = string(start) == "HTTP/1.1 100"; asked {
		for line := ""; line != "\r\n"; {
			if line, err = reader.ReadString('\n'); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := conn.Write(body); err != nil {
			t.Fatal(err)
		}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode, asked
}

// Guards against answers that wait until the instance has read the request's body, and against other bytes where the
// rest of that body is due.
func TestInstanceMayAnswerBeforeItReadsTheBody(t *testing.T) {
	for name, size := range map[string]int{"held by the HTTP library": 40 << 10, "read by the ingress": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			read, answered := make(chan []byte, 4), make(chan struct{})
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						reader := bufio.NewReaderSize(conn, 1<<10)
						for {
							request, err := http.ReadRequest(reader)
							if err != nil {
								return
							}
							_, _ = io.WriteString(conn, okResponse(request.Header.Get("X-Request-Id")))
							<-answered // the caller has the answer
							body, err := io.ReadAll(request.Body)
							if err != nil {
								return
							}
							read <- body
						}
					}()
				}
			}()
			i := startIngress(t, &fakeInstance{listener: listener})
			for round := range 2 {
				body := bytes.Repeat([]byte(fmt.Sprint(round)), size)
				status, asked := sendUpload(t, i, fmt.Sprint("r-", round), body)
				is.Equal(status, http.StatusOK)
				is.True(asked)
				if round == 0 {
					close(answered)
				}
				is.True(bytes.Equal(<-read, body))
			}
		})
	}
}

// Guards against bodies that are asked for although they would be late, and against requests that are run without
// their whole body.
func TestBodyThatWouldBeLateIsNotAskedFor(t *testing.T) {
	is := is.New(t)
	instance := startInstance(t, okResponse, false)
	i := startIngress(t, instance)
	i.inbound.rate = 100_000 // bytes per second
	status, asked := sendUpload(t, i, "in-time", []byte(strings.Repeat("x", 20<<10)))
	is.Equal(status, http.StatusOK)
	is.True(asked)
	status, asked = sendUpload(t, i, "late", []byte(strings.Repeat("x", 200<<10)))
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(asked, false)
	is.Equal(instance.received.Load(), int64(1))
	is.Equal(i.inbound.load(), time.Duration(0))
	is.Equal(i.inbound.memory(), 0.0)
}
