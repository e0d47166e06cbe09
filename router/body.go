package router

import (
	"errors"
	"io"
)

var errBodyTooLarge = errors.New("the request's body exceeds the route's limit")

// limitedBody passes a request's body on and fails when it exceeds the limit,
// so that the back end sees an incomplete request and does not run it.
type limitedBody struct {
	inner io.Reader
	left  int64
	// exceeded is set once the limit has been passed.
	exceeded bool
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	count, err := b.inner.Read(data)
	b.left -= int64(count)
	if b.left < 0 {
		b.exceeded = true
		return 0, errBodyTooLarge
	}
	return count, err
}
