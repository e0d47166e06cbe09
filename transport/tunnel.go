package transport

import (
	"io"
	"net"
	"sync"
	"time"
)

// tunnelDial is how long a relay tries to connect.
const tunnelDial = 300 * time.Millisecond

// DialTunnel connects a relay with the address that it was asked for.
func DialTunnel(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, tunnelDial) }

// Tunnel passes bytes on between two connections until either ends, and closes both.
func Tunnel(one, other net.Conn) {
	_ = one.SetDeadline(time.Time{})
	var both sync.WaitGroup
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
	}
	both.Go(func() { pass(one, other) })
	both.Go(func() { pass(other, one) })
	both.Wait()
}
