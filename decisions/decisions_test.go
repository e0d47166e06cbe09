package decisions

import (
	"testing"

	"github.com/matryer/is"
)

func TestJournalIsBoundedAndSaysWhatItDropped(t *testing.T) {
	is := is.New(t)
	journal := New(8)
	for revision := uint64(1); revision <= 20; revision++ {
		journal.Add(Event{Revision: revision, Service: "a", Shards: []uint32{uint32(revision % 2)}})
	}
	is.True(len(journal.Events) <= 8)
	is.Equal(int(journal.Dropped)+len(journal.Events), 20)
	is.Equal(journal.Events[len(journal.Events)-1].Revision, uint64(20))
	newest := journal.Since(17, 2)
	is.Equal(len(newest), 2)
	is.Equal(newest[1].Revision, uint64(20))
	for _, event := range journal.ForShard("a", 1) {
		is.Equal(event.Revision%2, uint64(1))
	}
	is.Equal(len(journal.ForShard("b", 1)), 0)
}
