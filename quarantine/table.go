package quarantine

import (
	"bytes"
	"cmp"
	"slices"
)

// Table holds the requests that were running when instances crashed. It is part of the replicated
// state: it changes only by log entries applied in log order, and reads no clock.
//
// Invariants:
//   - A crash counts once for a request, however often and by whichever witness it is reported.
//   - A request is quarantined only after crashes of at least minCrashes different instances, with
//     no successful run in between.
//   - The blame for a crash is divided among all reported runs, by weight, and a fixed weight for
//     causes other than a request.
//   - At most one run of a quarantined request is allowed at a time in the whole deployment.
type Table struct {
	// Records are sorted by digest. A record is replaced when it changes, so that readers may
	// keep the old one.
	Records []*Record
}

// Record describes a suspect or quarantined request, either from any caller or from one caller.
type Record struct {
	Digest Digest
	// PerCaller is set if the digest identifies the request of one caller.
	PerCaller bool
	Service   string
	// Sample is a readable description of the request for operators.
	Sample string
	// Published is set once the record is published to routers and ingresses.
	Published bool
	// Opened is the revision at which the record was created, Changed that of its last change.
	Opened  uint64
	Changed uint64
	Crashes []CrashRef
	// Blame is the sum of the request's shares of the blame for its crashes, in thousandths.
	Blame       int64
	Quarantined bool
	// Since is the time of the quarantine, in Unix milliseconds of the leader's wall clock. It is
	// for display only.
	Since int64
	// Trials counts the trials offered since the request was quarantined.
	Trials uint32
	Trial  Trial
}

// CrashRef identifies one crash of an instance that was running the request.
type CrashRef struct {
	Instance string
	Node     string
	Version  string
	// At is the time at which the crash was recorded, in Unix milliseconds of the leader's wall
	// clock.
	At int64
}

// Trial is one permitted run of a quarantined request. The zero value permits none.
type Trial struct {
	// Number is the revision at which the trial was offered.
	Number uint64
	// Version restricts the trial to instances of this version; if empty, any may run it.
	Version string
	// Holder is the router that may send the request; if empty, the first router that asks becomes
	// the holder.
	Holder string
}

// Offered reports whether a trial is on offer or held by a router.
func (t Trial) Offered() bool { return t.Number > 0 }

// CrashReport is a witness's report that an instance has crashed, which means ended unannounced.
type CrashReport struct {
	Service  string
	Instance string
	Node     string
	// Version is the version of the instance's software; empty if the instance does not report it.
	Version string
	// Runs are the requests that the instance was running, without those that instances at
	// the node have recently run successfully.
	Runs []Run
}

// Run is a request that was running when its instance crashed.
type Run struct {
	// Identity has a zero Any if the same request of another caller has recently succeeded.
	Identity Identity
	Sample   string
}

// SuccessReport is a witness's report that an instance has completed a suspect or quarantined request
// without crashing.
type SuccessReport struct {
	Digest Digest
	// Opened is Record.Opened as seen by the witness, so that a late report does not clear a record
	// created since.
	Opened uint64
	Node   string
}

// blamePerCrash is the total blame for one crash.
const blamePerCrash = 1000

const (
	// The blame for a crash is divided among the running requests and otherCauseWeight, which stands for
	// every cause but a request. The weight of a request is baseWeight plus its blame so far: a dozen
	// requests without any blame are together a little less likely than another cause. A lower
	// otherCauseWeight quarantines more harmless requests, and a higher one lets a crashing request
	// crash more instances: in 1,500 simulated days with up to three such requests at once, 150 lets each
	// crash four or five instances and quarantines 25 others, 100 quarantines 84, and 200 needs five
	// crashes each time and quarantines 15.
	baseWeight       = 10
	otherCauseWeight = 150
	// quarantineBlame is the blame that quarantines a request: somewhat more than one whole crash.
	quarantineBlame = 1100
	// minCrashes is the least number of crashes for a quarantine, whatever the blame.
	minCrashes = 3
	// CrashesAlwaysQuarantined is the number of crashes that quarantines a request whatever its blame. It is also
	// required if all crashes were at one node, which may be faulty itself.
	CrashesAlwaysQuarantined = 5
	// IsolateAfter is the number of crashes from which a suspect does not run at the same time as
	// another such suspect, so that the next crash shows which of them is the cause.
	IsolateAfter = 2
	// maxCrashes bounds the crashes kept for a record: those needed for the quarantine, and one
	// failed trial a day for a week.
	maxCrashes = 12
	// maxPublished bounds the published suspects with a single crash: the runs of thirty instances that
	// crash at the same time, each with and without its caller, or 46 KB to each router. Further
	// ones are published after their second crash.
	maxPublished = 1024
	// maxSuspects bounds the records that are not quarantined. Those with the fewest crashes are
	// dropped first; among these the unpublished ones, then those unchanged for longest.
	maxSuspects = 2048
	// maxQuarantined bounds the quarantined records. Those unchanged for longest are dropped first.
	maxQuarantined = 256
	// maxSample is the maximum length of a sample in bytes.
	maxSample = 160
)

