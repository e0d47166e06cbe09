package logging

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// maxShownID is the length in bytes up to which a request ID is logged in full.
	maxShownID = 128
	// shownPrefix is how many bytes of a longer one are logged, before its digest.
	shownPrefix = 96
)

// RequestID returns the field of a log line that identifies a request. Callers choose the IDs of their requests, and only
// the limit of the header bounds them.
func RequestID(id string) zap.Field { return zap.String("request", ShortID(id)) }

// ShortID returns a request ID as it is logged: in full, or its beginning and a digest that tells it from others.
func ShortID(id string) string {
	if len(id) <= maxShownID {
		return id
	}
	return id[:shownPrefix] + "...#" + strconv.FormatUint(xxhash.Sum64String(id), 16)
}
