package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"limehold/codec"
	"limehold/consensus"
)

const (
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
	snapshotsKept   = 2
)

// SaveSnapshot writes a snapshot under a temporary name, syncs it, renames it,
// and syncs the folder; then it removes all but the newest two.
func SaveSnapshot(folder string, snapshot consensus.Snapshot) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrapf(err, "create snapshot folder %s", folder)
	}
	data, err := EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%016x%s", snapshot.Index, snapshotSuffix)
	if err := WriteFileDurably(filepath.Join(folder, name), data); err != nil {
		return err
	}
	return removeOldSnapshots(folder)
}

// EncodeSnapshot returns the content of a snapshot file.
func EncodeSnapshot(snapshot consensus.Snapshot) ([]byte, error) {
	payload, err := codec.Marshal(&snapshot)
	if err != nil {
		return nil, eris.Wrap(err, "encode snapshot")
	}
	return checksummed(payload), nil
}

func checksummed(payload []byte) []byte {
	data := binary.LittleEndian.AppendUint32(make([]byte, 0, len(payload)+4), crc32.Checksum(payload, castagnoli))
	return append(data, payload...)
}

// WriteFileDurably replaces a file atomically: after a crash, the file has either
// the complete old or the complete new content. If the disk has no room, it returns ErrDiskFull, and the
// old content stays.
func WriteFileDurably(path string, data []byte) error {
	temporary := path + temporarySuffix
	if err := writeTemporary(temporary, data); err != nil {
		// Room for the next attempt; an error here is less telling than the first one.
		_ = os.Remove(temporary)
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return classify("rename", temporary, err)
	}
	return SyncFolder(filepath.Dir(path))
}

func writeTemporary(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return classify("create", path, err)
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return classify("write", path, err)
	}
	// The file is written anew after a failed sync, so no page of the failed one is relied on.
	if err := file.Sync(); err != nil {
		file.Close()
		return classify("sync", path, err)
	}
	return classify("close", path, file.Close())
}

func snapshotNames(folder string) ([]string, error) {
	files, err := os.ReadDir(folder)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "list snapshot folder %s", folder)
	}
	var names []string
	for _, file := range files {
		if strings.HasSuffix(file.Name(), snapshotSuffix) {
			names = append(names, file.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func removeOldSnapshots(folder string) error {
	names, err := snapshotNames(folder)
	if err != nil {
		return err
	}
	for _, name := range names[:max(0, len(names)-snapshotsKept)] {
		if err := os.Remove(filepath.Join(folder, name)); err != nil {
			return eris.Wrapf(err, "remove old snapshot %s", name)
		}
	}
	return nil
}

// LoadSnapshot returns the newest snapshot; found is false if there is none. A
// damaged newest snapshot is an error, as the log may already be truncated up to it.
func LoadSnapshot(folder string) (snapshot consensus.Snapshot, found bool, err error) {
	names, err := snapshotNames(folder)
	if err != nil || len(names) == 0 {
		return consensus.Snapshot{}, false, err
	}
	snapshot, err = ReadSnapshot(filepath.Join(folder, names[len(names)-1]))
	return snapshot, err == nil, err
}

// ReadSnapshot reads and checks one snapshot file.
func ReadSnapshot(path string) (consensus.Snapshot, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return consensus.Snapshot{}, eris.Wrapf(err, "read snapshot %s", path)
	}
	const checksumSize = 4
	if len(data) < checksumSize {
		return consensus.Snapshot{}, eris.Wrapf(ErrCorrupt, "snapshot %s is %d bytes long", path, len(data))
	}
	payload := data[checksumSize:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data) {
		return consensus.Snapshot{}, eris.Wrapf(ErrCorrupt, "snapshot %s has a wrong checksum", path)
	}
	var snapshot consensus.Snapshot
	if err := codec.Unmarshal(payload, &snapshot); err != nil {
		return consensus.Snapshot{}, eris.Wrapf(ErrCorrupt, "decode snapshot %s: %v", path, err)
	}
	return snapshot, nil
}
