package transport

import (
	"go.uber.org/zap"

	"limehold/wire"
)

// provedMisses is after how many looks in a row at which nothing has come, all but the last of them followed
// by a ping, a connection may have gone silent.
const provedMisses = 3

// proof is what the last look at a connection has found.
type proof struct {
	looked   bool
	received uint64
	misses   int
}

// missing asks for a sign of life where none has come since the last look. It reports whether that has been in
// vain provedMisses times in a row: a process that stood still itself has looked once, not many times. One
// goroutine looks at a connection: that of its Link, or of the Server that has accepted it.
func (c *Conn) missing() bool {
	_, received := c.Bytes()
	if !c.life.looked || received != c.life.received {
		c.life = proof{looked: true, received: received}
		return false
	}
	c.life.misses++
	if c.life.misses < provedMisses {
		// A full queue is no sign of life either; what is in it asks for one.
		_ = c.enqueue(frame{kind: wire.KindPing})
		return false
	}
	c.life.misses = 0
	return true
}

// told writes that a connection was found to lead nowhere.
func (o *Options) told(event string, conn *Conn) {
	if o.Logger != nil {
		o.Logger.Info(event, zap.String("peer", conn.Peer.Name), zap.Duration("silent", conn.Silence()))
	}
}
