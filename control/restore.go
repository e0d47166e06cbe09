package control

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"limehold/consensus"
	"limehold/fleet"
	"limehold/wal"
)

// Restored tells what a new group begins with.
type Restored struct {
	// Identity of the new group's only member.
	Identity consensus.MemberID
	// Revision is the last one that the source holds. What was acknowledged after
	// it is lost.
	Revision uint64
	Term     uint64
}

// Restore writes the data folder of a new group of one member, out of a snapshot
// file or of the data folder of a member of the old group. It is the way back
// when a majority of the old group's members is gone for good.
func Restore(source, target, name, address string) (Restored, error) {
	if entries, err := os.ReadDir(target); err == nil && len(entries) > 0 {
		return Restored{}, eris.Errorf("folder %s is not empty: name a new one", target)
	}
	snapshot, err := newestState(source)
	if err != nil {
		return Restored{}, err
	}
	identity, err := wal.LoadIdentity(target, name)
	if err != nil {
		return Restored{}, err
	}
	// The term goes on, so that no message of the old group is taken.
	snapshot.Term++
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

// newestState reads a snapshot file, or the snapshot of a data folder together
// with every command in its log. The last of these may never have been
// acknowledged; none that this member acknowledged is missing.
func newestState(source string) (consensus.Snapshot, error) {
	info, err := os.Stat(source)
	if err != nil {
		return consensus.Snapshot{}, eris.Wrap(err, "read the source")
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
	return applied(snapshot, entriesAfter(snapshot, recovered.Entries), recovered.HardState)
}

func applied(snapshot consensus.Snapshot, entries []consensus.Entry, hard consensus.HardState) (consensus.Snapshot, error) {
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
