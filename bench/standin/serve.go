package standin

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/wire"
)

// Query parameter and headers with which callers control the back end.
const (
	// QueryBytes is the size of the requested answer in bytes.
	QueryBytes = "bytes"
	// HeaderRun is the caller's name of the request, which the records contain.
	HeaderRun = "X-Run-Id"
	// HeaderWork is a factor on the service time, in percent.
	HeaderWork = "X-Work-Percent"
	// HeaderCrash makes the back end exit while it runs the request.
	HeaderCrash = "X-Deadly"
)

// exitCrash is the exit code of a process that a request with HeaderCrash crashed.
const exitCrash = 3

// activeRequest is one request in progress.
type activeRequest struct {
	attempt string
	run     string
	key     shardKey
	epoch   uint64
	keyed   bool
	started time.Duration
}

// serve runs a request. A keyed one runs only if the back end owns its shard at the
// start and still at the point of execution.
func (s *Server) serve(request *fasthttp.RequestCtx) {
	s.received.Add(1)
	header := &request.Request.Header
	e := &activeRequest{
		attempt: string(header.Peek(wire.HeaderAttempt)), run: string(header.Peek(HeaderRun)),
		key:   shardKey{string(header.Peek(wire.HeaderService)), uint32(headerUint(request, wire.HeaderShard))},
		epoch: headerUint(request, wire.HeaderEpoch), started: clock.Now(),
	}
	e.keyed = e.epoch > 0
	request.Response.Header.Set(wire.HeaderAttempt, e.attempt)
	knobs := s.knobs.Load()
	if knobs.FailAll {
		request.Error("internal error\n", fasthttp.StatusInternalServerError)
		request.Response.Header.Set(wire.HeaderAttempt, e.attempt)
		return
	}
	if reason := s.acquireSlot(e); reason != "" {
		rejectNotRun(request, reason)
		return
	}
	defer s.releaseSlot(e)
	length := s.serviceTime(request, knobs)
	if deadline := headerUint(request, wire.HeaderDeadline); deadline > 0 && time.Duration(deadline)*time.Millisecond < length {
		rejectNotRun(request, wire.BackendReasonDeadline)
		return
	}
	if !readBody(request) || !s.waitServiceTime(request, length) {
		// The caller has disconnected, or the request body is incomplete: the request is not run.
		request.SetConnectionClose()
		rejectNotRun(request, wire.BackendReasonDeadline)
		return
	}
	if !s.execute(e) {
		rejectNotRun(request, wire.BackendReasonNotOwner)
		return
	}
	if len(header.Peek(HeaderCrash)) > 0 {
		os.Exit(exitCrash)
	}
	s.answer(request, e, knobs)
}

func rejectNotRun(request *fasthttp.RequestCtx, reason string) {
	request.SetStatusCode(fasthttp.StatusServiceUnavailable)
	request.Response.Header.Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	request.Response.Header.Set(wire.HeaderReason, reason)
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	request.SetBodyString("not run: " + reason + "\n")
}

// acquireSlot acquires a slot for the request. It returns the reason if the request is
// rejected, and "" otherwise.
func (s *Server) acquireSlot(e *activeRequest) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.keyed {
		owned := s.owns(e.key, e.epoch)
		if owned == nil || owned.releasing {
			return wire.BackendReasonNotOwner
		}
		if int(s.inFlight.Load()) >= s.options.Slots {
			return wire.BackendReasonFull
		}
		owned.inFlight++
		s.inFlight.Add(1)
		return ""
	}
	if s.draining.Load() {
		return wire.BackendReasonDraining
	}
	if int(s.inFlight.Load()) >= s.options.Slots {
		return wire.BackendReasonFull
	}
	s.inFlight.Add(1)
	return ""
}

func (s *Server) releaseSlot(e *activeRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight.Add(-1)
	owned := s.grants[e.key]
	if !e.keyed || owned == nil || owned.epoch != e.epoch {
		return
	}
	owned.inFlight--
	if owned.releasing && owned.inFlight == 0 {
		s.release(e.key, owned, clock.Now())
	}
}

// execute records the execution of the request. It reports false if the back end
// no longer owns the shard; the request is then not run.
func (s *Server) execute(e *activeRequest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.keyed && s.owns(e.key, e.epoch) == nil {
		return false
	}
	s.records.write(Record{
		Kind: RecordExecution, At: int64(clock.Now()), Started: int64(e.started), Node: s.options.Name,
		Session: s.session, Service: e.key.service, Shard: e.key.shard, Epoch: e.epoch, Run: e.run, Attempt: e.attempt,
	})
	return true
}

