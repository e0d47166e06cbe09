package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
)

// A connection that its peer may have closed is not reused, also when the machine was suspended
// meanwhile.
func TestIdleConnectionsGrowOldWhileTheMachineIsSuspended(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration
		reused    bool
	}{
		"not suspended":          {0, true},
		"for longer than it may": {time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			pool := NewPool(time.Minute)
			address := listener.Addr().String()
			first, err := pool.Get(address, time.Second)
			is.NoErr(err)
			pool.Put(first)
			clock.SimulateSuspension(c.suspended)
			second, err := pool.Get(address, time.Second)
			is.NoErr(err)
			is.Equal(second == first, c.reused)
			second.Close()
		})
	}
}
