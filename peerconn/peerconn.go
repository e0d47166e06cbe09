// Package peerconn keeps connections to one incarnation of a peer. An address does not
// identify a process: the process may end and another one may start at its address between
// two calls, and a request meant for the first must not reach the second.
//
// A connection leads to one incarnation for its whole lifetime. A second connection is known to
// lead to the same incarnation if the first one completes its first call, and that was sent after the second
// was accepted: the incarnation that answered was running before and after that moment, and an
// address has one listener at a time. An open but silent connection proves nothing, because a
// machine that loses power closes no connections.
//
// The answer to a later call of a connection proves nothing: it may be a surplus copy of an earlier answer. Calls that rely on
// their answer are made over a connection that has carried none, of which the others leave some.
//
// This requires that a process listens at the address until it ends. A process that passes its
// listener on while it keeps serving its connections would be mistaken for its successor.
package peerconn

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"limehold/clock"
	"limehold/upstream"
)

// ErrIncarnationGone is returned if no idle connection is known to lead to the requested incarnation.
var ErrIncarnationGone = errors.New("no idle connection to the same incarnation of the peer")

// PoolSize is the number of connections kept to an incarnation. If 30% of calls stay unanswered,
// four consecutive ones do about once in 120 calls.
const PoolSize = 4

// Set holds the connections to one address. It is safe for concurrent use.
//
// Invariant: a call for an incarnation uses a connection that leads to that incarnation.
type Set struct {
	dial func(ctx context.Context) (*upstream.Conn, error)
	// connectMutex is held while the first connections to an incarnation are made.
	connectMutex sync.Mutex

	mutex sync.Mutex
	// incarnation numbers the incarnations that were connected to, 0 if there was none yet.
	incarnation uint64
	// idle holds connections known to lead to incarnation; busy counts those that carry a call.
	idle []*upstream.Conn
	busy int
	// unverified holds connections that are not yet known to lead to incarnation.
	unverified []unverifiedConn
	dialing    bool
}

type unverifiedConn struct {
	conn    *upstream.Conn
	created time.Duration
}

// New returns a set without connections.
func New(dial func(ctx context.Context) (*upstream.Conn, error)) *Set { return &Set{dial: dial} }

// Incarnation returns the number of the incarnation that Connect connected to last, or 0. The number
// increases with the first Connect after all connections were lost, even if the same process is still
// listening.
func (s *Set) Incarnation() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.incarnation
}

// Connect returns the number of the incarnation that calls reach, and makes connections if there
// are none. They are made before the first call, whose answer verifies them all: otherwise a peer
// that closes a connection after each answer would count as a new incarnation with each call.
func (s *Set) Connect(ctx context.Context) (uint64, error) {
	s.connectMutex.Lock()
	defer s.connectMutex.Unlock()
	if incarnation, connected := s.connected(); connected {
		return incarnation, nil
	}
	conn, err := s.dial(ctx)
	if err != nil {
		return 0, err
	}
	s.mutex.Lock()
	s.closeUnverified()
	s.incarnation++
	s.idle = []*upstream.Conn{conn}
	incarnation := s.incarnation
	s.mutex.Unlock()
	for s.addConnection(ctx, incarnation) {
	}
	return incarnation, nil
}

// connected returns the current incarnation, and whether there is a connection to it that the
// peer has not closed.
func (s *Set) connected() (incarnation uint64, connected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := s.idle[:0]
	for _, conn := range s.idle {
		if upstream.Peek(conn.Raw) == upstream.PeekIdle {
			open = append(open, conn)
			continue
		}
		conn.Close()
	}
	s.idle = open
	return s.incarnation, len(s.idle)+s.busy > 0
}

// Do makes one call over an idle connection to an incarnation, if possible over one that has carried a call before. It returns
// ErrIncarnationGone, without having sent anything, if there is none. call returns keep if the connection may carry further
// calls. isOwn is set if the answer is known to be that of this call.
func (s *Set) Do(incarnation uint64, call func(conn *upstream.Conn) (keep bool, err error)) (isOwn bool, err error) {
	conn := s.acquire(incarnation, (*upstream.Conn).HasCarried)
	if conn == nil {
		conn = s.acquire(incarnation, func(*upstream.Conn) bool { return true })
	}
	return s.callOver(conn, incarnation, call)
}

