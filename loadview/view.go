package loadview

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxAge is the age from which a report is neither believed nor passed on.
	MaxAge = 5 * time.Second
	// MaxInstances bounds the instances of a View.
	MaxInstances = 1024
)

// Verdict is what a View does with a report.
type Verdict uint8

// Verdicts.
const (
	// Taken means that the report is the newest of its instance.
	Taken Verdict = iota
	// Older means that the view has this report, or a newer one.
	Older
	// OtherProcess means that the report was passed on, and is of another process than the known report, which is
	// still believed. Only the instance's own answer shows which of the two processes is the later one.
	OtherProcess
	// Expired means that the report is older than MaxAge.
	Expired
	// Unknown means that the report is of an instance that the reader does not know.
	Unknown
	// Surplus means that the view holds MaxInstances reports.
	Surplus
)

// String returns the verdict's name in metrics.
func (v Verdict) String() string {
	return [...]string{"taken", "older", "other-process", "expired", "unknown-instance", "surplus"}[v]
}

// View holds the newest report of each instance of one service, as one process knows them. Times are those of the
// process's clock. It is not safe for concurrent use.
type View struct {
	known map[uint64]told
}

// told is a report and when it was made.
type told struct {
	report Report
	madeAt time.Duration
}

// NewView returns a view without reports.
func NewView() *View { return &View{known: map[uint64]told{}} }

// Hear records a report that the instance's own answer carried. It replaces a report of another process.
func (v *View) Hear(session uint64, report Report, now time.Duration) Verdict {
	known, ok := v.known[session]
	if ok && known.report.Process == report.Process && known.report.Version >= report.Version {
		return Older
	}
	return v.put(session, told{report, now}, now)
}

// HearOf records a report that another process has passed on.
func (v *View) HearOf(entry Entry, now time.Duration) Verdict {
	if entry.Age > MaxAge {
		return Expired
	}
	if known, ok := v.known[entry.Session]; ok && now-known.madeAt <= MaxAge {
		switch {
		case known.report.Process != entry.Report.Process:
			return OtherProcess
		case known.report.Version >= entry.Report.Version:
			return Older
		}
	}
	return v.put(entry.Session, told{entry.Report, now - entry.Age}, now)
}

func (v *View) put(session uint64, t told, now time.Duration) Verdict {
	if _, ok := v.known[session]; !ok && len(v.known) >= MaxInstances {
		v.expire(now)
		if len(v.known) >= MaxInstances {
			return Surplus
		}
	}
	v.known[session] = t
	return Taken
}

func (v *View) expire(now time.Duration) {
	for session, t := range v.known {
		if now-t.madeAt > MaxAge {
			delete(v.known, session)
		}
	}
}

// Keep removes the reports of all instances but the given ones.
func (v *View) Keep(isListed func(session uint64) bool) {
	for session := range v.known {
		if !isListed(session) {
			delete(v.known, session)
		}
	}
}

// Freshest returns the reports to pass on to another process, the newest first. It omits those of except, which is the
// receiver's own, and those that the receiver has shown to have.
func (v *View) Freshest(now time.Duration, except uint64, shown []Entry) []Entry {
	newest := make([]Entry, 0, maxPassedOn+1)
	for session, t := range v.known {
		has := func(e Entry) bool {
			return e.Session == session && e.Report.Process == t.report.Process && e.Report.Version >= t.report.Version
		}
		if session == except || now-t.madeAt > MaxAge || slices.ContainsFunc(shown, has) {
			continue
		}
		entry := Entry{Session: session, Age: now - t.madeAt, Report: t.report}
		at, _ := slices.BinarySearchFunc(newest, entry, byAge)
		newest = slices.Insert(newest, at, entry)
		newest = newest[:min(len(newest), maxPassedOn)]
	}
	return newest
}

// byAge orders entries by age, and then by session.
func byAge(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Session, b.Session))
}

// maxPassedOn bounds the reports in a message. With more of them the views of routers become so alike that they choose
// the same instances.
const maxPassedOn = 2

// MeanAge returns the mean age of the reports; 0 if there are none.
func (v *View) MeanAge(now time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, t := range v.known {
		sum += now - t.madeAt
	}
	return sum / time.Duration(max(1, len(v.known)))
}

// Weight returns the weight of a report of the given age, from 1 to 0; it halves with each halfLife.
func Weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
