package quarantine

import (
	"bytes"
	"cmp"
	"slices"
)

// Table is what is known of requests under which instances have ended. It is a value of the
// replicated state: it changes only by reports and orders taken in the log's order, and reads
// no clock.
//
// Invariants:
//   - An end counts once for a request, however often and by whomever it is told.
//   - Nothing is quarantined by fewer than leastEnds ends of different instances, without a run
//     that an instance has survived in between.
//   - The blame for an end is shared by what was running, whatever it is told as, and a cause
//     that is no request.
//   - Of a quarantined request at most one run is allowed at a time, in the whole deployment.
type Table struct {
	// Records are sorted by digest.
	Records []Record
}

// Record is what is known of one request, made by anybody or by one caller.
type Record struct {
	Digest Digest
	// Own is set when the digest is one of a request by its caller.
	Own     bool
	Service string
	// Sample shows people which request it is.
	Sample string
	// Opened is the revision at which the record came up, Changed that of its last change.
	Opened  uint64
	Changed uint64
	Ends    []EndRef
	// Blame is how likely each of its ends was its doing, summed up, in thousandths.
	Blame       int64
	Quarantined bool
	// Since is when it was quarantined, in Unix milliseconds of the leader's wall clock; for
	// display only.
	Since int64
	// Trials counts the trials that were offered since it was quarantined.
	Trials uint32
	Trial  Trial
}

// EndRef is one end of an instance under a request.
type EndRef struct {
	Instance string
	Node     string
	Version  string
	// At is when it was taken, in Unix milliseconds of the leader's wall clock.
	At int64
}

// Trial is one run that a quarantined request is allowed. The zero value: none is.
type Trial struct {
	// Number is the revision at which it was offered.
	Number uint64
	// Version of the instances that may run it; empty: any.
	Version string
	// Holder is the router that may send it; empty: the first that asks.
	Holder string
}

// Offered reports whether there is a trial.
func (t Trial) Offered() bool { return t.Number > 0 }

// End is a witness's word that an instance has ended without having said that it would.
type End struct {
	Service  string
	Instance string
	Node     string
	// Version of the instance's software; empty: it does not say.
	Version string
	// Runs are the requests that it was running, but for those that instances there had lately
	// run to a good end.
	Runs []Run
}

// Run is a request that was running when its instance ended.
type Run struct {
	// Identity lacks Any where the instance has lately run the same for another caller.
	Identity Identity
	Sample   string
}

// Survived is a witness's word that an instance has run a request to a good end: the
// instance goes on.
type Survived struct {
	Digest Digest
	// Opened is that of the record which the witness knew: a word that comes late does not
	// clear what has come up since.
	Opened uint64
	Node   string
}

// thousandths are the parts of one end.
const thousandths = 1000

const (
	// Each end is a thousand thousandths of blame, shared among the requests that were running and
	// otherCause, all that is no request. A request weighs firstWeight and what it has been
	// blamed for already: a dozen that nothing is known of are together a little less likely than
	// another cause, and one that has been in two ends more than all of them.
	//
	// Modelled (TestDaysOfDeadlyRequests with 200 seeds, 1,000 days): up to three deadly requests
	// at once, each beside eleven others, on days on which no run or one in ten dies by itself. Each
	// ends five instances at the most, and 7 others are quarantined; with 100 for otherCause and
	// 1,300 as enough 8 are, with 300 and 1,100 deadly requests end six. Three ends counted, with
	// requests that have been in two blamed alone: up to eight ends, and 625 others.
	firstWeight = 10
	otherCause  = 150
	// enough blame quarantines a request: one end is certain to be its doing, and a tenth more.
	enough = 1100
	// leastEnds is how many ends it takes at least, however few others ran.
	leastEnds = 3
	// MostEnds is how many show it by themselves, and how many it takes where all are of one
	// node, which may have a reason of its own.
	MostEnds = 5
	// StrongEnds make a suspect that is run apart from others: the next end is to show whether
	// it is the cause.
	StrongEnds = 2
	// maxEnds bounds the ends that are kept of a record: those that are needed, and a failed
	// trial a day for a week.
	maxEnds = 12
	// maxSuspects bounds the records that are not quarantined: the runs of thirty instances that
	// end at the same time, each with and without its caller. Those with the fewest ends go first, the oldest of them.
	maxSuspects = 1024
	// maxQuarantined bounds those that are; the one that was changed longest ago goes first.
	maxQuarantined = 256
	// maxSample bounds a sample, in bytes.
	maxSample = 160
)

