package transport

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// echo answers calls with their payload, except for the kinds that fail, hang or panic.
type echo struct{}

const (
	kindEcho  wire.Kind = 100
	kindFail  wire.Kind = 101
	kindHang  wire.Kind = 102
	kindPanic wire.Kind = 103
)

func (echo) Inline(wire.Kind) bool { return false }

func (e echo) Handle(ctx context.Context, _ *Conn, kind wire.Kind, payload []byte) (any, error) {
	switch kind {
	case kindFail:
		return nil, &wire.Error{Code: wire.CodeInvalid, Message: "no", Step: "test", Peer: "server"}
	case kindPanic:
		panic("unhandled message")
	case kindHang:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return string(payload), nil
}

func hello(role wire.Role, name string) wire.Hello {
	return wire.Hello{Version: wire.ProtocolVersion, Cluster: "test", Role: role, Name: name}
}

func serve(t *testing.T, options Options) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", echo{}, options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return server
}

func dial(t *testing.T, address string, options Options) (*Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := Dial(ctx, address, echo{}, options)
	if err == nil {
		t.Cleanup(conn.Close)
	}
	return conn, err
}

func TestCallsAndErrors(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	conn, err := dial(t, server.Address(), Options{Local: hello(wire.RoleAgent, "a")})
	is.NoErr(err)
	is.Equal(conn.Peer.Name, "control-1")
	var answer string
	is.NoErr(conn.Call(context.Background(), kindEcho, "hello", &answer))
	is.True(strings.Contains(answer, "hello"))
	err = conn.Call(context.Background(), kindFail, "x", nil)
	var refused *wire.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.Step+refused.Peer, "testserver") // the error names where it occurred
}

func TestCallEndsWithItsContextAndWithTheConnection(t *testing.T) {
	is := is.New(t)
	server := serve(t, Options{Local: hello(wire.RoleControl, "control-1")})
	conn, err := dial(t, server.Address(), Options{Local: hello(wire.RoleAgent, "a")})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(conn.Call(ctx, kindHang, "x", nil), context.Canceled))
	ended := make(chan error, 1)
	go func() { ended <- conn.Call(context.Background(), kindHang, "x", nil) }()
	conn.Close()
	is.True(errors.Is(<-ended, ErrClosed))
}

// endedLate is a handler that ends some time after its context.
type endedLate struct{ began, ended chan struct{} }

func (endedLate) Inline(wire.Kind) bool { return false }

func (h endedLate) Handle(ctx context.Context, _ *Conn, _ wire.Kind, _ []byte) (any, error) {
	close(h.began)
	<-ctx.Done()
	time.Sleep(50 * time.Millisecond)
	close(h.ended)
	return nil, ctx.Err()
}

// Guards against a server that ends before what it has begun: handlers, and hellos of peers that send nothing.
func TestServerEndsAfterItsHandlers(t *testing.T) {
	for name, c := range map[string]struct{ handles bool }{
		"a request is handled": {true},
		"a hello is awaited":   {false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			handler := endedLate{make(chan struct{}), make(chan struct{})}
			var rejected atomic.Int32
			server, err := Listen("127.0.0.1:0", handler, Options{Local: hello(wire.RoleControl, "control-1"), Rejected: func(string, error) { rejected.Add(1) }})
			is.NoErr(err)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			done := make(chan error, 1)
			go func() { done <- server.Run(ctx) }()
			if c.handles {
				conn, err := dial(t, server.Address(), Options{Local: hello(wire.RoleAgent, "a")})
				is.NoErr(err)
				go func() { _ = conn.Call(context.Background(), kindHang, "x", nil) }()
				<-handler.began
			} else {
				raw, err := net.Dial("tcp", server.Address())
				is.NoErr(err)
				defer raw.Close()
			}
			stop()
			select {
			case err := <-done:
				is.NoErr(err)
			case <-time.After(helloTimeout / 2):
				t.Fatal("the server does not end")
			}
			if c.handles {
				select {
				case <-handler.ended:
				default:
					t.Error("the server ended before its handler")
				}
			}
			is.Equal(rejected.Load(), int32(0)) // the stop is no fault of the peer
		})
	}
}

