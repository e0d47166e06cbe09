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
	h.hasStatus = true
	return nil
}

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