// Changes describes the effect of one change of the table.
type Changes struct {
	// Digests identifies the published records that were created, changed or removed.
	Digests []Digest
	// Quarantined and Released are the records that the change has quarantined or released.
	Quarantined []Record
	Released    []Record
	// Dropped counts the records removed to keep the table within its bounds.
	Dropped int
}

// markChanged adds the digest of a changed record, if the record is published.
func (c *Changes) markChanged(record *Record) {
	if record.Published && !slices.Contains(c.Digests, record.Digest) {
		c.Digests = append(c.Digests, record.Digest)
	}
}

func (t *Table) find(digest Digest) (int, bool) {
	return slices.BinarySearchFunc(t.Records, digest, func(record *Record, digest Digest) int {
		return bytes.Compare(record.Digest[:], digest[:])
	})
}

// Get returns the record with a digest, if there is one.
func (t *Table) Get(digest Digest) (Record, bool) {
	index, found := t.find(digest)
	if !found {
		return Record{}, false
	}
	return *t.Records[index], true
}

// RecordCrash records a crash at the given time, in Unix milliseconds of the leader's wall clock.
func (t *Table) RecordCrash(report *CrashReport, revision uint64, at int64) Changes {
	recorder := &crashRecorder{
		table: t, service: report.Service, revision: revision, publishQuota: maxPublished - t.countPublishedSuspects(),
		crash: CrashRef{Instance: report.Instance, Node: report.Node, Version: report.Version, At: at},
	}
	shares := t.blameShares(report)
	for i, run := range report.Runs {
		recorder.recordRun(run, shares[i])
	}
	t.trim(false, maxSuspects, &recorder.changes)
	t.trim(true, maxQuarantined, &recorder.changes)
	return recorder.changes
}

// crashRecorder is the state while one crash is recorded.
type crashRecorder struct {
	table    *Table
	service  string
	crash    CrashRef
	revision uint64
	// publishQuota is the number of further suspects with a single crash that may be published.
	publishQuota int
	changes      Changes
}

// countPublishedSuspects counts the published records with a single crash.
func (t *Table) countPublishedSuspects() int {
	count := 0
	for _, record := range t.Records {
		if record.Published && len(record.Crashes) == 1 {
			count++
		}
	}
	return count
}

// blameShares divides the blame for a crash among its runs, weighted by their blame so far.
func (t *Table) blameShares(report *CrashReport) []int64 {
	shares := make([]int64, len(report.Runs))
	total := int64(otherCauseWeight)
	for i, run := range report.Runs {
		shares[i] = baseWeight + t.priorBlame(run.Identity)
		total += shares[i]
	}
	for i := range shares {
		shares[i] = blamePerCrash * shares[i] / total
	}
	return shares
}

// priorBlame returns the larger blame of the request's two records, 0 if it has none.
func (t *Table) priorBlame(identity Identity) int64 {
	highest := int64(0)
	for _, digest := range []Digest{identity.Any, identity.PerCaller} {
		if index, found := t.find(digest); found {
			highest = max(highest, t.Records[index].Blame)
		}
	}
	return highest
}

// recordRun records the crash for a request: for any caller, and for its own caller unless the request is
// quarantined for any caller.
func (r *crashRecorder) recordRun(run Run, share int64) {
	if run.Identity.Any != (Digest{}) && r.addCrash(run.Identity.Any, false, run.Sample, share) {
		// The quarantine for any caller covers the caller's own record.
		if index, found := r.table.find(run.Identity.PerCaller); found {
			r.table.remove(index, &r.changes)
		}
		return
	}
	if run.Identity.PerCaller != (Digest{}) {
		r.addCrash(run.Identity.PerCaller, true, run.Sample, share)
	}
}

// addCrash adds the crash to the record with a digest, which it creates if there is none. It reports
// whether the request is quarantined.
func (r *crashRecorder) addCrash(digest Digest, perCaller bool, sample string, share int64) bool {
	t := r.table
	index, found := t.find(digest)
	if !found {
		t.Records = slices.Insert(t.Records, index, &Record{
			Digest: digest, PerCaller: perCaller, Service: r.service, Sample: sample[:min(len(sample), maxSample)], Opened: r.revision, Published: r.publishQuota > 0,
		})
		r.publishQuota--
	}
	if slices.ContainsFunc(t.Records[index].Crashes, func(known CrashRef) bool { return known.Instance == r.crash.Instance }) {
		return t.Records[index].Quarantined
	}
	record := t.replace(index, r.revision)
	record.Crashes = append(slices.Clone(record.Crashes), r.crash)
	record.Crashes = record.Crashes[max(0, len(record.Crashes)-maxCrashes):]
	record.Blame += share
	record.Published = record.Published || len(record.Crashes) > 1
	switch {
	case record.Quarantined:
		// A trial has failed, or a run that began before the quarantine has crashed its instance.
		record.Trial = Trial{}
	case record.shouldQuarantine():
		record.Quarantined, record.Since = true, r.crash.At
		r.changes.Quarantined = append(r.changes.Quarantined, *record)
	}
	r.changes.markChanged(record)
	return record.Quarantined
}

