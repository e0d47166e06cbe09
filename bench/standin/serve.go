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

// Query parameters that callers of the stand-in use.
const (
	// QueryBytes is the size of the wanted answer.
	QueryBytes = "bytes"
	// HeaderRun carries the caller's own name of the request into the records.
	HeaderRun = "X-Run-Id"
	// HeaderWork is a factor on the service time, in percent.
	HeaderWork = "X-Work-Percent"
	// HeaderDeadly has the back end end while it runs the request.
	HeaderDeadly = "X-Deadly"
)

// exitDeadly is the code of a process that has ended under a request.
const exitDeadly = 3

// execution is one request being served.
type execution struct {
	attempt string
	run     string
	key     shardKey
	epoch   uint64
	keyed   bool
	started time.Duration
}

// serve runs a request, if the grant holds from its beginning to its end.
func (s *Server) serve(request *fasthttp.RequestCtx) {
	s.received.Add(1)
	header := &request.Request.Header
	e := &execution{
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
	if reason := s.begin(e); reason != "" {
		notRun(request, reason)
		return
	}
	defer s.end(e)
	length := s.serviceTime(request, knobs)
	if deadline := headerUint(request, wire.HeaderDeadline); deadline > 0 && time.Duration(deadline)*time.Millisecond < length {
		notRun(request, wire.BackendReasonDeadline)
		return
	}
	if !drainBody(request) || !s.work(request, length) {
		// The caller is gone, or its request never arrived whole: not run.
		request.SetConnectionClose()
		notRun(request, wire.BackendReasonDeadline)
		return
	}
	if !s.execute(e) {
		notRun(request, wire.BackendReasonNotOwner)
		return
	}
	if len(header.Peek(HeaderDeadly)) > 0 {
		os.Exit(exitDeadly)
	}
	s.answer(request, e, knobs)
}

func notRun(request *fasthttp.RequestCtx, reason string) {
	request.SetStatusCode(fasthttp.StatusServiceUnavailable)
	request.Response.Header.Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	request.Response.Header.Set(wire.HeaderReason, reason)
	request.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	request.SetBodyString("not run: " + reason + "\n")
}

// begin takes a slot, or says why not.
func (s *Server) begin(e *execution) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.keyed {
		owned := s.owns(e.key, e.epoch)
		if owned == nil || owned.leaving {
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

func (s *Server) end(e *execution) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight.Add(-1)
	owned := s.grants[e.key]
	if !e.keyed || owned == nil || owned.epoch != e.epoch {
		return
	}
	owned.inFlight--
	if owned.leaving && owned.inFlight == 0 {
		s.letGo(e.key, owned, clock.Now())
	}
}

// execute is the point of execution: the grant must still hold here.
func (s *Server) execute(e *execution) bool {
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

// serviceTime draws how long the request takes.
func (s *Server) serviceTime(request *fasthttp.RequestCtx, knobs *Knobs) time.Duration {
	length := float64(s.options.ServiceTime) * (0.5 + rand.Float64())
	if knobs.SlowFactor > 0 {
		length *= knobs.SlowFactor
	}
	if work := headerUint(request, HeaderWork); work > 0 {
		length *= float64(work) / 100
	}
	if s.options.ColdStart > 0 && clock.Now()-s.started < s.options.ColdStart {
		length *= coldFactor
	}
	return time.Duration(length)
}

// drainBody reads the request's body to its end; false if it is cut.
func drainBody(request *fasthttp.RequestCtx) bool {
	if !request.Request.IsBodyStream() {
		return true
	}
	_, err := io.Copy(io.Discard, request.RequestBodyStream())
	return err == nil
}

// work waits for the service time; false if the caller's connection closes.
func (s *Server) work(request *fasthttp.RequestCtx, length time.Duration) bool {
	deadline := time.Now().Add(length)
	for {
		left := time.Until(deadline)
		if left <= 0 {
			return true
		}
		time.Sleep(min(left, 20*time.Millisecond))
		if closed(request.Conn()) {
			return false
		}
	}
}

// closed looks at a connection without taking bytes.
func closed(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		count, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = receiveErr == nil && count == 0 || receiveErr != nil && receiveErr != syscall.EAGAIN && receiveErr != syscall.EINTR
		return true
	})
	return err != nil || gone
}

// Body is the answer that a request named run must get: it names the run and
// fills up to size with bytes that depend on it. Callers compare all of it.
func Body(run string, size int) []byte {
	digest := sha256.Sum256([]byte(run))
	line := []byte(fmt.Sprintf("answer to %s %s\n", run, hex.EncodeToString(digest[:])))
	body := make([]byte, 0, max(size, len(line)))
	for len(body) < size || len(body) == 0 {
		body = append(body, line...)
	}
	return body[:max(size, min(len(line), len(body)))]
}

func (s *Server) answer(request *fasthttp.RequestCtx, e *execution, knobs *Knobs) {
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
		hijackAndWrite(request, half(e, body))
		return
	}
	if chance(knobs.StallPercent) {
		hijackAndHold(request, half(e, body))
		return
	}
	if chance(knobs.DoublePercent) {
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", wire.HeaderAttempt, e.attempt, len(body), body)
		hijackAndWrite(request, []byte(one+one))
		return
	}
	if size > bodyUnit {
		request.SetBodyStreamWriter(func(writer *bufio.Writer) {
			for start := 0; start < len(body); start += bodyUnit {
				if _, err := writer.Write(body[start:min(len(body), start+bodyUnit)]); err != nil {
					return
				}
			}
		})
		return
	}
	request.SetBody(body)
}

// half is the head of an answer and the first half of its body.
func half(e *execution, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", wire.HeaderAttempt, e.attempt, len(body))
	return append([]byte(head), body[:len(body)/2]...)
}

func chance(percent int) bool { return percent > 0 && rand.IntN(100) < percent }

// hijackAndWrite writes raw bytes in place of an answer and closes the connection.
func hijackAndWrite(request *fasthttp.RequestCtx, data []byte) {
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		if len(data) > 0 {
			_, _ = conn.Write(data)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// hijackAndHold writes raw bytes in place of an answer and then nothing more, until
// the other side closes the connection.
func hijackAndHold(request *fasthttp.RequestCtx, data []byte) {
	request.HijackSetNoResponse(true)
	request.Hijack(func(conn net.Conn) {
		if _, err := conn.Write(data); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}
