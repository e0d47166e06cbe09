package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// callServer makes one call to a server that answers with raw bytes and then closes the connection.
func callServer(t *testing.T, answer string) (*fasthttp.Response, error) {
	t.Helper()
	client, server := connectTCP(t)
	go func() {
		_, _ = server.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(server, answer)
		_ = server.CloseWrite()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://server/")
	request.Header.SetHost("server")
	_, err := newConn(client, "server", bufferSize).Call(ctx, request, response)
	return response, err
}

// Guards against responses that the HTTP library reads otherwise than their sender meant them.
func TestMalformedResponsesAreRefused(t *testing.T) {
	for name, header := range map[string]string{
		"status 000":                       "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n",
		"status 000 behind an interim one": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n",
		"status 099":                       "HTTP/1.1 099 OK\r\nContent-Length: 5\r\n",
		"status 600":                       "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n",
		"status of two digits":             "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n",
		"status of four digits":            "HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n",
		"status that is no number":         "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n",
		"no status":                        "HTTP/1.1\r\nContent-Length: 5\r\n",
		"switch of the protocol":           "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n",
		"HTTP/2.0":                         "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n",
		"HTTP/1":                           "HTTP/1 200 OK\r\nContent-Length: 5\r\n",
		"no version":                       "200 OK\r\nContent-Length: 5\r\n",
		"control byte in the reason":       "HTTP/1.1 200 O\x01K\r\nContent-Length: 5\r\n",
		"CR in the reason":                 "HTTP/1.1 200 OK\rX-Other: 1\r\nContent-Length: 5\r\n",
		"interim response without end":     strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses+1) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"blank in a name":                  "HTTP/1.1 200 OK\r\nX Other: 1\r\nContent-Length: 5\r\n",
		"blank behind a name":              "HTTP/1.1 200 OK\r\nX-Other : 1\r\nContent-Length: 5\r\n",
		"blank behind Content-Length":      "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n",
		"blank in Content-Length":          "HTTP/1.1 200 OK\r\nContent- Length: 5\r\n",
		"blank behind Transfer-Encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"blank before the first name":      "HTTP/1.1 200 OK\r\n X-Other: 1\r\nContent-Length: 5\r\n",
		"blank in an interim response":     "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
		"byte beyond ASCII in a name":      "HTTP/1.1 200 OK\r\nX-\xc3\x9c: 1\r\nContent-Length: 5\r\n",
		"empty name":                       "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 5\r\n",
		"no colon":                         "HTTP/1.1 200 OK\r\nX-Other\r\nContent-Length: 5\r\n",
		"LF before a name":                 "HTTP/1.1 200 OK\r\n\nX-Other: 1\r\nContent-Length: 5\r\n",
		"LF in a name":                     "HTTP/1.1 200 OK\r\nX: 1\nX-Other: 1\r\nContent-Length: 5\r\n",
		"LF behind the status line":        "HTTP/1.1 200 OK\nContent-Length: 5\r\n",
		"control byte in a value":          "HTTP/1.1 200 OK\r\nX-Other: a\x00b\r\nContent-Length: 5\r\n",
		"control byte in a folded value":   "HTTP/1.1 200 OK\r\nX-Other: a\r\n \x1b\r\nContent-Length: 5\r\n",
		"Transfer-Encoding in HTTP/1.0":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"long line without a colon":        "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 10_000) + " \r\nContent-Length: 5\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := callServer(t, header+"\r\nhello")
			is.True(IsMalformed(err))
			is.True(len(err.Error()) < 300) // what is quoted of the response is bounded
		})
	}
}

// Guards against a reader that refuses what RFC 9112 allows.
func TestUnusualResponsesAreRead(t *testing.T) {
	for name, answer := range map[string]string{
		"length":                     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"no reason":                  "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello",
		"no blank behind the status": "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
		"tab and bytes beyond ASCII": "HTTP/1.1 200 \xc3\x9c\tOK\r\nContent-Length: 5\r\n\r\nhello",
		"name of all token bytes":    "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 5\r\n\r\nhello",
		"no value":                   "HTTP/1.1 200 OK\r\nX-Other:\r\nContent-Length: 5\r\n\r\nhello",
		"tabs around a value":        "HTTP/1.1 200 OK\r\nX-Other:\t1\t\r\nContent-Length:\t5 \r\n\r\nhello",
		"value beyond ASCII":         "HTTP/1.1 200 OK\r\nX-Other: \xff\xc3\x9c\r\nContent-Length: 5\r\n\r\nhello",
		"value with a colon":         "HTTP/1.1 200 OK\r\nX-Other: a b: c\r\nContent-Length: 5\r\n\r\nhello",
		"folded value":               "HTTP/1.1 200 OK\r\nX-Other: 1\r\n\t2 3\r\nContent-Length: 5\r\n\r\nhello",
		"early hints":                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"two interim responses":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"empty line ahead":           "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"chunk extensions":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n\r\n",
		"trailers":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
		"no length":                  "HTTP/1.1 200 OK\r\n\r\nhello",
		"no length, HTTP/1.0":        "HTTP/1.0 200 OK\r\n\r\nhello",
		"length, HTTP/1.0":           "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := callServer(t, answer)
			is.NoErr(err)
			is.Equal(response.StatusCode(), fasthttp.StatusOK)
			is.Equal(string(response.Body()), "hello")
		})
	}
}

// Guards against a header that is read differently by how the network has split it.
func TestResponseArrivesInPieces(t *testing.T) {
	const answer = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Other: 1\r\n 2\r\nContent-Length: 5\r\n\r\nhello"
	is := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	go func() {
		for at := range answer {
			_, _ = io.WriteString(server, answer[at:at+1])
		}
	}()
	response := &fasthttp.Response{}
	is.NoErr(newConn(client, "server", bufferSize).ReadResponse(response, 0))
	is.Equal(string(response.Body()), "hello")
}

// Guards against a connection that ends inside a header and is taken for one that ended before it.
func TestEndInsideAHeader(t *testing.T) {
	is := is.New(t)
	_, err := callServer(t, "HTTP/1.1 200 OK\r\nContent-Le")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = callServer(t, "")
	is.True(errors.Is(err, io.EOF))
}
