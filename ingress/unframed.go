package ingress

import (
	"errors"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Answers without a length end with their connection. They are read whole before they are passed on, as only then it
// is known whether they are complete.
const (
	// maxUnframedBytes bounds one such answer, and maxUnframedMemory the memory of all of them together.
	maxUnframedBytes  = 16 << 20
	maxUnframedMemory = 24 << 20
	// minUnframedBuffer is the size of the first buffer in bytes; each next one is twice as large.
	minUnframedBuffer = 64 << 10
)

// unframedMemory is the memory that answers without a length take.
type unframedMemory struct {
	mutex sync.Mutex
	used  int
}

// reserve takes size bytes, or returns false if the answers would take more than maxUnframedMemory.
func (u *unframedMemory) reserve(size int) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.used+size > maxUnframedMemory {
		return false
	}
	u.used += size
	return true
}

func (u *unframedMemory) release(size int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.used -= size
}

// readUnframed reads a response up to the orderly end of its connection. Its memory belongs to the request until
// releaseRequest.
func (i *Ingress) readUnframed(p *proxyRequest, response *fasthttp.Response) error {
	stream := response.BodyStream()
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := i.growUnframed(p, body)
			if err != nil {
				return err
			}
			body = grown
		}
		count, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if len(body) > maxUnframedBytes {
		return eris.Errorf("response without a length is longer than %d bytes", maxUnframedBytes)
	}
	_ = response.CloseBodyStream()
	response.SetBodyRaw(body)
	return nil
}

// growUnframed returns a copy of a full buffer with more room.
func (i *Ingress) growUnframed(p *proxyRequest, body []byte) ([]byte, error) {
	if len(body) > maxUnframedBytes {
		return nil, eris.Errorf("response without a length is longer than %d bytes", maxUnframedBytes)
	}
	// One byte more than the limit tells a response that is too long.
	size := min(max(minUnframedBuffer, 2*cap(body)), maxUnframedBytes+1)
	if !i.unframed.reserve(size - cap(body)) {
		return nil, eris.Errorf("responses without a length take more than %d bytes together", maxUnframedMemory)
	}
	p.unframedBytes += size - cap(body)
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}

// unframedBody sends a response whose memory is released once it has been written.
type unframedBody struct {
	io.Reader
	onClose func()
}

// Close implements io.Closer.
func (u *unframedBody) Close() error {
	u.onClose()
	return nil
}
