package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	keySpace = 1 << 16
	// answerLimit and answerTime bound the answer to a beat.
	answerLimit = 4096
	answerTime  = time.Second
	// againAfter is when an instance beats again while it lets keys go.
	againAfter = 100 * time.Millisecond
)

// instance is the application beside a sidecar. It holds keys as PROTOCOL.md says for the sites whose instances are
// given keys in the answers to their beats, and it judges by itself what it may run.
type instance struct {
	machine *machine
	record  *record
	keyed   bool
	slots   int
	work    time.Duration

	mutex    sync.Mutex
	id       string
	up       bool
	draining bool
	silent   bool // it has said that it is gone, and beats no more
	sequence uint64
	fences   [keySpace]uint64
	until    [keySpace]time.Time
	highest  [keySpace]uint64
	released [][3]any
	again    bool
	runs     []run
	server   *http.Server
	end      context.CancelFunc
	// onBeat may take a beat in place of the network; it reports whether it did.
	onBeat func(id string, sequence uint64, body []byte) bool
	// onRun is told of each request that is run; nil: none is told.
	onRun func(r run)
}

// run is one request that an instance has run.
type run struct {
	request, instance, path, caller string
	key                             int
	fence                           uint64
	at                              time.Time
}

func newInstance(m *machine, keyed bool, r *record) *instance {
	return &instance{machine: m, record: r, keyed: keyed, slots: 6, work: 20 * time.Millisecond}
}

// start starts a new incarnation, with a new id, at the instance's address.
func (i *instance) start() error {
	listener, err := net.Listen("tcp", i.machine.at(i.machine.d.ports.app))
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	i.mutex.Lock()
	i.id, i.up, i.draining, i.silent, i.sequence, i.released = fmt.Sprintf("i-%08x", rand.Uint32()), true, false, false, 0, nil
	i.fences, i.until, i.highest = [keySpace]uint64{}, [keySpace]time.Time{}, [keySpace]uint64{}
	id := i.id
	i.server, i.end = &http.Server{Handler: i.handler(id)}, end
	server := i.server
	i.mutex.Unlock()
	i.record.note("instance %s (%s) starts at %s", id, i.machine.service, listener.Addr())
	go func() { _ = server.Serve(listener) }()
	go i.beat(ctx, id)
	return nil
}

// crash ends the incarnation with everything that it runs and holds.
func (i *instance) crash() string {
	i.mutex.Lock()
	id, server, end := i.id, i.server, i.end
	i.up = false
	i.mutex.Unlock()
	if server == nil {
		return id
	}
	end()
	_ = server.Close()
	i.record.note("instance %s ends", id)
	return id
}

// isUp reports whether an incarnation is running. The mutex is held.
func (i *instance) isUp(id string) bool { return i.up && i.id == id }

