// Package wal keeps a member's durable state in one folder: the identity file,
// the segments of the log, and the newest snapshots. A record counts only once it
// is synced. Recovery fails with an error rather than continue with less
// than was acknowledged.
//
// Record layout, little endian: length uint32, checksum uint32 (CRC-32C over
// the payload), checksum of these two uint32, payload (msgpack). The header has a
// checksum of its own, so that a damaged length is not mistaken for the length of a
// record that continues beyond the end of the file.
//
// After each sync a mark is written, which is not synced itself. Everything before
// a mark was durable when the mark was written; damage there is ErrCorrupt. Data
// after the last mark of the last segment may never have been synced, and any part of
// it may remain after a loss of power: it is cut off from the first invalid record on,
// as a torn tail, whatever makes that record invalid. A damaged mark at the end of the
// segment is ErrCorrupt, too. See mark.go.
//
// A write for which the disk has no room fails with ErrDiskFull and leaves the log as it
// was; see space.go. Any other failure ends the log.
package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"limehold/codec"
	"limehold/consensus"
)

const (
	headerSize            = 12
	checksummedHeaderSize = 8
	maxRecordSize         = 256 << 20
	defaultSegmentSize    = 64 << 20
	segmentSuffix         = ".wal"
	// The log holds configurations as operators sent them, with the API keys of tenants.
	folderMode = 0o700
	fileMode   = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt is returned if the log has damage other than a torn tail, or if a snapshot is damaged.
var ErrCorrupt = errors.New("the log is damaged")

// record is the unit of the log: a hard state, an entry, or a reset.
type record struct {
	HardState *consensus.HardState
	Entry     *consensus.Entry
	// Reset drops every entry read so far: a snapshot from the leader replaced a log
	// that did not match it.
	Reset bool
}

// Options configures a log.
type Options struct {
	// Folder holds the segments. It is created if missing.
	Folder string
	// SegmentSize is the size in bytes after which a new segment is started. Default 64 MiB.
	SegmentSize int64
	// CreateFile creates a segment in place of the file system. Optional.
	CreateFile func(path string) (File, error)
}

// Log is the durable log of one member. It is not safe for concurrent use.
type Log struct {
	options Options
	// file is the current segment, nil if the disk was too full to begin one when the log was opened.
	file File
	// size is the length of the current segment up to its last complete write.
	size       int64
	sequence   uint64
	segments   []segment
	buffer     bytes.Buffer
	hardState  consensus.HardState
	firstError error
	// syncFolder makes the removal of segments durable. Tests replace it.
	syncFolder func(folder string) error
}

type segment struct {
	sequence  uint64
	lastIndex uint64
}

// Open recovers the log folder and returns a log ready for appending.
func Open(options Options) (*Log, Recovered, error) {
	if options.SegmentSize <= 0 {
		options.SegmentSize = defaultSegmentSize
	}
	if options.CreateFile == nil {
		options.CreateFile = createFile
	}
	if err := os.MkdirAll(options.Folder, folderMode); err != nil {
		return nil, Recovered{}, eris.Wrapf(err, "create log folder %s", options.Folder)
	}
	log := &Log{options: options, syncFolder: SyncFolder}
	recovered, err := log.recover()
	if err != nil {
		return nil, Recovered{}, err
	}
	log.hardState = recovered.HardState
	if err := log.syncLastSegment(); err != nil {
		return nil, Recovered{}, err
	}
	// On a full disk the first append begins the segment.
	if err := log.startSegment(); err != nil && !errors.Is(err, ErrDiskFull) {
		return nil, Recovered{}, err
	}
	return log, recovered, nil
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

// startSegment begins the next segment and then closes the current one. If the disk is full, it removes what
// it has begun, and the current segment stays in use.
func (l *Log) startSegment() error {
	if l.file != nil {
		// Makes the last mark of the finished segment durable.
		if err := l.file.Sync(); err != nil {
			return l.recordError(eris.Wrap(err, "sync full log segment"))
		}
	}
	next := segment{sequence: l.sequence + 1}
	path := filepath.Join(l.options.Folder, segmentName(next.sequence))
	file, err := l.options.CreateFile(path)
	if isOutOfSpace(err) {
		return diskFull("create log segment", path, err)
	}
	if err != nil {
		return l.recordError(eris.Wrapf(err, "create log segment %s", path))
	}
	size, err := l.writeSegmentStart(file)
	if isOutOfSpace(err) {
		return l.abandonSegment(file, err)
	}
	if err != nil {
		return l.recordError(err)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.recordError(eris.Wrap(err, "close log segment"))
		}
	}
	l.file, l.size, l.sequence = file, size, next.sequence
	l.segments = append(l.segments, next)
	return l.recordError(SyncFolder(l.options.Folder))
}

// writeSegmentStart writes the hard state to a new segment and syncs it, so that older segments can be removed.
// It returns the segment's size.
func (l *Log) writeSegmentStart(file File) (int64, error) {
	var start bytes.Buffer
	if err := encodeRecord(&start, &record{HardState: &l.hardState}); err != nil {
		return 0, err
	}
	size := int64(start.Len())
	mark := markAt(size)
	if _, err := file.Write(start.Bytes()); err != nil {
		return 0, eris.Wrapf(err, "write log segment %s", file.Name())
	}
	if err := file.Sync(); err != nil {
		return 0, syncError(file, err)
	}
	if _, err := file.Write(mark[:]); err != nil {
		return 0, eris.Wrapf(err, "write log segment %s", file.Name())
	}
	return size + markSize, nil
}

// SyncFolder makes the creation, renaming and removal of files in a folder durable.
func SyncFolder(folder string) error {
	handle, err := os.Open(folder)
	if err != nil {
		return eris.Wrapf(err, "open folder %s", folder)
	}
	defer handle.Close()
	return eris.Wrapf(handle.Sync(), "sync folder %s", folder)
}

// Append writes a hard state (may be nil) and entries, and returns once they are
// synced. After ErrDiskFull the log is as before, and the same append may be repeated. After
// any other error the log rejects all further operations: what reached the
// disk is unknown until the folder is recovered.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	var records []record
	if hard != nil {
		records = append(records, record{HardState: hard})
	}
	for i := range entries {
		records = append(records, record{Entry: &entries[i]})
	}
	if err := l.append(records); err != nil {
		return err
	}
	if hard != nil {
		l.hardState = *hard
	}
	if len(entries) > 0 {
		l.segments[len(l.segments)-1].lastIndex = entries[len(entries)-1].Index
	}
	return nil
}

