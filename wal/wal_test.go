package wal

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
)

func entries(from, to uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := from; index <= to; index++ {
		list = append(list, consensus.Entry{Term: 1, Index: index, Data: []byte{byte(index)}})
	}
	return list
}

func writeLog(t *testing.T, options Options, count uint64) {
	t.Helper()
	log, _, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	for index := uint64(1); index <= count; index++ {
		if err := log.Append(&consensus.HardState{Term: index}, entries(index, index)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

func lastSegment(t *testing.T, folder string) string {
	t.Helper()
	names, err := segmentNames(folder)
	if err != nil || len(names) == 0 {
		t.Fatalf("segments: %v, %v", names, err)
	}
	return filepath.Join(folder, names[len(names)-1])
}

func TestAcknowledgedRecordsAreRecovered(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir(), SegmentSize: 200}
	writeLog(t, options, 50)
	_, recovered, err := Open(options)
	is.NoErr(err)
	is.Equal(len(recovered.Entries), 50)
	is.Equal(recovered.HardState.Term, uint64(50))
	is.Equal(recovered.TornBytes, int64(0))
}

func TestLaterEntriesReplaceEarlierOnes(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir()}
	writeLog(t, options, 5)
	log, _, err := Open(options)
	is.NoErr(err)
	is.NoErr(log.Append(nil, []consensus.Entry{{Term: 2, Index: 3}}))
	is.NoErr(log.Close())
	_, recovered, err := Open(options)
	is.NoErr(err)
	is.Equal(len(recovered.Entries), 3)
	is.Equal(recovered.Entries[2].Term, uint64(2))
}

func TestTornTailIsCutOffWhereverItIsTorn(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir()}
	writeLog(t, options, 5)
	path := lastSegment(t, options.Folder)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for length := len(whole) - 1; length > len(whole)-40-markSize; length-- {
		is.NoErr(os.WriteFile(path, whole[:length], fileMode))
		copied := copyFolder(t, options.Folder)
		_, recovered, err := Open(Options{Folder: copied})
		is.NoErr(err)
		is.True(len(recovered.Entries) >= 3) // only the last records can be torn
		if length >= len(whole)-markSize {
			is.Equal(len(recovered.Entries), 5) // only the mark after them is torn
			continue
		}
		is.True(len(recovered.Entries) < 5)
	}
}

// After a loss of power, each write since the last sync may be kept, lost or torn
// independently. Neither a write after a lost mark nor a damaged write was acknowledged,
// and both must be cut off.
func TestWhatWasNeverSyncedIsCutOff(t *testing.T) {
	options := Options{Folder: t.TempDir()}
	writeLog(t, options, 5)
	path := lastSegment(t, options.Folder)
	acknowledged, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	log, _, err := Open(Options{Folder: copyFolder(t, options.Folder)})
	if err != nil {
		t.Fatal(err)
	}
	log.buffer.Reset()
	if err := log.write(record{Entry: &consensus.Entry{Term: 1, Index: 6, Data: []byte("never synced")}}); err != nil {
		t.Fatal(err)
	}
	unsynced := slices.Clone(log.buffer.Bytes())
	lostMark := slices.Clone(acknowledged)
	clear(lostMark[len(lostMark)-markSize:])
	torn := slices.Clone(unsynced)
	clear(torn[len(torn)/2:])
	wrong := slices.Clone(unsynced)
	wrong[len(wrong)-1] ^= 1
	for name, content := range map[string][]byte{
		"mark lost, write kept":  append(slices.Clone(lostMark), unsynced...),
		"write torn":             append(slices.Clone(acknowledged), torn...),
		"write with wrong bytes": append(slices.Clone(acknowledged), wrong...),
		"mark lost, write torn":  append(slices.Clone(lostMark), torn...),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			copied := copyFolder(t, options.Folder)
			is.NoErr(os.WriteFile(lastSegment(t, copied), content, fileMode))
			_, recovered, err := Open(Options{Folder: copied})
			is.NoErr(err)
			is.Equal(len(recovered.Entries), 5)
		})
	}
}

func copyFolder(t *testing.T, folder string) string {
	t.Helper()
	target := t.TempDir()
	names, err := segmentNames(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(folder, name))
		if err == nil {
			err = os.WriteFile(filepath.Join(target, name), data, fileMode)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return target
}

func TestZeroFilledTailIsCutOff(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir()}
	writeLog(t, options, 5)
	path := lastSegment(t, options.Folder)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, append(whole, make([]byte, 300)...), fileMode))
	_, recovered, err := Open(options)
	is.NoErr(err)
	is.Equal(len(recovered.Entries), 5)
}

// A flipped bit in an acknowledged record must be reported as damage.
func TestFlippedBitIsAnError(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir()}
	writeLog(t, options, 5)
	path := lastSegment(t, options.Folder)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for offset := range len(whole) {
		flipped := slices.Clone(whole)
		flipped[offset] ^= 0x10
		is.NoErr(os.WriteFile(path, flipped, fileMode))
		_, _, err := Open(Options{Folder: copyFolder(t, options.Folder)})
		is.True(errors.Is(err, ErrCorrupt)) // even if the bit is part of a length
	}
}

func TestTornTailOfAnOlderSegmentIsAnError(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir(), SegmentSize: 100}
	writeLog(t, options, 20)
	names, err := segmentNames(options.Folder)
	is.NoErr(err)
	path := filepath.Join(options.Folder, names[1])
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, whole[:len(whole)-3], fileMode))
	_, _, err = Open(options)
	is.True(errors.Is(err, ErrCorrupt))
}