// replace replaces the record at an index by a copy with a new revision, and returns the copy.
func (t *Table) replace(index int, revision uint64) *Record {
	record := *t.Records[index]
	record.Changed = revision
	t.Records[index] = &record
	return &record
}

// shouldQuarantine reports whether the crashes of a record suffice to quarantine the request.
func (r *Record) shouldQuarantine() bool {
	if len(r.Crashes) >= CrashesAlwaysQuarantined {
		return true
	}
	sameNode := !slices.ContainsFunc(r.Crashes, func(crash CrashRef) bool { return crash.Node != r.Crashes[0].Node })
	return len(r.Crashes) >= minCrashes && r.Blame >= quarantineBlame && !sameNode
}

// RecordSuccess removes the record of a request that an instance has run successfully.
func (t *Table) RecordSuccess(report *SuccessReport, revision uint64) Changes {
	var changes Changes
	index, found := t.find(report.Digest)
	if !found || t.Records[index].Opened != report.Opened {
		return changes
	}
	t.remove(index, &changes)
	return changes
}

// Release removes a record on an operator's command. It returns false if there is none.
func (t *Table) Release(digest Digest) (Changes, bool) {
	var changes Changes
	index, found := t.find(digest)
	if !found {
		return changes, false
	}
	t.remove(index, &changes)
	return changes, true
}

// Expire removes suspects that have not changed since the given revisions.
func (t *Table) Expire(list []RecordVersion) Changes {
	var changes Changes
	for _, version := range list {
		if index, found := t.find(version.Digest); found && !t.Records[index].Quarantined && t.Records[index].Changed == version.Changed {
			t.remove(index, &changes)
		}
	}
	return changes
}

// RecordVersion identifies a record at the revision of its last change.
type RecordVersion struct {
	Digest  Digest
	Changed uint64
}

// Offer offers a trial of a quarantined request whose record has not changed since the given revision,
// or withdraws the trial that is on offer.
func (t *Table) Offer(current RecordVersion, version string, revision uint64) Changes {
	var changes Changes
	index, found := t.find(current.Digest)
	if !found || !t.Records[index].Quarantined || t.Records[index].Changed != current.Changed {
		return changes
	}
	record := t.replace(index, revision)
	changes.markChanged(record)
	if record.Trial.Offered() {
		record.Trial = Trial{}
		return changes
	}
	record.Trials++
	record.Trial = Trial{Number: revision, Version: version}
	return changes
}

// ClaimTrial assigns a trial to the first router that asks, which may ask again. It returns false if the
// trial is no longer on offer or held by another router.
func (t *Table) ClaimTrial(digest Digest, number uint64, holder string, revision uint64) (Changes, bool) {
	var changes Changes
	index, found := t.find(digest)
	if !found || number == 0 || t.Records[index].Trial.Number != number || t.Records[index].Trial.Holder != "" && t.Records[index].Trial.Holder != holder {
		return changes, false
	}
	if t.Records[index].Trial.Holder == holder {
		return changes, true
	}
	record := t.replace(index, revision)
	record.Trial.Holder = holder
	changes.markChanged(record)
	return changes, true
}

func (t *Table) remove(index int, changes *Changes) {
	record := t.Records[index]
	changes.markChanged(record)
	if record.Quarantined {
		changes.Released = append(changes.Released, *record)
	}
	t.Records = slices.Delete(t.Records, index, index+1)
}

// trim removes the first records in drop order among the quarantined ones, or among the others, until
// there are no more than limit.
func (t *Table) trim(quarantined bool, limit int, changes *Changes) {
	var list []*Record
	for _, record := range t.Records {
		if record.Quarantined == quarantined {
			list = append(list, record)
		}
	}
	if len(list) <= limit {
		return
	}
	slices.SortFunc(list, (*Record).compareDropOrder)
	for _, record := range list[:len(list)-limit] {
		index, _ := t.find(record.Digest)
		t.remove(index, changes)
		changes.Dropped++
	}
}

// compareDropOrder orders records so that those to be dropped first come first.
func (r *Record) compareDropOrder(other *Record) int {
	published := func(record *Record) int {
		if record.Published {
			return 1
		}
		return 0
	}
	if r.Quarantined {
		return cmp.Or(cmp.Compare(r.Changed, other.Changed), bytes.Compare(r.Digest[:], other.Digest[:]))
	}
	return cmp.Or(cmp.Compare(len(r.Crashes), len(other.Crashes)), cmp.Compare(published(r), published(other)),
		cmp.Compare(r.Changed, other.Changed), bytes.Compare(r.Digest[:], other.Digest[:]))
}
