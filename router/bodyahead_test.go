package router

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"testing/iotest"

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

// Guards against goroutines that go on reading a connection whose request has ended.
func TestReadingAheadEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	caller, router := net.Pipe()
	defer caller.Close()
	ahead := readBodyAhead(router, router, 100)
	_, err := io.WriteString(caller, "some")
	is.NoErr(err)
	ahead.stop()
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
