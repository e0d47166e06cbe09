package logging

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against log lines of any length, and against IDs that a line does not tell apart.
func TestLongIDsAreShortInLogs(t *testing.T) {
	is := is.New(t)
	is.Equal(ShortID("order-1"), "order-1")
	whole := strings.Repeat("x", maxShownID)
	is.Equal(ShortID(whole), whole)
	long, other := strings.Repeat("x", 16_000)+"1", strings.Repeat("x", 16_000)+"2"
	is.True(len(ShortID(long)) <= maxShownID)
	is.True(strings.HasPrefix(ShortID(long), "xxx"))
	is.True(ShortID(long) != ShortID(other))
	is.Equal(ShortID(long), ShortID(strings.Clone(long)))
}
