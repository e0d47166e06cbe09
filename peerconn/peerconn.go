// Package peerconn keeps connections to one start of a peer. An address says who is meant, not
// who listens there now: a process may end and another one start at its address between two
// calls. What was decided for the one must not reach the other.
//
// One connection is to one start, as long as it lasts. A further one is to the same start if the
// first has carried a whole call after the further one was accepted: the start that answered ran
// before and after, and an address has one listener at a time. Nothing is concluded from a
// connection that is open and silent: a machine that lost its power closes nothing.
//
// It rests on this: a process at the address listens until it ends. One that hands its listener
// on while it goes on with its connections would be taken for its successor.
package peerconn

import (
	"context"
	"errors"
	"sync"
	"time"

	"limehold/clock"
	"limehold/upstream"
)

// ErrNotSame says that no connection is left that is known to lead to the start that is meant.
var ErrNotSame = errors.New("no connection to the same start of the peer is left")

// Kept is how many connections are kept to a start: where three calls in ten stay without an
// answer, four in a row do once in 120 calls.
const Kept = 4

// Set is the connections to one address, for use by several goroutines.
//
// Invariant: a call for a start goes over a connection that leads to it.
type Set struct {
	dial func(ctx context.Context) (*upstream.Conn, error)
	// connecting is held while the first connections to a start are made.
	connecting sync.Mutex

	mutex sync.Mutex
	// start numbers the starts that were connected to; zero: none yet.
	start uint64
	// idle are connections known to lead to start, and busy counts those that carry a call.
	idle []*upstream.Conn
	busy int
	// unproved are connections that were made while there were others, and when.
	unproved []unproved
	dialling bool
}

type unproved struct {
	conn *upstream.Conn
	made time.Duration
}

// New returns a set without connections.
func New(dial func(ctx context.Context) (*upstream.Conn, error)) *Set { return &Set{dial: dial} }

// Start is the number of the start that the set has connections to. It rises when they have all
// been lost, also where the same process listens on.
func (s *Set) Start() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.start
}

// Connect returns the number of the start that calls reach; it makes connections if there are none.
// They are made before the first call, whose answer proves them: a peer that ends a connection with
// each answer would otherwise count as another start with each call.
func (s *Set) Connect(ctx context.Context) (uint64, error) {
	s.connecting.Lock()
	defer s.connecting.Unlock()
	if start, connected := s.connected(); connected {
		return start, nil
	}
	conn, err := s.dial(ctx)
	if err != nil {
		return 0, err
	}
	s.mutex.Lock()
	s.dropUnproved()
	s.start++
	s.idle = []*upstream.Conn{conn}
	start := s.start
	s.mutex.Unlock()
	for s.addOne(ctx, start) {
	}
	return start, nil
}

// connected returns the present start, and whether there is a connection to it that its peer has
// not closed.
func (s *Set) connected() (start uint64, connected bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := s.idle[:0]
	for _, conn := range s.idle {
		if upstream.Peek(conn.Raw) == upstream.PeekNothing {
			open = append(open, conn)
			continue
		}
		conn.Close()
	}
	s.idle = open
	return s.start, len(s.idle)+s.busy > 0
}

// Do makes one call over a connection to a start. ErrNotSame: there is none, and nothing was sent.
// keep says that the connection may carry further calls.
func (s *Set) Do(start uint64, call func(conn *upstream.Conn) (keep bool, err error)) error {
	conn := s.take(start)
	if conn == nil {
		return ErrNotSame
	}
	sent := clock.Now()
	keep, err := call(conn)
	s.done(conn, start, sent, keep, err == nil)
	return err
}

// take returns an idle connection of a start. Those that their peer has closed are let go.
func (s *Set) take(start uint64) *upstream.Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.start == start && len(s.idle) > 0 {
		conn := s.idle[0]
		s.idle = s.idle[1:]
		if upstream.Peek(conn.Raw) == upstream.PeekNothing {
			s.busy++
			return conn
		}
		conn.Close()
	}
	return nil
}

// done takes a connection back. A call that was answered proves those that were made before it
// was sent.
func (s *Set) done(conn *upstream.Conn, start uint64, sent time.Duration, keep, answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy--
	if keep && s.start == start {
		s.idle = append(s.idle, conn)
	} else {
		conn.Close()
	}
	if answered && s.start == start {
		s.prove(sent)
	}
	if s.start == start && s.count() < Kept && !s.dialling {
		s.dialling = true
		go s.add(start)
	}
}

// prove takes up the connections that were made before a call was sent that has been answered.
func (s *Set) prove(sent time.Duration) {
	var later []unproved
	for _, item := range s.unproved {
		if item.made < sent {
			s.idle = append(s.idle, item.conn)
			continue
		}
		later = append(later, item)
	}
	s.unproved = later
}

// addTimeout bounds the making of a further connection: an instance on the same machine accepts
// within milliseconds.
const addTimeout = 500 * time.Millisecond

// add makes further connections, which no call uses before they are proved.
func (s *Set) add(start uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), addTimeout)
	defer cancel()
	for s.addOne(ctx, start) {
	}
	s.mutex.Lock()
	s.dialling = false
	s.mutex.Unlock()
}

// addOne reports whether a connection was made and another one is wanted.
func (s *Set) addOne(ctx context.Context, start uint64) bool {
	conn, err := s.dial(ctx)
	if err != nil {
		// The next call asks for another one; without any, calls say ErrNotSame.
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.start != start || len(s.idle)+s.busy == 0 {
		conn.Close()
		return false
	}
	s.unproved = append(s.unproved, unproved{conn, clock.Now()})
	return s.count() < Kept
}

func (s *Set) count() int { return len(s.idle) + s.busy + len(s.unproved) }

func (s *Set) dropUnproved() {
	for _, item := range s.unproved {
		item.conn.Close()
	}
	s.unproved = nil
}

// Close closes the connections that carry no call.
func (s *Set) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.idle {
		conn.Close()
	}
	s.idle = nil
	s.dropUnproved()
}
