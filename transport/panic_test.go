package transport

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"limehold/wire"
)

// A handler panic must fail the one request and leave the connection and the process
// running; otherwise one message could crash every process that receives it.
func TestMessageThatNobodyCanHandleEndsByItself(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	conn, err := dial(t, server.Address(), Options{Local: hello(wire.RoleAgent, "a")})
	is.NoErr(err)
	var failure *wire.Error
	is.True(errors.As(conn.Call(context.Background(), kindPanic, "x", nil), &failure))
	is.Equal(failure.Code, wire.CodeInternal)
	var reply string
	is.NoErr(conn.Call(context.Background(), kindEcho, "there", &reply))
}
