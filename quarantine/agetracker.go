package quarantine

import (
	"slices"
	"time"
)

// AgeTracker tracks for how long each record has been unchanged, by the clock of one member. A member that
// has just started counts from its start, so that records are kept longer, never shorter.
type AgeTracker struct {
	observed map[Digest]observation
}

type observation struct {
	changed uint64
	since   time.Duration
}

const (
	// suspectTTL is how long a request stays suspect after its last crash: longer than callers
	// retry, and than an instance takes to start.
	suspectTTL = 10 * time.Minute
	// firstTrialDelay is the time until the first trial of a quarantined request. It doubles for each
	// further trial up to maxTrialDelay. As long as the fault persists, trials crash seven instances in
	// the first day, and one a day after that.
	firstTrialDelay = 10 * time.Minute
	maxTrialDelay   = 24 * time.Hour
	// trialTimeout is how long a trial stays on offer without a change before it is withdrawn.
	trialTimeout = 30 * time.Second
	// versionTrialDelay is the least time before a trial with another version of the service: during
	// a roll-out, further versions may follow.
	versionTrialDelay = time.Minute
)

// Offer is a trial that is due to be offered or withdrawn.
type Offer struct {
	Record  RecordVersion
	Version string
	Cause   string
}

// Values of Offer.Cause.
const (
	causeTime    = "it has been quarantined for long enough"
	causeVersion = "instances of another version serve"
	causeUnused  = "nobody has asked for the request while its trial was open"
)

// Due returns the suspects that have expired by now, and the trials to offer or withdraw. versions
// returns the versions of the instances that serve a service.
func (a *AgeTracker) Due(table *Table, versions func(service string) []string, now time.Duration) (expired []RecordVersion, offers []Offer) {
	current := map[Digest]observation{}
	for _, record := range table.Records {
		seen, found := a.observed[record.Digest]
		if !found || seen.changed != record.Changed {
			seen = observation{record.Changed, now}
		}
		current[record.Digest] = seen
		age := now - seen.since
		version := RecordVersion{Digest: record.Digest, Changed: record.Changed}
		if !record.Quarantined {
			if age >= suspectTTL {
				expired = append(expired, version)
			}
			continue
		}
		if offer, due := record.dueOffer(version, age, versions); due {
			offers = append(offers, offer)
		}
	}
	a.observed = current
	return expired, offers
}

// dueOffer returns the trial to offer or withdraw for a record that has been unchanged for age, and
// reports whether it is due. The offer is meaningless if it is not due.
func (r *Record) dueOffer(current RecordVersion, age time.Duration, versions func(service string) []string) (Offer, bool) {
	if r.Trial.Offered() {
		return Offer{Record: current, Cause: causeUnused}, age >= trialTimeout
	}
	if age >= r.trialDelay() {
		return Offer{Record: current, Cause: causeTime}, true
	}
	if age < versionTrialDelay {
		return Offer{}, false
	}
	for _, version := range versions(r.Service) {
		if version != "" && !slices.ContainsFunc(r.Crashes, func(crash CrashRef) bool { return crash.Version == version }) {
			return Offer{Record: current, Version: version, Cause: causeVersion}, true
		}
	}
	return Offer{}, false
}

// trialDelay returns the time from the last change to the next trial.
func (r *Record) trialDelay() time.Duration {
	delay := firstTrialDelay
	for range r.Trials {
		delay = min(2*delay, maxTrialDelay)
	}
	return delay
}
