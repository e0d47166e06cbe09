package callerconn

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that ran ahead and get no answer at a shutdown because the caller has closed its sending side:
// it still reads.
func TestHalfClosedCallerGetsTheAnswersToWhatRan(t *testing.T) {
	for name, stop := range map[string]bool{"no shutdown": false, "shutdown": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, accepted := newEndingServer(t, nil)
			caller := s.connect(t)
			caller.send(t, get("/gate/1"), get("/safe/2"), get("/safe/3"))
			await(t, "the others to run", func() bool { return s.runsOf("/safe/2") == 1 && s.runsOf("/safe/3") == 1 })
			is.NoErr(caller.Conn.(*net.TCPConn).CloseWrite())
			c := <-accepted
			await(t, "the end of the requests", func() bool {
				c.mutex.Lock()
				defer c.mutex.Unlock()
				return c.err != nil
			})
			if stop {
				go func() { _ = s.server.Shutdown() }()
				await(t, "the stop", func() bool { return s.listener.stopping.Load() })
			}
			close(s.gate("/gate/1"))
			bodies, _, _ := caller.rest()
			is.Equal(bodies, []string{"/gate/1", "/safe/2", "/safe/3"})
			await(t, "the places to be free", func() bool { return s.listener.Ahead() == 0 })
			is.Equal(s.listener.Notices(), int64(0))
		})
	}
}
