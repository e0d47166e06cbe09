package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"limehold/bench/fleet"
	"limehold/bench/standin"
	"limehold/wire"
)

const callLimit = 10 * time.Second

// reply is an answer as a caller reads it.
type reply struct {
	*http.Response
	body []byte
	// cut is the error that broke the body off; nil when it came whole.
	cut error
}

func (r *reply) outcome() string { return r.Header.Get(wire.HeaderOutcome) }
func (r *reply) reason() string  { return r.Header.Get(wire.HeaderReason) }

// raw sends bytes to a router and reads one answer. The standard library's
// reader is used, so that the answers are judged by another implementation.
func raw(t *testing.T, address, request string) *reply {
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
	_ = conn.SetDeadline(time.Now().Add(callLimit))
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatalf("send: %v", err)
	}
	method, _, _ := strings.Cut(request, " ")
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	body, cut := io.ReadAll(response.Body)
	return &reply{Response: response, body: body, cut: cut}
}

var runNumber int

// nextRun names a request, so that its executions can be counted.
func nextRun() string {
	runNumber++
	return fmt.Sprintf("test-%d-%d", time.Now().UnixNano(), runNumber)
}

func get(path, run string, headers ...string) string {
	return request("GET", path, run, "", headers...)
}

func request(method, path, run, body string, headers ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: fleet", standin.HeaderRun + ": " + run}, headers...)
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// executions counts, in the back ends' own records, how often a request ran.
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

// misbehave turns the knobs of a pool's back ends until the test ends.
func misbehave(t *testing.T, running *fleet.Fleet, pool string, knobs standin.Knobs) {
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
