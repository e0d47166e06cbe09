package bulletin

import (
	"limehold/clock"
	"limehold/fleet"
	"limehold/quarantine"
)

// Standing is the crash history of a request. The zero value means that none is known.
type Standing struct {
	// Ends is the number of crashes of instances during which the request was running.
	Ends int
	// Digest identifies the record that quarantines the request, if Quarantined is set.
	Digest      quarantine.Digest
	Quarantined bool
	// Trial is the run that the quarantined request is allowed, if there is one.
	Trial quarantine.Trial
}

// Suspect reports whether instances have crashed while they ran the request.
func (s Standing) Suspect() bool { return s.Ends > 0 }

// RunsApart reports whether the request must not run at the same time as another request of which this is
// true, so that the next crash shows which of them is the cause.
func (s Standing) RunsApart() bool { return s.Quarantined || s.Ends >= quarantine.IsolationCrashes }

// Standing returns the crash history of a request, combined from its record for all callers
// and the one for its own caller.
func (b *Board) Standing(identity quarantine.Identity) Standing {
	if b.recordCount.Load() == 0 || !identity.Known() {
		return Standing{}
	}
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var standing Standing
	for _, digest := range [...]quarantine.Digest{identity.Any, identity.PerCaller} {
		row := b.row(digest)
		standing.Ends = max(standing.Ends, row.Crashes)
		if row.Quarantined && !standing.Quarantined {
			standing.Digest, standing.Quarantined, standing.Trial = digest, true, row.Trial
		}
	}
	return standing
}

// row returns control's record of a digest, combined with the queued reports: without the record if a
// completed run is reported for it, and with the reported crashes added. The mutex is held.
func (b *Board) row(digest quarantine.Digest) quarantine.PublishedRecord {
	row := b.rows[digest]
	if opened, cleared := b.survived[digest]; cleared && opened == row.Opened {
		row = quarantine.PublishedRecord{}
	}
	observed, found := b.observed.Get(digest)
	if !found {
		return row
	}
	row.Crashes += len(observed.Crashes)
	row.Quarantined = row.Quarantined || observed.Quarantined || row.Crashes >= quarantine.CrashesAlwaysQuarantined
	return row
}

// Survived records that the local instance has completed a request. It reports this to control
// if control has records of crashes during the request.
func (b *Board) Survived(identity quarantine.Identity) {
	if !identity.Known() {
		return
	}
	b.completed.add(identity, clock.Now())
	if b.recordCount.Load() == 0 {
		return
	}
	b.reportSurvived(identity.Any)
	b.reportSurvived(identity.PerCaller)
}

// Suspects returns an identity without the digests that have recently completed here.
func (b *Board) Suspects(identity quarantine.Identity) quarantine.Identity {
	now := clock.Now()
	if b.completed.contains(identity.Any, now) {
		identity.Any = quarantine.Digest{}
	}
	if b.completed.contains(identity.PerCaller, now) {
		identity.PerCaller = quarantine.Digest{}
	}
	return identity
}

// reportSurvived reports to control that a request was survived, unless that is already reported.
func (b *Board) reportSurvived(digest quarantine.Digest) {
	if opened, isNew := b.shouldReportSurvived(digest); isNew {
		b.Tell(fleet.Report{Survived: &quarantine.SuccessReport{Digest: digest, Opened: opened, Node: b.node}})
	}
}

// shouldReportSurvived reports whether a completed run of a request is new information for control, and
// the revision at which control opened the record.
func (b *Board) shouldReportSurvived(digest quarantine.Digest) (opened uint64, isNew bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	row, found := b.rows[digest]
	if !found || b.survived[digest] == row.Opened {
		return 0, false
	}
	return row.Opened, true
}
