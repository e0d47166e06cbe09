package upstream

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/valyala/fasthttp"
)

// FuzzResponseHeader checks that a header that passes the check is not read otherwise by the HTTP library: it has the same
// status and ends at the same byte. The library may refuse more.
func FuzzResponseHeader(f *testing.F) {
	for _, header := range []string{
		"HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.0 404\r\nX-Other:\r\n\t2\r\n\r\n",
		"\r\nHTTP/1.1 503 \r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\n\r\n\r\n",
		"HTTP/1.1 000 OK\r\nA : b\r\n\r\n",
	} {
		f.Add([]byte(header))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		header, err := peekHeader(bufio.NewReaderSize(bytes.NewReader(data), bufferSize))
		if err != nil {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(data), bufferSize)
		var parsed fasthttp.ResponseHeader
		if parsed.Read(reader) != nil {
			return
		}
		rest, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		if read := len(data) - len(rest); header.size != read {
			t.Fatalf("the header ends at %d, for the library at %d: %q", header.size, read, data)
		}
		if parsed.StatusCode() != header.status {
			t.Fatalf("status %d, for the library %d: %q", header.status, parsed.StatusCode(), data)
		}
		for name := range parsed.All() {
			if !isToken(name) {
				t.Fatalf("field name %q: %q", name, data)
			}
		}
	})
}
