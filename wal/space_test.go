package wal

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"limehold/consensus"
)

// smallDisk is a file system with room for a number of bytes.
type smallDisk struct {
	room int
	// syncError is the result of each sync.
	syncError error
}

// smallFile is a file on a small disk. A write without room is done in part, as by the system.
type smallFile struct {
	*os.File
	disk *smallDisk
}

func (d *smallDisk) create(path string) (File, error) {
	if d.room == 0 {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	return &smallFile{file, d}, err
}

func (f *smallFile) Write(data []byte) (int, error) {
	written, err := f.File.Write(data[:min(len(data), f.disk.room)])
	f.disk.room -= written
	if err == nil && written < len(data) {
		err = &os.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return written, err
}

func (f *smallFile) Truncate(size int64) error {
	info, err := f.Stat()
	if err == nil {
		f.disk.room += int(info.Size() - size)
	}
	return errors.Join(err, f.File.Truncate(size))
}

func (f *smallFile) Sync() error { return errors.Join(f.disk.syncError, f.File.Sync()) }

// mustRecover returns what a copy of the folder holds. A copy is recovered as after a crash at this moment.
func mustRecover(t *testing.T, folder string) Recovered {
	t.Helper()
	log, recovered, err := Open(Options{Folder: copyFolder(t, folder)})
	if err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	return recovered
}

// The disk gets full at every byte of a log with several segments: within the head of a segment, a record or a mark. What
// failed counts for nothing, what was acknowledged is there, and with room the same append succeeds.
func TestAppendIsRepeatedOnceThereIsRoom(t *testing.T) {
	// The step is odd, so that room ends at different bytes of the records, which are of one length.
	const count, logSize, step = 10, 900, 5
	failures := 0
	for room := 0; room < logSize; room += step {
		disk := &smallDisk{room: room}
		options := Options{Folder: t.TempDir(), SegmentSize: 200, CreateFile: disk.create}
		log, _, err := Open(options)
		if err != nil {
			t.Fatalf("room %d: %v", room, err)
		}
		for index := uint64(1); index <= count; index++ {
			hard := &consensus.HardState{Term: index, VotedFor: consensus.MemberID(index)}
			err := log.Append(hard, entries(index, index))
			if errors.Is(err, ErrDiskFull) {
				failures++
				if found := mustRecover(t, options.Folder); uint64(len(found.Entries)) != index-1 || found.HardState.Term != index-1 {
					t.Fatalf("room %d: after a failed append of %d: %d entries, %+v", room, index, len(found.Entries), found.HardState)
				}
				disk.room = 1 << 20
				err = log.Append(hard, entries(index, index))
			}
			if err != nil {
				t.Fatalf("room %d, entry %d: %v", room, index, err)
			}
			if disk.room <= logSize {
				continue
			}
			if found := mustRecover(t, options.Folder); uint64(len(found.Entries)) != index || found.HardState != *hard {
				t.Fatalf("room %d: after the append of %d: %d entries, %+v", room, index, len(found.Entries), found.HardState)
			}
		}
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
		if found := mustRecover(t, options.Folder); len(found.Entries) != count || found.TornBytes != 0 {
			t.Fatalf("room %d: in the end %d entries, %d bytes torn", room, len(found.Entries), found.TornBytes)
		}
	}
	if failures < logSize/step/2 {
		t.Fatalf("only %d appends failed", failures)
	}
}

// A log opens on a full disk, and what it holds is read.
func TestLogOpensOnAFullDisk(t *testing.T) {
	is := is.New(t)
	options := Options{Folder: t.TempDir()}
	writeLog(t, options, 5)
	for range 3 {
		disk := &smallDisk{}
		options.CreateFile = disk.create
		log, recovered, err := Open(options)
		is.NoErr(err)
		is.Equal(len(recovered.Entries), 5)
		is.True(errors.Is(log.Append(nil, entries(6, 6)), ErrDiskFull))
		is.True(errors.Is(log.Reset(), ErrDiskFull))
		is.NoErr(log.RemoveBefore(1))
		is.NoErr(log.Close())
	}
	disk := &smallDisk{room: 1 << 20}
	options.CreateFile = disk.create
	log, _, err := Open(options)
	is.NoErr(err)
	is.NoErr(log.Append(nil, entries(6, 6)))
	is.NoErr(log.Close())
	is.Equal(len(mustRecover(t, options.Folder).Entries), 6)
}

// After a failed sync the content of the file is unknown, also if the disk was full.
func TestFailedSyncEndsTheLog(t *testing.T) {
	for name, cause := range map[string]error{"input/output error": syscall.EIO, "no room": syscall.ENOSPC} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			disk := &smallDisk{room: 1 << 20}
			log, _, err := Open(Options{Folder: t.TempDir(), CreateFile: disk.create})
			is.NoErr(err)
			disk.syncError = cause
			first := log.Append(nil, entries(1, 1))
			is.True(first != nil)
			is.True(!errors.Is(first, ErrDiskFull))
			disk.syncError = nil
			is.Equal(log.Append(nil, entries(1, 1)), first)
		})
	}
}

// A file that cannot be replaced keeps its content, and its temporary file takes up no room. /dev/full has no room.
func TestFileWithoutRoomKeepsItsContent(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "file")
	is.NoErr(WriteFileDurably(path, []byte("old")))
	if err := os.Symlink("/dev/full", path+temporarySuffix); err != nil {
		t.Skip(err)
	}
	is.True(errors.Is(WriteFileDurably(path, []byte("new")), ErrDiskFull))
	_, err := os.Lstat(path + temporarySuffix)
	is.True(os.IsNotExist(err))
	content, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(content), "old")
	is.NoErr(WriteFileDurably(path, []byte("new")))
}
