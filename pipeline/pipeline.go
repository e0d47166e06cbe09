// Package pipeline decides which of the requests that a client has sent ahead on one HTTP/1.1 connection may run
// before the answers to the requests before them are written (RFC 9112, section 9.3.2). It does no I/O and reads no
// clock.
package pipeline

// MaxRequests bounds the requests of one connection that have been read and not answered yet.
const MaxRequests = 16

// Queue holds the requests of one connection that have been read and not answered, in the order in which they were
// sent. It is not safe for concurrent use.
//
// Invariants:
//   - A request runs ahead only if it and all requests before it are safe. One that is not safe runs only once it is
//     the first.
//   - Requests behind one that is not safe are not read until it has been answered: they may depend on its effect.
//   - An answer closes the connection only if it belongs to the last request that was started (see Seal). Requests
//     behind it are not started.
//   - Requests that run ahead are abandoned only if the connection breaks.
type Queue struct {
	requests []request
	sealed   bool
	closed   bool
}

type request struct {
	safe bool
	// ahead is set if the request was started before it became the first.
	ahead bool
}

// MayRead reports whether the next request may be read.
func (q *Queue) MayRead() bool {
	if q.closed || q.sealed || len(q.requests) >= MaxRequests {
		return false
	}
	for _, r := range q.requests {
		if !r.safe {
			return false
		}
	}
	return true
}

// Add appends a request that has been read and reports whether to start it now, ahead of the answers to those before
// it. A request that is first is not started: the server handles it.
func (q *Queue) Add(safe bool) (start bool) {
	start = safe && len(q.requests) > 0 && q.MayRead()
	q.requests = append(q.requests, request{safe: safe, ahead: start})
	return start
}

// Answered removes the first request, whose answer has been written, and reports whether there was one.
func (q *Queue) Answered() bool {
	if len(q.requests) == 0 {
		return false
	}
	q.requests = append(q.requests[:0], q.requests[1:]...)
	return true
}

// Seal ends the reading of further requests, because the connection is about to be closed. It reports whether the answer
// to the first request may close it: no request behind the first has been started.
func (q *Queue) Seal() (last bool) {
	q.sealed = true
	return q.Ahead() == 0
}

// Sealed reports whether no further request is read.
func (q *Queue) Sealed() bool { return q.sealed }

// Close records that no further answer will be written.
func (q *Queue) Close() {
	q.closed = true
	q.requests = nil
}

// Unanswered returns the number of requests that have been read and not answered.
func (q *Queue) Unanswered() int { return len(q.requests) }

// Ahead returns the number of requests behind the first that run ahead.
func (q *Queue) Ahead() int {
	count := 0
	for _, r := range q.requests[min(1, len(q.requests)):] {
		if r.ahead {
			count++
		}
	}
	return count
}
