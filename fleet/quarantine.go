package fleet

import (
	"fmt"

	"limehold/decisions"
	"limehold/quarantine"
)

// TakeReports takes what processes have observed. Each may be told again.
type TakeReports struct{ Reports []Report }

// Report is one observation. Exactly one of the pointers is set.
type Report struct {
	Ended    *quarantine.End
	Survived *quarantine.Survived
}

// ReleaseRequest lets a request run again that is quarantined, or forgets a suspect.
type ReleaseRequest struct {
	Digest quarantine.Digest
	Reason string
}

// AgeQuarantine forgets suspects that are old, and offers trials to quarantined requests.
type AgeQuarantine struct {
	Expired []quarantine.Aged
	Trials  []TrialOffer
}

// TrialOffer offers a trial, or takes back one that was not used.
type TrialOffer struct {
	Record quarantine.Aged
	// Version of the instances that may run it; empty: any.
	Version string
	Cause   string
}

// TakeTrial gives a trial to the router that asks first.
type TakeTrial struct {
	Digest quarantine.Digest
	Number uint64
	Holder string
}

func (a *application) takeReports(command *TakeReports) Result {
	for i := range command.Reports {
		report := &command.Reports[i]
		switch {
		case report.Ended != nil:
			a.quarantineChanged(a.state.Quarantine.TakeEnd(report.Ended, a.state.Revision, a.at), "")
		case report.Survived != nil:
			a.quarantineChanged(a.state.Quarantine.TakeSurvived(report.Survived, a.state.Revision), "it ran to a good end at "+report.Survived.Node)
		}
	}
	return Result{}
}

func (a *application) releaseRequest(command *ReleaseRequest) Result {
	changed, found := a.state.Quarantine.Release(command.Digest)
	if !found {
		return Result{Refused: 1}
	}
	a.quarantineChanged(changed, "operator: "+command.Reason)
	return Result{}
}

func (a *application) ageQuarantine(command *AgeQuarantine) Result {
	a.quarantineChanged(a.state.Quarantine.Expire(command.Expired), "")
	for _, offer := range command.Trials {
		changed := a.state.Quarantine.Offer(offer.Record, offer.Version, a.state.Revision)
		a.quarantineChanged(changed, "")
		if record, found := a.state.Quarantine.Get(offer.Record.Digest); found && len(changed.Digests) > 0 && record.Trial.Offered() {
			a.log(decisions.Event{Kind: decisions.KindTrialOffered, Service: record.Service, To: record.Digest.String(), Cause: offer.Cause})
		}
	}
	return Result{}
}

func (a *application) takeTrial(command *TakeTrial) Result {
	changed, given := a.state.Quarantine.TakeTrial(command.Digest, command.Number, command.Holder, a.state.Revision)
	if !given {
		return Result{Refused: 1}
	}
	a.quarantineChanged(changed, "")
	return Result{}
}

// quarantineChanged tells watchers and the journal what a change has come to; cause is why
// records were released.
func (a *application) quarantineChanged(changed quarantine.Changes, cause string) {
	a.changes.Quarantine = append(a.changes.Quarantine, changed.Digests...)
	for i := range changed.Quarantined {
		record := &changed.Quarantined[i]
		a.log(decisions.Event{Kind: decisions.KindQuarantined, Service: record.Service, To: record.Digest.String(), Cause: endsCause(record)})
	}
	for i := range changed.Released {
		record := &changed.Released[i]
		if cause == "" {
			cause = "it made room for newer ones"
		}
		a.log(decisions.Event{Kind: decisions.KindUnquarantined, Service: record.Service, From: record.Digest.String(), Cause: cause})
	}
}

// endsCause says by which ends a request came to be quarantined.
func endsCause(record *quarantine.Record) string {
	cause := fmt.Sprintf("%d instances ended while they ran %s:", len(record.Ends), record.Sample)
	for _, end := range record.Ends {
		cause += " " + end.Instance + " at " + end.Node
	}
	return cause
}
