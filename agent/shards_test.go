package agent

import (
	"testing"

	"github.com/matryer/is"

	"limehold/wire"
)

// The first list of a session may arrive before the goroutine that opens the
// session has processed the reply.
func TestListThatComesBeforeItsSessionIsKept(t *testing.T) {
	is := is.New(t)
	shards := newShardSet()
	list := &wire.Assignments{Session: 7, Revision: 9, Shards: []wire.Assignment{{Service: "numbers", Shard: 1, Epoch: 1}}}
	is.Equal(shards.apply(list), false)
	shards.begin(7, "i-7")
	is.Equal(shards.count(), 1)
	shards.begin(8, "i-8")
	is.Equal(shards.count(), 0)
}
