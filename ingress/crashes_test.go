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

// crashingInstance is an instance that runs requests until they are answered or it ends.
type crashingInstance struct {
	server  *http.Server
	address string
	running atomic.Int64
	most    atomic.Int64
	ran     atomic.Int64
	answers chan struct{}
	broken  chan struct{}
}

func startCrashingInstance(t *testing.T) *crashingInstance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &crashingInstance{address: listener.Addr().String(), answers: make(chan struct{}), broken: make(chan struct{})}
	m.server = &http.Server{Handler: http.HandlerFunc(m.run)}
	t.Cleanup(func() { _ = m.server.Close() })
	go func() { _ = m.server.Serve(listener) }()
	return m
}

func (m *crashingInstance) run(writer http.ResponseWriter, request *http.Request) {
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

// restart makes another process listen at the same address.
func (m *crashingInstance) restart() {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		panic(err)
	}
	m.server = &http.Server{Handler: http.HandlerFunc(m.run)}
	go func() { _ = m.server.Serve(listener) }()
}

// breakRuns closes the connections of the running requests and keeps listening.
func (m *crashingInstance) breakRuns() { close(m.broken) }

// awaitRunning waits until the instance runs count requests.
func (m *crashingInstance) awaitRunning(t *testing.T, count int64) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); m.running.Load() < count; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d requests run, not %d", m.running.Load(), count)
		}
	}
}

// startMonitored returns an ingress that monitors the instance at an address.
func startMonitored(t *testing.T, address string) *Ingress {
	t.Helper()
	i := startIngress(t, &fakeInstance{listener: addressOnly(address)})
	go func() { _ = i.Instance().Run(t.Context()) }()
	return i
}

// addressOnly is a listener for an address at which another listener accepts.
type addressOnly string

// Accept implements net.Listener.
func (p addressOnly) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Close implements net.Listener.
func (p addressOnly) Close() error { return nil }

// Addr implements net.Listener.
func (p addressOnly) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp", string(p))
	return address
}

// identityOf returns the identity of the requests for a path.
func identityOf(i *Ingress, path string) quarantine.Identity {
	request := quarantine.Request{Method: []byte("GET"), Host: []byte(i.Address()), Target: []byte(path), Caller: [][]byte{nil, nil, nil}}
	identity, _ := request.Identity(nil)
	return identity
}

// pendingReports returns the reports that are queued for control.
func pendingReports(i *Ingress) []fleet.Report {
	reports, _ := i.crashReports.Pending(1000)
	return reports
}

// Only the end of the process is a crash: broken connections to an instance that still listens are
// not, and a planned stop makes no suspects.
func TestWhatCountsAsAnEnd(t *testing.T) {
	announce := func(i *Ingress, id string, sequence uint64, draining bool) {
		i.Instance().Announce(Announcement{ID: id, Service: "orders", Version: "v1", Slots: 8, Draining: draining, Sequence: sequence})
	}
	for name, c := range map[string]struct {
		event    func(*Ingress, *crashingInstance)
		suspects int
	}{
		"the process ends": {func(_ *Ingress, m *crashingInstance) { _ = m.server.Close() }, 3},
		"it has lately run one of them well": {func(i *Ingress, m *crashingInstance) {
			i.crashReports.RecordSuccess(identityOf(i, "/0"))
			_ = m.server.Close()
		}, 2},
		"it ends and is up again at once, as another start": {func(i *Ingress, m *crashingInstance) {
			_ = m.server.Close()
			m.restart()
			announce(i, "i-2", 1, false)
		}, 3},
		"its connections break, and it goes on": {func(_ *Ingress, m *crashingInstance) { m.breakRuns() }, 0},
		"it ends as it said": {func(i *Ingress, m *crashingInstance) {
			announce(i, "i-1", 9, true)
			_ = m.server.Close()
		}, 0},
		"it took its leave": {func(i *Ingress, m *crashingInstance) {
			i.Instance().Depart("i-1")
			_ = m.server.Close()
		}, 0},
		"it took its leave, and is up again as another start": {func(i *Ingress, m *crashingInstance) {
			i.Instance().Depart("i-1")
			announce(i, "i-2", 1, false)
			_ = m.server.Close()
			m.restart()
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := startCrashingInstance(t)
			i := startMonitored(t, m.address)
			announce(i, "i-1", 2, false)
			var all sync.WaitGroup
			for n := range 3 {
				all.Go(func() { askPath(t, i, fmt.Sprint("/", n), nil) })
			}
			m.awaitRunning(t, 3)
			c.event(i, m)
			all.Wait()
			if c.suspects == 0 {
				// Several times as long as the detection of a crash takes.
				time.Sleep(10 * crashRefusals * crashCheckInterval)
				is.Equal(len(pendingReports(i)), 0)
				return
			}
			runs := map[quarantine.Digest]bool{}
			for until := time.Now().Add(10 * time.Second); len(runs) < c.suspects && time.Now().Before(until); time.Sleep(time.Millisecond) {
				for _, report := range pendingReports(i) {
					is.Equal(report.Crash.Instance, "i-1")
					is.Equal(report.Crash.Service, "orders")
					is.Equal(report.Crash.Version, "v1")
					for _, run := range report.Crash.Runs {
						runs[run.Identity.Any] = true
					}
				}
			}
			is.Equal(len(runs), c.suspects)
		})
	}
}

// Only requests whose connections broke at the crash become suspects: not those of another
// incarnation, and not those that broke long before.
func TestEndTakesWhatBrokeWithIt(t *testing.T) {
	const ended = time.Minute
	for name, c := range map[string]struct {
		instance string
		before   time.Duration
		taken    int
	}{
		"at its end":           {"i-1", 0, 1},
		"shortly before":       {"i-1", crashWindow, 1},
		"long before":          {"i-1", crashWindow + time.Millisecond, 0},
		"under another start":  {"i-0", 0, 0},
		"of an unknown origin": {"", 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			known := &crashRecord{}
			known.add(brokenRequest{instance: instanceState{id: c.instance}, brokeAt: ended - c.before})
			is.Equal(known.hasBroken("i-1", ended), c.taken > 0)
			taken, first := known.takeBroken("i-1", ended)
			is.Equal(len(taken), c.taken)
			is.True(first)
			taken, first = known.takeBroken("i-1", ended)
			is.Equal(len(taken), 0) // each is reported once
			is.True(!first)
		})
	}
}
