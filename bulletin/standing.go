package bulletin

import (
	"limehold/clock"
	"limehold/fleet"
	"limehold/quarantine"
)

// Standing is what is known of a request. The zero value: nothing.
type Standing struct {
	// Ends is in how many ends of instances the request was running.
	Ends int
	// Digest is that of the record that keeps it from running; Quarantined: there is one.
	Digest      quarantine.Digest
	Quarantined bool
	// Trial is the run that it is allowed nevertheless, if there is one.
	Trial quarantine.Trial
}

// Suspect reports whether instances have ended while they ran the request.
func (s Standing) Suspect() bool { return s.Ends > 0 }

// RunsApart reports whether the request is to run while no other such one does: the next end
// is to show whether it is the cause.
func (s Standing) RunsApart() bool { return s.Quarantined || s.Ends >= quarantine.StrongEnds }

// Standing returns what is known of a request, whoever makes it and by its own caller.
func (b *Board) Standing(identity quarantine.Identity) Standing {
	if b.records.Load() == 0 || !identity.Known() {
		return Standing{}
	}
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var standing Standing
	for _, digest := range [...]quarantine.Digest{identity.Any, identity.Own} {
		row := b.row(digest)
		standing.Ends = max(standing.Ends, row.Ends)
		if row.Quarantined && !standing.Quarantined {
			standing.Digest, standing.Quarantined, standing.Trial = digest, true, row.Trial
		}
	}
	return standing
}

// row is what control has told of a digest, with what was observed here since.
func (b *Board) row(digest quarantine.Digest) quarantine.Row {
	row := b.told[digest]
	if opened, cleared := b.survived[digest]; cleared && opened == row.Opened {
		row = quarantine.Row{}
	}
	observed, found := b.observed.Get(digest)
	if !found {
		return row
	}
	row.Ends += len(observed.Ends)
	row.Quarantined = row.Quarantined || observed.Quarantined || row.Ends >= quarantine.MostEnds
	return row
}

// Survived notes that the instance beside this process has run a request to a good end, and
// tells it where instances have ended under the request.
func (b *Board) Survived(identity quarantine.Identity) {
	if !identity.Known() {
		return
	}
	b.well.note(identity, clock.Now())
	if b.records.Load() == 0 {
		return
	}
	b.clear(identity.Any)
	b.clear(identity.Own)
}

// Suspects returns an identity without what has lately run well here.
func (b *Board) Suspects(identity quarantine.Identity) quarantine.Identity {
	now := clock.Now()
	if b.well.lately(identity.Any, now) {
		identity.Any = quarantine.Digest{}
	}
	if b.well.lately(identity.Own, now) {
		identity.Own = quarantine.Digest{}
	}
	return identity
}

// clear tells that a request was survived, unless that is told already.
func (b *Board) clear(digest quarantine.Digest) {
	if opened, news := b.wouldClear(digest); news {
		b.Tell(fleet.Report{Survived: &quarantine.Survived{Digest: digest, Opened: opened, Node: b.node}})
	}
}

// wouldClear reports whether a good run of a request is news to control, and of which record.
func (b *Board) wouldClear(digest quarantine.Digest) (opened uint64, news bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	row, found := b.told[digest]
	if !found || b.survived[digest] == row.Opened {
		return 0, false
	}
	return row.Opened, true
}
