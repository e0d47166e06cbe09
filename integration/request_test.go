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
	run := newRunID()
	answer := send(t, running.Routers[0].Field("address"), getRequest("/kopavogur/proofs/class-7/page?bytes=2000", run))
	is.Equal(answer.StatusCode, 200)
	is.Equal(answer.outcome(), wire.OutcomeOK)
	is.Equal(string(answer.body), string(standin.Body(run, 2000)))
	is.Equal(executions(t, running, run), 1)
	is.True(answer.Header.Get(wire.HeaderAttempt) == "") // internal headers must not reach the caller
}

func TestRefusalsSayWhatToDo(t *testing.T) {
	running := sharedFleet(t)
	cases := []struct {
		name, request, reason string
		status                int
	}{
		{"unknown service", getRequest("/nowhere/at-all", "x"), "no-service", 404},
		{"missing key", getRequest("/kopavogur/proofs", "x"), "no-key", 400},
		{"body over the limit", "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\nContent-Length: 9999999\r\n\r\n", "body-too-large", 413},
		{"header over the limit", getRequest("/orders/1", "x", "X-Long: "+strings.Repeat("a", 40_000)), "header-too-large", 431},
		{"path with dots", getRequest("/orders/../kopavogur", "x"), "bad-request", 400},
		{"encoded slash", getRequest("/orders/a%2fb", "x"), "bad-request", 400},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			answer := send(t, running.Routers[0].Field("address"), test.request)
			is.Equal(answer.StatusCode, test.status)
			is.Equal(answer.outcome(), wire.OutcomeNotRun)
			is.Equal(answer.reason(), test.reason)
			is.True(strings.Contains(string(answer.body), `"message":"`)) // the body has a message for the caller
		})
	}
}

