package ingress

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"limehold/wire"
)

var (
	answerSeed  = flag.Uint64("answer-seed", 1, "first seed of TestAnswersOfAFaultyInstance")
	answerSeeds = flag.Int("answer-seeds", 4, "number of seeds of TestAnswersOfAFaultyInstance")
)

// answerKind is how a faulty instance answers a request.
type answerKind struct {
	// text returns the answer to a request with an ID and a body.
	text func(id, body string) string
	// whole is set if the caller has to get the body.
	whole bool
	// end is called behind the answer and ends the connection; nil if the connection stays open.
	end func(conn *net.TCPConn)
}

func formatOf(statusLine, fields, framed string) string {
	return statusLine + "\r\nX-Request-Id: %[1]s\r\n" + fields + framed
}

// answerKinds returns all kinds of answers. Their formats take the ID, the body, and its length.
func answerKinds() []answerKind {
	const ok, length, chunks, toTheEnd = "HTTP/1.1 200 OK", "Content-Length: %[3]d\r\n\r\n%[2]s", "Transfer-Encoding: chunked\r\n\r\n%[3]x;a=b\r\n%[2]s\r\n0\r\nX-Sum: 1\r\n\r\n", "\r\n%[2]s"
	closeConn := func(conn *net.TCPConn) { conn.Close() }
	endSide := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
	reset := func(conn *net.TCPConn) {
		_ = conn.SetLinger(0)
		conn.Close()
	}
	var kinds []answerKind
	add := func(format string, whole bool, end func(conn *net.TCPConn)) {
		kinds = append(kinds, answerKind{text: func(id, body string) string { return fmt.Sprintf(format, id, body, len(body)) }, whole: whole, end: end})
	}
	for _, framed := range []string{length, chunks} {
		add(formatOf(ok, "", framed), true, nil)
		add(formatOf(ok, "X-Empty:\r\nX-Folded: a\r\n\tb\r\n", framed), true, nil)
		add("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+formatOf("HTTP/1.1 200", "", framed), true, nil)
		add(formatOf("HTTP/1.1 000 OK", "", framed), false, nil)
		add(formatOf(ok, "X Other: 1\r\n", framed), false, nil)
		add(formatOf(ok, "X-Other : 1\r\n", framed), false, nil)
		add(formatOf(ok, "X-\x01Other: 1\r\n", framed), false, nil)
		add(formatOf(ok, "\nX-Other: 1\r\n", framed), false, nil)
		add("HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n"+formatOf(ok, "", framed), false, nil)
		add(formatOf(ok, "", strings.Replace(framed, "%[2]s", "%.3[2]s", 1)), false, closeConn)
	}
	add(formatOf(ok, "", toTheEnd), true, endSide)
	add(formatOf("HTTP/1.0 200 OK", "", toTheEnd), true, endSide)
	add(formatOf(ok, "Transfer Encoding: chunked\r\n", toTheEnd), false, endSide)
	add(formatOf("HTTP/1.0 200 OK", "", chunks), false, endSide)
	add(formatOf(ok, "", toTheEnd), false, reset)
	return kinds
}

// bodyOf returns the body of the answer to a request.
func bodyOf(id string, size int) string {
	return strings.Repeat(id+".", 1+size/(len(id)+1))
}

// Guards against answers of a faulty instance, on connections that are used again, that reach the caller although they are
// malformed or not whole, and against valid ones that do not.
func TestAnswersOfAFaultyInstance(t *testing.T) {
	const requests, atOnce = 300, 8
	for run := range *answerSeeds {
		seed := *answerSeed + uint64(run)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			kinds := answerKinds()
			random := rand.New(rand.NewPCG(seed, seed))
			answers, sizes := map[string]answerKind{}, map[string]int{}
			uploads := map[string][]byte{}
			var ids []string
			for number := range requests {
				id := fmt.Sprint("r-", number)
				ids = append(ids, id)
				answers[id], sizes[id] = kinds[random.IntN(len(kinds))], random.IntN(2*bufferLimit)
				if random.IntN(2) == 0 {
					uploads[id] = bytes.Repeat([]byte("u"), announcedBody+random.IntN(maxHeldBody/2))
				}
			}
			listener := serveKinds(t, func(id string) (answerKind, string) { return answers[id], bodyOf(id, sizes[id]) })
			i := startIngress(t, &fakeInstance{listener: listener})
			i.Instance().Announce(Announcement{ID: "i-1", Service: "orders", Slots: atOnce, Sequence: 2})
			var group errgroup.Group
			group.SetLimit(atOnce)
			for _, id := range ids {
				group.Go(func() error {
					checkAnswer(t, i, id, uploads[id], answers[id].whole, bodyOf(id, sizes[id]))
					return nil
				})
			}
			_ = group.Wait() // the functions return no errors
		})
	}
}

// serveKinds answers each request as answer says, and ends its connection if that belongs to the answer. An upload is read
// behind the answer.
func serveKinds(t *testing.T, answer func(id string) (answerKind, string)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	serve := func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("X-Request-Id")
			kind, body := answer(id)
			if _, err := io.WriteString(conn, kind.text(id, body)); err != nil {
				return
			}
			if kind.end != nil {
				kind.end(conn)
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener
}

// checkAnswer sends a request and checks that its caller gets the body if the answer is whole, and never anything else as an
// answer.
func checkAnswer(t *testing.T, i *Ingress, id string, upload []byte, whole bool, want string) {
	var response *http.Response
	var body []byte
	var err error
	if upload != nil {
		response, body, err = askWithBody(t, i, id, upload)
	} else {
		response, body, err = askOnce(i, id)
	}
	if err != nil {
		if whole {
			t.Errorf("%s: a whole answer did not reach the caller: %v", id, err)
		}
		return
	}
	isOK := response.Header.Get(wire.HeaderOutcome) == wire.OutcomeOK
	switch {
	case isOK && string(body) != want:
		t.Errorf("%s: %d bytes as a whole answer of %d", id, len(body), len(want))
	case isOK != whole:
		t.Errorf("%s: outcome %q, status %d, whole %v", id, response.Header.Get(wire.HeaderOutcome), response.StatusCode, whole)
	case !isOK && response.Header.Get(wire.HeaderOutcome) != wire.OutcomeUnknown:
		t.Errorf("%s: outcome %q of a request that ran", id, response.Header.Get(wire.HeaderOutcome))
	}
}

// askOnce sends a request without a body over a connection of its own, and returns its response.
func askOnce(i *Ingress, id string) (*http.Response, []byte, error) {
	conn, err := net.Dial("tcp", i.Address())
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /orders/1 HTTP/1.1\r\nHost: x\r\n%s: %s.1\r\n%s: orders\r\n%s: 20000\r\n%s: 10000\r\nX-Request-Id: %s\r\n\r\n",
		wire.HeaderAttempt, id, wire.HeaderService, wire.HeaderDeadline, wire.HeaderTarget, id)
	if err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}
