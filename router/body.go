package router

import (
	"errors"
	"io"
)

var errBodyTooLarge = errors.New("the request's body exceeds the route's limit")

// checkedBody forwards a request's body. It fails when the body exceeds the limit or ends before the announced length, so
// that the backend receives an incomplete request and does not run it. The HTTP library reports both the end of a body and the
// end of its connection as io.EOF.
type checkedBody struct {
	source    io.Reader
	remaining int64
	// missing is how many bytes of the announced length have not been read; 0 if none was announced.
	missing int64
	// exceeded is set once more bytes than the limit have been read.
	exceeded bool
}

// newCheckedBody returns a body that may have up to limit bytes; announced is its length, below 0 if it is not known.
func newCheckedBody(source io.Reader, limit int64, announced int) *checkedBody {
	return &checkedBody{source: source, remaining: limit, missing: int64(max(0, announced))}
}

// Read implements io.Reader.
func (b *checkedBody) Read(data []byte) (int, error) {
	count, err := b.source.Read(data)
	b.remaining -= int64(count)
	b.missing -= int64(count)
	if b.remaining < 0 {
		b.exceeded = true
		return 0, errBodyTooLarge
	}
	if err == io.EOF && b.missing > 0 {
		return count, io.ErrUnexpectedEOF
	}
	return count, err
}