func TestStreamedBodyOverTheLimitIsNotRun(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := newRunID()
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /orders/1 HTTP/1.1\r\nHost: fleet\r\n"+standin.HeaderRun+": "+run+"\r\nTransfer-Encoding: chunked\r\n\r\n")
	is.NoErr(err)
	// The router may answer and close the connection before the whole body is sent.
	chunk := "10000\r\n" + strings.Repeat("z", 0x10000) + "\r\n"
	for range 40 {
		if _, err := io.WriteString(conn, chunk); err != nil {
			break
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil {
		is.True(!strings.Contains(line, " 200 ")) // an answer must not report success
	}
	is.Equal(executions(t, running, run), 0)
}

// Guards against request smuggling: the router must reject requests that a back end could parse differently,
// with at most one answer, and close the connection.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	running := sharedFleet(t)
	smuggled := newRunID()
	inner := getRequest("/orders/smuggled", smuggled)
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
			_ = conn.SetDeadline(time.Now().Add(callTimeout))
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
	run := newRunID()
	answer := send(t, running.Routers[0].Field("address"), getRequest("/kopavogur/proofs/class-1/page", run,
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

// A caller must be able to detect that an answer was truncated.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	running := sharedFleet(t)
	setKnobs(t, running, "photos", standin.Knobs{CutWithinPercent: 100})
	for _, size := range []string{"3000", "300000"} {
		t.Run(size+" bytes", func(t *testing.T) {
			is := is.New(t)
			run := newRunID()
			answer := send(t, running.Routers[0].Field("address"), getRequest("/photos/1?bytes="+size, run))
			if answer.outcome() == wire.OutcomeOK {
				is.True(answer.bodyErr != nil) // the caller can detect that the rest is missing
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
			setKnobs(t, running, "orders", test.knobs)
			run := newRunID()
			answer := send(t, running.Routers[0].Field("address"), formatRequest("POST", "/orders/7", run, "pay", "Limehold-Timeout-Ms: 1000"))
			is.Equal(answer.outcome(), wire.OutcomeUnknown) // the request has run, so that "not run" would be wrong
			is.Equal(answer.StatusCode, 502)
			is.Equal(executions(t, running, run), 1)
		})
	}
}

func TestSecondAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	setKnobs(t, running, "orders", standin.Knobs{DoublePercent: 100})
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 20 {
		run := newRunID()
		answer := exchange(t, conn, reader, getRequest("/orders/1?bytes=300", run))
		is.Equal(answer.outcome(), wire.OutcomeOK)
		is.Equal(string(answer.body), string(standin.Body(run, 300)))
	}
}

func TestFailingBackEndIsPassedOnWithItsStatus(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	setKnobs(t, running, "photos", standin.Knobs{FailAll: true})
	answer := send(t, running.Routers[0].Field("address"), getRequest("/photos/1", newRunID()))
	is.Equal(answer.StatusCode, 500)
	is.Equal(answer.outcome(), wire.OutcomeOK) // the error is the back end's own answer
}

func TestCancelledRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	setKnobs(t, running, "photos", standin.Knobs{SlowFactor: 500})
	run := newRunID()
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	_, err = io.WriteString(conn, getRequest("/photos/1", run))
	is.NoErr(err)
	photos := running.NodesInPool("photos")[0]
	eventually(t, "the request reaches the back end", func() error { return photos.CheckInFlight(1) })
	conn.Close()
	eventually(t, "the back end receives the cancellation", func() error { return photos.CheckInFlight(0) })
	is.Equal(executions(t, running, run), 0)
}

func TestRequestThatCannotFinishIsNotSent(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := newRunID()
	answer := send(t, running.Routers[0].Field("address"), formatRequest("POST", "/orders/1", run, "pay", "Limehold-Timeout-Ms: 1"))
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
		answer := exchange(t, conn, reader, formatRequest("HEAD", "/orders/1?bytes=300", newRunID(), ""))
		is.Equal(answer.StatusCode, 200)
		is.Equal(len(answer.body), 0)
	}
}

// A slow reader must not delay the answers to other callers, and the router must not
// buffer the whole answer in memory.
func TestLargeAnswerStreamsWithBoundedMemory(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	const size, readers = 100_000_000, 2
	conns := make([]net.Conn, readers)
	for i := range conns {
		conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, getRequest("/photos/big?bytes=100000000", newRunID(), "Limehold-Timeout-Ms: 9000"))
		is.NoErr(err)
		conns[i] = conn
	}
	read := int64(0)
	_ = conns[0].SetReadDeadline(time.Now().Add(callTimeout * 3))
	for read < size {
		count, err := io.CopyN(io.Discard, conns[0], 1<<20)
		read += count
		if err != nil {
			break
		}
	}
	is.True(read >= size) // the whole answer arrives while the other caller does not read
	const bound = 100 << 20
	used := running.Routers[0].Usage().PeakRSSBytes
	is.True(used < bound) // a single buffered answer would nearly reach the bound
}

func TestLargeRequestStreamsThrough(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := newRunID()
	body := strings.Repeat("p", 40_000_000)
	answer := send(t, running.Routers[0].Field("address"), formatRequest("PUT", "/photos/pack", run, body))
	is.Equal(answer.outcome(), wire.OutcomeOK)
	is.Equal(executions(t, running, run), 1)
	const bound = 100 << 20
	is.True(running.Routers[0].Usage().PeakRSSBytes < bound)
}

// A header section that ends with bare line feeds is incomplete: the request must not
// run, and its connection is closed when the time limit for headers expires.
func TestBareLineFeedsEndNoHead(t *testing.T) {
	is := is.New(t)
	running := sharedFleet(t)
	run := newRunID()
	conn, err := net.Dial("tcp", running.Routers[0].Field("address"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /orders/1 HTTP/1.1\nHost: fleet\n"+standin.HeaderRun+": "+run+"\n\n")
	is.NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(2 * callTimeout))
	answer, err := io.ReadAll(conn)
	is.NoErr(err) // the router closes the connection by itself
	is.True(!strings.Contains(string(answer), "HTTP/1.1 200"))
	is.Equal(executions(t, running, run), 0)
}
