// Package rawserver is a stand-in for servers that send malformed responses, for tests of those who read them.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that sends answer to each request, and returns its address.
func Start(t testing.TB, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, answer)
		}
	}()
	return listener.Addr().String()
}

func serve(conn net.Conn, answer string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// Response returns a valid response with status 200 and a body.
func Response(body string) string { return response("HTTP/1.1 200 OK", "", body) }

// Malformed returns malformed responses with a body by what is wrong with them. Lenient clients take each for a response with
// status 200.
func Malformed(body string) map[string]string {
	return map[string]string{
		"status 000":               response("HTTP/1.1 000 OK", "", body),
		"status 000 after another": "HTTP/1.1 103 Early Hints\r\n\r\n" + response("HTTP/1.1 000 OK", "", body),
		"blank in a name":          response("HTTP/1.1 200 OK", "X Other: 1\r\n", body),
		"blank behind a name":      response("HTTP/1.1 200 OK", "X-Other : 1\r\n", body),
		"blank behind the length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s", len(body), body),
	}
}

func response(statusLine, fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
}
