package upstream

import (
	"hash/maphash"
	"time"

	"limehold/clock"
)

const (
	// maxSentIDs bounds the request IDs that a connection remembers. A connection on which more are sent while they may still
	// be sent again is closed.
	maxSentIDs = 4096
	// resendMargin is for how long after its deadline a request may be sent again.
	resendMargin = 5 * time.Second
)

// sentIDs holds the digests of the IDs of requests that were sent over a connection and may be sent again. A surplus copy of
// an answer on that connection carries the same ID as the answer to a later sending, so that only the connection
// distinguishes the two.
type sentIDs struct {
	// list is in the order of the sendings.
	list []sentID
}

type sentID struct {
	digest uint64
	// until is when the request is sent no more.
	until time.Duration
}

var sentIDSeed = maphash.MakeSeed()

// digestOf returns the digest of a request ID. Equal digests of different IDs only cost a connection.
func digestOf(id string) uint64 { return maphash.String(sentIDSeed, id) }

// has reports whether a request was sent.
func (s *sentIDs) has(digest uint64) bool {
	for _, sent := range s.list {
		if sent.digest == digest {
			return true
		}
	}
	return false
}

// add adds a request, and drops the first ones that are sent no more.
func (s *sentIDs) add(digest uint64, until, now time.Duration) {
	expired := 0
	for expired < len(s.list) && s.list[expired].until <= now {
		expired++
	}
	s.list = append(s.list[expired:], sentID{digest, until})
}

// isFull reports whether there is no room for a further request.
func (s *sentIDs) isFull() bool { return len(s.list) >= maxSentIDs }

// GetFor is like Get for a request with an ID that may be sent until a deadline. The connection has carried no earlier
// sending of that request.
func (p *Pool) GetFor(address, id string, deadline time.Duration) (*Conn, error) {
	now, digest := clock.Now(), digestOf(id)
	conn, err := p.get(address, deadline-now, func(idle *Conn) bool { return !idle.sent.has(digest) })
	if err != nil {
		return nil, err
	}
	conn.sent.add(digest, deadline+resendMargin, now)
	return conn, nil
}

// HasSent reports whether a request was sent over the connection, unless its deadline has passed long ago.
func (c *Conn) HasSent(id string) bool { return c.sent.has(digestOf(id)) }
