package clock

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// far is longer than any test waits.
const far = time.Hour

// Alarms that fall due during a suspension expire on resumption; the others keep running.
func TestAlarmsAreKeptThroughASuspension(t *testing.T) {
	for name, c := range map[string]struct {
		leap time.Duration
		due  bool
	}{
		"suspended past the time": {far + time.Second, true},
		"suspended before it":     {far / 2, false},
		"not suspended":           {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			timer := NewTimer(far)
			defer timer.Stop()
			called := make(chan struct{})
			after := AfterFunc(far, func() { close(called) })
			defer after.Stop()
			ctx, cancel := WithTimeout(t.Context(), far)
			defer cancel()
			one, other := net.Pipe()
			defer other.Close()
			deadline, err := NewDeadline(one.SetReadDeadline, Now(), Now()+far)
			is.NoErr(err)
			read := make(chan error, 1)
			go func() {
				_, err := one.Read(make([]byte, 1))
				read <- err
			}()
			SimulateSuspension(c.leap)
			if !c.due {
				select {
				case <-timer.C:
					t.Error("the timer fired")
				case <-called:
					t.Error("the function was called")
				case err := <-read:
					t.Errorf("the read ended: %v", err)
				default:
				}
				is.NoErr(ctx.Err())
				is.NoErr(deadline.Clear())
				one.Close()
				return
			}
			<-timer.C
			<-called
			<-ctx.Done()
			is.Equal(context.Cause(ctx), context.DeadlineExceeded)
			is.True(errors.Is(<-read, os.ErrDeadlineExceeded))
			is.NoErr(deadline.Clear())
		})
	}
}

// A deadline that has ended and a timer that was stopped are not rearmed.
func TestEndedAlarmsAreForgotten(t *testing.T) {
	is := is.New(t)
	one, other := net.Pipe()
	defer other.Close()
	defer one.Close()
	deadline, err := NewDeadline(one.SetDeadline, Now(), Now()+far)
	is.NoErr(err)
	is.NoErr(deadline.Clear())
	timer := NewTimer(far)
	timer.Stop()
	SimulateSuspension(2 * far)
	is.NoErr(func() error {
		go func() { _, _ = other.Read(make([]byte, 1)) }()
		_, err := one.Write([]byte("x"))
		return err
	}())
	select {
	case <-timer.C:
		t.Error("a stopped timer fired")
	default:
	}
	alarms.mutex.Lock()
	defer alarms.mutex.Unlock()
	is.Equal(len(alarms.active), 0)
}

// A suspension is detected without any call while there are alarms.
func TestLeapIsNoticed(t *testing.T) {
	timer := NewTimer(far)
	defer timer.Stop()
	testOffset.Add(int64(2 * far)) // no check is triggered
	<-timer.C
}

func BenchmarkDeadline(b *testing.B) {
	set := func(time.Time) error { return nil }
	b.ReportAllocs()
	now := Now()
	for b.Loop() {
		deadline, _ := NewDeadline(set, now, now+far)
		_ = deadline.Clear()
	}
}
