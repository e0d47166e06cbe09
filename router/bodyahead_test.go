package router

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// Guards against bodies that lose or change bytes, or lose the error that ended them, because they are read ahead.
func TestBodyReadAheadIsTheCallersBody(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		length int
		// whole is what of the body arrives.
		whole int
		err   error
	}{
		"whole":           {100_000, 100_000, nil},
		"one chunk":       {bodyAheadChunk, bodyAheadChunk, nil},
		"a byte":          {1, 1, nil},
		"breaks off":      {100_000, 70_000, broken},
		"nothing arrives": {100_000, 0, broken},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := make([]byte, c.whole)
			for i := range body {
				body[i] = byte(rand.Uint32())
			}
			source := io.Reader(iotest.HalfReader(bytes.NewReader(body)))
			if c.err != nil {
				source = io.MultiReader(source, iotest.ErrReader(c.err))
			}
			ahead := readBodyAhead(source, nil, c.length)
			read, err := io.ReadAll(iotest.OneByteReader(ahead))
			is.Equal(err, c.err)
			is.True(bytes.Equal(read, body))
			ahead.stop()
		})
	}
}

// signallingReader sends a value before each read.
type signallingReader struct {
	io.Reader
	reads chan struct{}
}

func (r *signallingReader) Read(data []byte) (int, error) {
	r.reads <- struct{}{}
	return r.Reader.Read(data)
}

// Guards against goroutines that go on reading a connection whose request has ended.
func TestReadingAheadEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	caller, router := net.Pipe()
	defer caller.Close()
	source := &signallingReader{router, make(chan struct{}, 8)}
	ahead := readBodyAhead(source, router, 100)
	<-source.reads
	_, err := io.WriteString(caller, "some")
	is.NoErr(err)
	<-source.reads // the next read waits for the caller
	stopped := make(chan struct{})
	go func() { ahead.stop(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the body is still being read")
	}
	select {
	case <-ahead.done:
	default:
		t.Fatal("stop does not wait for the end of the reading")
	}
	go func() { _, _ = io.WriteString(caller, "rest") }()
	rest := make([]byte, 4)
	_, err = io.ReadFull(router, rest) // the connection can be read again
	is.NoErr(err)
	is.Equal(string(rest), "rest")
}

// The memory of all bodies that are read ahead is bounded.
func TestMemoryOfBodiesReadAheadIsBounded(t *testing.T) {
	is := is.New(t)
	bodies := &bodiesAhead{}
	is.Equal(bodies.reserve(-1), false) // of unknown length
	is.Equal(bodies.reserve(maxBodyAhead+1), false)
	accepted := 0
	for bodies.reserve(maxBodyAhead) {
		accepted++
	}
	is.Equal(accepted, maxBodiesAhead/maxBodyAhead)
	bodies.release(maxBodyAhead)
	is.True(bodies.reserve(maxBodyAhead))
}
