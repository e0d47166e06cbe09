package fleet

import (
	"fmt"

	"limehold/decisions"
	"limehold/quarantine"
)

// RecordReports records crashes and successes that processes report. Reports may be repeated.
type RecordReports struct{ Reports []Report }

// Report is one observation. Exactly one of the pointers is set.
type Report struct {
	Crash   *quarantine.CrashReport
	Success *quarantine.SuccessReport
}

// ReleaseRequest ends the quarantine of a request, or removes the record of a suspect one.
type ReleaseRequest struct {
	Digest quarantine.Digest
	Reason string
}

// UpdateQuarantine removes expired records of suspect requests and offers or withdraws
// trials of quarantined ones.
type UpdateQuarantine struct {
	Expired []quarantine.RecordVersion
	Trials  []TrialOffer
}

// TrialOffer offers a trial, or withdraws one that was not used.
type TrialOffer struct {
	Record quarantine.RecordVersion
	// Version of the instances that may run the trial. Empty means any.
	Version string
	Cause   string
}

// ClaimTrial assigns a trial to the router that requests it first.
type ClaimTrial struct {
	Digest quarantine.Digest
	Number uint64
	Holder string
}

func (a *applier) recordReports(command *RecordReports) Result {
	for i := range command.Reports {
		report := &command.Reports[i]
		switch {
		case report.Crash != nil:
			a.quarantineChanged(a.state.Quarantine.RecordCrash(report.Crash, a.state.Revision, a.at), "")
		case report.Success != nil:
			a.quarantineChanged(a.state.Quarantine.RecordSuccess(report.Success, a.state.Revision), "it ran to a good end at "+report.Success.Node)
		}
	}
	return Result{}
}

func (a *applier) releaseRequest(command *ReleaseRequest) Result {
	changed, found := a.state.Quarantine.Release(command.Digest)
	if !found {
		return Result{Stale: 1}
	}
	a.quarantineChanged(changed, "operator: "+command.Reason)
	return Result{}
}

func (a *applier) updateQuarantine(command *UpdateQuarantine) Result {
	a.quarantineChanged(a.state.Quarantine.Expire(command.Expired), "")
	for _, offer := range command.Trials {
		changed := a.state.Quarantine.Offer(offer.Record, offer.Version, a.state.Revision)
		a.quarantineChanged(changed, "")
		if record, found := a.state.Quarantine.Get(offer.Record.Digest); found && len(changed.Digests) > 0 && record.Trial.Offered() {
			a.addEvent(decisions.Event{Kind: decisions.KindTrialOffered, Service: record.Service, To: record.Digest.String(), Cause: offer.Cause})
		}
	}
	return Result{}
}

func (a *applier) claimTrial(command *ClaimTrial) Result {
	changed, claimed := a.state.Quarantine.ClaimTrial(command.Digest, command.Number, command.Holder, a.state.Revision)
	if !claimed {
		return Result{Stale: 1}
	}
	a.quarantineChanged(changed, "")
	return Result{}
}

// quarantineChanged records changed quarantine records for watchers and in the
// journal. cause is the reason why records were released, empty if they were evicted.
func (a *applier) quarantineChanged(changed quarantine.Changes, cause string) {
	a.changes.Quarantine = append(a.changes.Quarantine, changed.Digests...)
	for i := range changed.Quarantined {
		record := &changed.Quarantined[i]
		a.addEvent(decisions.Event{Kind: decisions.KindQuarantined, Service: record.Service, To: record.Digest.String(), Cause: crashCause(record)})
	}
	for i := range changed.Released {
		record := &changed.Released[i]
		if cause == "" {
			cause = "it made room for newer ones"
		}
		a.addEvent(decisions.Event{Kind: decisions.KindRequestReleased, Service: record.Service, From: record.Digest.String(), Cause: cause})
	}
}

// crashCause describes the crashes because of which a request was quarantined.
func crashCause(record *quarantine.Record) string {
	cause := fmt.Sprintf("%d instances ended while they ran %s:", len(record.Crashes), record.Sample)
	for _, crash := range record.Crashes {
		cause += " " + crash.Instance + " at " + crash.Node
	}
	return cause
}
