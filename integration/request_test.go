package integration

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/bench/standin"
	"limehold/wire"
)

func TestKeyedRequestIsAnsweredByTheOwnerWhole(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := nextRun()
	answer := raw(t, running.Routers[0].Field("address"), get("/kopavogur/proofs/class-7/page?bytes=2000", run))
	is.Equal(answer.StatusCode, 200)
	is.Equal(answer.outcome(), wire.OutcomeOK)
	is.Equal(string(answer.body), string(standin.Body(run, 2000)))
	is.Equal(executions(t, running, run), 1)
	is.True(answer.Header.Get(wire.HeaderAttempt) == "") // internal headers stay inside
}

func TestRefusalsSayWhatToDo(t *testing.T) {
	running := sharedFleet(t)
	cases := []struct {
		name, request, reason string
		status                int
	}{
		{"unknown service", get("/nowhere/at-all", "x"), "no-service", 404},
		{"missing key", get("/kopavogur/proofs", "x"), "no-key", 400},
		{"body over the limit", "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: 9999999\r\n\r\n", "body-too-large", 413},
		{"header over the limit", get("/orders/1", "x", "X-Long: "+strings.Repeat("a", 40_000)), "header-too-large", 431},
		{"path with dots", get("/orders/../kopavogur", "x"), "bad-request", 400},
		{"encoded slash", get("/orders/a%2fb", "x"), "bad-request", 400},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			answer := raw(t, running.Routers[0].Field("address"), test.request)
			is.Equal(answer.StatusCode, test.status)
			is.Equal(answer.outcome(), wire.OutcomeNotRun)
			is.Equal(answer.reason(), test.reason)
			is.True(strings.Contains(string(answer.body), `"message":"`)) // an advice is given
		})
	}
}

func TestStreamedBodyOverTheLimitIsNotRun(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := nextRun()
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\n"+standin.HeaderRun+": "+run+"\r\nTransfer-Encoding: chunked\r\n\r\n")
	is.NoErr(err)
	// The router may answer and close while the body is still on its way.
	chunk := "10000\r\n" + strings.Repeat("z", 0x10000) + "\r\n"
	for range 40 {
		if _, err := io.WriteString(conn, chunk); err != nil {
			break
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(callLimit))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil {
		is.True(!strings.Contains(line, " 200 ")) // it must not be answered as if it had run
	}
	is.Equal(executions(t, running, run), 0)
}

// Smuggling input: whatever the router and a back end might read differently is
// refused, or at least reaches the back end as one request only.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	running := sharedFleet(t)
	smuggled := nextRun()
	inner := get("/orders/smuggled", smuggled)
	cases := map[string]string{
		"length and chunked":          "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
		"chunked and length":          "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + inner,
		"two lengths":                 "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\nhello",
		"two equal lengths":           "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"length list":                 "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: 5, 5\r\n\r\nhello",
		"length with sign":            "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: +5\r\n\r\nhello",
		"folded header":               "GET /orders/1 HTTP/1.1\r\nHost: fleet\r\nX-One: a\r\n b\r\n\r\n",
		"folded transfer encoding":    "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
		"blank before colon":          "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length : 5\r\n\r\nhello",
		"unknown transfer encoding":   "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two transfer encodings":      "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"bare carriage return":        "GET /orders/1 HTTP/1.1\r\nHost: fleet\r\nX-One: a\rX-Two: b\r\n\r\n",
		"nul in a header":             "GET /orders/1 HTTP/1.1\r\nHost: fleet\r\nX-One: a\x00b\r\n\r\n",
		"no host":                     "GET /orders/1 HTTP/1.1\r\n\r\n",
		"two hosts":                   "GET /orders/1 HTTP/1.1\r\nHost: fleet\r\nHost: other\r\n\r\n",
		"chunk size with garbage":     "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
		"control byte in the target":  "GET /orders/\x01 HTTP/1.1\r\nHost: fleet\r\n\r\n",
		"length in a chunk extension": "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nTransfer-Encoding: chunked\r\n\r\n5;x=\ny\r\nhello\r\n0\r\n\r\n",
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
			is.NoErr(err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(callLimit))
			_, err = io.WriteString(conn, request)
			is.NoErr(err)
			answer, err := io.ReadAll(io.LimitReader(bufio.NewReader(conn), 1<<16))
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Fatalf("the connection stays open after %q", answer)
			}
			is.True(!strings.Contains(string(answer), "HTTP/1.1 200")) // it must not be run
			is.True(strings.Count(string(answer), "HTTP/1.1 ") <= 1)
		})
	}
	if ran := executions(t, running, smuggled); ran != 0 {
		t.Fatalf("the smuggled request ran %d times", ran)
	}
}

func TestCallersCannotForgeInternalHeaders(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := nextRun()
	answer := raw(t, running.Routers[0].Field("address"), get("/kopavogur/proofs/class-1/page", run,
		"Limehold-Epoch: 999999", "limehold-shard: 7", "LIMEHOLD-Attempt: forged", "Limehold-Service: other",
		"Connection: X-Secret, keep-alive", "X-Secret: a"))
	is.Equal(answer.outcome(), wire.OutcomeOK)
	for _, node := range running.AllNodes() {
		records, err := standin.ReadRecords(node.Records)
		is.NoErr(err)
		for _, record := range records {
			if record.Run == run {
				is.Equal(record.Service, "kopavogur-proofs")
				is.True(record.Epoch != 999999)
				is.True(record.Attempt != "forged")
			}
		}
	}
	is.Equal(executions(t, running, run), 1)
}

