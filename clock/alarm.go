package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Go's timers, contexts and socket deadlines stand still while the machine is suspended: what
// they are to end goes on for that much longer after it has woken up. Alarms are set anew
// when that is noticed.
const (
	// lookEvery is how often, while there are alarms, it is looked whether the machine has been
	// suspended: what is due then ends half a second late at the most.
	lookEvery = 250 * time.Millisecond
	// leastLeap is by how much the clocks have to differ: they are not read at the same time.
	leastLeap = 20 * time.Millisecond
)

// alarm is something that is to end at a time.
type alarm struct {
	at time.Duration
	// rearm is called with what is left, negative if the time has passed.
	rearm func(left time.Duration)
}

// alarms are all that are set in this process.
var alarms = struct {
	mutex sync.Mutex
	set   map[*alarm]struct{}
	// looking is set while a goroutine looks for leaps; it ends when there are no alarms.
	looking bool
	// ahead is by how much Now was ahead of Go's clock when that was looked at last.
	ahead time.Duration
	// observers are told of each suspension.
	observers []func(length time.Duration)
}{set: map[*alarm]struct{}{}}

// started is where Go's clock is counted from.
var started = time.Now()

// leapt is what tests have added to Now.
var leapt atomic.Int64

func (a *alarm) register() {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	alarms.set[a] = struct{}{}
	if !alarms.looking {
		alarms.looking = true
		alarms.ahead = ahead()
		go look()
	}
}

func (a *alarm) forget() {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	delete(alarms.set, a)
}

// ahead is by how much Now is ahead of Go's clock.
func ahead() time.Duration { return Now() - time.Since(started) }

// look looks for leaps for as long as there are alarms.
func look() {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for range ticker.C {
		if !rearmAfterLeap() {
			return
		}
	}
}

// rearmAfterLeap sets the alarms anew if the machine has been suspended. It reports whether
// there are any.
func rearmAfterLeap() bool {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	if len(alarms.set) == 0 {
		alarms.looking = false
		return false
	}
	found := ahead()
	if found-alarms.ahead < leastLeap {
		alarms.ahead = min(alarms.ahead, found)
		return true
	}
	length := found - alarms.ahead
	alarms.ahead = found
	for _, observe := range alarms.observers {
		observe(length)
	}
	now := Now()
	for set := range alarms.set {
		set.rearm(set.at - now)
	}
	return true
}

// OnLeap has observe called when it is noticed that the machine was suspended, with for how long.
// That is looked at while there are alarms.
func OnLeap(observe func(length time.Duration)) {
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	alarms.observers = append(alarms.observers, observe)
}

// Leap is for tests: it is as if the machine had been suspended for a while just now.
func Leap(length time.Duration) {
	leapt.Add(int64(length))
	rearmAfterLeap()
}

// Timer is like time.Timer, on the clock that goes on while the machine is suspended.
type Timer struct {
	C     <-chan time.Time
	timer *time.Timer
	alarm alarm
}

// NewTimer returns a timer that fires once after length. Stop it when it is not needed.
func NewTimer(length time.Duration) *Timer {
	t := &Timer{timer: time.NewTimer(length)}
	t.C = t.timer.C
	t.alarm = alarm{at: Now() + length, rearm: func(left time.Duration) { t.timer.Reset(left) }}
	t.alarm.register()
	return t
}

// Stop ends the timer.
func (t *Timer) Stop() {
	t.alarm.forget()
	t.timer.Stop()
}

// AfterFunc calls f in a goroutine of its own after length, unless Stop is called before.
func AfterFunc(length time.Duration, f func()) *Timer {
	t := &Timer{}
	// It is set only once the alarm stands that it forgets.
	t.timer = time.AfterFunc(time.Hour, func() {
		t.alarm.forget()
		f()
	})
	t.alarm = alarm{at: Now() + length, rearm: func(left time.Duration) { t.timer.Reset(left) }}
	t.alarm.register()
	t.timer.Reset(length)
	return t
}

// Sleep waits for length, or until done is closed.
func Sleep(length time.Duration, done <-chan struct{}) {
	timer := NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-done:
	}
}

// WithTimeout is like context.WithTimeout.
func WithTimeout(parent context.Context, length time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := AfterFunc(length, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// Deadline is a socket's deadline on the clock that goes on while the machine is suspended.
type Deadline struct {
	set   func(time.Time) error
	alarm alarm
}

// NewDeadline sets a deadline by set, a method of a connection such as SetReadDeadline; now is
// a reading of the clock. End ends it; the socket then has none.
func NewDeadline(set func(time.Time) error, now, at time.Duration) (*Deadline, error) {
	d := &Deadline{set: set}
	if err := set(time.Now().Add(at - now)); err != nil {
		return nil, err
	}
	// A connection that cannot take a deadline any more is closed.
	d.alarm = alarm{at: at, rearm: func(left time.Duration) { _ = set(time.Now().Add(left)) }}
	d.alarm.register()
	return d, nil
}

// Forget has the deadline not set again; the socket keeps the one that it has.
func (d *Deadline) Forget() { d.alarm.forget() }

// End ends the deadline.
func (d *Deadline) End() error {
	d.alarm.forget()
	return d.set(time.Time{})
}
