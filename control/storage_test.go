package control

import (
	"path/filepath"
	"sync"
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
	"limehold/wal"
)

// A member writes a snapshot of its own in the background, and one of the leader's may come
// meanwhile. Seen in the fault soak, on a machine with much to do: the second of two that were
// written side by side found an old file gone that the first had removed, and the member
// stopped for it, for good.
func TestSnapshotsMayBeSavedSideBySide(t *testing.T) {
	is := is.New(t)
	const writers, each = 8, 40
	s := &storage{folder: t.TempDir()}
	var all sync.WaitGroup
	for writer := range writers {
		all.Go(func() {
			for number := range each {
				if err := s.saveSnapshot(consensus.Snapshot{Index: uint64(number*writers + writer + 1), Term: 1}); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	newest, found, err := wal.LoadSnapshot(filepath.Join(s.folder, snapshotFolder))
	is.NoErr(err)
	is.True(found)
	is.Equal(newest.Index, uint64(writers*each))
}