// serviceTime returns the random run time of the request.
func (s *Server) serviceTime(request *fasthttp.RequestCtx, knobs *Knobs) time.Duration {
	length := float64(s.options.ServiceTime) * (0.5 + rand.Float64())
	if knobs.SlowFactor > 0 {
		length *= knobs.SlowFactor
	}
	if work := headerUint(request, HeaderWork); work > 0 {
		length *= float64(work) / 100
	}
	if s.options.ColdStart > 0 && clock.Now()-s.started < s.options.ColdStart {
		length *= coldStartFactor
	}
	return time.Duration(length)
}

// readBody reads the request body to its end and reports whether it was complete.
func readBody(request *fasthttp.RequestCtx) bool {
	if !request.Request.IsBodyStream() {
		return true
	}
	_, err := io.Copy(io.Discard, request.RequestBodyStream())
	return err == nil
}

// waitServiceTime waits for the service time. It returns false early if the caller disconnects.
func (s *Server) waitServiceTime(request *fasthttp.RequestCtx, length time.Duration) bool {
	deadline := time.Now().Add(length)
	for {
		left := time.Until(deadline)
		if left <= 0 {
			return true
		}
		time.Sleep(min(left, 20*time.Millisecond))
		if peerClosed(request.Conn()) {
			return false
		}
	}
}

// peerClosed reports whether the peer has closed the connection, without consuming data.
func peerClosed(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, receiveErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = receiveErr == nil && count == 0 || receiveErr != nil && receiveErr != syscall.EAGAIN && receiveErr != syscall.EINTR
		return true
	})
	return err != nil || closed
}

// Body returns the correct answer to the request with the given run name: size bytes, or one line if that is
// longer. The bytes depend on the name, so that callers can compare all of them.
func Body(run string, size int) []byte {
	digest := sha256.Sum256([]byte(run))
	line := []byte(fmt.Sprintf("answer to %s %s\n", run, hex.EncodeToString(digest[:])))
	body := make([]byte, 0, max(size, len(line)))
	for len(body) < size || len(body) == 0 {
		body = append(body, line...)
	}
	return body[:max(size, min(len(line), len(body)))]
}

func (s *Server) answer(request *fasthttp.RequestCtx, e *activeRequest, knobs *Knobs) {
	size, _ := strconv.Atoi(string(request.QueryArgs().Peek(QueryBytes)))
	request.Response.Header.Set(wire.HeaderOutcome, wire.OutcomeOK)
	switch {
	case chance(knobs.LatePercent):
		time.Sleep(time.Duration(knobs.LateByMs) * time.Millisecond)
	case chance(knobs.CutBeforePercent):
		hijackAndWrite(request, nil)
		return
	case chance(knobs.CrossedPercent):
		request.Response.Header.Set(wire.HeaderAttempt, "another."+e.attempt)
		e.run = "somebody-else"
	}
	body := Body(e.run, size)
	if chance(knobs.CutWithinPercent) {
		hijackAndWrite(request, partialAnswer(e, body))
		return
	}
	if chance(knobs.StallPercent) {
		hijackAndHold(request, partialAnswer(e, body))
		return
	}
	if chance(knobs.DoublePercent) {
		single := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderAttempt, e.attempt, len(body), body)
		hijackAndWrite(request, []byte(single+single))
		return
	}
	if size > bodyChunk {
		request.SetBodyStreamWriter(func(writer *bufio.Writer) {
			for start := 0; start < len(body); start += bodyChunk {
				if _, err := writer.Write(body[start:min(len(body), start+bodyChunk)]); err != nil {
					return
				}
			}
		})
		return
	}
	request.SetBody(body)
}

// partialAnswer returns the header of an answer and the first half of its body.
func partialAnswer(e *activeRequest, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", wire.HeaderAttempt, e.attempt, len(body))
	return append([]byte(head), body[:len(body)/2]...)
}

func chance(percent int) bool { return percent > 0 && rand.IntN(100) < percent }

// hijackAndWrite writes raw bytes instead of an answer and closes the connection.
func hijackAndWrite(request *fasthttp.RequestCtx, data []byte) {
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		if len(data) > 0 {
			_, _ = conn.Write(data)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// hijackAndHold writes raw bytes instead of an answer and keeps the connection open
// until the peer closes it.
func hijackAndHold(request *fasthttp.RequestCtx, data []byte) {
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		if _, err := conn.Write(data); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}