// Changes is what a change of the table has come to.
type Changes struct {
	// Digests of the records that are new, changed or gone.
	Digests []Digest
	// Quarantined and Released are the records that are so since the change.
	Quarantined []Record
	Released    []Record
	// Dropped counts the records that made room.
	Dropped int
}

func (c *Changes) touch(digest Digest) {
	if !slices.Contains(c.Digests, digest) {
		c.Digests = append(c.Digests, digest)
	}
}

func (t *Table) find(digest Digest) (int, bool) {
	return slices.BinarySearchFunc(t.Records, digest, func(record Record, digest Digest) int {
		return bytes.Compare(record.Digest[:], digest[:])
	})
}

// Get returns the record of a digest.
func (t *Table) Get(digest Digest) (Record, bool) {
	at, found := t.find(digest)
	if !found {
		return Record{}, false
	}
	return t.Records[at], true
}

// TakeEnd takes a witness's word on an end.
func (t *Table) TakeEnd(end *End, revision uint64, at int64) Changes {
	var changes Changes
	ref := EndRef{Instance: end.Instance, Node: end.Node, Version: end.Version, At: at}
	shares := t.shares(end)
	for i, run := range end.Runs {
		t.blame(run, shares[i], end.Service, ref, revision, &changes)
	}
	t.bound(&changes)
	return changes
}

// shares divides the blame for an end among the runs, by what each has been blamed for before.
func (t *Table) shares(end *End) []int64 {
	shares := make([]int64, len(end.Runs))
	total := int64(otherCause)
	for i, run := range end.Runs {
		shares[i] = firstWeight + t.blameOf(run.Identity)
		total += shares[i]
	}
	for i := range shares {
		shares[i] = thousandths * shares[i] / total
	}
	return shares
}

// blameOf is what a request has been blamed for, made by anybody or by its caller.
func (t *Table) blameOf(identity Identity) int64 {
	most := int64(0)
	for _, digest := range []Digest{identity.Any, identity.Own} {
		if at, found := t.find(digest); found {
			most = max(most, t.Records[at].Blame)
		}
	}
	return most
}

// blame holds an end against a request: whoever makes it, and, where others are served the
// same, its caller's alone.
func (t *Table) blame(run Run, share int64, service string, ref EndRef, revision uint64, changes *Changes) {
	fresh := Record{Service: service, Sample: run.Sample[:min(len(run.Sample), maxSample)], Opened: revision}
	fresh.Digest = run.Identity.Any
	if fresh.Digest != (Digest{}) && t.count(fresh, share, ref, revision, changes) {
		// Its caller's own is a part of it.
		if at, found := t.find(run.Identity.Own); found {
			t.remove(at, changes)
		}
		return
	}
	fresh.Digest, fresh.Own = run.Identity.Own, true
	if fresh.Digest != (Digest{}) {
		t.count(fresh, share, ref, revision, changes)
	}
}

// count adds an end to the record of fresh's digest, which is fresh if there is none. It
// reports whether the request is quarantined.
func (t *Table) count(fresh Record, share int64, ref EndRef, revision uint64, changes *Changes) bool {
	at, found := t.find(fresh.Digest)
	if !found {
		t.Records = slices.Insert(t.Records, at, fresh)
	}
	record := &t.Records[at]
	if slices.ContainsFunc(record.Ends, func(known EndRef) bool { return known.Instance == ref.Instance }) {
		return record.Quarantined
	}
	// What the state hands out does not change under its reader.
	record.Ends = append(slices.Clone(record.Ends), ref)
	record.Ends = record.Ends[max(0, len(record.Ends)-maxEnds):]
	record.Blame += share
	record.Changed = revision
	changes.touch(record.Digest)
	switch {
	case record.Quarantined:
		// A trial that has failed, or a run that was under way.
		record.Trial = Trial{}
	case record.guilty():
		record.Quarantined, record.Since = true, ref.At
		changes.Quarantined = append(changes.Quarantined, *record)
	}
	return record.Quarantined
}

