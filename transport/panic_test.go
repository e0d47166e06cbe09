package transport

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"limehold/wire"
)

// A message that the handler panics under ends by itself: it is answered as failed, and the
// connection and the process go on. Sent on, it would bring down each process that gets it.
func TestMessageThatNobodyCanHandleEndsByItself(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	conn, err := dial(t, server.Address(), Options{Local: hello(wire.RoleAgent, "a")})
	is.NoErr(err)
	var failure *wire.Error
	is.True(errors.As(conn.Call(context.Background(), kindDown, "x", nil), &failure))
	is.Equal(failure.Code, wire.CodeInternal)
	var reply string
	is.NoErr(conn.Call(context.Background(), kindEcho, "there", &reply))
}