// The answer's framing must not let a cut answer look whole.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	running := sharedFleet(t)
	misbehave(t, running, "photos", standin.Knobs{CutWithinPercent: 100})
	for _, size := range []string{"3000", "300000"} {
		t.Run(size+" bytes", func(t *testing.T) {
			is := is.New(t)
			run := nextRun()
			answer := raw(t, running.Routers[0].Field("address"), get("/photos/1?bytes="+size, run))
			if answer.outcome() == wire.OutcomeOK {
				is.True(answer.cut != nil) // the caller can tell that the rest is missing
			} else {
				is.Equal(answer.outcome(), wire.OutcomeUnknown)
			}
			is.True(executions(t, running, run) >= 1)
		})
	}
}

func TestNonRepeatableRequestRunsOnceWhenTheAnswerIsLost(t *testing.T) {
	running := sharedFleet(t)
	cases := []struct {
		name  string
		knobs standin.Knobs
	}{
		{"closed before the answer", standin.Knobs{CutBeforePercent: 100}},
		{"cut within the answer", standin.Knobs{CutWithinPercent: 100}},
		{"answer to somebody else", standin.Knobs{CrossedPercent: 100}},
		{"answer after the deadline", standin.Knobs{LatePercent: 100, LateByMs: 1500}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			misbehave(t, running, "orders", test.knobs)
			run := nextRun()
			answer := raw(t, running.Routers[0].Field("address"), request("POST", "/orders/7", run, "pay", "Limehold-Timeout-Ms: 1000"))
			is.Equal(answer.outcome(), wire.OutcomeUnknown) // "not run" would be a lie
			is.Equal(answer.StatusCode, 502)
			is.Equal(executions(t, running, run), 1)
		})
	}
}

func TestSecondAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	misbehave(t, running, "orders", standin.Knobs{DoublePercent: 100})
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 20 {
		run := nextRun()
		answer := exchange(t, conn, reader, get("/orders/1?bytes=300", run))
		is.Equal(answer.outcome(), wire.OutcomeOK)
		is.Equal(string(answer.body), string(standin.Body(run, 300)))
	}
}

func TestFailingBackEndIsPassedOnWithItsStatus(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	misbehave(t, running, "photos", standin.Knobs{FailAll: true})
	answer := raw(t, running.Routers[0].Field("address"), get("/photos/1", nextRun()))
	is.Equal(answer.StatusCode, 500)
	is.Equal(answer.outcome(), wire.OutcomeOK) // it is the back end's own answer
}

func TestCancelledRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	misbehave(t, running, "photos", standin.Knobs{SlowFactor: 500})
	run := nextRun()
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	_, err = io.WriteString(conn, get("/photos/1", run))
	is.NoErr(err)
	photos := running.NodesOf("photos")[0]
	eventually(t, "the request reaches the back end", func() error { return photos.InFlightIs(1) })
	conn.Close()
	eventually(t, "the back end hears of the cancellation", func() error { return photos.InFlightIs(0) })
	is.Equal(executions(t, running, run), 0)
}

func TestRequestThatCannotFinishIsNotSent(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := nextRun()
	answer := raw(t, running.Routers[0].Field("address"), request("POST", "/orders/1", run, "pay", "Limehold-Timeout-Ms: 1"))
	is.Equal(answer.outcome(), wire.OutcomeNotRun)
	is.Equal(executions(t, running, run), 0)
}

func TestHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 3 {
		answer := exchange(t, conn, reader, request("HEAD", "/orders/1?bytes=300", nextRun(), ""))
		is.Equal(answer.StatusCode, 200)
		is.Equal(len(answer.body), 0)
	}
}

// A slow reader must not hold a slot of others for longer than its own stream,
// and the router must not gather the answer in memory.
func TestLargeAnswerStreamsWithBoundedMemory(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	const size, readers = 100_000_000, 2
	conns := make([]net.Conn, readers)
	for i := range conns {
		conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, get("/photos/big?bytes=100000000", nextRun(), "Limehold-Timeout-Ms: 9000"))
		is.NoErr(err)
		conns[i] = conn
	}
	read := int64(0)
	_ = conns[0].SetReadDeadline(time.Now().Add(callLimit * 3))
	for read < size {
		count, err := io.CopyN(io.Discard, conns[0], 1<<20)
		read += count
		if err != nil {
			break
		}
	}
	is.True(read >= size) // the whole answer arrives while the other reader stands still
	const bound = 100 << 20
	used := running.Routers[0].Usage().PeakRSSBytes
	is.True(used < bound) // one answer alone would fill the bound
}

func TestLargeRequestStreamsThrough(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := nextRun()
	body := strings.Repeat("p", 40_000_000)
	answer := raw(t, running.Routers[0].Field("address"), request("PUT", "/photos/pack", run, body))
	is.Equal(answer.outcome(), wire.OutcomeOK)
	is.Equal(executions(t, running, run), 1)
	const bound = 100 << 20
	is.True(running.Routers[0].Usage().PeakRSSBytes < bound)
}

// A head that ends in bare line feeds is never complete: nothing of it runs, and
// it does not keep its connection for longer than heads may take.
func TestBareLineFeedsEndNoHead(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := nextRun()
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /orders/1 HTTP/1.1\nHost: fleet\n"+standin.HeaderRun+": "+run+"\n\n")
	is.NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(2 * callLimit))
	answer, err := io.ReadAll(conn)
	is.NoErr(err) // the router closes the connection by itself
	is.True(!strings.Contains(string(answer), "HTTP/1.1 200"))
	is.Equal(executions(t, running, run), 0)
}
