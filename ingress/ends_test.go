package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/fleet"
	"limehold/quarantine"
)

// mortal is an instance that runs requests until it is told to answer them, or ends.
type mortal struct {
	server  *http.Server
	address string
	running atomic.Int64
	most    atomic.Int64
	ran     atomic.Int64
	answers chan struct{}
	broken  chan struct{}
}

func startMortal(t *testing.T) *mortal {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &mortal{address: listener.Addr().String(), answers: make(chan struct{}), broken: make(chan struct{})}
	m.server = &http.Server{Handler: http.HandlerFunc(m.run)}
	t.Cleanup(func() { _ = m.server.Close() })
	go func() { _ = m.server.Serve(listener) }()
	return m
}

func (m *mortal) run(writer http.ResponseWriter, request *http.Request) {
	m.ran.Add(1)
	running := m.running.Add(1)
	defer m.running.Add(-1)
	for most := m.most.Load(); running > most && !m.most.CompareAndSwap(most, running); most = m.most.Load() {
	}
	select {
	case <-m.answers:
	case <-request.Context().Done():
		return
	case <-m.broken:
		if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
			conn.Close()
		}
		return
	}
	writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	_, _ = io.WriteString(writer, "answer")
}

// restart has another process listen where this one did.
func (m *mortal) restart() {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		panic(err)
	}
	m.server = &http.Server{Handler: http.HandlerFunc(m.run)}
	go func() { _ = m.server.Serve(listener) }()
}

// breakRuns breaks the connections of what runs, and goes on.
func (m *mortal) breakRuns() { close(m.broken) }

// awaitRunning waits until the instance runs so many requests.
func (m *mortal) awaitRunning(t *testing.T, count int64) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); m.running.Load() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d requests run, not %d", m.running.Load(), count)
		}
	}
}

// watched is an ingress before an instance, which finds out whether that has ended.
func watched(t *testing.T, address string) *Ingress {
	t.Helper()
	i := startIngress(t, &fakeInstance{listener: pretended(address)})
	go func() { _ = i.Instance().Run(t.Context()) }()
	return i
}

// pretended is a listener that others listen at.
type pretended string

// Accept implements net.Listener.
func (p pretended) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Close implements net.Listener.
func (p pretended) Close() error { return nil }

// Addr implements net.Listener.
func (p pretended) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", string(p))
	return address
}

// named is the identity of the requests for a path that an ingress gets.
func named(i *Ingress, path string) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Host: []byte(i.Address()), Target: []byte(path), Caller: [][]byte{nil, nil, nil}}
	identity, _ := request.Identity(nil)
	return identity
}

// told are the reports that wait for control.
func told(i *Ingress) []fleet.Report {
	reports, _ := i.board.Pending(1000)
	return reports
}

// An end is what ends the process: a connection that breaks is none while somebody listens, and
// an instance that has said that it would end is not held against what it ran.
func TestWhatCountsAsAnEnd(t *testing.T) {
	announce := func(i *Ingress, id string, sequence uint64, draining bool) {
		i.Instance().Announce(Announcement{ID: id, Service: "orders", Version: "v1", Slots: 8, Draining: draining, Sequence: sequence})
	}
	for name, c := range map[string]struct {
		happens  func(*Ingress, *mortal)
		suspects int
	}{
		"the process ends": {func(_ *Ingress, m *mortal) { _ = m.server.Close() }, 3},
		"it has lately run one of them well": {func(i *Ingress, m *mortal) {
			i.board.Survived(named(i, "/0"))
			_ = m.server.Close()
		}, 2},
		"it ends and is up again at once, as another start": {func(i *Ingress, m *mortal) {
			_ = m.server.Close()
			m.restart()
			announce(i, "i-2", 1, false)
		}, 3},
		"its connections break, and it goes on": {func(_ *Ingress, m *mortal) { m.breakRuns() }, 0},
		"it ends as it said": {func(i *Ingress, m *mortal) {
			announce(i, "i-1", 9, true)
			_ = m.server.Close()
		}, 0},
		"it took its leave": {func(i *Ingress, m *mortal) {
			i.Instance().Depart("i-1")
			_ = m.server.Close()
		}, 0},
		"it took its leave, and is up again as another start": {func(i *Ingress, m *mortal) {
			i.Instance().Depart("i-1")
			announce(i, "i-2", 1, false)
			_ = m.server.Close()
			m.restart()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := startMortal(t)
			i := watched(t, m.address)
			announce(i, "i-1", 2, false)
			var all sync.WaitGroup
			for n := range 3 {
				all.Go(func() { askPath(t, i, fmt.Sprint("/", n), nil) })
			}
			m.awaitRunning(t, 3)
			c.happens(i, m)
			all.Wait()
			if c.suspects == 0 {
				// As long as it takes to find an end, several times over.
				time.Sleep(10 * refusalsEnded * endEvery)
				is.Equal(len(told(i)), 0)
				return
			}
			runs := map[quarantine.Digest]bool{}
			for until := time.Now().Add(10 * time.Second); len(runs) < c.suspects && time.Now().Before(until); time.Sleep(time.Millisecond) {
				for _, report := range told(i) {
					is.Equal(report.Ended.Instance, "i-1")
					is.Equal(report.Ended.Service, "orders")
					is.Equal(report.Ended.Version, "v1")
					for _, run := range report.Ended.Runs {
						runs[run.Identity.Any] = true
					}
				}
			}
			is.Equal(len(runs), c.suspects)
		})
	}
}

// Only what broke with an instance's end is held against anything: not the runs of another
// start, and not what broke long before.
func TestEndTakesWhatBrokeWithIt(t *testing.T) {
	const ended = time.Minute
	for name, c := range map[string]struct {
		instance string
		before   time.Duration
		taken    int
	}{
		"at its end":           {"i-1", 0, 1},
		"shortly before":       {"i-1", endWindow, 1},
		"long before":          {"i-1", endWindow + time.Millisecond, 0},
		"under another start":  {"i-0", 0, 0},
		"of an unknown origin": {"", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			known := &ends{}
			known.broke(brokenRun{seen: view{id: c.instance}, at: ended - c.before})
			is.Equal(known.any("i-1", ended), c.taken > 0)
			taken, first := known.take("i-1", ended)
			is.Equal(len(taken), c.taken)
			is.True(first)
			taken, first = known.take("i-1", ended)
			is.Equal(len(taken), 0) // each is told once
			is.True(!first)
		})
	}
}
