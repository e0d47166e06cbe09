package upstream

import "net/http"

// CheckHeader returns a MalformedError for a header that net/http has accepted although it holds a name that is no token. It
// is for responses that can't be read by ReadResponse.
func CheckHeader(header http.Header) error {
	for name := range header {
		if !isToken([]byte(name)) {
			return malformed("invalid field name", []byte(name))
		}
	}
	return nil
}
