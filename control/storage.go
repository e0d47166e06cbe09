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
	// needsReset is set if the log holds entries that the snapshot replaces, and nothing that follows it: the member
	// ended after it had saved a snapshot from the leader and before it had reset the log. Used by the log's writer only.
	needsReset bool

	// snapshotMutex serializes the writing of snapshots. snapshotIndex is the index of
	// the newest saved snapshot.
	snapshotMutex sync.Mutex
	snapshotIndex uint64
	// identityMutex guards identity.Formed. A member that is admitted sets it on two
	// goroutines: when it installs a snapshot, and when it receives a configuration.
	identityMutex sync.Mutex
}

// recoveredState is the content of the data folder at the start.
type recoveredState struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	tornBytes int64
}

// openStorage recovers a data folder, or initializes a new one. It fails if the
// folder holds less than this member has acknowledged.
func openStorage(folder, name string, logOptions wal.Options) (*storage, recoveredState, error) {
	identity, err := wal.LoadIdentity(folder, name)
	if err != nil {
		return nil, recoveredState{}, err
	}
	snapshot, found, err := wal.LoadSnapshot(filepath.Join(folder, snapshotFolder))
	if err != nil {
		return nil, recoveredState{}, err
	}
	if identity.Formed && !found {
		return nil, recoveredState{}, eris.Errorf("data folder %s belongs to member %s of a group but holds no snapshot: part of it was lost; move it away and admit this member again with 'limehold member replace %s'", folder, identity.ID, name)
	}
	logOptions.Folder = filepath.Join(folder, logFolder)
	log, recovered, err := wal.Open(logOptions)
	if err != nil {
		return nil, recoveredState{}, err
	}
	state := recoveredState{
		hardState: recovered.HardState, snapshot: snapshot,
		entries: entriesAfter(snapshot, recovered.Entries), tornBytes: recovered.TornBytes,
	}
	if err := checkContinuity(folder, snapshot, state.entries); err != nil {
		return nil, recoveredState{}, err
	}
	return &storage{
		folder: folder, identity: identity, log: log, snapshotIndex: snapshot.Index,
		needsReset: isReplaced(snapshot, recovered.Entries),
	}, state, nil
}

// isReplaced reports whether entries have to be dropped before any that follow the snapshot are appended to them.
func isReplaced(snapshot consensus.Snapshot, entries []consensus.Entry) bool {
	if len(entries) == 0 || entries[0].Index > snapshot.Index {
		return false
	}
	for _, entry := range entries {
		if entry.Index == snapshot.Index {
			return entry.Term != snapshot.Term
		}
	}
	return true
}

// append makes a hard state (may be nil) and entries durable. Before its first entries it drops those that the
// snapshot replaces. It has the errors of wal.Log.Append.
func (s *storage) append(hard *consensus.HardState, entries []consensus.Entry) error {
	if s.needsReset {
		if err := s.resetLog(); err != nil {
			return err
		}
	}
	return s.log.Append(hard, entries)
}

func (s *storage) resetLog() error {
	if err := s.log.Reset(); err != nil {
		return err
	}
	s.needsReset = false
	return nil
}

// entriesAfter returns the entries that follow the snapshot. It returns none if the
// log has another term at the snapshot's index: the snapshot replaces such a log.
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

// markFormed records durably that the folder belongs to a group.
func (s *storage) markFormed() error {
	s.identityMutex.Lock()
	defer s.identityMutex.Unlock()
	if s.identity.Formed {
		return nil
	}
	formed := s.identity
	formed.Formed = true
	if err := wal.SaveIdentity(s.folder, formed); err != nil {
		return err
	}
	s.identity = formed
	return nil
}

// saveSnapshot writes a snapshot without touching the log. It skips a snapshot older
// than the newest saved one, which already covers it.
func (s *storage) saveSnapshot(snapshot consensus.Snapshot) error {
	s.snapshotMutex.Lock()
	defer s.snapshotMutex.Unlock()
	if snapshot.Index < s.snapshotIndex {
		return nil
	}
	if err := wal.SaveSnapshot(filepath.Join(s.folder, snapshotFolder), snapshot); err != nil {
		return err
	}
	s.snapshotIndex = snapshot.Index
	return nil
}

// installSnapshot writes a snapshot, marks the data folder as formed, and resets the log, which
// the snapshot replaces.
func (s *storage) installSnapshot(snapshot consensus.Snapshot) error {
	if err := s.saveSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.markFormed(); err != nil {
		return err
	}
	return s.resetLog()
}
