package router

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/catalog"
	"limehold/wire"
)

const (
	// headerRejected passes the reason of an early rejection to the handler. A header of
	// this name that a caller sends is overwritten or removed.
	headerRejected = wire.HeaderPrefix + "Refused"
	// earlyCheckSize is the content length from which the route's body limit is checked
	// before any of the body is read. Bodies of unknown length are checked too.
	earlyCheckSize = 4 << 10
	// headTimeout bounds the arrival of a request's head.
	headTimeout = 10 * time.Second
	// writeTimeout bounds how long a caller may take to read a response that is
	// written at once.
	writeTimeout = 10 * time.Second
	// bodySlack is added to a route's timeout for the arrival of a body.
	bodySlack = time.Second
)

// headReceived checks a request's head before its body is read. The body is not read
// if the head is ambiguous, or if a body that may be earlyCheckSize or longer has no
// route or exceeds the route's limit.
func (r *Router) headReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(headerRejected)
	if !unambiguous(header.RawHeaders()) {
		rejectEarly(header, rejectBadRequest)
		return fasthttp.RequestConfig{}
	}
	if header.ContentLength() < earlyCheckSize && header.ContentLength() >= 0 {
		return fasthttp.RequestConfig{}
	}
	current := r.viewIsCurrent()
	path, _, _ := bytes.Cut(header.RequestURI(), []byte("?"))
	route := r.limitsFor(string(header.Host()), string(path), string(header.Method()))
	if route == nil {
		rejectEarly(header, rejectUnmatched(current))
		return fasthttp.RequestConfig{}
	}
	if int64(header.ContentLength()) > route.MaxRequestBytes {
		rejectEarly(header, rejectBodyTooLarge)
	}
	return fasthttp.RequestConfig{ReadTimeout: route.Timeout.Std() + bodySlack}
}

// limitsFor returns the limits of the route that matches a request, or nil.
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

// rejectEarly makes the HTTP library skip the body and close the connection
// after the response.
func rejectEarly(header *fasthttp.RequestHeader, rejected rejection) {
	header.Del(fasthttp.HeaderTransferEncoding)
	header.Del(fasthttp.HeaderExpect)
	header.SetContentLength(0)
	header.SetConnectionClose()
	header.Set(headerRejected, rejected.reason)
}

// earlyRejections maps reasons set by rejectEarly to rejections.
var earlyRejections = map[string]rejection{
	rejectBadRequest.reason: rejectBadRequest, rejectBodyTooLarge.reason: rejectBodyTooLarge,
	rejectNoService.reason: rejectNoService, rejectNotCurrent.reason: rejectNotCurrent,
}

// unambiguous reports whether all HTTP implementations must agree on where a
// request's head and body end (RFC 9112, sections 2.2, 5 and 6). The HTTP library is
// more lenient, which would allow request smuggling between router and backend.
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
	const maxDigits = 18
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(text) > 0 && len(text) <= maxDigits
}
