package agent

import (
	"testing"

	"github.com/matryer/is"

	"limehold/wire"
)

// The first list of a session may be read before the goroutine that opened the
// session has seen its answer.
func TestListThatComesBeforeItsSessionIsKept(t *testing.T) {
	is := is.New(t)
	shards := newShardSet()
	list := &wire.Assignments{Session: 7, Revision: 9, Shards: []wire.Assignment{{Service: "numbers", Shard: 1, Epoch: 1}}}
	is.Equal(shards.take(list), false)
	shards.begin(7, "i-7")
	is.Equal(shards.count(), 1)
	shards.begin(8, "i-8")
	is.Equal(shards.count(), 0)
}
