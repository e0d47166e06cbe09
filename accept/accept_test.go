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

// short is a listener whose next calls fail.
type short struct {
	net.Listener
	fails []error
}

// Accept implements net.Listener.
func (s *short) Accept() (net.Conn, error) {
	if len(s.fails) == 0 {
		return s.Listener.Accept()
	}
	err := s.fails[0]
	s.fails = s.fails[1:]
	return nil, err
}

func accept4(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", number)}
}

func TestServerGoesOnThroughWhatPasses(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		fails []error
		// ends is with what the server ends; nil: it serves.
		ends error
	}{
		"nothing":                       {nil, nil},
		"no descriptors":                {[]error{accept4(syscall.EMFILE)}, nil},
		"no descriptors for some time":  {[]error{accept4(syscall.EMFILE), accept4(syscall.ENFILE), accept4(syscall.EMFILE)}, nil},
		"a caller that left":            {[]error{accept4(syscall.ECONNABORTED)}, nil},
		"a listener that has no future": {[]error{accept4(syscall.EMFILE), broken}, broken},
		"a bad descriptor":              {[]error{accept4(syscall.EBADF)}, syscall.EBADF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer inner.Close()
			registry := metrics.New()
			lasting := Lasting(&short{Listener: inner, fails: c.fails}, "test", zap.NewNop(), registry)
			server := &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) { request.SetBodyString("served") }}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(lasting) }()
			if c.ends != nil {
				is.True(errors.Is(<-ended, c.ends))
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
		fails[i] = accept4(syscall.EMFILE)
	}
	lasting := Lasting(&short{Listener: inner, fails: fails}, "test", zap.NewNop(), metrics.New())
	ended := make(chan error, 1)
	go func() {
		_, err := lasting.Accept()
		ended <- err
	}()
	is.NoErr(lasting.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
}
