package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// copyingInstance answers the first sending of the request "again" with a first answer, and sends a copy of that on the
// same connection as soon as the request arrives for the second time. It runs the second sending, wherever that arrives.
type copyingInstance struct {
	firstAnswer string

	mutex       sync.Mutex
	firstConn   net.Conn
	connections int
	ran         int
}

// copyLead is how long before the answer to the second sending the copy is sent.
const copyLead = 20 * time.Millisecond

func (c *copyingInstance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		if id != "again" {
			_, _ = io.WriteString(conn, okResponse(id))
			continue
		}
		c.mutex.Lock()
		first := c.firstConn
		if first == nil {
			c.firstConn = conn
			c.mutex.Unlock()
			_, _ = io.WriteString(conn, c.firstAnswer)
			continue
		}
		c.ran++
		c.mutex.Unlock()
		_, _ = io.WriteString(first, c.firstAnswer)
		time.Sleep(copyLead)
		_, _ = io.WriteString(conn, okResponse(id))
	}
}

// startCopyingInstance returns a fakeInstance that only listens, and serves its connections as a copyingInstance.
func startCopyingInstance(t *testing.T, firstAnswer string) (*copyingInstance, *fakeInstance) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	instance := &copyingInstance{firstAnswer: firstAnswer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			instance.mutex.Lock()
			instance.connections++
			instance.mutex.Unlock()
			go instance.serve(conn)
		}
	}()
	return instance, &fakeInstance{listener: listener}
}

// Guards against a surplus copy of the answer to a request that is taken for the answer to a later sending of the same
// request: the instance runs a request of which the ingress says that it has not run.
func TestSurplusCopyIsNotTakenForTheAnswerToALaterSending(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: again\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	failure := "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: again\r\nContent-Length: 6\r\n\r\nfailed"
	for name, c := range map[string]struct {
		firstAnswer string
		// between are the requests that the connection carries between the two sendings.
		between []string
	}{
		"of a refusal":                          {refusal, nil},
		"of a failure":                          {failure, nil},
		"of a refusal, other requests between":  {refusal, []string{"b-1", "b-2", "b-3"}},
		"of a refusal, many more between":       {refusal, manyIDs(300)},
		"of a success that its router has lost": {okResponse("again"), nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			instance, listening := startCopyingInstance(t, c.firstAnswer)
			i := startIngress(t, listening)
			send := func(id string) *http.Response {
				return ask(t, i, func(h http.Header) { h.Set("X-Request-Id", id) })
			}
			send("again")
			for _, id := range c.between {
				is.Equal(send(id).StatusCode, http.StatusOK)
			}
			second := send("again")
			is.Equal(second.StatusCode, http.StatusOK)
			is.Equal(second.Header.Get(wire.HeaderOutcome), wire.OutcomeOK)
			instance.mutex.Lock()
			defer instance.mutex.Unlock()
			is.Equal(instance.ran, 1)
			is.Equal(instance.connections, 2) // only the second sending needs a connection of its own
		})
	}
}

func manyIDs(count int) []string {
	var ids []string
	for n := range count {
		ids = append(ids, fmt.Sprintf("m-%d", n))
	}
	return ids
}
