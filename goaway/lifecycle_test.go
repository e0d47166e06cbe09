package goaway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a notice that is taken for the answer to a request that ran, or for a part of an answer, and against a
// request that did not run and gets no notice.
func TestModeOfAClose(t *testing.T) {
	report := func(states ...fasthttp.ConnState) func(*Lifecycle) {
		return func(l *Lifecycle) {
			for _, state := range states {
				l.Report(state)
			}
		}
	}
	const fresh, active, idle, hijacked, closed = fasthttp.StateNew, fasthttp.StateActive, fasthttp.StateIdle, fasthttp.StateHijacked, fasthttp.StateClosed
	received, started, written := (*Lifecycle).Received, (*Lifecycle).Started, (*Lifecycle).Written
	for name, c := range map[string]struct {
		reportsStart bool
		steps        []func(*Lifecycle)
		want         CloseMode
		// next is the state behind a close that waits for one.
		next fasthttp.ConnState
		then CloseMode
	}{
		"new":                                {true, []func(*Lifecycle){report(fresh)}, CloseIdle, closed, CloseLater},
		"new, part of a request":             {true, []func(*Lifecycle){report(fresh), received}, CloseIdle, closed, CloseLater},
		"new, refused":                       {true, []func(*Lifecycle){report(fresh), written}, CloseLater, closed, CloseBusy},
		"read":                               {true, []func(*Lifecycle){report(fresh), received, report(active)}, CloseIdle, closed, CloseLater},
		"read, begin is not reported":        {false, []func(*Lifecycle){report(fresh), received, report(active)}, CloseLater, closed, CloseBusy},
		"read, refused":                      {true, []func(*Lifecycle){report(fresh, active), written}, CloseLater, closed, CloseBusy},
		"runs, then idle":                    {true, []func(*Lifecycle){report(fresh, active), started}, CloseLater, idle, CloseIdle},
		"runs, then closed":                  {true, []func(*Lifecycle){report(fresh, active), started}, CloseLater, closed, CloseBusy},
		"runs, then hijacked":                {true, []func(*Lifecycle){report(fresh, active), started}, CloseLater, hijacked, CloseHijacked},
		"answered, then idle":                {true, []func(*Lifecycle){report(fresh, active), started, written}, CloseLater, idle, CloseIdle},
		"answered, then closed":              {true, []func(*Lifecycle){report(fresh, active), started, written}, CloseLater, closed, CloseBusy},
		"idle":                               {true, []func(*Lifecycle){report(fresh, active), started, written, report(idle)}, CloseIdle, closed, CloseLater},
		"idle, an answer that was held back": {true, []func(*Lifecycle){report(fresh, active), started, report(idle), written}, CloseIdle, closed, CloseLater},
		"second request runs":                {true, []func(*Lifecycle){report(fresh, active), started, report(idle, active), started}, CloseLater, closed, CloseBusy},
		"second request read":                {true, []func(*Lifecycle){report(fresh, active), started, written, report(idle, active)}, CloseIdle, closed, CloseLater},
		"second request, held-back answer written": {true, []func(*Lifecycle){report(fresh, active), started, report(idle, active), written}, CloseLater, closed, CloseBusy},
		"hijacked": {true, []func(*Lifecycle){report(fresh, active), started, report(hijacked)}, CloseHijacked, closed, CloseLater},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := Lifecycle{ReportsStart: c.reportsStart}
			for _, step := range c.steps {
				step(&l)
			}
			is.Equal(l.Close(), c.want)
			is.True(l.Closed())
			is.Equal(l.Report(c.next), c.then)
			is.Equal(l.Report(closed), CloseLater) // it is carried out once
		})
	}
}

// Guards against a stop that ends the reading of a request, and against one that leaves a connection without a request open.
func TestWaitingForARequest(t *testing.T) {
	const fresh, active, idle = fasthttp.StateNew, fasthttp.StateActive, fasthttp.StateIdle
	for name, c := range map[string]struct {
		steps func(*Lifecycle)
		want  bool
	}{
		"new":                    {func(l *Lifecycle) { l.Report(fresh) }, true},
		"new, part of a request": {func(l *Lifecycle) { l.Report(fresh); l.Received() }, false},
		"active":                 {func(l *Lifecycle) { l.Report(fresh); l.Received(); l.Report(active) }, false},
		"idle": {func(l *Lifecycle) {
			l.Report(fresh)
			l.Received()
			l.Report(active)
			l.Report(idle)
		}, true},
		"idle, part of a request": {func(l *Lifecycle) { l.Report(active); l.Report(idle); l.Received() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			var l Lifecycle
			c.steps(&l)
			if l.Waiting() != c.want {
				t.Errorf("waiting %t, want %t", l.Waiting(), c.want)
			}
		})
	}
}
