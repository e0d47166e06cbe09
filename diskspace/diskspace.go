// Package diskspace tracks whether the writes of a member of the control group fail because its disk is full.
// It decides when that is logged, and when a failed write is repeated.
package diskspace

import "time"

// Step is a kind of write. Each kind fails and succeeds on its own.
type Step int

// Steps.
const (
	// StepLog is a write of the log: terms, votes, entries, and snapshots that replace them.
	StepLog Step = iota
	// StepSnapshot is a snapshot of the member's own state, which allows the removal of old log segments.
	StepSnapshot
	// StepIdentity is the identity file.
	StepIdentity
	stepCount
)

// String returns the step's name for logs.
func (s Step) String() string { return [...]string{"log", "snapshot", "identity"}[s] }

// RetryAfter returns the time after which a failed write of the step is repeated. An attempt at a snapshot may
// use up the room that the log needs, so it is rarer.
func (s Step) RetryAfter() time.Duration {
	if s == StepSnapshot {
		return 5 * time.Second
	}
	return 250 * time.Millisecond
}

// quietPeriod is the minimum time between two reports that a disk has become full. It bounds the log lines of a disk
// that has room for some writes and none for others.
const quietPeriod = 10 * time.Second

// Monitor is the state of one disk. The zero value is a disk with room.
type Monitor struct {
	failing [stepCount]bool
	// since is when the disk became full, and cause the error that showed it. Valid if the disk is full.
	since time.Duration
	cause string
	// failures counts the writes that failed.
	failures uint64
	reported bool
	// reportedAt is when the disk was last reported as full, and changes counts how often it became full since.
	reportedAt time.Duration
	changes    int
}

// Report says that the disk has become full or has room again.
type Report struct {
	Full  bool
	Step  Step
	Cause string
	// Lasted is how long the disk was full.
	Lasted time.Duration
	// Unreported is how often the disk became full since the previous report without being reported.
	Unreported int
}

// Failed records that a write failed for lack of room. It returns false if there is nothing to report.
func (m *Monitor) Failed(now time.Duration, step Step, cause string) (Report, bool) {
	wasFull := m.Full()
	m.failures++
	m.failing[step] = true
	if wasFull {
		return Report{}, false
	}
	m.since, m.cause = now, cause
	if m.reportedAt != 0 && now-m.reportedAt < quietPeriod {
		m.changes++
		return Report{}, false
	}
	report := Report{Full: true, Step: step, Cause: cause, Unreported: m.changes}
	m.reported, m.reportedAt, m.changes = true, now, 0
	return report, true
}

// Succeeded records that a write succeeded. It returns false if there is nothing to report.
func (m *Monitor) Succeeded(now time.Duration, step Step) (Report, bool) {
	if !m.failing[step] {
		return Report{}, false
	}
	m.failing[step] = false
	if m.Full() || !m.reported {
		return Report{}, false
	}
	m.reported = false
	return Report{Step: step, Lasted: now - m.since}, true
}

// Full reports whether the newest write of any step failed for lack of room.
func (m *Monitor) Full() bool { return m.failing != [stepCount]bool{} }

// Cause returns the error that showed that the disk is full, and since when it is. It is empty if it is not.
func (m *Monitor) Cause() (cause string, since time.Duration) {
	if !m.Full() {
		return "", 0
	}
	return m.cause, m.since
}

// Failures returns the number of writes that failed for lack of room.
func (m *Monitor) Failures() uint64 { return m.failures }