// After a failed write or sync the content of the disk is unknown, so the log must
// reject further operations.
func TestLogRefusesToGoOnAfterAFailure(t *testing.T) {
	is := is.New(t)
	log, _, err := Open(Options{Folder: t.TempDir()})
	is.NoErr(err)
	is.NoErr(log.file.Close()) // makes the next write fail, as on a broken disk
	first := log.Append(nil, entries(1, 1))
	is.True(first != nil)
	is.Equal(log.Append(nil, entries(2, 2)), first)
	is.Equal(log.RemoveBefore(1), first)
}

func TestSegmentsBeforeASnapshotAreRemoved(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir(), SegmentSize: 100}
	log, _, err := Open(options)
	is.NoErr(err)
	for index := uint64(1); index <= 30; index++ {
		is.NoErr(log.Append(nil, entries(index, index)))
	}
	before, err := segmentNames(options.Folder)
	is.NoErr(err)
	is.NoErr(log.RemoveBefore(20))
	is.NoErr(log.Close())
	after, err := segmentNames(options.Folder)
	is.NoErr(err)
	is.True(len(after) < len(before))
	_, recovered, err := Open(options)
	is.NoErr(err)
	is.True(recovered.Entries[0].Index <= 20)
	is.Equal(recovered.Entries[len(recovered.Entries)-1].Index, uint64(30))
}

func TestDamagedSnapshotIsAnError(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(SaveSnapshot(folder, consensus.Snapshot{Index: 7, Term: 2, Data: []byte("state")}))
	loaded, found, err := LoadSnapshot(folder)
	is.NoErr(err)
	is.True(found)
	is.Equal(loaded.Index, uint64(7))
	names, err := snapshotNames(folder)
	is.NoErr(err)
	path := filepath.Join(folder, names[0])
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-1] ^= 1
	is.NoErr(os.WriteFile(path, data, fileMode))
	_, _, err = LoadSnapshot(folder)
	is.True(errors.Is(err, ErrCorrupt))
}

func TestFolderOfAnotherMemberIsRefused(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	first, err := LoadIdentity(folder, "control-1")
	is.NoErr(err)
	again, err := LoadIdentity(folder, "control-1")
	is.NoErr(err)
	is.Equal(first.ID, again.ID)
	_, err = LoadIdentity(folder, "control-2")
	is.True(err != nil)
}

func FuzzRecover(f *testing.F) {
	folder := f.TempDir()
	log, _, err := Open(Options{Folder: folder})
	if err != nil {
		f.Fatal(err)
	}
	if err := log.Append(&consensus.HardState{Term: 3, VotedFor: 1}, entries(1, 4)); err != nil {
		f.Fatal(err)
	}
	names, _ := segmentNames(folder)
	seed, err := os.ReadFile(filepath.Join(folder, names[0]))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)-5])
	f.Add(append(slices.Clone(seed), make([]byte, 20)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentName(1)), data, fileMode); err != nil {
			t.Fatal(err)
		}
		log, recovered, err := Open(Options{Folder: folder})
		if err != nil {
			return
		}
		for i := 1; i < len(recovered.Entries); i++ {
			if recovered.Entries[i].Index != recovered.Entries[i-1].Index+1 {
				t.Fatalf("entry %d follows entry %d", recovered.Entries[i].Index, recovered.Entries[i-1].Index)
			}
		}
		_ = log.Close()
		// A second recovery must return the same records.
		_, again, err := Open(Options{Folder: folder})
		if err != nil || len(again.Entries) != len(recovered.Entries) || again.HardState != recovered.HardState {
			t.Fatalf("second recovery differs: %v, %d entries, then %d", err, len(recovered.Entries), len(again.Entries))
		}
	})
}

// Guards against a log that is refused as damaged after a loss of power during a compaction, which undid the removal of
// an older segment and not that of a newer one.
func TestRemovalOfSegmentsSurvivesALossOfPower(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir(), SegmentSize: 100}
	writeLog(t, options, 20)
	log, _, err := Open(options)
	is.NoErr(err)
	saved := t.TempDir()
	is.NoErr(os.CopyFS(saved, os.DirFS(options.Folder)))
	synced, err := segmentNames(options.Folder)
	is.NoErr(err)
	syncs := 0
	log.syncFolder = func(folder string) error {
		syncs++
		left, err := segmentNames(folder)
		is.NoErr(err)
		removed := slices.DeleteFunc(slices.Clone(synced), func(name string) bool { return slices.Contains(left, name) })
		for undone := range 1 << len(removed) {
			after := t.TempDir()
			is.NoErr(os.CopyFS(after, os.DirFS(folder)))
			for i, name := range removed {
				if undone&(1<<i) != 0 {
					data, err := os.ReadFile(filepath.Join(saved, name))
					is.NoErr(err)
					is.NoErr(os.WriteFile(filepath.Join(after, name), data, fileMode))
				}
			}
			recovered, _, err := Open(Options{Folder: after, SegmentSize: options.SegmentSize})
			is.NoErr(err)
			is.NoErr(recovered.Close())
		}
		synced = left
		return SyncFolder(folder)
	}
	is.NoErr(log.RemoveBefore(10))
	is.True(syncs > 0)
	is.NoErr(log.Close())
}
