package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

const (
	// markLength stands in a mark where a record has its length.
	markLength = ^uint32(0)
	markSize   = headerSize
)

// errMark says that a mark was read in place of a record.
var errMark = errors.New("a mark")

// markAt is the mark for an offset of a segment. It names the offset, so that no
// bytes of a record are taken for one.
func markAt(offset int64) [headerSize]byte {
	var mark [headerSize]byte
	binary.LittleEndian.PutUint32(mark[0:4], markLength)
	binary.LittleEndian.PutUint32(mark[4:8], uint32(offset))
	binary.LittleEndian.PutUint32(mark[checkedHeader:], crc32.Checksum(mark[:checkedHeader], castagnoli))
	return mark
}

// writeMark notes that everything up to here has been synced. A mark that is lost
// costs nothing but that the last sync cannot be told from none.
func (l *Log) writeMark() error {
	mark := markAt(l.size)
	written, err := l.file.Write(mark[:])
	if err != nil {
		return l.fail(eris.Wrapf(err, "write log segment %s (disk full?)", l.file.Name()))
	}
	l.size += int64(written)
	return nil
}

// syncLast makes the last mark of the newest segment durable, before another
// segment follows it.
func (l *Log) syncLast() error {
	if len(l.segments) == 0 {
		return nil
	}
	path := filepath.Join(l.options.Folder, segmentName(l.segments[len(l.segments)-1].sequence))
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "open log segment %s to sync it", path)
	}
	defer file.Close()
	return eris.Wrapf(file.Sync(), "sync log segment %s", path)
}

// neverSynced reports whether what stands at an offset of the newest segment and
// does not read as a record may be what a loss of power left of an unfinished write:
// no mark follows it, and it is not a mark that was damaged otherwise.
func neverSynced(path string, offset, size int64) bool {
	data, err := os.ReadFile(path)
	if err != nil || int64(len(data)) != size {
		return false
	}
	for at := offset + 1; at+markSize <= size; at++ {
		if [headerSize]byte(data[at:at+markSize]) == markAt(at) {
			return false
		}
	}
	rest := data[offset:]
	// Exactly as much as a mark: it must be part of one, or the head of a record.
	return len(rest) != markSize || partOf(rest, markAt(offset)) || isHeader(rest)
}

// isHeader reports whether the bytes are a record's header, unharmed.
func isHeader(found []byte) bool {
	return crc32.Checksum(found[:checkedHeader], castagnoli) == binary.LittleEndian.Uint32(found[checkedHeader:])
}

// partOf reports whether every byte is as in the mark, or was not written.
func partOf(found []byte, mark [headerSize]byte) bool {
	for i, value := range found {
		if value != mark[i] && value != 0 {
			return false
		}
	}
	return true
}
