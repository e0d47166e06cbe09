package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the interim responses ahead of one response.
const maxInterimResponses = 100

// MalformedError reports a response whose header is not valid HTTP/1.x (RFC 9112, sections 2 to 6). Nothing that it says is
// to be relied upon, nor are the bytes behind it.
type MalformedError struct {
	// Problem says what is wrong, and quotes the beginning of the line.
	Problem string
}

// Error implements error.
func (m *MalformedError) Error() string { return "malformed response: " + m.Problem }

// maxQuotedBytes bounds what an error quotes of a malformed line.
const maxQuotedBytes = 60

func malformed(problem string, line []byte) error {
	return &MalformedError{Problem: fmt.Sprintf("%s: %q", problem, line[:min(len(line), maxQuotedBytes)])}
}

// IsMalformed reports whether an error of ReadResponse or Call is that of a malformed response.
func IsMalformed(err error) bool {
	var target *MalformedError
	return errors.As(err, &target)
}

// ReadResponse reads the response to the request that was sent last, and discards interim responses ahead of it. Its body is
// read, too, and takes maxBody bytes at most unless that is 0; with response.StreamBody it is left to be read. The header is
// checked first, because the HTTP library accepts more than other implementations do.
func (c *Conn) ReadResponse(response *fasthttp.Response, maxBody int) error {
	for range maxInterimResponses + 1 {
		header, err := peekHeader(c.reader)
		if err != nil {
			return err
		}
		if !header.isInterim() {
			return response.ReadLimitBody(c.reader, maxBody)
		}
		if _, err := c.reader.Discard(header.size); err != nil {
			return eris.Wrap(err, "discard interim response")
		}
	}
	return &MalformedError{Problem: fmt.Sprintf("more than %d interim responses", maxInterimResponses)}
}

// IsAskedForBody waits for the answer to a request that expects 100-continue, and reports whether it asks for the body.
// Otherwise the response is left to be read, also if it is malformed.
func (c *Conn) IsAskedForBody() (bool, error) {
	header, err := peekHeader(c.reader)
	if IsMalformed(err) {
		return false, nil
	}
	if err != nil || header.status != fasthttp.StatusContinue {
		return false, err
	}
	_, err = c.reader.Discard(header.size)
	return err == nil, err
}

// responseHeader checks the header of a response line by line, as it arrives.
type responseHeader struct {
	// size is the length in bytes of the lines that have been checked.
	size      int
	status    int
	hasStatus bool
	// isHTTP11 is set for versions that have chunked encoding.
	isHTTP11 bool
	hasField bool
}

// peekHeader waits for the header of a response, checks it and leaves it to be read.
func peekHeader(reader *bufio.Reader) (responseHeader, error) {
	var header responseHeader
	for wanted := 1; ; wanted = reader.Buffered() + 1 {
		if _, err := reader.Peek(wanted); err != nil {
			if err == io.EOF && wanted > 1 {
				err = io.ErrUnexpectedEOF
			}
			return header, err
		}
		received, err := reader.Peek(reader.Buffered())
		if err != nil {
			return header, err
		}
		complete, err := header.check(received)
		if complete || err != nil {
			return header, err
		}
	}
}

// check checks the lines that have been received since its last call, and reports whether the header is complete. received
// begins with the header.
func (h *responseHeader) check(received []byte) (complete bool, err error) {
	for {
		line, _, found := bytes.Cut(received[h.size:], []byte("\n"))
		if !found {
			return false, nil
		}
		h.size += len(line) + 1
		line, hasCR := bytes.CutSuffix(line, []byte("\r"))
		switch {
		case !hasCR:
			return false, malformed("line ends without CR", line)
		case len(line) == 0 && h.hasStatus:
			return true, nil
		case len(line) == 0: // left from the body of the response before
		case !h.hasStatus:
			err = h.checkStatusLine(line)
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// isInterim reports whether another response follows.
func (h *responseHeader) isInterim() bool { return h.status < fasthttp.StatusOK }
