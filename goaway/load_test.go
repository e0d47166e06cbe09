package goaway

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	loadSeed   = flag.Uint64("goaway-seed", 1, "first seed of the load on a server that shuts down")
	loadRounds = flag.Int("goaway-rounds", 6, "how many seeds are run in each case, one after the other")
)

// ending is how a server under load ends.
type ending struct {
	// deadline bounds the shutdown; 0: it waits for all requests.
	deadline time.Duration
	// burst bounds the requests that a client sends at once.
	burst int
	// slowReaders is set if some clients read large responses slowly.
	slowReaders bool
	// idleTimeout is the server's.
	idleTimeout time.Duration
}

// Guards against requests that end without an answer or the notice, and against notices for requests that ran.
func TestEndsUnderLoad(t *testing.T) {
	for name, c := range map[string]ending{
		"shutdown":          {burst: 1, idleTimeout: time.Minute},
		"slow readers":      {burst: 1, idleTimeout: time.Minute, slowReaders: true},
		"bursts":            {burst: 4, idleTimeout: time.Minute},
		"short idle time":   {burst: 1, idleTimeout: 2 * time.Millisecond},
		"deadline of 30 ms": {burst: 1, idleTimeout: time.Minute, deadline: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			total := map[string]int{}
			for seed := *loadSeed; seed < *loadSeed+uint64(*loadRounds); seed++ {
				l := &endLoad{ending: c, counts: map[string]int{}, ran: map[string]runState{}, states: map[string][]string{}, stopped: make(chan struct{})}
				l.run(t, seed)
				for outcome, count := range l.counts {
					total[outcome] += count
				}
				for _, fault := range l.faults {
					t.Errorf("seed %d: %s", seed, fault)
				}
				if t.Failed() && len(l.faults) > 0 {
					t.Logf("seed %d: %v", seed, l.counts)
				}
			}
			t.Log(total)
		})
	}
}

// runState is how far a request has come at the server.
type runState int

const (
	notRun runState = iota
	runs
	ran
)

// endLoad is a server under load that ends.
type endLoad struct {
	ending
	address string
	begun   time.Time
	stopped chan struct{}
	clients sync.WaitGroup

	mutex  sync.Mutex
	counts map[string]int
	ran    map[string]runState
	// states holds the states that the server has reported, by the client's address.
	states map[string][]string
	faults []string
	// exited is set once the process has ended, which leaves the states of its requests as they are.
	exited bool
}

const (
	loadClients = 32
	// maxLoadBody is the size in bytes of the largest request and response bodies.
	maxLoadBody = 512 << 10
	maxLoadWait = 2 * time.Millisecond
	// rareFactor is by how much some waits are longer than that.
	rareFactor = 50
)

func (l *endLoad) run(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.address, l.begun = inner.Addr().String(), time.Now()
	recorded := &recorder{Listener: inner}
	listener := New(recorded, []byte(testNotice))
	server := &fasthttp.Server{
		Handler: l.handle, ReadTimeout: 15 * time.Second, WriteTimeout: 15 * time.Second, IdleTimeout: l.idleTimeout,
		MaxRequestBodySize: 64 << 10, StreamRequestBody: true, CloseOnShutdown: random.IntN(4) > 0,
		ConnState: func(changed net.Conn, state fasthttp.ConnState) {
			l.record(changed.RemoteAddr().String(), state.String())
			listener.ConnState(changed, state)
		},
	}
	go func() { _ = server.Serve(listener) }()
	for number := range loadClients {
		number, own := number, rand.New(rand.NewPCG(seed, uint64(1+number)))
		l.clients.Go(func() { l.client(number, own) })
	}
	time.Sleep(time.Duration(10+random.IntN(50)) * time.Millisecond)
	ctx, cancel := context.Background(), context.CancelFunc(func() {})
	if l.deadline > 0 {
		ctx, cancel = context.WithTimeout(ctx, l.deadline)
	}
	defer cancel()
	close(l.stopped)
	if err := server.ShutdownWithContext(ctx); err != nil && l.deadline == 0 {
		t.Error(err)
	}
	listener.Wait()
	open := recorded.open()
	l.mutex.Lock()
	l.exited = true
	if l.deadline == 0 && open > 0 {
		l.faults = append(l.faults, fmt.Sprintf("%d connections are open after Wait", open))
	}
	l.mutex.Unlock()
	recorded.exit()
	l.clients.Wait()
}

func (l *endLoad) record(address, event string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.states[address] = append(l.states[address], fmt.Sprintf("%s %v", event, time.Since(l.begun)))
}

