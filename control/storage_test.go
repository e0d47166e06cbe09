package control

import (
	"path/filepath"
	"sync"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"limehold/consensus"
	"limehold/wal"
)

// Guards against concurrent writers of snapshots: a member's own snapshot and one from the leader each remove
// older files. A file that the other one has removed already must not stop the member.
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

// A member that is admitted marks its folder from two goroutines at once.
func TestFolderIsMarkedFromTwoGoroutines(t *testing.T) {
	is := is.New(t)
	disk, _, err := openStorage(t.TempDir(), "control-1", wal.Options{SegmentSize: 1 << 20})
	is.NoErr(err)
	defer disk.log.Close()
	var marks errgroup.Group
	for range 8 {
		marks.Go(disk.markFormed)
	}
	is.NoErr(marks.Wait())
	again, err := wal.LoadIdentity(disk.folder, "control-1")
	is.NoErr(err)
	is.True(again.Formed)
}
