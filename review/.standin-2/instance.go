package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that an instance has begun to work on.
type run struct {
	at                          time.Time
	instance                    string
	id, method, target, service string
	bodyBytes                   int
	bodySum                     string
	key, fence                  int64
}

// instance is a sound instance, as PROTOCOL.md describes one.
type instance struct {
	service, id string
	side        *machine
	sharded     bool
	server      *http.Server
	// work returns how long a request takes; respond replaces the answer. Both may be nil.
	work    func(r *http.Request) time.Duration
	respond func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mutex    sync.Mutex
	runs     []run
	sequence int
	seen     []uint64
	fence    []uint64
	until    []time.Time
	// leaseEnd is when the newest grant of a key ends, also if the key has been released since.
	leaseEnd []time.Time
	granted  []time.Time
	// onGrant is called, in a goroutine of its own, with each grant that is applied and renews none; it may be nil.
	onGrant  func(from, to int, fence uint64)
	active   int
	busy     map[int]int
	quit     chan struct{}
	draining bool
}

const (
	numberSpace = 65536
	callTimeout = 6 * time.Second
)

// startInstance starts an instance beside a sidecar.
func startInstance(side *machine, id string, sharded bool) *instance {
	i := &instance{service: side.service, id: id, side: side, sharded: sharded, quit: make(chan struct{}), busy: map[int]int{},
		seen: make([]uint64, numberSpace), fence: make([]uint64, numberSpace), until: make([]time.Time, numberSpace), leaseEnd: make([]time.Time, numberSpace), granted: make([]time.Time, numberSpace)}
	listener, err := net.Listen("tcp", side.appAddr)
	if err != nil {
		cannotRun("instance %s: %v", id, err)
	}
	i.server = &http.Server{Handler: i}
	go func() { _ = i.server.Serve(listener) }()
	go i.beat()
	return i
}

// stop ends the instance like a crash: its connections close.
func (i *instance) stop() {
	close(i.quit)
	_ = i.server.Close()
}

func (i *instance) beat() {
	for {
		_, _ = i.sendBeat()
		select {
		case <-i.quit:
			return
		case <-time.After(1300 * time.Millisecond):
		}
	}
}

// sendBeat sends one heartbeat.
func (i *instance) sendBeat() (int, error) {
	i.mutex.Lock()
	i.sequence++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"service": i.service, "address": i.side.appAddr, "zone": i.side.zone, "version": "v1", "slots": 18,
		"state": state, "cold_remaining_s": 0, "sequence": i.sequence})
	i.mutex.Unlock()
	status, _, _, err := call("PUT", "http://"+i.side.ports["control"]+"/limehold/instances/"+i.id, map[string]string{"Content-Type": "application/json"}, body)
	return status, err
}

// ServeHTTP implements http.Handler.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Limehold-Instance-Id", i.id)
		w.WriteHeader(http.StatusOK)
		return
	case "/limehold/grant", "/limehold/release":
		i.keys(w, r)
		return
	}
	id := r.Header.Get("Limehold-Request-Id")
	w.Header().Set("Limehold-Request-Id", id)
	refuse := func(status int) {
		w.Header().Set("Limehold-Not-Executed", "1")
		w.WriteHeader(status)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a request whose body is not whole is not run
	}
	if target := r.Header.Get("Limehold-Target-Instance"); target != "" && target != i.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	started := run{at: time.Now(), instance: i.id, id: id, method: r.Method, target: r.RequestURI, service: r.Header.Get("Limehold-Caller-Service"),
		bodyBytes: len(body), bodySum: sum(body), key: -1}
	if i.sharded {
		key, err := strconv.Atoi(r.Header.Get("Limehold-Shard-Key"))
		i.mutex.Lock()
		held := err == nil && key >= 0 && key < numberSpace && time.Now().Before(i.until[key])
		if held {
			started.key, started.fence = int64(key), int64(i.fence[key])
			i.busy[key]++
		}
		i.mutex.Unlock()
		if !held {
			refuse(http.StatusMisdirectedRequest)
			return
		}
		defer func() {
			i.mutex.Lock()
			i.busy[key]--
			i.mutex.Unlock()
		}()
	}
	i.mutex.Lock()
	i.runs = append(i.runs, started)
	i.mutex.Unlock()
	record("ran", "instance=%s id=%s %s %s body=%d", i.id, id, r.Method, r.RequestURI, len(body))
	if i.work != nil {
		select {
		case <-time.After(i.work(r)):
		case <-r.Context().Done():
			return
		}
	}
	if i.respond != nil && i.respond(w, r, body) {
		return
	}
	w.Header().Set("Limehold-Server-Seal", i.id+"."+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// keys handles a grant or a release.
func (i *instance) keys(w http.ResponseWriter, r *http.Request) {
	var command struct {
		From     int     `json:"from"`
		To       int     `json:"target_version"`
		Fence    uint64  `json:"fence"`
		Hold     float64 `json:"hold_s"`
		Handover string  `json:"handover"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &command) != nil || command.From < 0 || command.To >= numberSpace || command.From > command.To {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if strings.HasSuffix(r.URL.Path, "grant") {
		for key := command.From; key <= command.To; key++ {
			if i.seen[key] > command.Fence {
				w.WriteHeader(http.StatusConflict)
				return
			}
		}
		// A grant under the fence that the instance has for the keys renews them.
		renews := i.fence[command.From] == command.Fence && i.fence[command.To] == command.Fence
		for key := command.From; key <= command.To; key++ {
			i.seen[key], i.fence[key], i.until[key] = command.Fence, command.Fence, now.Add(time.Duration(command.Hold*float64(time.Second)))
			i.leaseEnd[key], i.granted[key] = i.until[key], now
		}
		if i.onGrant != nil && !renews {
			go i.onGrant(command.From, command.To, command.Fence)
		}
		record("granted", "instance=%s %d-%d fence=%d hold=%.2f", i.id, command.From, command.To, command.Fence, command.Hold)
		return
	}
	for key := command.From; key <= command.To; key++ {
		i.seen[key] = max(i.seen[key], command.Fence)
		i.until[key] = time.Time{}
	}
	for i.busyIn(command.From, command.To) {
		i.mutex.Unlock()
		time.Sleep(2 * time.Millisecond)
		i.mutex.Lock()
	}
	record("released", "instance=%s %d-%d fence=%d", i.id, command.From, command.To, command.Fence)
	w.Header().Set("Limehold-Handover", fmt.Sprintf("h%x", now.UnixNano()))
}

func (i *instance) busyIn(from, to int) bool {
	for key, count := range i.busy {
		if count > 0 && key >= from && key <= to {
			return true
		}
	}
	return false
}

// allRuns returns what has been run so far.
func (i *instance) allRuns() []run {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return append([]run(nil), i.runs...)
}

func sum(body []byte) string {
	digest := sha256.Sum256(body)
	return hex.EncodeToString(digest[:6])
}

// call makes one HTTP call with a timeout, on a connection of its own.
func call(method, url string, header map[string]string, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, text := range header {
		if name == "Host" {
			request.Host = text
			continue
		}
		request.Header.Set(name, text)
	}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, answer, err
}
