package router

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"limehold/callerconn"
)

// Guards against resets that destroy a rejection while the caller still sends the body: the connection has to stay
// readable behind it.
func TestRejectionBeforeTheBodyIsNotFollowedByAReset(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	pipelines := callerconn.New(listener, callerconn.Options{
		MaxHeaderBytes: 4 << 10, MayRunAhead: func(*fasthttp.RequestHeader) bool { return false }, Handler: (*fasthttp.RequestCtx).SetConnectionClose,
	})
	server := &fasthttp.Server{Handler: pipelines.Handle, ConnState: pipelines.ConnState, StreamRequestBody: true, MaxRequestBodySize: 1}
	go func() { _ = server.Serve(pipelines) }()
	defer func() { _ = server.Shutdown() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	is.NoErr(caller.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\ny")
	is.NoErr(err)
	reader := bufio.NewReader(caller)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(response.Close)
	_, err = reader.ReadByte()
	is.True(errors.Is(err, io.EOF))
	for range 2 { // the first write is answered with the reset
		_, err = io.WriteString(caller, "more of the body")
		is.NoErr(err)
	}
}
