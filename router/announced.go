package router

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/upstream"
)

// announcedBody is the size in bytes from which a body is announced to an ingress and sent once that asks for it
// (RFC 9110, section 10.1.1). A body that the ingress rejects then takes nothing of the machines' links, and can be
// sent to another instance.
const announcedBody = 16 << 10

// announcesBody reports whether the request's body is announced.
func (p *proxiedRequest) announcesBody() bool {
	if p.outbound.IsBodyStream() {
		return p.outbound.Header.ContentLength() >= announcedBody
	}
	return len(p.outbound.Body()) >= announcedBody
}

// writeAnnounced sends the head of a request, and the body if the ingress asks for it. Otherwise the final response is
// left to be read, and the body can be sent again.
func (p *proxiedRequest) writeAnnounced(conn *upstream.Conn) error {
	out := p.outbound
	stream := out.BodyStream()
	if stream == nil {
		out.Header.SetContentLength(len(out.Body()))
	}
	out.Header.Set(fasthttp.HeaderExpect, "100-continue")
	err := out.Header.Write(conn.Writer)
	out.Header.Del(fasthttp.HeaderExpect)
	if err == nil {
		err = conn.Writer.Flush()
	}
	isAsked := false
	if err == nil {
		isAsked, err = conn.IsAskedForBody()
	}
	if err != nil {
		// A request is not run without its body.
		return errors.Join(errNothingSent, eris.Wrap(err, "announce the body"))
	}
	if !isAsked {
		return nil
	}
	if p.isAbandoned() {
		return errors.Join(errNothingSent, errCallerGone) // of the body, without which nothing is run
	}
	if stream == nil {
		_, err = conn.Writer.Write(out.Body())
	} else {
		p.bodyUsed = true
		_, err = io.CopyN(conn.Writer, stream, int64(out.Header.ContentLength()))
	}
	if err != nil {
		return err
	}
	return conn.Writer.Flush()
}
