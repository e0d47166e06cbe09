package bulletin

import (
	"sync"

	"github.com/valyala/fasthttp"

	"limehold/quarantine"
)

// scratches are what identities are made in.
var scratches = sync.Pool{New: func() any { return new([]byte) }}

// Identify returns what a request is recognised by when it comes again. The router that sends
// it and the ingress that gets it work out the same, each by itself: a field between them would
// cost every request 64 bytes, and between zones bytes are priced. callerField names
// the field that tells the caller's service; empty: there is none.
//
// A body that is streamed is known by its length only: whoever waited for all of it would hold
// up what can be passed on.
func Identify(request *fasthttp.Request, callerField string) quarantine.Identity {
	header := &request.Header
	asked := quarantine.Request{Method: header.Method(), Host: header.Host(), Target: header.RequestURI()}
	if request.IsBodyStream() {
		asked.Length = header.ContentLength()
	} else {
		asked.Body = request.Body()
		asked.Length = len(asked.Body)
	}
	caller := [...][]byte{nil, header.Peek(fasthttp.HeaderAuthorization), header.Peek(fasthttp.HeaderCookie)}
	if callerField != "" {
		caller[0] = header.Peek(callerField)
	}
	asked.Caller = caller[:]
	scratch := scratches.Get().(*[]byte)
	defer scratches.Put(scratch)
	var identity quarantine.Identity
	identity, *scratch = asked.Identity(*scratch)
	return identity
}

// Sample shows people which request it is, without what its caller has put into the query.
func Sample(request *fasthttp.Request) string {
	return string(request.Header.Method()) + " " + string(request.Header.Host()) + string(request.URI().PathOriginal())
}
