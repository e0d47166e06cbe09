package accept

import (
	"errors"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/metrics"
)

// failingListener is a listener whose next Accept calls fail with the given errors.
type failingListener struct {
	net.Listener
	fails []error
}

// Accept implements net.Listener.
func (s *failingListener) Accept() (net.Conn, error) {
	if len(s.fails) == 0 {
		return s.Listener.Accept()
	}
	err := s.fails[0]
	s.fails = s.fails[1:]
	return nil, err
}

// acceptError returns the error of a net.Listener whose accept4 system call fails.
func acceptError(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", number)}
}

func TestServerGoesOnThroughWhatPasses(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		fails []error
		// wantErr is the error with which the server ends, or nil if it keeps serving.
		wantErr error
	}{
		"nothing":                       {nil, nil},
		"no descriptors":                {[]error{acceptError(syscall.EMFILE)}, nil},
		"no descriptors for some time":  {[]error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.EMFILE)}, nil},
		"a caller that left":            {[]error{acceptError(syscall.ECONNABORTED)}, nil},
		"a listener that has no future": {[]error{acceptError(syscall.EMFILE), broken}, broken},
		"a bad descriptor":              {[]error{acceptError(syscall.EBADF)}, syscall.EBADF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer inner.Close()
			registry := metrics.New()
			listener := RetryTemporary(&failingListener{Listener: inner, fails: c.fails}, "test", zap.NewNop(), registry)
			server := &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) { request.SetBodyString("served") }}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(listener) }()
			if c.wantErr != nil {
				is.True(errors.Is(<-ended, c.wantErr))
				return
			}
			_, body, err := fasthttp.GetTimeout(nil, "http://"+inner.Addr().String()+"/", 10*time.Second)
			is.NoErr(err)
			is.Equal(string(body), "served")
			text, err := registry.Text()
			is.NoErr(err)
			is.Equal(strings.Contains(string(text), "accept_failures_total 0"), len(c.fails) == 0)
			is.NoErr(server.Shutdown())
			is.NoErr(<-ended)
		})
	}
}

func TestClosedListenerWaitsForNothing(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	fails := make([]error, 1000)
	for i := range fails {
		fails[i] = acceptError(syscall.EMFILE)
	}
	listener := RetryTemporary(&failingListener{Listener: inner, fails: fails}, "test", zap.NewNop(), metrics.New())
	ended := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	is.NoErr(listener.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
}
