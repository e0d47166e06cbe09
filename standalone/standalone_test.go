package standalone

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that goes on without one of its parts, and against a lost error of that part.
func TestPartThatEndsEndsTheOthers(t *testing.T) {
	errPart := errors.New("the part failed")
	untilStopped := func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	}
	fails := func(context.Context) error { return errPart }
	for name, c := range map[string]struct {
		server  part
		clients []part
		err     error
	}{
		"a client fails":   {untilStopped, []part{untilStopped, fails}, errPart},
		"the server fails": {fails, []part{untilStopped, untilStopped}, errPart},
		"a client ends":    {untilStopped, []part{func(context.Context) error { return nil }, untilStopped}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(runParts(t.Context(), c.server, c.clients...), c.err)
		})
	}
}

// Guards against a control member that stops before the processes that need it.
func TestClientsStopBeforeTheServer(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	clientEnded := false
	client := func(ctx context.Context) error {
		<-ctx.Done()
		clientEnded = true
		return nil
	}
	server := func(ctx context.Context) error {
		stop()
		<-ctx.Done()
		if !clientEnded {
			return errors.New("the server was stopped before its client")
		}
		return nil
	}
	is.New(t).NoErr(runParts(ctx, server, client))
}
