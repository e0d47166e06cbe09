package goaway

import "github.com/valyala/fasthttp"

// CloseMode is how a connection is closed.
type CloseMode uint8

// Values of CloseMode.
const (
	// CloseLater means that the server's next state decides.
	CloseLater CloseMode = iota
	// CloseIdle means that each response was written to its end and that no request runs, nor will run: the notice is
	// the answer to a request that crosses the close.
	CloseIdle
	// CloseBusy means that the last response was broken off or has announced the close.
	CloseBusy
	// CloseHijacked means that the connection is its hijacker's.
	CloseHijacked
)

// Lifecycle follows a connection through the states that the HTTP library's server reports, and decides how it is
// closed. It is not safe for concurrent use. The zero value is a new connection.
//
// A connection is closed by its serving goroutine, by its hijacker, or by a shutdown in another goroutine. A shutdown
// only closes connections whose serving goroutine begins no further request, but it may do so before that goroutine has
// reported that the connection is idle. A connection may be closed more than once; the first close counts.
type Lifecycle struct {
	// active is set from the first byte of a request until the server reports that its answer is written.
	active bool
	// ReportsStart is set if Started is called before each request runs: a connection that is closed while its request is
	// still being read counts as idle then. Otherwise a request counts as running as soon as the connection is active.
	ReportsStart bool
	running      bool
	// received and written are set if something was read or written since the connection was new or idle. An answer that
	// is held back behind the report of an idle connection does not count as written.
	received, written bool
	served            bool
	hijacked          bool
	closed            bool
	// undecided is set while a close waits for the server's next state.
	undecided bool
}

// Report records a state that the server has reported. It returns the mode of a close that waited for it, or
// CloseLater if none did.
func (l *Lifecycle) Report(state fasthttp.ConnState) CloseMode {
	switch state {
	case fasthttp.StateNew, fasthttp.StateIdle:
		l.active, l.running, l.received, l.written = false, false, false, false
	case fasthttp.StateHijacked:
		l.active, l.hijacked = true, true
	default:
		l.active, l.served = true, true
	}
	undecided := l.undecided
	l.undecided = false
	switch {
	case !undecided:
		return CloseLater
	case l.hijacked:
		return CloseHijacked
	case l.active:
		return CloseBusy
	}
	return CloseIdle
}

// Started records that a request runs from now on.
func (l *Lifecycle) Started() { l.running = true }

// Received records that a part of a request has been read.
func (l *Lifecycle) Received() { l.received = true }

// Written records that the server writes to the connection, which it also does to refuse a new one.
func (l *Lifecycle) Written() { l.written = l.written || l.active || !l.served }

// Waiting reports whether the server waits for the first byte of a request.
func (l *Lifecycle) Waiting() bool { return !l.active && !l.received }

// Active reports whether the server reads or handles a request.
func (l *Lifecycle) Active() bool { return l.active }

// Closed reports whether a close was recorded.
func (l *Lifecycle) Closed() bool { return l.closed }

// Close records a close. It returns CloseLater if the mode is not known yet: Report returns it then.
func (l *Lifecycle) Close() CloseMode {
	l.closed = true
	switch {
	case l.hijacked:
		return CloseHijacked
	case l.written, l.running, l.active && !l.ReportsStart:
		l.undecided = true
		return CloseLater
	}
	return CloseIdle
}
