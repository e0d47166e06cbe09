package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Go's timers, contexts and socket deadlines do not advance while the machine is suspended, so they
// would expire late by the length of the suspension. Alarms are rearmed when a suspension is
// detected.
const (
	// checkInterval is the interval of the check for suspensions while there are alarms. An alarm that
	// is due on resumption expires at most half a second late.
	checkInterval = 250 * time.Millisecond
	// minSuspension is the smallest increase of the offset between the clocks that counts as a
	// suspension: the two clocks are not read at the same instant.
	minSuspension = 20 * time.Millisecond
)

// alarm is a timer or a deadline that expires at a time of Now.
type alarm struct {
	at time.Duration
	// rearm is called with the remaining time, which is negative if the alarm is overdue.
	rearm func(left time.Duration)
}

// alarms holds all alarms of this process.
var alarms = struct {
	mutex  sync.Mutex
	active map[*alarm]struct{}
	// checking is set while a goroutine checks for suspensions; it ends when there are no alarms.
	checking bool
	// offset is the smallest difference between Now and Go's monotonic clock that was read since the
	// checks started or since the last suspension.
	offset time.Duration
	// observers are called with the length of each suspension.
	observers []func(length time.Duration)
}{active: map[*alarm]struct{}{}}

// monotonicOrigin is the origin for reading Go's monotonic clock.
var monotonicOrigin = time.Now()

// testOffset is the offset in nanoseconds that tests have added to Now.
var testOffset atomic.Int64

// register adds the alarm and starts the check for suspensions if it is not running.
func (a *alarm) register() {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	alarms.active[a] = struct{}{}
	if !alarms.checking {
		alarms.checking = true
		alarms.offset = clockOffset()
		go checkForSuspensions()
	}
}

// unregister removes the alarm, so that it is no longer rearmed.
func (a *alarm) unregister() {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	delete(alarms.active, a)
}

// clockOffset returns how far Now is ahead of Go's monotonic clock.
func clockOffset() time.Duration { return Now() - time.Since(monotonicOrigin) }

// checkForSuspensions checks for suspensions until there are no alarms.
func checkForSuspensions() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for range ticker.C {
		if !rearmAfterSuspension() {
			return
		}
	}
}

// rearmAfterSuspension rearms all alarms and calls the observers if the machine has been suspended since
// the last check. It reports whether there are any alarms.
func rearmAfterSuspension() bool {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	if len(alarms.active) == 0 {
		alarms.checking = false
		return false
	}
	offset := clockOffset()
	if offset-alarms.offset < minSuspension {
		alarms.offset = min(alarms.offset, offset)
		return true
	}
	length := offset - alarms.offset
	alarms.offset = offset
	for _, observe := range alarms.observers {
		observe(length)
	}
	now := Now()
	for a := range alarms.active {
		a.rearm(a.at - now)
	}
	return true
}

// OnSuspension registers a function that is called with the length of each detected suspension. Suspensions
// are detected only while there are alarms. The function must not set or stop an alarm.
func OnSuspension(observe func(length time.Duration)) {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	alarms.observers = append(alarms.observers, observe)
}

// SimulateSuspension simulates a suspension of the given length that has just ended. It is meant for tests.
func SimulateSuspension(length time.Duration) {
	testOffset.Add(int64(length))
	rearmAfterSuspension()
}

// Timer is like time.Timer on the clock of Now, which advances while the machine is suspended.
type Timer struct {
	C     <-chan time.Time
	timer *time.Timer
	alarm alarm
}

// NewTimer returns a timer that sends on C after length. Until Stop is called, it may send again after a
// suspension. Call Stop when the timer is no longer needed.
func NewTimer(length time.Duration) *Timer {
	t := &Timer{timer: time.NewTimer(length)}
	t.C = t.timer.C
	t.alarm = alarm{at: Now() + length, rearm: func(left time.Duration) { t.timer.Reset(left) }}
	t.alarm.register()
	return t
}

// Stop stops the timer and removes its alarm.
func (t *Timer) Stop() {
	t.alarm.unregister()
	t.timer.Stop()
}

// AfterFunc calls f in its own goroutine after length, unless Stop is called first.
func AfterFunc(length time.Duration, f func()) *Timer {
	t := &Timer{}
	// The timer is set to its real length only after t.alarm is registered, because its function removes
	// that alarm.
	t.timer = time.AfterFunc(time.Hour, func() {
		t.alarm.unregister()
		f()
	})
	t.alarm = alarm{at: Now() + length, rearm: func(left time.Duration) { t.timer.Reset(left) }}
	t.alarm.register()
	t.timer.Reset(length)
	return t
}

// Sleep waits until length has passed or done is closed.
func Sleep(length time.Duration, done <-chan struct{}) {
	timer := NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}

// WithTimeout is like context.WithTimeout on the clock of Now. After the timeout, the context's
// error is context.Canceled and its cause is context.DeadlineExceeded.
func WithTimeout(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := AfterFunc(length, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// Deadline is a deadline of a connection on the clock of Now.
type Deadline struct {
	set   func(time.Time) error
	alarm alarm
}

// NewDeadline sets a deadline with set, a method of a connection such as SetReadDeadline. The deadline
// at and the current reading now are times of Now. Clear removes the deadline from the connection.
func NewDeadline(set func(time.Time) error, now, at time.Duration) (*Deadline, error) {
	d := &Deadline{set: set}
	if err := set(time.Now().Add(at - now)); err != nil {
		return nil, err
	}
	// An error of set means that the connection is closed.
	d.alarm = alarm{at: at, rearm: func(left time.Duration) { _ = set(time.Now().Add(left)) }}
	d.alarm.register()
	return d, nil
}

// Detach stops rearming the deadline; the connection keeps the deadline that is set.
func (d *Deadline) Detach() { d.alarm.unregister() }

// Clear removes the deadline from the connection.
func (d *Deadline) Clear() error {
	d.alarm.unregister()
	return d.set(time.Time{})
}
