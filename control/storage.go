package control

import (
	"path/filepath"
	"sync"

	"github.com/rotisserie/eris"

	"limehold/consensus"
	"limehold/wal"
)

const (
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// storage is a member's data folder.
type storage struct {
	folder   string
	identity wal.Identity
	log      *wal.Log

	// saving lets one snapshot be written at a time; saved is the newest one's index.
	saving sync.Mutex
	saved  uint64
	// marking guards identity.Formed: a member that is let in learns of it from a snapshot and from the
	// configuration, on two goroutines.
	marking sync.Mutex
}

// loaded is what the data folder held at the start.
type loaded struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	tornBytes int64
}

// openStorage recovers a data folder, or prepares a new one. It fails rather
// than go on with less than this member has acknowledged.
func openStorage(folder, name string, segmentBytes int64) (*storage, loaded, error) {
	identity, err := wal.LoadIdentity(folder, name)
	if err != nil {
		return nil, loaded{}, err
	}
	snapshot, found, err := wal.LoadSnapshot(filepath.Join(folder, snapshotFolder))
	if err != nil {
		return nil, loaded{}, err
	}
	if identity.Formed && !found {
		return nil, loaded{}, eris.Errorf("data folder %s belongs to member %s of a group but holds no snapshot: part of it was lost; move it away and admit this member again with 'limehold member replace %s'", folder, identity.ID, name)
	}
	log, recovered, err := wal.Open(wal.Options{Folder: filepath.Join(folder, logFolder), SegmentSize: segmentBytes})
	if err != nil {
		return nil, loaded{}, err
	}
	state := loaded{
		hardState: recovered.HardState, snapshot: snapshot,
		entries: entriesAfter(snapshot, recovered.Entries), tornBytes: recovered.TornBytes,
	}
	if err := checkContinuity(folder, snapshot, state.entries); err != nil {
		return nil, loaded{}, err
	}
	return &storage{folder: folder, identity: identity, log: log, saved: snapshot.Index}, state, nil
}

// entriesAfter returns the entries that follow the snapshot. A log that does not
// agree with the snapshot at its index was replaced by it.
func entriesAfter(snapshot consensus.Snapshot, entries []consensus.Entry) []consensus.Entry {
	for i, entry := range entries {
		if entry.Index == snapshot.Index {
			if entry.Term != snapshot.Term {
				return nil
			}
			return entries[i+1:]
		}
	}
	if len(entries) > 0 && entries[0].Index > snapshot.Index {
		return entries
	}
	return nil
}

func checkContinuity(folder string, snapshot consensus.Snapshot, entries []consensus.Entry) error {
	if len(entries) > 0 && entries[0].Index != snapshot.Index+1 {
		return eris.Wrapf(wal.ErrCorrupt, "data folder %s: the snapshot ends at %d, the log begins at %d; replace this member", folder, snapshot.Index, entries[0].Index)
	}
	return nil
}

// markFormed notes durably that the folder belongs to a group.
func (s *storage) markFormed() error {
	s.marking.Lock()
	defer s.marking.Unlock()
	if s.identity.Formed {
		return nil
	}
	s.identity.Formed = true
	return wal.SaveIdentity(s.folder, s.identity)
}

// saveSnapshot writes a snapshot without touching the log. One that is older than the newest
// is left out: what it holds is there already.
func (s *storage) saveSnapshot(snapshot consensus.Snapshot) error {
	s.saving.Lock()
	defer s.saving.Unlock()
	if snapshot.Index < s.saved {
		return nil
	}
	if err := wal.SaveSnapshot(filepath.Join(s.folder, snapshotFolder), snapshot); err != nil {
		return err
	}
	s.saved = snapshot.Index
	return nil
}

// installSnapshot writes a snapshot that replaces the log.
func (s *storage) installSnapshot(snapshot consensus.Snapshot) error {
	if err := s.saveSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.markFormed(); err != nil {
		return err
	}
	return s.log.Reset()
}