// DoAlone makes one call over a connection to an incarnation that carries no other one, so that its answer is that of this
// call. It returns ErrIncarnationGone, without having sent anything, if there is none; Connect then connects anew.
func (s *Set) DoAlone(incarnation uint64, call func(conn *upstream.Conn) error) error {
	conn := s.acquire(incarnation, func(idle *upstream.Conn) bool { return !idle.HasCarried() })
	if conn == nil {
		s.closeIdle(incarnation)
	}
	_, err := s.callOver(conn, incarnation, func(conn *upstream.Conn) (bool, error) { return false, call(conn) })
	return err
}

// closeIdle closes the idle connections to an incarnation. Those that have carried calls verify no others, so that Connect would
// keep an incarnation to which no call could be made alone any more.
func (s *Set) closeIdle(incarnation uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.incarnation != incarnation {
		return
	}
	for _, conn := range s.idle {
		conn.Close()
	}
	s.idle = nil
}

// callOver makes a call over a connection that acquire has returned.
func (s *Set) callOver(conn *upstream.Conn, incarnation uint64, call func(conn *upstream.Conn) (keep bool, err error)) (isOwn bool, err error) {
	if conn == nil {
		return false, ErrIncarnationGone
	}
	isOwn = !conn.HasCarried()
	conn.Reused = true
	sent := clock.Now()
	keep, err := call(conn)
	s.release(conn, incarnation, sent, keep, isOwn && err == nil)
	return isOwn, err
}

// acquire returns an idle connection to an incarnation that is accepted, nil if there is none. It drops connections
// that the peer has closed, or on which something arrived that no call has asked for.
func (s *Set) acquire(incarnation uint64, accepts func(*upstream.Conn) bool) *upstream.Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.incarnation != incarnation {
		return nil
	}
	for at := 0; at < len(s.idle); {
		conn := s.idle[at]
		if !accepts(conn) {
			at++
			continue
		}
		s.idle = slices.Delete(s.idle, at, at+1)
		if upstream.Peek(conn.Raw) == upstream.PeekIdle {
			s.busy++
			return conn
		}
		conn.Close()
	}
	return nil
}

// release returns a connection to the set. A call that was answered for certain verifies the connections that were
// made before it was sent.
func (s *Set) release(conn *upstream.Conn, incarnation uint64, sent time.Duration, keep, isAnswered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy--
	if keep && s.incarnation == incarnation {
		s.idle = append(s.idle, conn)
	} else {
		conn.Close()
	}
	if isAnswered && s.incarnation == incarnation {
		s.verify(sent)
	}
	if s.incarnation == incarnation && s.count() < PoolSize && !s.dialing {
		s.dialing = true
		go s.addConnections(incarnation)
	}
}

// verify makes the connections available that were made before an answered call was sent.
func (s *Set) verify(sent time.Duration) {
	var remaining []unverifiedConn
	for _, item := range s.unverified {
		if item.created < sent {
			s.idle = append(s.idle, item.conn)
			continue
		}
		remaining = append(remaining, item)
	}
	s.unverified = remaining
}

// addTimeout bounds the dialing of further connections. An instance on the same machine
// accepts within milliseconds.
const addTimeout = 500 * time.Millisecond

// addConnections makes further connections, which no call uses before they are verified.
func (s *Set) addConnections(incarnation uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), addTimeout)
	defer cancel()
	for s.addConnection(ctx, incarnation) {
	}
	s.mutex.Lock()
	s.dialing = false
	s.mutex.Unlock()
}

// addConnection makes a further connection, and reports whether it succeeded and another one is needed.
func (s *Set) addConnection(ctx context.Context, incarnation uint64) bool {
	conn, err := s.dial(ctx)
	if err != nil {
		// The next call retries; if no connection is left, calls return ErrIncarnationGone.
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.incarnation != incarnation || len(s.idle)+s.busy == 0 {
		conn.Close()
		return false
	}
	s.unverified = append(s.unverified, unverifiedConn{conn, clock.Now()})
	return s.count() < PoolSize
}

func (s *Set) count() int { return len(s.idle) + s.busy + len(s.unverified) }

func (s *Set) closeUnverified() {
	for _, item := range s.unverified {
		item.conn.Close()
	}
	s.unverified = nil
}

// Close closes the connections that carry no call.
func (s *Set) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.idle {
		conn.Close()
	}
	s.idle = nil
	s.closeUnverified()
}
