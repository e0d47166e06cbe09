package control

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
	"limehold/fleet"
	"limehold/wal"
)

// Guards against a restored group whose leaders nodes take for earlier ones than those of the old group, so that
// no node counts as quiet.
func TestRestoredGroupHasLaterTerms(t *testing.T) {
	is := is.New(t)
	const saved, reached = 5, 40
	source, target := t.TempDir(), t.TempDir()
	data, err := fleet.NewState().Encode()
	is.NoErr(err)
	is.NoErr(wal.SaveSnapshot(source, consensus.Snapshot{Index: 7, Term: saved, Data: data}))
	files, err := filepath.Glob(filepath.Join(source, "*"))
	is.NoErr(err)
	restored, err := Restore(files[0], target, "control-1", "127.0.0.1:1")
	is.NoErr(err)
	is.True(restored.Term > reached)
	disk, recovered, err := openStorage(target, "control-1", wal.Options{SegmentSize: 1 << 20})
	is.NoErr(err)
	is.NoErr(disk.log.Close())
	is.Equal(recovered.snapshot.Term, restored.Term)
}