// guilty reports whether a record's ends show that the request brings them about.
func (r *Record) guilty() bool {
	if len(r.Ends) >= MostEnds {
		return true
	}
	ofOneNode := !slices.ContainsFunc(r.Ends, func(end EndRef) bool { return end.Node != r.Ends[0].Node })
	return len(r.Ends) >= leastEnds && r.Blame >= enough && !ofOneNode
}

// TakeSurvived takes a witness's word that an instance has survived a request.
func (t *Table) TakeSurvived(survived *Survived, revision uint64) Changes {
	var changes Changes
	at, found := t.find(survived.Digest)
	if !found || t.Records[at].Opened != survived.Opened {
		return changes
	}
	t.remove(at, &changes)
	return changes
}

// Release forgets a record by an operator's word; false: there is none.
func (t *Table) Release(digest Digest) (Changes, bool) {
	var changes Changes
	at, found := t.find(digest)
	if !found {
		return changes, false
	}
	t.remove(at, &changes)
	return changes, true
}

// Expire forgets suspects that were last changed at the revisions given.
func (t *Table) Expire(list []Aged) Changes {
	var changes Changes
	for _, aged := range list {
		if at, found := t.find(aged.Digest); found && !t.Records[at].Quarantined && t.Records[at].Changed == aged.Changed {
			t.remove(at, &changes)
		}
	}
	return changes
}

// Aged names a record as it was when somebody found it to be old.
type Aged struct {
	Digest  Digest
	Changed uint64
}

// Offer offers a trial to the quarantined request of a record that is as it was seen, or takes
// back the one that nobody has come to use.
func (t *Table) Offer(aged Aged, version string, revision uint64) Changes {
	var changes Changes
	at, found := t.find(aged.Digest)
	if !found || !t.Records[at].Quarantined || t.Records[at].Changed != aged.Changed {
		return changes
	}
	record := &t.Records[at]
	record.Changed = revision
	changes.touch(record.Digest)
	if record.Trial.Offered() {
		record.Trial = Trial{}
		return changes
	}
	record.Trials++
	record.Trial = Trial{Number: revision, Version: version}
	return changes
}

// TakeTrial gives a trial to the router that asks first; false: it is not to be had.
func (t *Table) TakeTrial(digest Digest, number uint64, holder string, revision uint64) (Changes, bool) {
	var changes Changes
	at, found := t.find(digest)
	if !found || number == 0 || t.Records[at].Trial.Number != number || t.Records[at].Trial.Holder != "" && t.Records[at].Trial.Holder != holder {
		return changes, false
	}
	if t.Records[at].Trial.Holder == holder {
		return changes, true
	}
	t.Records[at].Trial.Holder = holder
	t.Records[at].Changed = revision
	changes.touch(digest)
	return changes, true
}

func (t *Table) remove(at int, changes *Changes) {
	record := t.Records[at]
	changes.touch(record.Digest)
	if record.Quarantined {
		changes.Released = append(changes.Released, record)
	}
	t.Records = slices.Delete(t.Records, at, at+1)
}

// bound keeps the table small, whoever fills it.
func (t *Table) bound(changes *Changes) {
	for t.drop(false, maxSuspects, changes) || t.drop(true, maxQuarantined, changes) {
		changes.Dropped++
	}
}

// drop drops one of the records that are, or are not, quarantined, if there are too many.
func (t *Table) drop(quarantined bool, most int, changes *Changes) bool {
	count, least := 0, -1
	for i := range t.Records {
		if t.Records[i].Quarantined != quarantined {
			continue
		}
		count++
		if least < 0 || t.Records[i].lessKept(&t.Records[least]) {
			least = i
		}
	}
	if count <= most {
		return false
	}
	t.remove(least, changes)
	return true
}

// lessKept reports whether a record is dropped before another one.
func (r *Record) lessKept(other *Record) bool {
	if !r.Quarantined && len(r.Ends) != len(other.Ends) {
		return len(r.Ends) < len(other.Ends)
	}
	return cmp.Or(cmp.Compare(r.Changed, other.Changed), bytes.Compare(r.Digest[:], other.Digest[:])) < 0
}
