package control

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"limehold/consensus"
	"limehold/fleet"
	"limehold/wal"
)

// restoredTermGap is added to the term of the source. The source may be older than the group's last term; a
// higher one makes the new group reject messages of the old one, and lets it believe the claims of nodes that
// have heard of the old one's leaders.
const restoredTermGap = 1 << 20

// Restored describes the initial state of a restored group.
type Restored struct {
	// Identity is the ID of the new group's only member.
	Identity consensus.MemberID
	// Revision is the last revision that the source holds. Later changes are lost,
	// even acknowledged ones.
	Revision uint64
	Term     uint64
}

// Restore writes the data folder of a new group of one member from a snapshot
// file or from the data folder of a member of the old group. It serves to recover
// when a majority of the old group's members is permanently lost.
func Restore(source, target, name, address string) (Restored, error) {
	if entries, err := os.ReadDir(target); err == nil && len(entries) > 0 {
		return Restored{}, eris.Errorf("folder %s is not empty: use a new one", target)
	}
	snapshot, err := newestState(source)
	if err != nil {
		return Restored{}, err
	}
	identity, err := wal.LoadIdentity(target, name)
	if err != nil {
		return Restored{}, err
	}
	snapshot.Term += restoredTermGap
	snapshot.Configuration = consensus.Configuration{Members: []consensus.Member{{ID: identity.ID, Name: name, Address: address}}}
	if err := wal.SaveSnapshot(filepath.Join(target, snapshotFolder), snapshot); err != nil {
		return Restored{}, err
	}
	identity.Formed = true
	if err := wal.SaveIdentity(target, identity); err != nil {
		return Restored{}, err
	}
	return Restored{Identity: identity.ID, Revision: snapshot.Index, Term: snapshot.Term}, nil
}

// newestState reads a snapshot file, or the snapshot of a data folder with all commands of
// its log applied. The result holds every entry that the folder's member has acknowledged to
// a leader; the newest commands may never have been committed.
func newestState(source string) (consensus.Snapshot, error) {
	info, err := os.Stat(source)
	if err != nil {
		return consensus.Snapshot{}, eris.Wrap(err, "read the source of the restore")
	}
	if !info.IsDir() {
		return wal.ReadSnapshot(source)
	}
	snapshot, found, err := wal.LoadSnapshot(filepath.Join(source, snapshotFolder))
	if err != nil {
		return consensus.Snapshot{}, err
	}
	if !found {
		return consensus.Snapshot{}, eris.Errorf("folder %s holds no snapshot: it is not the data folder of a control member", source)
	}
	log, recovered, err := wal.Open(wal.Options{Folder: filepath.Join(source, logFolder)})
	if err != nil {
		return consensus.Snapshot{}, err
	}
	if err := log.Close(); err != nil {
		return consensus.Snapshot{}, err
	}
	return replayLog(snapshot, entriesAfter(snapshot, recovered.Entries), recovered.HardState)
}

func replayLog(snapshot consensus.Snapshot, entries []consensus.Entry, hard consensus.HardState) (consensus.Snapshot, error) {
	state, err := fleet.DecodeState(snapshot.Data)
	if err != nil {
		return snapshot, err
	}
	for i := range entries {
		snapshot.Index = entries[i].Index
		if entries[i].Kind != consensus.EntryCommand {
			continue
		}
		command, err := fleet.DecodeCommand(entries[i].Data)
		if err != nil {
			return snapshot, eris.Wrapf(err, "read log entry %d", entries[i].Index)
		}
		state.Apply(entries[i].Index, command)
	}
	snapshot.Term = max(snapshot.Term, hard.Term)
	snapshot.Data, err = state.Encode()
	return snapshot, err
}