// handle runs a request: its headers name the time that it takes, the size of the response, and whether the body is read.
func (l *endLoad) handle(request *fasthttp.RequestCtx) {
	id := string(request.Request.Header.Peek("Id"))
	l.mutex.Lock()
	if !l.exited {
		l.ran[id] = runs
	}
	l.mutex.Unlock()
	if request.Request.IsBodyStream() && len(request.Request.Header.Peek("Unread")) == 0 {
		_, _ = io.Copy(io.Discard, request.RequestBodyStream())
	}
	takes, _ := strconv.Atoi(string(request.Request.Header.Peek("Takes")))
	time.Sleep(time.Duration(takes))
	size, _ := strconv.Atoi(string(request.Request.Header.Peek("Size")))
	request.Response.Header.Set("Id", id)
	request.SetBodyString(strings.Repeat("x", size))
	l.mutex.Lock()
	if !l.exited {
		l.ran[id] = ran
	}
	l.mutex.Unlock()
}

// loadRequest is a request that a client sends.
type loadRequest struct {
	id, text string
	size     int
}

func (l *endLoad) request(random *rand.Rand, id string) loadRequest {
	body, size, unread := 0, random.IntN(1000), ""
	switch random.IntN(8) {
	case 0:
		body = random.IntN(maxLoadBody)
	case 1:
		body, unread = random.IntN(64<<10), "Unread: 1\r\n"
	case 2:
		size = random.IntN(maxLoadBody)
	}
	takes := random.IntN(int(maxLoadWait))
	if random.IntN(20) == 0 {
		takes *= rareFactor
	}
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nId: %s\r\nTakes: %d\r\nSize: %d\r\n%sContent-Length: %d\r\n\r\n", id, takes, size, unread, body)
	return loadRequest{id, head + strings.Repeat("y", body), size}
}

// client sends requests until the server no longer accepts connections.
func (l *endLoad) client(number int, random *rand.Rand) {
	for connection := 0; ; connection++ {
		conn, err := net.Dial("tcp", l.address)
		if err != nil {
			return
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		l.use(conn, random, fmt.Sprintf("%d.%d", number, connection))
		conn.Close()
	}
}

// use sends requests on a connection until it ends, or for some of them.
func (l *endLoad) use(conn net.Conn, random *rand.Rand, id string) {
	reader, local := bufio.NewReader(conn), conn.LocalAddr().String()
	slow := l.slowReaders && random.IntN(4) == 0
	for sent := range 1 + random.IntN(100) {
		var burst []loadRequest
		for i := range 1 + random.IntN(l.burst) {
			burst = append(burst, l.request(random, fmt.Sprintf("%s.%d.%d", id, sent, i)))
		}
		var text strings.Builder
		for _, request := range burst {
			text.WriteString(request.text)
		}
		whole := text.String()
		cut := len(whole)
		if random.IntN(4) == 0 {
			cut = random.IntN(len(whole))
		}
		pause := time.Duration(random.IntN(int(maxLoadWait)))
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(conn, whole[:cut])
			if err == nil && cut < len(whole) {
				time.Sleep(pause)
				_, err = io.WriteString(conn, whole[cut:])
			}
			written <- err
		}()
		for i, request := range burst {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				err = readSlowly(response.Body, slow)
			}
			if err != nil {
				l.count(local, request.id, i, "nothing", fmt.Sprintf("%v, sending: %v", err, <-written))
				return
			}
			outcome := "other status " + strconv.Itoa(response.StatusCode)
			switch {
			case response.Header.Get("X-Closed") != "":
				outcome = "notice"
			case response.Header.Get("Id") == request.id:
				outcome = "answered"
			}
			l.count(local, request.id, i, outcome, "")
			if response.Close {
				for _, behind := range burst[i+1:] {
					l.count(local, behind.id, i, "behind a close", "")
				}
				return
			}
		}
		if err := <-written; err != nil {
			return
		}
		wait := random.IntN(int(maxLoadWait))
		if random.IntN(20) == 0 {
			wait *= rareFactor
		}
		time.Sleep(time.Duration(wait))
	}
}

// readSlowly reads a body, in parts with pauses if slow is set.
func readSlowly(body io.Reader, slow bool) error {
	if !slow {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	for {
		if _, err := io.CopyN(io.Discard, body, 32<<10); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// count records the outcome of a request and whether it is a fault.
func (l *endLoad) count(local, id string, place int, outcome, detail string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state, states := l.ran[id], l.states[local]
	unsent := strings.Contains(detail, "sending: write")
	cutByDeadline := l.deadline > 0 && state == runs
	switch {
	case outcome == "nothing" && len(states) == 0:
		outcome = "nothing, in the listener's queue" // known: docs/incidents/2026-12-03-requests-that-cross-a-close.md
	case outcome == "nothing" && state == notRun && unsent:
		outcome = "nothing, not sent in full"
	case outcome == "nothing" && cutByDeadline:
		outcome = "nothing, cut by the deadline"
	case outcome == "nothing", outcome != "answered" && state != notRun, strings.HasPrefix(outcome, "other"):
		outcome = fmt.Sprintf("%s, run state %d", outcome, state)
		l.faults = append(l.faults, fmt.Sprintf("request %s, place %d: %s: %s; at %v, connection %v", id, place, outcome, detail, time.Since(l.begun), lastStates(states)))
	}
	l.counts[outcome]++
}

// lastStates returns the newest states of a connection.
func lastStates(states []string) []string { return states[max(0, len(states)-4):] }
