package router

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// bodyAhead is a request's body that is read from the caller while the request waits. A close of the caller's connection
// lies behind the body, and does not arrive while the body fills the connection's window.
//
// Invariants:
//   - At most limit bytes are in memory.
//   - Once stop has returned, the source is not read.
type bodyAhead struct {
	source io.Reader
	caller net.Conn
	limit  int

	mutex   sync.Mutex
	changed sync.Cond
	data    bytes.Buffer
	// err ended reading: io.EOF once the whole body has been read.
	err     error
	stopped bool
	// done is closed once the source is no longer read.
	done chan struct{}
}

const (
	// maxBodyAhead is the size in bytes up to which one body is read ahead, and maxBodiesAhead bounds those of all
	// requests. Others are read when they are sent on.
	maxBodyAhead   = 1 << 20
	maxBodiesAhead = 8 << 20
	// bodyAheadChunk is the size in bytes of a read.
	bodyAheadChunk = 16 << 10
)

// bodiesAhead counts the bytes that may be read ahead of all requests.
type bodiesAhead struct{ reserved atomic.Int64 }

// reserve reserves memory for a body of a length, and reports whether there is enough.
func (b *bodiesAhead) reserve(length int) bool {
	if length <= 0 || length > maxBodyAhead {
		return false
	}
	if b.reserved.Add(int64(length)) <= maxBodiesAhead {
		return true
	}
	b.reserved.Add(-int64(length))
	return false
}

// release releases the memory of a body.
func (b *bodiesAhead) release(length int) { b.reserved.Add(-int64(length)) }

// readBodyAhead begins to read a body of at most limit bytes. stop has to be called before the request ends.
func readBodyAhead(source io.Reader, caller net.Conn, limit int) *bodyAhead {
	b := &bodyAhead{source: source, caller: caller, limit: limit, done: make(chan struct{})}
	b.changed.L = &b.mutex
	go b.fill()
	return b
}

// fill reads the body until it ends.
func (b *bodyAhead) fill() {
	defer close(b.done)
	chunk := make([]byte, min(bodyAheadChunk, b.limit))
	for read := 0; ; {
		count, err := b.source.Read(chunk)
		if read += count; err == nil && read >= b.limit {
			err = io.EOF
		}
		b.mutex.Lock()
		b.data.Write(chunk[:count])
		b.err = err
		ended := err != nil || b.stopped
		b.changed.Broadcast()
		b.mutex.Unlock()
		if ended {
			return
		}
	}
}

// Read implements io.Reader. It waits until some of the body has arrived.
func (b *bodyAhead) Read(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for b.data.Len() == 0 && b.err == nil {
		b.changed.Wait()
	}
	if b.data.Len() == 0 {
		return 0, b.err
	}
	return b.data.Read(data)
}

// stop ends the reading of the body.
func (b *bodyAhead) stop() {
	b.mutex.Lock()
	b.stopped = true
	b.mutex.Unlock()
	select {
	case <-b.done:
		return
	default:
	}
	_ = b.caller.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, which ends the reading too
	<-b.done
	_ = b.caller.SetReadDeadline(time.Now().Add(headTimeout)) // the server discards the rest
}
