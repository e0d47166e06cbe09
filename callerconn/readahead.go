package callerconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/valyala/fasthttp"

	"limehold/clock"
)

// head is the head of a request, with the number of bytes of the body behind it.
type head struct {
	raw []byte
	// arrived is when the head was complete, by clock.Now; 0 if no request was before it.
	arrived time.Duration
	body    int64
	// unframed is set if the length of the body is not known.
	unframed bool
	// ahead is set if the request was started ahead, forgotten once it no longer counts as such.
	ahead     *aheadRequest
	forgotten bool
}

// armRead sets the deadline of a read that is under way when the server begins to wait. The mutex is held.
func (c *Conn) armRead() error {
	if !c.reading {
		return nil
	}
	if len(c.buffer) > 0 {
		// readAhead hands an incomplete head over at once.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// fail records the error that ended reading or writing. One that follows the end of the requests replaces it.
func (c *Conn) fail(err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.err == nil || errors.Is(c.err, io.EOF) {
		c.err = err
	}
	c.changed.Broadcast()
}

// mayReadAhead reports whether readAhead may read from the connection. The mutex is held.
func (c *Conn) mayReadAhead() bool {
	return !c.direct && !c.handover && !c.timedOut && c.bodyLeft == 0 && c.queue.MayRead()
}

// readAhead reads requests until the connection ends.
func (c *Conn) readAhead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		for !c.mayReadAhead() && !c.Closed() && c.err == nil {
			c.changed.Wait()
		}
		if c.Closed() || c.err != nil {
			return
		}
		next, err := c.cutHead()
		switch {
		case next != nil:
			c.add(next)
		case err != nil, c.waiting && len(c.buffer) > 0, len(c.buffer) >= c.listener.options.MaxHeaderBytes:
			c.handover = true
			c.changed.Broadcast()
		default:
			c.fill()
		}
	}
}

// fill reads from the connection into the buffer. The mutex is held, but not while it reads.
func (c *Conn) fill() {
	var deadline time.Time
	if c.waiting {
		deadline = c.deadline
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		c.err = err
		c.changed.Broadcast()
		return
	}
	if len(c.buffer) == cap(c.buffer) {
		grown := make([]byte, len(c.buffer), min(2*cap(c.buffer), c.listener.options.MaxHeaderBytes))
		copy(grown, c.buffer)
		c.buffer = grown
	}
	into := c.buffer[len(c.buffer):cap(c.buffer)]
	c.reading = true
	c.mutex.Unlock()
	count, err := c.Conn.Read(into)
	c.mutex.Lock()
	c.reading = false
	c.buffer = c.buffer[:len(c.buffer)+count]
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.err = err
	case c.waiting && !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		c.timedOut = true
	}
	c.changed.Broadcast()
}

// headEnds are the ends of a head that the HTTP library accepts.
var headEnds = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// cutHead removes the first complete head from the buffer and returns it, or nil if there is none yet. It returns an
// error if the head is malformed. The mutex is held.
func (c *Conn) cutHead() (*head, error) {
	complete := false
	for _, end := range headEnds {
		complete = complete || bytes.Contains(c.buffer, end)
	}
	if !complete {
		return nil, nil
	}
	length, err := parseHead(&c.parsed, c.buffer)
	if err != nil {
		return nil, err
	}
	next := &head{raw: bytes.Clone(c.buffer[:length])}
	if c.queue.Unanswered() > 0 {
		next.arrived = clock.Now()
	}
	next.body, next.unframed = int64(max(0, c.parsed.ContentLength())), c.parsed.ContentLength() == chunked
	c.buffer = append(c.buffer[:0], c.buffer[length:]...)
	c.enqueue(next)
	return next, nil
}

// enqueue adds a request to the queue, and starts it if it may run ahead. The mutex is held.
func (c *Conn) enqueue(next *head) {
	safe := next.body == 0 && !next.unframed && isPlain(&c.parsed) && c.listener.options.MayRunAhead(&c.parsed)
	if first := c.queue.Unanswered() == 0; first || !safe || !c.listener.reserve() {
		c.queue.Add(safe && first)
	} else if c.queue.Add(true) {
		next.ahead = c.listener.start(c, next.raw)
	} else {
		c.listener.ahead.Add(-1)
	}
	if c.parsed.ConnectionClose() {
		c.queue.Seal()
	}
}

// isPlain reports whether the server takes the target and the host of a request. It refuses others when their turn has
// come, and must not have run them by then.
func isPlain(header *fasthttp.RequestHeader) bool {
	target, host := header.RequestURI(), header.Host()
	return len(target) > 0 && target[0] == '/' && !bytes.ContainsFunc(host, func(r rune) bool {
		return r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-._:", r)
	})
}

// chunked is the content length that the HTTP library reports for bodies in chunks.
const chunked = -1

// add appends a request to those that the server has not read. The mutex is held.
func (c *Conn) add(next *head) {
	c.heads = append(c.heads, next)
	c.changed.Broadcast()
}

// parseHead parses the head at the beginning of data and returns its length.
func parseHead(header *fasthttp.RequestHeader, data []byte) (int, error) {
	source := bytes.NewReader(data)
	reader := readers.Get().(*bufio.Reader)
	defer readers.Put(reader)
	if reader.Size() < len(data) {
		reader = bufio.NewReaderSize(source, len(data))
	}
	reader.Reset(source)
	if err := header.Read(reader); err != nil {
		return 0, err
	}
	return len(data) - reader.Buffered() - source.Len(), nil
}

// readers holds buffers for parsing heads.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, initialBuffer) }}