func TestForeignPeersAreRefusedByName(t *testing.T) {
	cases := []struct {
		name  string
		alter func(*wire.Hello)
		want  string
	}{
		{"another cluster", func(h *wire.Hello) { h.Cluster = "other" }, "cluster"},
		{"another version", func(h *wire.Hello) { h.Version = 99 }, "version"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rejected := make(chan error, 1)
			server := serve(t, Options{Local: hello(wire.RoleControl, "control-1"), Rejected: func(_ string, err error) { rejected <- err }})
			local := hello(wire.RoleAgent, "a")
			test.alter(&local)
			_, _ = dial(t, server.Address(), Options{Local: local})
			is.True(strings.Contains((<-rejected).Error(), test.want))
		})
	}
}

// A header that only claims a large frame must not make the reader allocate it.
func TestFrameLengthIsBounded(t *testing.T) {
	is := is.New(t)
	header := make([]byte, frameHeader)
	binary.LittleEndian.PutUint32(header, MaxFrame+1)
	binary.BigEndian.PutUint32(header, MaxFrame+1)
	_, err := readFrame(bytes.NewReader(header))
	is.True(err != nil)
}

func FuzzReadFrame(f *testing.F) {
	seed := make([]byte, frameHeader)
	putHeader(seed, frame{kind: wire.KindRenew, call: 7, payload: []byte("abc")})
	f.Add(append(seed, "abc"...))
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		written := make([]byte, frameHeader)
		putHeader(written, read)
		written = append(written, read.payload...)
		if !bytes.Equal(written, data[:len(written)]) {
			t.Fatalf("frame %x is written as %x", data, written)
		}
	})
}

func TestLinkDialsAgain(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(listener, echo{}, Options{Local: hello(wire.RoleControl, "control-1")})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Run(ctx) }()
	link := NewLink(server.Address(), echo{}, Options{Local: hello(wire.RoleAgent, "a")})
	go link.Run(ctx)
	for range 2 {
		conn := waitConn(t, link)
		conn.Close()
		<-conn.Done()
	}
	waitConn(t, link)
}

func waitConn(t *testing.T, link *Link) *Conn {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if conn := link.Conn(); conn != nil {
			select {
			case <-conn.Done():
			default:
				return conn
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the link is not dialed")
	return nil
}

// The first packet to a restarted machine may be lost. The dialer must not wait for the
// operating system to resend it, and must still time out after helloTimeout.
func TestDialTriesAgainSoonerThanTheSystem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		var mutex sync.Mutex
		var starts []time.Duration
		silent := func(ctx context.Context, _ string, _ time.Duration) (net.Conn, error) {
			mutex.Lock()
			starts = append(starts, time.Since(began))
			mutex.Unlock()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		_, err := (&dialer{dial: silent}).connect(context.Background(), "a")
		is.True(errors.Is(err, context.DeadlineExceeded))
		mutex.Lock()
		defer mutex.Unlock()
		is.Equal(starts, []time.Duration{0, firstDialWait, 3 * firstDialWait, 7 * firstDialWait})
		is.Equal(time.Since(began), helloTimeout)
	})
}

// On a saturated link a replaced attempt would start at the end of the queue again. The
// first attempt must continue beside later ones, and connections after the first one
// must be closed.
func TestDialThatIsAnsweredLateIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const wait = 4 * firstDialWait
		var mutex sync.Mutex
		var ours, theirs []net.Conn
		late := func(_ context.Context, _ string, timeout time.Duration) (net.Conn, error) {
			if timeout < wait {
				time.Sleep(timeout)
				return nil, context.DeadlineExceeded
			}
			near, far := net.Pipe()
			mutex.Lock()
			ours, theirs = append(ours, near), append(theirs, far)
			mutex.Unlock()
			time.Sleep(wait)
			return near, nil
		}
		began := time.Now()
		raw, err := (&dialer{dial: late}).connect(context.Background(), "a")
		is.NoErr(err)
		is.Equal(time.Since(began), wait)
		time.Sleep(wait)
		synctest.Wait()
		mutex.Lock()
		defer mutex.Unlock()
		is.True(raw == ours[0])
		for _, far := range theirs[1:] {
			_, err := far.Read(make([]byte, 1))
			is.Equal(err, io.EOF)
		}
		is.True(len(theirs) > 1)
	})
}

// A refused connection is a definite answer and must be reported at once.
func TestRefusedDialIsNotRepeated(t *testing.T) {
	is := is.New(t)
	tries := 0
	refused := func(context.Context, string, time.Duration) (net.Conn, error) {
		tries++
		return nil, syscall.ECONNREFUSED
	}
	_, err := (&dialer{dial: refused, relays: func() []string { return []string{"b"} }}).connect(context.Background(), "a")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.Equal(tries, 1)
}
