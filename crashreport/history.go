package crashreport

import (
	"limehold/clock"
	"limehold/fleet"
	"limehold/quarantine"
)

// CrashHistory is the crash history of a request. The zero value means that none is known.
type CrashHistory struct {
	// Crashes is the number of crashes of instances during which the request was running.
	Crashes int
	// Digest identifies the record that quarantines the request, if Quarantined is set.
	Digest      quarantine.Digest
	Quarantined bool
	// Trial is the run that the quarantined request is allowed, if there is one.
	Trial quarantine.Trial
}

// Suspect reports whether instances have crashed while they ran the request.
func (s CrashHistory) Suspect() bool { return s.Crashes > 0 }

// RunsAlone reports whether the request must not run at the same time as another request of which this is
// true, so that the next crash shows which of them is the cause.
func (s CrashHistory) RunsAlone() bool { return s.Quarantined || s.Crashes >= quarantine.IsolateAfter }

// CrashHistory returns the crash history of a request, combined from its record for all callers
// and the one for its own caller.
func (b *Exchange) CrashHistory(identity quarantine.Identity) CrashHistory {
	if b.recordCount.Load() == 0 || !identity.Known() {
		return CrashHistory{}
	}
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var history CrashHistory
	for _, digest := range [...]quarantine.Digest{identity.Any, identity.PerCaller} {
		record := b.record(digest)
		history.Crashes = max(history.Crashes, record.Crashes)
		if record.Quarantined && !history.Quarantined {
			history.Digest, history.Quarantined, history.Trial = digest, true, record.Trial
		}
	}
	return history
}

// record returns control's record of a digest, combined with the queued reports: without the record if a
// completed run is reported for it, and with the reported crashes added. The mutex is held.
func (b *Exchange) record(digest quarantine.Digest) quarantine.View {
	record := b.records[digest]
	if opened, cleared := b.succeeded[digest]; cleared && opened == record.Opened {
		record = quarantine.View{}
	}
	observed, found := b.observed.Get(digest)
	if !found {
		return record
	}
	record.Crashes += len(observed.Crashes)
	record.Quarantined = record.Quarantined || observed.Quarantined || record.Crashes >= quarantine.CrashesAlwaysQuarantined
	return record
}

// RecordSuccess records that the local instance has completed a request. It reports this to control
// if control has records of crashes during the request.
func (b *Exchange) RecordSuccess(identity quarantine.Identity) {
	if !identity.Known() {
		return
	}
	b.completed.add(identity, clock.Now())
	if b.recordCount.Load() == 0 {
		return
	}
	b.reportSuccess(identity.Any)
	b.reportSuccess(identity.PerCaller)
}

// WithoutRecentRuns returns an identity without the digests that have recently completed here.
func (b *Exchange) WithoutRecentRuns(identity quarantine.Identity) quarantine.Identity {
	now := clock.Now()
	if b.completed.contains(identity.Any, now) {
		identity.Any = quarantine.Digest{}
	}
	if b.completed.contains(identity.PerCaller, now) {
		identity.PerCaller = quarantine.Digest{}
	}
	return identity
}

// reportSuccess reports to control that a request was successful, unless that is already reported.
func (b *Exchange) reportSuccess(digest quarantine.Digest) {
	if opened, isNew := b.shouldReportSuccess(digest); isNew {
		b.Report(fleet.Report{Success: &quarantine.SuccessReport{Digest: digest, Opened: opened, Node: b.node}})
	}
}

// shouldReportSuccess reports whether a completed run of a request is new information for control, and
// the revision at which control opened the record.
func (b *Exchange) shouldReportSuccess(digest quarantine.Digest) (opened uint64, isNew bool) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	record, found := b.records[digest]
	if !found || b.succeeded[digest] == record.Opened {
		return 0, false
	}
	return record.Opened, true
}