// beat sends the heartbeats of one incarnation.
func (i *instance) beat(ctx context.Context, id string) {
	for ctx.Err() == nil {
		again := i.beatOnce(id)
		wait := i.machine.d.site.heartbeat
		if again {
			wait = againAfter
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// beatOnce sends one heartbeat, and reports whether the next one is due soon.
func (i *instance) beatOnce(id string) bool {
	i.mutex.Lock()
	if !i.isUp(id) || i.silent {
		i.mutex.Unlock()
		return false
	}
	sent := time.Now()
	body, told := i.nextBeat(sent)
	sequence, taken := i.sequence, i.onBeat
	i.mutex.Unlock()
	if taken != nil && taken(id, sequence, body) {
		return false
	}
	status, answer, err := i.machine.put(id, body)
	if err != nil || status/100 != 2 || time.Since(sent) > answerTime || len(answer) > answerLimit {
		return false
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.isUp(id) {
		return false
	}
	i.released = i.released[told:]
	return i.keyed && i.take(id, sequence, sent, answer)
}

// put sends a heartbeat to the control address of the machine.
func (m *machine) put(id string, body []byte) (int, []byte, error) {
	header := map[string]string{"Content-Type": "application/json"}
	status, _, answer, err := call(http.MethodPut, "http://"+m.at(m.d.ports.control)+"/limehold/instances/"+id, header, body, answerTime)
	return status, answer, err
}

// nextBeat returns the body of the next heartbeat, and how many rows of what was let go it contains. The mutex is held.
func (i *instance) nextBeat(now time.Time) (body []byte, told int) {
	i.sequence++
	state := "ready"
	if i.draining {
		state = "draining"
	}
	fields := map[string]any{
		"service": i.machine.service, "address": i.machine.at(i.machine.d.ports.app), "zone": i.machine.zone, "version": "v1",
		"slots": i.slots, "state": state, "cold_remaining_s": 0, "sequence": i.sequence,
	}
	if i.keyed {
		holds := [][3]any{}
		for _, r := range i.rows(now) {
			holds = append(holds, [3]any{r.from, r.to, r.fence})
		}
		fields["holds"] = holds
		if len(i.released) > 0 {
			fields["released"] = i.released
		}
	}
	body, _ = json.Marshal(fields)
	return body, len(i.released)
}

// keyRow is a range of keys under one fence.
type keyRow struct {
	from, to int
	fence    uint64
}

// rows returns what the instance holds. The mutex is held.
func (i *instance) rows(now time.Time) []keyRow {
	var rows []keyRow
	for key := range keySpace {
		if !i.until[key].After(now) {
			continue
		}
		if last := len(rows) - 1; last >= 0 && rows[last].to == key-1 && rows[last].fence == i.fences[key] {
			rows[last].to = key
			continue
		}
		rows = append(rows, keyRow{key, key, i.fences[key]})
	}
	return rows
}

// take does what the answer to a heartbeat says of keys. It reports whether the next heartbeat is due soon. The mutex
// is held.
func (i *instance) take(id string, sequence uint64, sent time.Time, text []byte) bool {
	var answer struct {
		Holds *[][4]json.RawMessage `json:"holds"`
		Hold  float64               `json:"hold_s"`
	}
	if json.Unmarshal(text, &answer) != nil || answer.Holds == nil {
		return false
	}
	now, until := time.Now(), sent.Add(time.Duration(answer.Hold*float64(time.Second)))
	before := i.rows(now)
	var listed [keySpace]bool
	taken := 0
	for _, row := range *answer.Holds {
		var from, to int
		var fence uint64
		if json.Unmarshal(row[0], &from) != nil || json.Unmarshal(row[1], &to) != nil || json.Unmarshal(row[2], &fence) != nil || from < 0 || to >= keySpace {
			continue
		}
		refused := false
		for key := from; key <= to; key++ {
			listed[key] = true
			refused = refused || i.highest[key] > fence
		}
		if refused {
			continue
		}
		for key := from; key <= to; key++ {
			i.fences[key], i.until[key], i.highest[key] = fence, until, fence
			taken++
		}
	}
	let := 0
	for _, row := range before {
		for from := row.from; from <= row.to; {
			if listed[from] {
				from++
				continue
			}
			to := from
			for to < row.to && !listed[to+1] {
				to++
			}
			for key := from; key <= to; key++ {
				i.until[key] = time.Time{}
			}
			i.released = append(i.released, [3]any{from, to, fmt.Sprintf("%016x", rand.Uint64())})
			let += to - from + 1
			from = to + 1
		}
	}
	if after := i.rows(now); let > 0 || len(after) != len(before) || i.sequence < 4 {
		i.record.note("instance %s beat %d: holds %d keys in %d rows until +%.2f s, let go %d", id, sequence, taken, len(after), time.Until(until).Seconds(), let)
	}
	return let > 0
}

// heldFence returns the fence under which the running incarnation holds a key now; 0 if it doesn't.
func (i *instance) heldFence(key int, now time.Time) (id string, fence uint64) {
	if !i.up || !i.until[key].After(now) {
		return i.id, 0
	}
	return i.id, i.fences[key]
}

// handler handles the requests of one incarnation.
func (i *instance) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			i.mutex.Lock()
			leaving := i.draining || i.silent
			i.mutex.Unlock()
			w.Header().Set("Limehold-Instance-Id", id)
			if leaving {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		request := r.Header.Get("Limehold-Request-Id")
		w.Header().Set("Limehold-Request-Id", request)
		w.Header().Set("Limehold-Instance-Id", id)
		body, _ := io.ReadAll(r.Body)
		key, fence := -1, uint64(0)
		refuse := func(status int) {
			w.Header().Set("Limehold-Not-Executed", "1")
			w.WriteHeader(status)
		}
		if target := r.Header.Get("Limehold-Target-Instance"); target != "" && target != id {
			refuse(http.StatusMisdirectedRequest)
			return
		}
		i.mutex.Lock()
		if i.keyed {
			var err error
			if key, err = strconv.Atoi(r.Header.Get("Limehold-Shard-Key")); err != nil || key < 0 || key >= keySpace {
				i.mutex.Unlock()
				refuse(http.StatusBadRequest)
				return
			}
			if _, fence = i.heldFence(key, time.Now()); fence == 0 {
				i.mutex.Unlock()
				refuse(http.StatusMisdirectedRequest)
				return
			}
		}
		ran := run{request: request, instance: id, path: r.URL.RequestURI(), caller: r.Header.Get("Limehold-Caller-Service"), key: key, fence: fence, at: time.Now()}
		i.runs = append(i.runs, ran)
		told := i.onRun
		i.mutex.Unlock()
		if told != nil {
			told(ran)
		}
		i.record.note("instance %s runs %s (key %d, fence %d)", id, request, key, fence)
		time.Sleep(i.work)
		w.Header().Set("Limehold-Server-Seal", fmt.Sprintf("%s.%x", id, len(body)))
		_, _ = io.Copy(w, bytes.NewReader([]byte("the server's bytes for "+request+"\n")))
	})
}

// depart sends a DELETE for the incarnation, which then beats no more, and returns the status.
func (i *instance) depart() int {
	i.mutex.Lock()
	id := i.id
	i.silent = true
	i.mutex.Unlock()
	status, _, _, err := call(http.MethodDelete, "http://"+i.machine.at(i.machine.d.ports.control)+"/limehold/instances/"+id, nil, nil, answerTime)
	if err != nil {
		return 0
	}
	return status
}
