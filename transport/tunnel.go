package transport

import (
	"io"
	"net"
	"sync"
	"time"
)

// relayDialTimeout bounds a relay's attempt to connect.
const relayDialTimeout = 300 * time.Millisecond

// DialTunnel connects a relay to the requested address.
func DialTunnel(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, relayDialTimeout) }

// Tunnel copies bytes between two connections in both directions until either ends, and closes both.
func Tunnel(one, other net.Conn) {
	_ = one.SetDeadline(time.Time{})
	var copies sync.WaitGroup
	copyAndClose := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		to.Close()
		from.Close()
	}
	copies.Go(func() { copyAndClose(one, other) })
	copies.Go(func() { copyAndClose(other, one) })
	copies.Wait()
}
