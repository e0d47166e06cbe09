package control

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
	"limehold/wal"
)

const (
	logOfFormerTerm   = uint64(1)
	installedIndex    = uint64(10)
	installedTerm     = uint64(2)
	entriesAfterwards = 3
	// tornStepBytes is the distance between the lengths at which a segment is cut. It is less than a record.
	tornStepBytes = 11
)

func entriesOfTerm(term, from, to uint64) (entries []consensus.Entry) {
	for index := from; index <= to; index++ {
		entries = append(entries, consensus.Entry{Term: term, Index: index, Kind: consensus.EntryNoOp})
	}
	return entries
}

// openFolder opens a data folder in which segments are never full.
func openFolder(t *testing.T, folder string) (*storage, recoveredState) {
	t.Helper()
	disk, state, err := openStorage(folder, "control-1", wal.Options{SegmentSize: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	return disk, state
}

// newFormedFolder returns a data folder with a snapshot at index 1 and the entries after it up to last.
func newFormedFolder(t *testing.T, last uint64) string {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	disk, _ := openFolder(t, folder)
	is.NoErr(disk.saveSnapshot(consensus.Snapshot{Index: 1, Term: logOfFormerTerm}))
	is.NoErr(disk.markFormed())
	is.NoErr(disk.append(&consensus.HardState{Term: logOfFormerTerm}, entriesOfTerm(logOfFormerTerm, 2, last)))
	is.NoErr(disk.log.Close())
	return folder
}

// copyFolder returns a copy of a data folder.
func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return copied
}

// newestSegment returns the path and size of a folder's newest log segment.
func newestSegment(t *testing.T, folder string) (path string, size int64) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, logFolder, "*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no segment in %s: %v", folder, err)
	}
	path = slices.Max(paths)
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, info.Size()
}

// tornCopies returns copies of the folder in which the newest segment is cut to lengths from the given one on, as a
// loss of power during the last writes may leave it. The last copy is complete.
func tornCopies(t *testing.T, folder string, from int64) (copies []string) {
	t.Helper()
	_, size := newestSegment(t, folder)
	for length := from; length < size; length += tornStepBytes {
		torn := copyFolder(t, folder)
		path, _ := newestSegment(t, torn)
		if err := os.Truncate(path, length); err != nil {
			t.Fatal(err)
		}
		copies = append(copies, torn)
	}
	return append(copies, copyFolder(t, folder))
}

// installSteps returns copies of the folder as a crash after each step of installing a snapshot leaves it.
func installSteps(t *testing.T, folder string) (copies []string) {
	t.Helper()
	is := is.New(t)
	disk, _ := openFolder(t, folder)
	copies = append(copies, copyFolder(t, folder))
	is.NoErr(disk.saveSnapshot(consensus.Snapshot{Index: installedIndex, Term: installedTerm}))
	copies = append(copies, copyFolder(t, folder))
	is.NoErr(disk.markFormed())
	copies = append(copies, copyFolder(t, folder))
	_, size := newestSegment(t, folder)
	is.NoErr(disk.resetLog())
	is.NoErr(disk.log.Close())
	return append(copies, tornCopies(t, folder, size)...)
}

// appendAfterwards opens the folder, appends the entries that follow its snapshot, and returns copies of it as a crash
// during that leaves them, the complete one last.
func appendAfterwards(t *testing.T, folder string) []string {
	t.Helper()
	is := is.New(t)
	disk, state := openFolder(t, folder)
	_, size := newestSegment(t, folder)
	last := state.snapshot.Index + uint64(len(state.entries))
	is.NoErr(disk.append(&consensus.HardState{Term: installedTerm}, entriesOfTerm(installedTerm, last+1, last+entriesAfterwards)))
	is.NoErr(disk.log.Close())
	return tornCopies(t, folder, size)
}

// Guards against a member that never starts again, or starts without entries that it acknowledged, after it ended between
// saving a snapshot from the leader and resetting its log, and during the recovery from that.
func TestCrashesWhileASnapshotIsInstalled(t *testing.T) {
	tests := map[string]struct{ last uint64 }{
		"the log ends before the snapshot":                       {3},
		"the log ends with another term at the snapshot's index": {installedIndex},
		"the log holds entries of another term after it":         {installedIndex + 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, crashed := range installSteps(t, newFormedFolder(t, test.last)) {
				recovered := appendAfterwards(t, crashed)
				for _, torn := range recovered {
					disk, _ := openFolder(t, torn)
					is.NoErr(disk.log.Close())
				}
				disk, before := openFolder(t, recovered[len(recovered)-1])
				is.True(len(before.entries) >= entriesAfterwards) // acknowledged entries
				is.NoErr(disk.log.Close())
				appendAfterwards(t, disk.folder)
				again, after := openFolder(t, disk.folder)
				is.NoErr(again.log.Close())
				is.Equal(len(after.entries), len(before.entries)+entriesAfterwards)
			}
		})
	}
}
