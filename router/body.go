package router

import (
	"errors"
	"io"
)

var errBodyTooLarge = errors.New("the request's body exceeds the route's limit")

// limitedBody forwards a request's body and fails when it exceeds the limit, so
// that the backend receives an incomplete request and does not run it.
type limitedBody struct {
	source    io.Reader
	remaining int64
	// exceeded is set once more bytes than the limit have been read.
	exceeded bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	count, err := b.source.Read(data)
	b.remaining -= int64(count)
	if b.remaining < 0 {
		b.exceeded = true
		return 0, errBodyTooLarge
	}
	return count, err
}
