package wal

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"limehold/codec"
	"limehold/consensus"
)

// Recovered is the state that was read from the log folder.
type Recovered struct {
	HardState consensus.HardState
	// Entries are consecutive; they may begin before the snapshot.
	Entries []consensus.Entry
	// TornBytes is the length of the unacknowledged tail that was cut off.
	TornBytes int64
}

func (l *Log) recover() (Recovered, error) {
	names, err := segmentNames(l.options.Folder)
	if err != nil {
		return Recovered{}, err
	}
	var recovered Recovered
	for i, name := range names {
		var sequence uint64
		if _, err := fmt.Sscanf(name, "%016x"+segmentSuffix, &sequence); err != nil {
			return Recovered{}, eris.Wrapf(err, "log folder %s holds a file with an unexpected name %q", l.options.Folder, name)
		}
		path := filepath.Join(l.options.Folder, name)
		if err := recoverSegment(path, i == len(names)-1, &recovered); err != nil {
			return Recovered{}, err
		}
		last := segment{sequence: sequence}
		if count := len(recovered.Entries); count > 0 {
			last.lastIndex = recovered.Entries[count-1].Index
		}
		l.segments = append(l.segments, last)
		l.sequence = sequence
	}
	return recovered, nil
}

func segmentNames(folder string) ([]string, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrapf(err, "list log folder %s", folder)
	}
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file.Name(), segmentSuffix) {
			names = append(names, file.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func recoverSegment(path string, last bool, recovered *Recovered) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrapf(err, "open log segment %s", path)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return eris.Wrapf(err, "inspect log segment %s", path)
	}
	reader := bufio.NewReaderSize(file, 1<<20)
	var offset int64
	for {
		payload, err := readRecord(reader, offset, info.Size()-offset)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if errors.Is(err, errFoundMark) {
			offset += markSize
			continue
		}
		if err != nil && last && maybeUnsynced(path, offset, info.Size()) {
			recovered.TornBytes = info.Size() - offset
			return truncateTail(path, offset)
		}
		if err != nil {
			return eris.Wrapf(ErrCorrupt, "log segment %s at byte %d: %v; replace this member, do not copy files", path, offset, err)
		}
		if err := recovered.apply(payload); err != nil {
			return eris.Wrapf(err, "log segment %s at byte %d", path, offset)
		}
		offset += headerSize + int64(len(payload))
	}
}

// readRecord returns the payload of the record at offset. It returns io.EOF at the end and
// errFoundMark for a mark. Any other error means that there is no valid record; the caller decides
// with maybeUnsynced whether that is a torn tail or damage.
func readRecord(reader io.Reader, offset, remaining int64) ([]byte, error) {
	if remaining == 0 {
		return nil, io.EOF
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, io.ErrUnexpectedEOF
	}
	if header == markAt(offset) {
		return nil, errFoundMark
	}
	if header == ([headerSize]byte{}) {
		return nil, checkZeroTail(reader)
	}
	length := binary.LittleEndian.Uint32(header[0:4])
	checksum := binary.LittleEndian.Uint32(header[4:8])
	if found := crc32.Checksum(header[:checksummedHeaderSize], castagnoli); found != binary.LittleEndian.Uint32(header[checksummedHeaderSize:]) {
		return nil, errors.New("the record's header has a wrong checksum")
	}
	if length == 0 || length > maxRecordSize {
		return nil, fmt.Errorf("record length %d is outside 1..%d", length, maxRecordSize)
	}
	if int64(length) > remaining-headerSize {
		return nil, io.ErrUnexpectedEOF
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	if found := crc32.Checksum(payload, castagnoli); found != checksum {
		return nil, fmt.Errorf("checksum mismatch: computed %08x, recorded %08x", found, checksum)
	}
	return payload, nil
}

// checkZeroTail returns io.ErrUnexpectedEOF if only zero bytes follow, and another error otherwise.
func checkZeroTail(reader io.Reader) error {
	rest, err := io.ReadAll(reader)
	if err != nil {
		return err
	}
	if bytes.Count(rest, []byte{0}) != len(rest) {
		return errors.New("a zeroed record header is followed by further data")
	}
	return io.ErrUnexpectedEOF
}

func truncateTail(path string, offset int64) error {
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return eris.Wrapf(err, "open log segment %s to truncate its torn tail", path)
	}
	defer file.Close()
	if err := file.Truncate(offset); err != nil {
		return eris.Wrapf(err, "truncate torn tail of log segment %s", path)
	}
	return eris.Wrapf(file.Sync(), "sync log segment %s", path)
}

func (r *Recovered) apply(payload []byte) error {
	var decoded record
	if err := codec.Unmarshal(payload, &decoded); err != nil {
		return eris.Wrapf(ErrCorrupt, "decode record: %v", err)
	}
	if decoded.HardState != nil {
		r.HardState = *decoded.HardState
	}
	if decoded.Reset {
		r.Entries = nil
	}
	if decoded.Entry == nil {
		return nil
	}
	return r.applyEntry(*decoded.Entry)
}

// applyEntry appends an entry. It replaces all earlier ones from the entry's index on.
func (r *Recovered) applyEntry(entry consensus.Entry) error {
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		next := r.Entries[len(r.Entries)-1].Index + 1
		switch {
		case entry.Index > next:
			return eris.Wrapf(ErrCorrupt, "entry %d follows entry %d", entry.Index, next-1)
		case entry.Index < first:
			r.Entries = r.Entries[:0]
		case entry.Index < next:
			r.Entries = r.Entries[:entry.Index-first]
		}
	}
	r.Entries = append(r.Entries, entry)
	return nil
}
