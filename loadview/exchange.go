package loadview

import "time"

// Exchange is what the ingress beside an instance does with reports: it numbers its own and passes on those of the
// service's other instances, which requests carry. It is not safe for concurrent use.
type Exchange struct {
	process uint32
	version uint64
	view    *View
}

// NewExchange returns an exchange of a process, which is identified by a random number.
func NewExchange(process uint32) *Exchange {
	return &Exchange{process: max(1, process), view: NewView()}
}

// Number returns the report as the newest one of this process.
func (e *Exchange) Number(report Report) Report {
	e.version++
	report.Process, report.Version = e.process, e.version
	return report
}

// HearOf records reports of other instances.
func (e *Exchange) HearOf(entries []Entry, now time.Duration) {
	for _, entry := range entries {
		e.view.HearOf(entry, now)
	}
}

// Freshest returns the reports to pass on to a router that has shown its own; see View.Freshest.
func (e *Exchange) Freshest(now time.Duration, shown []Entry) []Entry {
	return e.view.Freshest(now, 0, shown)
}
