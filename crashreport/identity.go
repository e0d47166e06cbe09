package crashreport

import (
	"sync"

	"github.com/valyala/fasthttp"

	"limehold/quarantine"
)

// identityBuffers holds buffers for computing identities.
var identityBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Identify returns the identity by which repetitions of a request are recognized. The router
// that sends the request and the ingress that receives it compute it independently, as a header
// would add 64 bytes to every request, and traffic between zones is billed by the byte.
// callerField is the header that names the calling service, empty if there is none.
//
// A streamed body is identified by its length only: waiting for the whole body would delay
// forwarding it.
func Identify(request *fasthttp.Request, callerField string) quarantine.Identity {
	header := &request.Header
	described := quarantine.Request{Method: header.Method(), Host: header.Host(), Target: header.RequestURI()}
	if request.IsBodyStream() {
		described.Length = header.ContentLength()
	} else {
		described.Body = request.Body()
		described.Length = len(described.Body)
	}
	caller := [...][]byte{nil, header.Peek(fasthttp.HeaderAuthorization), header.Peek(fasthttp.HeaderCookie)}
	if callerField != "" {
		caller[0] = header.Peek(callerField)
	}
	described.Caller = caller[:]
	scratch := identityBuffers.Get().(*[]byte)
	defer identityBuffers.Put(scratch)
	var identity quarantine.Identity
	identity, *scratch = described.Identity(*scratch)
	return identity
}

// Sample describes a request for operators. It omits the query, which may hold the caller's data.
func Sample(request *fasthttp.Request) string {
	return string(request.Header.Method()) + " " + string(request.Header.Host()) + string(request.URI().PathOriginal())
}
