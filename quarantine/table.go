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
//   - Nothing is quarantined by fewer than endsClear ends of different instances, none of
//     which it has survived since.
//   - Where a request that has been in two ends already is running, nothing else is blamed for
//     the next one.
//   - Of a quarantined request at most one run is allowed at a time, in the whole deployment.
type Table struct {
	// Records are sorted by digest.
	Records []Record
	// Services are sorted by name: those that records are about.
	Services []ServiceEnds
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
	// Before is how many ends of its service were counted before its first.
	Before      uint64
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

// ServiceEnds counts the ends of a service's instances.
type ServiceEnds struct {
	Service string
	Count   uint64
	// Recent are the instances that ended last.
	Recent []string
}

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

const (
	// endsClear is how many ends show that a request brings them about, where it explains
	// half of its service's ends or more, at more than one node. Two happen by chance in a
	// bad minute: what runs when an instance ends is sent to another one, at once.
	endsClear = 3
	// MostEnds is how many are needed where instances end for other reasons too, or one node
	// only is concerned. With an instance that ends under one of twelve of its runs, as in a
	// minute in which one ends each second, five in a row happen to one request in 250,000.
	MostEnds = 5
	// StrongEnds make a suspect that is run apart from others: the next end is to show whether
	// it is the cause.
	StrongEnds = 2
	// maxEnds bounds the ends that are kept of a record: those that are needed, and a failed
	// trial a day for a week.
	maxEnds = 12
	// maxSuspects bounds the records that are not quarantined: the runs of fifty instances that
	// end at the same time. Those with the fewest ends go first, the oldest of them.
	maxSuspects = 1024
	// maxQuarantined bounds those that are; the one that was changed longest ago goes first.
	maxQuarantined = 256
	// keptInstances is how many ends of a service are recognised when they are told again.
	keptInstances = 64
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

// ends is in how many ends a request was running, made by anybody or by its caller.
func (t *Table) ends(identity Identity) int {
	most := 0
	for _, digest := range []Digest{identity.Any, identity.Own} {
		if at, found := t.find(digest); found {
			most = max(most, len(t.Records[at].Ends))
		}
	}
	return most
}

// TakeEnd takes a witness's word on an end.
func (t *Table) TakeEnd(end *End, revision uint64, at int64) Changes {
	var changes Changes
	service := t.service(end.Service)
	before := service.Count
	if slices.Contains(service.Recent, end.Instance) {
		before--
	} else {
		service.note(end.Instance)
	}
	ref := EndRef{Instance: end.Instance, Node: end.Node, Version: end.Version, At: at}
	for _, run := range t.blamed(end) {
		t.blame(run, end.Service, ref, before, revision, &changes)
	}
	t.bound(&changes)
	t.forgetServices()
	return changes
}

// blamed returns the runs that an end is held against: all, or those alone that have been in
// most ends, if one of them has been in two already.
func (t *Table) blamed(end *End) []Run {
	most := 0
	for _, run := range end.Runs {
		most = max(most, t.ends(run.Identity))
	}
	if most < StrongEnds {
		return end.Runs
	}
	var blamed []Run
	for _, run := range end.Runs {
		if t.ends(run.Identity) == most {
			blamed = append(blamed, run)
		}
	}
	return blamed
}

// blame holds an end against a request: whoever makes it, and, where others are served the
// same, its caller's alone.
func (t *Table) blame(run Run, service string, ref EndRef, before, revision uint64, changes *Changes) {
	fresh := Record{Service: service, Sample: run.Sample[:min(len(run.Sample), maxSample)], Opened: revision, Before: before}
	fresh.Digest = run.Identity.Any
	if run.Identity.Any != (Digest{}) && t.count(fresh, ref, revision, changes) {
		// Its caller's own is a part of it.
		if at, found := t.find(run.Identity.Own); found {
			t.remove(at, changes)
		}
		return
	}
	if run.Identity.Own == (Digest{}) {
		return
	}
	fresh.Digest, fresh.Own = run.Identity.Own, true
	t.count(fresh, ref, revision, changes)
}

// count adds an end to the record of fresh's digest, which is fresh if there is none. It
// reports whether the request is quarantined.
func (t *Table) count(fresh Record, ref EndRef, revision uint64, changes *Changes) bool {
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
	record.Changed = revision
	changes.touch(record.Digest)
	switch {
	case record.Quarantined:
		// A trial that has failed, or a run that was under way.
		record.Trial = Trial{}
	case record.guilty(t.service(record.Service).Count):
		record.Quarantined, record.Since = true, ref.At
		changes.Quarantined = append(changes.Quarantined, *record)
	}
	return record.Quarantined
}

// guilty reports whether a record's ends show that the request brings them about; ended is how
// many ends of its service there were in all.
func (r *Record) guilty(ended uint64) bool {
	nodes := map[string]bool{}
	for _, end := range r.Ends {
		nodes[end.Node] = true
	}
	explains := 2*uint64(len(r.Ends)) >= ended-r.Before
	if explains && len(nodes) > 1 {
		return len(r.Ends) >= endsClear
	}
	return len(r.Ends) >= MostEnds
}

// TakeSurvived takes a witness's word that an instance has survived a request.
func (t *Table) TakeSurvived(survived *Survived, revision uint64) Changes {
	var changes Changes
	at, found := t.find(survived.Digest)
	if !found || t.Records[at].Opened != survived.Opened {
		return changes
	}
	t.remove(at, &changes)
	t.forgetServices()
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
	t.forgetServices()
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
	t.forgetServices()
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

// service returns the count of a service, which begins now if there is none.
func (t *Table) service(name string) *ServiceEnds {
	at, found := slices.BinarySearchFunc(t.Services, name, func(s ServiceEnds, name string) int { return cmp.Compare(s.Service, name) })
	if !found {
		t.Services = slices.Insert(t.Services, at, ServiceEnds{Service: name})
	}
	return &t.Services[at]
}

// note counts an end.
func (s *ServiceEnds) note(instance string) {
	s.Count++
	s.Recent = append(slices.Clone(s.Recent), instance)
	s.Recent = s.Recent[max(0, len(s.Recent)-keptInstances):]
}

// forgetServices drops the counts of services that no record is about.
func (t *Table) forgetServices() {
	about := map[string]bool{}
	for i := range t.Records {
		about[t.Records[i].Service] = true
	}
	t.Services = slices.DeleteFunc(t.Services, func(s ServiceEnds) bool { return !about[s.Service] })
}
