package ingress

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"limehold/bench/rawserver"
	"limehold/upstream"
	"limehold/wire"
)

// Guards against responses that are no HTTP and reach the caller as a response, or as the statement that its request did
// not run.
func TestMalformedResponsesAreUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		statusLine string
		// fields stand between the ID and the empty line.
		fields string
	}{
		"status 000":                             {"HTTP/1.1 000 OK", ""},
		"status 000, not run":                    {"HTTP/1.1 000 OK", "X-Not-Run: 1\r\n"},
		"status 099":                             {"HTTP/1.1 099 OK", ""},
		"status of two digits":                   {"HTTP/1.1 20 OK", ""},
		"status of four digits":                  {"HTTP/1.1 2000 OK", ""},
		"status with a sign":                     {"HTTP/1.1 +20 OK", ""},
		"no status":                              {"HTTP/1.1 OK", ""},
		"switch of the protocol":                 {"HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n"},
		"control byte in reason":                 {"HTTP/1.1 200 O\x01K", ""},
		"CR in reason":                           {"HTTP/1.1 200 OK\rX-Other: 1", ""},
		"another major version":                  {"HTTP/3.1 200 OK", ""},
		"blank in a name":                        {"HTTP/1.1 200 OK", "X Other: 1\r\n"},
		"blank behind a name":                    {"HTTP/1.1 200 OK", "X-Other : 1\r\n"},
		"tab behind a name":                      {"HTTP/1.1 200 OK", "X-Other\t: 1\r\n"},
		"control byte in a name":                 {"HTTP/1.1 200 OK", "X-\x01Other: 1\r\n"},
		"NUL in a name":                          {"HTTP/1.1 200 OK", "X-\x00Other: 1\r\n"},
		"CR in a name":                           {"HTTP/1.1 200 OK", "X-\rOther: 1\r\n"},
		"DEL in a name":                          {"HTTP/1.1 200 OK", "X-\x7fOther: 1\r\n"},
		"no name":                                {"HTTP/1.1 200 OK", ": 1\r\n"},
		"no colon":                               {"HTTP/1.1 200 OK", "X-Other\r\n"},
		"blank before the length":                {"HTTP/1.1 200 OK", "Content-Length : 2\r\n"},
		"folded name":                            {"HTTP/1.1 200 OK", "X-Other \r\n : 1\r\n"},
		"blank in a folded field":                {"HTTP/1.1 200 OK", "X Other: 1\r\n 2\r\n"},
		"control byte in a value":                {"HTTP/1.1 200 OK", "X-Other: a\x01b\r\n"},
		"CR in a value":                          {"HTTP/1.1 200 OK", "X-Other: a\rb\r\n"},
		"not run, blank in a name":               {"HTTP/1.1 503 Service Unavailable", "X-Not-Run: 1\r\nX Other: 1\r\n"},
		"not run by a name that ends in a blank": {"HTTP/1.1 503 Service Unavailable", "X-Not-Run : 1\r\n"},
		"LF before a name":                       {"HTTP/1.1 200 OK", "\nX-Other: 1\r\n"},
		"LF in a name":                           {"HTTP/1.1 200 OK", "X: 1\nX-Other: 1\r\n"},
		"chunked in HTTP/1.0":                    {"HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"},
	} {
		for framing, body := range map[string]string{"length": "Content-Length: 5\r\n\r\nhello", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "end of the connection": "\r\nhello"} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				is := is.New(t)
				instance := startInstance(t, func(id string) string {
					return fmt.Sprintf("%s\r\nX-Request-Id: %s\r\n%s%s", c.statusLine, id, c.fields, body)
				}, true)
				response := ask(t, startIngress(t, instance), nil)
				is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeUnknown)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(instance.received.Load(), int64(1)) // not sent again by the ingress
			})
		}
	}
}

// Guards against probes of an instance's health that count as answered by a malformed response.
func TestMalformedHealthAnswersAreNone(t *testing.T) {
	probe := func(answer string) error {
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		return queryHealth(rawserver.Start(t, answer), "/health", request, response)
	}
	if err := probe(rawserver.Response("ok")); err != nil {
		t.Fatal(err)
	}
	for name, answer := range rawserver.Malformed("ok") {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(upstream.IsMalformed(probe(answer)))
		})
	}
}
