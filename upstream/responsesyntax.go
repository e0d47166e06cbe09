package upstream

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

const (
	// maxStatus is the largest valid status code (RFC 9110, section 15).
	maxStatus = 599
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
)

var (
	versionPrefix = []byte("HTTP/1.")
	versionHTTP11 = []byte("HTTP/1.1")
)

// checkStatusLine checks version, status and reason phrase (RFC 9112, section 4).
func (h *responseHeader) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, versionPrefix) || len(version) != len(versionHTTP11) || !isDigit(version[len(version)-1]) {
		return malformed("no status line of HTTP/1.x", line)
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	h.status = parseStatus(status)
	switch {
	case h.status == 0:
		return malformed("invalid status", line)
	case h.status == fasthttp.StatusSwitchingProtocols:
		// No request asks for an upgrade (RFC 9110, section 15.2.2).
		return malformed("switch to another protocol", line)
	case !isFieldValue(reason):
		return malformed("control byte in the reason phrase", line)
	}
	h.hasStatus, h.isHTTP11 = true, bytes.Equal(version, versionHTTP11)
	return nil
}

// checkField checks a field, or the continuation of one (RFC 9112, sections 5 and 6.1).
func (h *responseHeader) checkField(line []byte) error {
	if isContinuation := line[0] == ' ' || line[0] == '\t'; isContinuation && h.hasField {
		return checkValue(line, line)
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found:
		return malformed("field without a colon", line)
	case !isToken(name):
		return malformed("invalid field name", line)
	case !h.isHTTP11 && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		return malformed("transfer encoding in HTTP/1.0", line)
	}
	h.hasField = true
	return checkValue(value, line)
}

func checkValue(value, line []byte) error {
	if !isFieldValue(value) {
		return malformed("control byte in a field", line)
	}
	return nil
}

// isToken reports whether text may be the name of a field (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, char := range text {
		if !isTokenByte[char] {
			return false
		}
	}
	return len(text) > 0
}

// isTokenByte holds the bytes of which tokens consist.
var isTokenByte = func() (table [256]bool) {
	for _, char := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[char] = true
	}
	return table
}()

// parseStatus returns 0 if a status is invalid.
func parseStatus(text []byte) int {
	if len(text) != statusDigits {
		return 0
	}
	status := 0
	for _, digit := range text {
		if !isDigit(digit) {
			return 0
		}
		status = status*10 + int(digit-'0')
	}
	if status < fasthttp.StatusContinue || status > maxStatus {
		return 0
	}
	return status
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// isFieldValue reports whether text may be the value of a field, or a reason phrase: it holds no control byte but tabs.
func isFieldValue(text []byte) bool {
	for _, char := range text {
		if char < ' ' && char != '\t' || char == 0x7f {
			return false
		}
	}
	return true
}
