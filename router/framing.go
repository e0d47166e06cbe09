package router

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/catalog"
	"limehold/wire"
)

const (
	// headerRefused carries a verdict on a request's head to the handler; what a
	// caller sends under the name is overwritten or dropped.
	headerRefused = wire.HeaderPrefix + "Refused"
	// earlyBody is the length of a body from which its route's limit is looked
	// up before any of it is read.
	earlyBody = 4 << 10
	// headTimeout bounds the arrival of a request's head.
	headTimeout = 10 * time.Second
	// writeTimeout bounds how long a caller may take to read an answer that is
	// written in one go.
	writeTimeout = 10 * time.Second
	// bodySlack is added to a route's timeout for the arrival of a body.
	bodySlack = time.Second
	// lingerTime and lingerBytes bound what is still read of a refused
	// request's body, so that the refusal reaches the caller before the close.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// headReceived looks at a request's head before its body is read: an ambiguous
// head, or a body that the route does not allow, is not read any further.
func (r *Router) headReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(headerRefused)
	if !unambiguous(header.RawHeaders()) {
		stopReading(header, refuseBadRequest)
		return fasthttp.RequestConfig{}
	}
	if header.ContentLength() < earlyBody && header.ContentLength() >= 0 {
		return fasthttp.RequestConfig{}
	}
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	route := r.limitsFor(string(header.Host()), string(path), string(header.Method()))
	if route == nil {
		stopReading(header, r.refuseUnmatched())
		return fasthttp.RequestConfig{}
	}
	if int64(header.ContentLength()) > route.MaxRequestBytes {
		stopReading(header, refuseBodyTooBig)
	}
	return fasthttp.RequestConfig{ReadTimeout: route.Timeout.Std() + bodySlack}
}

// limitsFor returns the limits of the route that a request takes, or nil.
func (r *Router) limitsFor(host, path, method string) *catalog.Route {
	if found, rest := r.table.find(host, path); found != nil {
		route, _ := found.spec.RouteFor(method, rest)
		return route
	}
	if routed := r.table.route(host, path); routed != nil {
		return &routed.limits
	}
	return nil
}

// stopReading makes the library leave the body alone and close the connection
// after the answer.
func stopReading(header *fasthttp.RequestHeader, refused refusal) {
	header.Del(fasthttp.HeaderTransferEncoding)
	header.Del(fasthttp.HeaderExpect)
	header.SetContentLength(0)
	header.SetConnectionClose()
	header.Set(headerRefused, refused.reason)
}

// earlyRefusals are those that stopReading may name.
var earlyRefusals = map[string]refusal{
	refuseBadRequest.reason: refuseBadRequest, refuseBodyTooBig.reason: refuseBodyTooBig,
	refuseNoService.reason: refuseNoService, refuseNotCurrent.reason: refuseNotCurrent,
}

// unambiguous reports whether two readers must agree on where a request's head
// and body end (RFC 9112, sections 2.2, 5 and 6): the HTTP library is more
// lenient than is safe between two processes.
func unambiguous(raw []byte) bool {
	var lengths, encodings int
	for len(raw) > 0 {
		line, rest, found := bytes.Cut(raw, []byte("\r\n"))
		if !found {
			return false
		}
		raw = rest
		if len(line) == 0 {
			break
		}
		name, value, colon := bytes.Cut(line, []byte(":"))
		if !colon || bytes.ContainsAny(line, "\r\n\x00") || bytes.ContainsAny(name, " \t") || len(name) == 0 {
			return false
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if !allDigits(value) {
				return false
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return false
			}
		}
	}
	return lengths+encodings <= 1
}

func allDigits(text []byte) bool {
	const longest = 18
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= longest
}

// closeAfterRefusal ends the connection of a refused request whose body has not
// been read: what still arrives is thrown away for a while, as an immediate
// close could destroy the refusal on its way.
func closeAfterRefusal(request *fasthttp.RequestCtx) {
	request.SetConnectionClose()
	request.Hijack(func(conn net.Conn) {
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime))
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	})
}
