package peerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/upstream"
)

// echo is a peer that answers each byte with the same byte.
type echo struct {
	listener net.Listener
	conns    chan net.Conn
}

func listen(t *testing.T, address string) *echo {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{listener: listener, conns: make(chan net.Conn, 1000)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns <- conn
			go func() {
				var one [1]byte
				for {
					if _, err := conn.Read(one[:]); err != nil {
						return
					}
					if _, err := conn.Write(one[:]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return e
}

// stop closes the listener and all connections of the peer.
func (e *echo) stop() {
	e.listener.Close()
	for {
		select {
		case conn := <-e.conns:
			conn.Close()
		default:
			return
		}
	}
}

func newSet(address string) *Set {
	return New(func(context.Context) (*upstream.Conn, error) { return upstream.Dial(address, time.Second) })
}

// echoCall makes one call and reads its whole answer.
func echoCall(conn *upstream.Conn) (bool, error) {
	if _, err := conn.Raw.Write([]byte{1}); err != nil {
		return false, err
	}
	_, err := io.ReadFull(conn.Raw, make([]byte, 1))
	return err == nil, err
}

var errNoAnswer = errors.New("no answer")

func unanswered(*upstream.Conn) (bool, error) { return false, errNoAnswer }

// echoCallOnce is like echoCall, but the connection carries no further call.
func echoCallOnce(conn *upstream.Conn) (bool, error) {
	_, err := echoCall(conn)
	return false, err
}

// call makes a call to the first incarnation.
func (s *Set) call(call func(*upstream.Conn) (bool, error)) error {
	_, err := s.Do(1, call)
	return err
}

// awaitUnverified waits until at least the wanted number of connections await verification.
func (s *Set) awaitUnverified(t *testing.T, wanted int) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mutex.Lock()
		found := len(s.unverified)
		s.mutex.Unlock()
		if found >= wanted {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections await verification, want at least %d", found, wanted)
		}
	}
}

func TestCallsReachTheStartThatIsMeantOrNone(t *testing.T) {
	for name, c := range map[string]struct {
		between func(t *testing.T, s *Set, e *echo) *echo
		same    bool
	}{
		"nothing happened": {func(_ *testing.T, _ *Set, e *echo) *echo { return e }, true},
		"another start listens": {func(t *testing.T, _ *Set, e *echo) *echo {
			address := e.listener.Addr().String()
			e.stop()
			return listen(t, address)
		}, false},
		"one call unanswered after one that was answered": {func(t *testing.T, s *Set, e *echo) *echo {
			if s.call(echoCall) != nil || s.call(unanswered) != errNoAnswer {
				t.Fatal("unexpected results of the calls")
			}
			return e
		}, true},
		"the first call unanswered": {func(t *testing.T, s *Set, e *echo) *echo {
			if s.call(unanswered) != errNoAnswer {
				t.Fatal("unexpected result of the call")
			}
			return e
		}, false},
		"all calls unanswered after one that was answered": {func(t *testing.T, s *Set, e *echo) *echo {
			if s.call(echoCall) != nil {
				t.Fatal("unexpected result of the call")
			}
			for s.call(unanswered) == errNoAnswer {
			}
			return e
		}, false},
		"each connection ended with its answer": {func(t *testing.T, s *Set, e *echo) *echo {
			for range 20 * PoolSize {
				s.awaitUnverified(t, 1)
				if err := s.call(echoCallOnce); err != nil {
					t.Fatal(err)
				}
			}
			return e
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, "127.0.0.1:0")
			s := newSet(e.listener.Addr().String())
			defer s.Close()
			start, err := s.Connect(context.Background())
			is.NoErr(err)
			is.Equal(start, uint64(1))
			e = c.between(t, s, e)
			defer func() { e.stop() }()
			_, err = s.Do(1, echoCall)
			is.Equal(err == nil, c.same)
			for err != nil && !errors.Is(err, ErrIncarnationGone) {
				_, err = s.Do(1, echoCall) // a connection that was closed during the call
			}
			start, err = s.Connect(context.Background())
			is.NoErr(err)
			is.Equal(start == 1, c.same)
			_, err = s.Do(start, echoCall)
			is.NoErr(err)
			if !c.same {
				_, err = s.Do(1, echoCall)
				is.Equal(err, ErrIncarnationGone)
			}
		})
	}
}

// Guards against a proof by a surplus copy of an earlier answer: only the first answer on a connection is known to belong to
// its call, and calls that rely on theirs find such a connection however many others have been made.
func TestCallsThatRelyOnTheirAnswerAreAlone(t *testing.T) {
	is := is.New(t)
	e := listen(t, "127.0.0.1:0")
	defer e.stop()
	s := newSet(e.listener.Addr().String())
	defer s.Close()
	incarnation, err := s.Connect(t.Context())
	is.NoErr(err)
	carried := map[*upstream.Conn]bool{}
	for range 10 {
		is.NoErr(s.DoAlone(incarnation, func(conn *upstream.Conn) error {
			is.True(!carried[conn])
			carried[conn] = true
			_, err := echoCall(conn)
			return err
		}))
		for range 3 {
			isOwn, err := s.Do(incarnation, func(conn *upstream.Conn) (bool, error) {
				defer func() { carried[conn] = true }()
				return echoCall(conn)
			})
			is.NoErr(err)
			is.True(!isOwn || len(carried) > 0)
		}
		s.awaitUnverified(t, 1)
	}
}

// Guards against connections that a copy of an answer verifies.
func TestOnlyTheFirstAnswerOfAConnectionVerifiesOthers(t *testing.T) {
	is := is.New(t)
	e := listen(t, "127.0.0.1:0")
	defer e.stop()
	s := newSet(e.listener.Addr().String())
	defer s.Close()
	incarnation, err := s.Connect(t.Context())
	is.NoErr(err)
	isOwn, err := s.Do(incarnation, echoCall)
	is.NoErr(err)
	is.True(isOwn)
	s.mutex.Lock()
	verified := len(s.idle)
	last := verified - 1
	s.unverified = append(s.unverified, unverifiedConn{conn: s.idle[last]})
	s.idle = s.idle[:last]
	s.mutex.Unlock()
	isOwn, err = s.Do(incarnation, echoCall)
	is.NoErr(err)
	is.True(!isOwn)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	is.Equal(len(s.idle), verified-1)
	is.Equal(len(s.unverified), 1)
}

// Guards against an incarnation to which no call can be made alone any more, because only connections that have carried calls
// are left, which verify no others.
func TestConnectsAnewWhenNoCallCanBeMadeAlone(t *testing.T) {
	is := is.New(t)
	e := listen(t, "127.0.0.1:0")
	defer e.stop()
	s := newSet(e.listener.Addr().String())
	defer s.Close()
	first, err := s.Connect(t.Context())
	is.NoErr(err)
	_, err = s.Do(first, echoCall)
	is.NoErr(err)
	unansweredAlone := func(*upstream.Conn) error { return errNoAnswer }
	for err = errNoAnswer; errors.Is(err, errNoAnswer); {
		err = s.DoAlone(first, unansweredAlone)
	}
	is.Equal(err, ErrIncarnationGone)
	next, err := s.Connect(t.Context())
	is.NoErr(err)
	is.Equal(next, first+1)
	is.NoErr(s.DoAlone(next, func(conn *upstream.Conn) error {
		_, err := echoCall(conn)
		return err
	}))
}
