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
	// markLength is the value of the length field that distinguishes a mark from a record.
	markLength = ^uint32(0)
	markSize   = headerSize
)

// errFoundMark is returned if a mark was read in place of a record.
var errFoundMark = errors.New("sync mark")

// markAt returns the mark for an offset of a segment. The mark contains the offset, so
// that bytes of a record cannot be mistaken for a mark.
func markAt(offset int64) [headerSize]byte {
	var mark [headerSize]byte
	binary.LittleEndian.PutUint32(mark[0:4], markLength)
	binary.LittleEndian.PutUint32(mark[4:8], uint32(offset))
	binary.LittleEndian.PutUint32(mark[checksummedHeaderSize:], crc32.Checksum(mark[:checksummedHeaderSize], castagnoli))
	return mark
}

// writeMark records that everything before this offset has been synced. If a mark is
// lost, recovery treats the last batch before it as perhaps never synced. Without room for the mark
// the batch is durable nevertheless: the mark's remains are cut off, and the next batch has a mark again.
func (l *Log) writeMark() error {
	mark := markAt(l.size)
	_, err := l.file.Write(mark[:])
	if isOutOfSpace(err) {
		return l.cutBack()
	}
	if err != nil {
		return l.failWrite(err)
	}
	l.size += markSize
	return nil
}

// syncLastSegment makes the last mark of the newest segment durable before another segment
// is started.
func (l *Log) syncLastSegment() error {
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

// maybeUnsynced reports whether the bytes from an offset of the newest segment on, which are
// not a valid record, may be the remains of an unfinished write after a loss of power:
// no mark follows them, and they are not a damaged mark.
func maybeUnsynced(path string, offset, size int64) bool {
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
	// As long as a mark: the bytes must be a partly written mark or a record's header.
	return len(rest) != markSize || isPartialMark(rest, markAt(offset)) || isHeader(rest)
}

// isHeader reports whether the bytes are an undamaged record header.
func isHeader(found []byte) bool {
	return crc32.Checksum(found[:checksummedHeaderSize], castagnoli) == binary.LittleEndian.Uint32(found[checksummedHeaderSize:])
}

// isPartialMark reports whether every byte equals that of the mark or is zero, as if unwritten.
func isPartialMark(found []byte, mark [headerSize]byte) bool {
	for i, value := range found {
		if value != mark[i] && value != 0 {
			return false
		}
	}
	return true
}
