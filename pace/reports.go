package pace

import (
	"math"
	"time"

	"limehold/loadview"
	"limehold/membership"
)

// Reports holds the newest load report of each session. The zero value holds none.
type Reports struct {
	bySession map[membership.SessionID]received
}

// received is a report and when it was received.
type received struct {
	report loadview.Report
	at     time.Duration
}

const (
	// freshFor is for how long a report counts in full: a few renewals may be lost.
	freshFor = 3 * time.Second
	// staleTimeConstant is the time constant with which an older report loses its weight.
	staleTimeConstant = 5 * time.Second
)

// Record keeps a report of a session, unless it is not set or a newer one of the same process is known.
func (r *Reports) Record(session membership.SessionID, report loadview.Report, now time.Duration) {
	if !report.IsSet() {
		return
	}
	if before, ok := r.bySession[session]; ok && before.report.Process == report.Process && before.report.Version >= report.Version {
		return
	}
	if r.bySession == nil {
		r.bySession = map[membership.SessionID]received{}
	}
	report.Pace = clampPace(report.Pace)
	r.bySession[session] = received{report: report, at: now}
}

// Forget removes the report of a session.
func (r *Reports) Forget(session membership.SessionID) { delete(r.bySession, session) }

// Pace returns the pace of a session's instance, which approaches 1 as the report becomes old; 0 if it is not known.
func (r *Reports) Pace(session membership.SessionID, now time.Duration) float64 {
	known, ok := r.bySession[session]
	if !ok || known.report.Pace == 0 {
		return 0
	}
	stale := max(0, now-known.at-freshFor)
	return math.Pow(known.report.Pace, math.Exp(-float64(stale)/float64(staleTimeConstant)))
}

// Get returns the newest report of a session and its age.
func (r *Reports) Get(session membership.SessionID, now time.Duration) (loadview.Report, time.Duration, bool) {
	known, ok := r.bySession[session]
	return known.report, now - known.at, ok
}

// clampPace returns a pace within its bounds, and 0 for one that cannot be.
func clampPace(pace float64) float64 {
	if math.IsNaN(pace) || math.IsInf(pace, 0) || pace <= 0 {
		return 0
	}
	return min(MaxPace, max(MinPace, pace))
}
