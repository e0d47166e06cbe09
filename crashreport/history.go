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
func (h CrashHistory) Suspect() bool { return h.Crashes > 0 }

// RunsAlone reports whether the request must not run at the same time as another request of which this is
// true, so that the next crash shows which of them is the cause.
func (h CrashHistory) RunsAlone() bool { return h.Quarantined || h.Crashes >= quarantine.IsolateAfter }

// CrashHistory returns the crash history of a request, combined from its record for all callers
// and the one for its own caller.
func (e *Exchange) CrashHistory(identity quarantine.Identity) CrashHistory {
	if e.recordCount.Load() == 0 || !identity.Known() {
		return CrashHistory{}
	}
	e.mutex.RLock()
	defer e.mutex.RUnlock()
	var history CrashHistory
	for _, digest := range [...]quarantine.Digest{identity.Any, identity.PerCaller} {
		record := e.record(digest)
		history.Crashes = max(history.Crashes, record.Crashes)
		if record.Quarantined && !history.Quarantined {
			history.Digest, history.Quarantined, history.Trial = digest, true, record.Trial
		}
	}
	return history
}

// record returns control's record of a digest, combined with the queued reports: without the record if a
// completed run is reported for it, and with the reported crashes added. The mutex is held.
func (e *Exchange) record(digest quarantine.Digest) quarantine.View {
	record := e.records[digest]
	if opened, cleared := e.succeeded[digest]; cleared && opened == record.Opened {
		record = quarantine.View{}
	}
	observed, found := e.observed.Get(digest)
	if !found {
		return record
	}
	record.Crashes += len(observed.Crashes)
	record.Quarantined = record.Quarantined || observed.Quarantined || record.Crashes >= quarantine.CrashesAlwaysQuarantined
	return record
}

// RecordSuccess records that the local instance has completed a request. It reports this to control
// if control has records of crashes during the request.
func (e *Exchange) RecordSuccess(identity quarantine.Identity) {
	if !identity.Known() {
		return
	}
	e.completed.add(identity, clock.Now())
	if e.recordCount.Load() == 0 {
		return
	}
	e.reportSuccess(identity.Any)
	e.reportSuccess(identity.PerCaller)
}

// WithoutRecentRuns returns an identity without the digests that have recently completed here.
func (e *Exchange) WithoutRecentRuns(identity quarantine.Identity) quarantine.Identity {
	now := clock.Now()
	if e.completed.contains(identity.Any, now) {
		identity.Any = quarantine.Digest{}
	}
	if e.completed.contains(identity.PerCaller, now) {
		identity.PerCaller = quarantine.Digest{}
	}
	return identity
}

// reportSuccess reports to control that a request was successful, unless that is already reported.
func (e *Exchange) reportSuccess(digest quarantine.Digest) {
	if opened, isNew := e.shouldReportSuccess(digest); isNew {
		e.Report(fleet.Report{Success: &quarantine.SuccessReport{Digest: digest, Opened: opened, Node: e.node}})
	}
}

// shouldReportSuccess reports whether a completed run of a request is new information for control, and
// the revision at which control opened the record.
func (e *Exchange) shouldReportSuccess(digest quarantine.Digest) (opened uint64, isNew bool) {
	e.mutex.RLock()
	defer e.mutex.RUnlock()
	record, found := e.records[digest]
	if !found || e.succeeded[digest] == record.Opened {
		return 0, false
	}
	return record.Opened, true
}
