package callerconn

import (
	"context"
	"crypto/tls"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stop that lasts as long as a TLS handshake which a caller does not complete.
func TestStopDoesNotWaitForAHandshake(t *testing.T) {
	is := is.New(t)
	issuer := httptest.NewTLSServer(nil)
	defer issuer.Close()
	s, accepted := newEndingServer(t, func(s *testServer) {
		s.listener.Listener = tls.NewListener(s.listener.Listener, &tls.Config{Certificates: issuer.TLS.Certificates})
		s.server.ReadTimeout = time.Minute
	})
	s.connect(t)
	c := <-accepted
	await(t, "the server to wait", func() bool {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.waiting
	})
	is.NoErr(s.server.Shutdown())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(s.listener.WaitContext(ctx))
}
