package transport

import (
	"go.uber.org/zap"

	"limehold/wire"
)

// maxMissedChecks is the number of consecutive checks without received data, all but the last of them followed by
// a ping, after which a connection is considered possibly half-open.
const maxMissedChecks = 3

// liveness is the state of the liveness checks of a connection.
type liveness struct {
	checked  bool
	received uint64
	misses   int
}

// probeFailed checks whether data has arrived since the last check, and sends a ping if not. It returns true if
// maxMissedChecks consecutive checks found no data. Misses are counted by checks rather than by time, so that
// a suspension of this process does not count as silence of the peer. Only one goroutine calls probeFailed on
// a connection: that of its Link, or that of the Server that accepted the connection.
func (c *Conn) probeFailed() bool {
	_, received := c.Bytes()
	if !c.liveness.checked || received != c.liveness.received {
		c.liveness = liveness{checked: true, received: received}
		return false
	}
	c.liveness.misses++
	if c.liveness.misses < maxMissedChecks {
		// A full queue does not show that the peer is alive, but the frames in it serve as well as a ping.
		_ = c.enqueue(frame{kind: wire.KindPing})
		return false
	}
	c.liveness.misses = 0
	return true
}

// logSilence logs an event about a connection that stopped receiving data.
func (o *Options) logSilence(event string, conn *Conn) {
	if o.Logger != nil {
		o.Logger.Info(event, zap.String("peer", conn.Peer.Name), zap.Duration("silent", conn.Silence()))
	}
}
