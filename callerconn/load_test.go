package callerconn

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	loadSeed   = flag.Uint64("callerconn-seed", 1, "first seed of the load on a listener whose server shuts down")
	loadRounds = flag.Int("callerconn-rounds", 10, "how many seeds are run in each case, one after the other")
)

const (
	loadClients = 32
	maxLoadWait = 2 * time.Millisecond
	loadPoll    = 5 * time.Millisecond
)

// endLoad is a load of pipelined requests on a server that shuts down.
type endLoad struct {
	drain, closing bool
	mutex          sync.Mutex
	// ran counts the runs by id, counts the outcomes.
	ran    map[string]int
	counts map[string]int
	faults []string
}

// Guards against requests without an answer when the callers' server shuts down under load.
func TestShutdownUnderLoadAnswersWhatRan(t *testing.T) {
	for name, c := range map[string]struct {
		drain, closing bool
	}{
		"without drain":                  {},
		"drain":                          {drain: true},
		"drain, with answers that close": {drain: true, closing: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := &endLoad{drain: c.drain, closing: c.closing, ran: map[string]int{}, counts: map[string]int{}}
			for seed := *loadSeed; seed < *loadSeed+uint64(*loadRounds); seed++ {
				l.run(t, seed)
			}
			t.Log(l.counts)
			t.Run("that ran", func(t *testing.T) { l.report(t, "ran") })
			t.Run("that crossed the close", func(t *testing.T) { l.report(t, "crossed") })
		})
	}
}

func (l *endLoad) report(t *testing.T, kind string) {
	t.Helper()
	for _, fault := range l.faults {
		if strings.HasPrefix(fault, kind) {
			t.Error(fault)
		}
	}
}

func (l *endLoad) run(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var listener *Listener
	listener = New(inner, Options{MaxHeaderBytes: 4 << 10, Notice: []byte(testNotice), WriteTimeout: 5 * time.Second, Logger: discardLogger{}, MayRunAhead: func(header *fasthttp.RequestHeader) bool {
		return header.IsGet()
	}, Handler: func(request *fasthttp.RequestCtx) {
		id := string(request.Path())
		l.mutex.Lock()
		l.ran[id]++
		l.mutex.Unlock()
		time.Sleep(time.Duration(len(id)%3) * time.Millisecond / 2)
		request.Response.Header.Set("Id", id)
		if l.closing && listener.draining.Load() {
			request.SetConnectionClose()
		}
	}})
	server := &fasthttp.Server{
		Handler: listener.Handle, ConnState: listener.ConnState, ReadBufferSize: 4 << 10, ReadTimeout: 10 * time.Second,
		IdleTimeout: time.Minute, StreamRequestBody: true, Logger: discardLogger{},
	}
	go func() { _ = server.Serve(listener) }()
	var clients, begun sync.WaitGroup
	begun.Add(loadClients)
	for number := range loadClients {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
		own := rand.New(rand.NewPCG(seed, uint64(1+number)))
		clients.Go(func() { l.client(conn, own, fmt.Sprintf("/%d/%d", seed, number), begun.Done) })
	}
	begun.Wait() // all connections have been accepted
	time.Sleep(time.Duration(random.IntN(int(10 * time.Millisecond))))
	if l.drain {
		listener.Drain()
		for listener.Ahead() > 0 {
			time.Sleep(loadPoll)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		t.Error(err)
	}
	listener.Wait()
	clients.Wait()
}

// noticed records the notice for a request.
func (l *endLoad) noticed(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.counts["notices"]++
	if l.ran[id] > 0 {
		l.faults = append(l.faults, "ran, but got the notice: "+id)
	}
}

// client sends requests, 1 to 4 at once, until its connection ends.
func (l *endLoad) client(conn net.Conn, random *rand.Rand, prefix string, begun func()) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for turn := 0; ; turn++ {
		var ids []string
		var text strings.Builder
		for i := range 1 + random.IntN(4) {
			method := http.MethodGet
			if random.IntN(4) == 0 {
				method = http.MethodDelete
			}
			ids = append(ids, fmt.Sprintf("%s/%d/%d/%s", prefix, turn, i, method))
			fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: h\r\n\r\n", method, ids[i])
		}
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return // the connection was closed before the requests were sent
		}
		closed, failed := false, error(nil)
		for place, id := range ids {
			if closed || failed != nil {
				l.unanswered(id, place, closed, failed)
				continue
			}
			response, err := http.ReadResponse(reader, nil)
			if err == nil && response.StatusCode == http.StatusServiceUnavailable {
				l.noticed(id)
				closed = true
				continue
			}
			if err == nil && response.Header.Get("Id") != id {
				err = fmt.Errorf("status %d for another request", response.StatusCode)
			}
			if err != nil {
				failed = err
				l.unanswered(id, place, false, err)
				continue
			}
			l.mutex.Lock()
			l.counts["answered"]++
			l.mutex.Unlock()
			closed = response.Close
		}
		if turn == 0 {
			begun()
		}
		if closed || failed != nil {
			return
		}
		time.Sleep(time.Duration(random.IntN(int(maxLoadWait))))
	}
}

// unanswered records a request that was sent and got no answer. One behind an answer that closes the connection is known
// not to have run.
func (l *endLoad) unanswered(id string, place int, closed bool, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	kind := "crossed"
	switch {
	case l.ran[id] > 0:
		kind = "ran"
	case closed:
		l.counts["behind a closing answer, not run"]++
		return
	}
	method := id[strings.LastIndex(id, "/")+1:]
	l.counts[fmt.Sprintf("%s without an answer, place %d, behind a closing answer %t, %s", kind, place, closed, method)]++
	l.faults = append(l.faults, fmt.Sprintf("%s without an answer: %s, behind a closing answer %t: %v", kind, id, closed, err))
}