// Reset invalidates all entries written so far, after a snapshot from the leader has
// become durable in their place.
func (l *Log) Reset() error { return l.append([]record{{Reset: true}}) }

// append writes records to the current segment, or to a new one if that is full or there is none, and syncs them.
func (l *Log) append(records []record) error {
	if l.firstError != nil {
		return l.firstError
	}
	if l.file == nil || l.size >= l.options.SegmentSize {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	l.buffer.Reset()
	for i := range records {
		if err := l.write(records[i]); err != nil {
			return err
		}
	}
	return l.writeAndSync()
}

// RemoveBefore removes the oldest segments, up to the first one with an entry at or after index. It
// always keeps the current segment.
func (l *Log) RemoveBefore(index uint64) error {
	if l.firstError != nil {
		return l.firstError
	}
	return l.removeBefore(index)
}

// removeBefore syncs each removal before the next one: after a loss of power, any of those since the last sync may be
// undone, and a log that lacks a segment between others is damaged.
func (l *Log) removeBefore(keepFrom uint64) error {
	kept := l.segments[:0]
	prefix := true
	for i, old := range l.segments {
		prefix = prefix && old.lastIndex < keepFrom && i < len(l.segments)-1
		if !prefix {
			kept = append(kept, old)
			continue
		}
		path := filepath.Join(l.options.Folder, segmentName(old.sequence))
		if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return l.recordError(eris.Wrapf(err, "remove log segment %s", path))
		}
		if err := l.syncFolder(l.options.Folder); err != nil {
			return l.recordError(err)
		}
	}
	l.segments = kept
	return nil
}

// write adds a record to the buffer.
func (l *Log) write(item record) error { return l.recordError(encodeRecord(&l.buffer, &item)) }

func encodeRecord(target *bytes.Buffer, item *record) error {
	payload, err := codec.Marshal(item)
	if err != nil {
		return eris.Wrap(err, "encode log record")
	}
	var header [headerSize]byte
	binary.LittleEndian.PutUint32(header[0:4], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:8], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[checksummedHeaderSize:], crc32.Checksum(header[:checksummedHeaderSize], castagnoli))
	target.Write(header[:])
	target.Write(payload)
	return nil
}

func (l *Log) writeAndSync() error {
	if _, err := l.file.Write(l.buffer.Bytes()); err != nil {
		return l.failWrite(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.recordError(syncError(l.file, err))
	}
	l.size += int64(l.buffer.Len())
	return l.writeMark()
}

// syncError wraps the error of a failed sync. It hides the system's error, so that a sync for
// which the disk had no room is not mistaken for a write that can be repeated.
func syncError(file File, err error) error {
	return eris.Errorf("sync log segment %s: %v", file.Name(), err)
}

// recordError stores err as the log's first error, unless it is nil or one is stored already, and returns err.
func (l *Log) recordError(err error) error {
	if err != nil && l.firstError == nil {
		l.firstError = err
	}
	return err
}

// Close closes the current segment. All appended records are already synced.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return eris.Wrap(l.file.Close(), "close log segment")
}
