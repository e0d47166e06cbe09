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
// callerField and tenantField are the headers that name the calling service and the tenant, empty if
// there are none.
//
// A streamed body is identified by its length only: waiting for the whole body would delay
// forwarding it.
func Identify(request *fasthttp.Request, callerField, tenantField string) quarantine.Identity {
	header := &request.Header
	described := quarantine.Request{Method: header.Method(), Host: header.Host(), Target: header.RequestURI()}
	if request.IsBodyStream() {
		described.Length = header.ContentLength()
	} else {
		described.Body = request.Body()
		described.Length = len(described.Body)
	}
	caller := [4][]byte{nil, header.Peek(fasthttp.HeaderAuthorization), header.Peek(fasthttp.HeaderCookie)}
	if callerField != "" {
		caller[0] = header.Peek(callerField)
	}
	described.Caller = caller[:3]
	if tenantField != "" && len(header.Peek(tenantField)) > 0 {
		caller[3] = header.Peek(tenantField)
		described.Caller = caller[:]
	}
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
