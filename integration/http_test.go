package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"limehold/bench/fleet"
	"limehold/bench/standin"
	"limehold/upstream"
	"limehold/wire"
)

const callTimeout = 10 * time.Second

// reply is an answer as a caller receives it.
type reply struct {
	*http.Response
	body []byte
	// bodyErr is the error that ended the body early, or nil if the body is complete.
	bodyErr error
}

func (r *reply) outcome() string { return r.Header.Get(wire.HeaderOutcome) }
func (r *reply) reason() string  { return r.Header.Get(wire.HeaderReason) }

// send sends a request to a router over a new connection and reads one answer. It
// parses the answer with the standard library, an implementation that is independent
// of the router's.
func send(t *testing.T, address, request string) *reply {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dial %s: %v", address, err)
	}
	defer conn.Close()
	return exchange(t, conn, bufio.NewReader(conn), request)
}

func exchange(t *testing.T, conn net.Conn, reader *bufio.Reader, request string) *reply {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatalf("send: %v", err)
	}
	method, _, _ := strings.Cut(request, " ")
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	if err := upstream.CheckHeader(response.Header); err != nil {
		t.Fatalf("read answer: %v", err)
	}
	body, bodyErr := io.ReadAll(response.Body)
	return &reply{Response: response, body: body, bodyErr: bodyErr}
}

var runCount atomic.Int64

// newRunID returns a unique ID for a request, by which its executions are counted.
func newRunID() string {
	return fmt.Sprintf("test-%d-%d", time.Now().UnixNano(), runCount.Add(1))
}

func getRequest(path, run string, headers ...string) string {
	return formatRequest("GET", path, run, "", headers...)
}

func formatRequest(method, path, run, body string, headers ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: fleet", standin.HeaderRun + ": " + run}, headers...)
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// executions returns how often a request ran, as recorded by the back ends.
func executions(t *testing.T, running *fleet.Fleet, run string) int {
	t.Helper()
	count := 0
	for _, node := range running.AllNodes() {
		records, err := standin.ReadRecords(node.Records)
		if err != nil {
			t.Fatalf("read records: %v", err)
		}
		for _, record := range records {
			if record.Kind == standin.RecordExecution && record.Run == run {
				count++
			}
		}
	}
	return count
}

// setKnobs sets the fault knobs of a pool's back ends and resets them when the test ends.
func setKnobs(t *testing.T, running *fleet.Fleet, pool string, knobs standin.Knobs) {
	t.Helper()
	knobs.ReportedLoad = -1
	for _, node := range running.AllNodes() {
		if node.Pool.Name == pool {
			if err := node.SetKnobs(knobs); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Cleanup(func() {
		for _, node := range running.AllNodes() {
			if node.Pool.Name == pool {
				if err := node.SetKnobs(standin.Knobs{ReportedLoad: -1}); err != nil {
					t.Error(err)
				}
			}
		}
	})
}
