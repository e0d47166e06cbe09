// Package standin is a simulated back end for tests. It implements the protocol of
// docs/BACKEND-PROTOCOL.md, checks its grants at the point of execution, and
// appends every execution and every change of its grants to a record file, from
// which a run is checked afterwards. It can inject faults into its answers.
package standin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/wire"
)

// Options configures a back end.
type Options struct {
	Name string
	// Listen is the address to listen on, as host:port.
	Listen string
	// Slots is how many requests can run at once.
	Slots int
	// ServiceTime is the mean run time of a request.
	ServiceTime time.Duration
	// ColdStart is how long after the start requests take several times as long.
	ColdStart time.Duration
	// StartDelay is how long after the start the back end reports that it is starting.
	StartDelay time.Duration
	// RecordFile is the file that records are appended to. If it is empty, nothing is recorded.
	RecordFile string
}

// Knobs are the faults that the back end simulates. They are set through PathKnobs.
type Knobs struct {
	// ReportedLoad replaces the measured utilization unless it is negative.
	ReportedLoad float64 `json:"reported_load"`
	// FailAll answers every request with an error while the health status stays ok.
	FailAll bool `json:"fail_all"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// CutBeforePercent of the answers are cut before their first byte, after the
	// request has run.
	CutBeforePercent int `json:"cut_before_percent"`
	// CutWithinPercent of the answers are cut within their body.
	CutWithinPercent int `json:"cut_within_percent"`
	// CrossedPercent of the answers belong to another attempt.
	CrossedPercent int `json:"crossed_percent"`
	// DoublePercent of the answers are sent twice.
	DoublePercent int `json:"double_percent"`
	// StallPercent of the answers stop in the middle of their body, and the
	// connection stays open.
	StallPercent int `json:"stall_percent"`
	// LatePercent of the answers are sent LateByMs milliseconds after the request has run.
	LatePercent int   `json:"late_percent"`
	LateByMs    int64 `json:"late_by_ms"`
}

// Paths for the test only: PathKnobs sets the knobs, PathCounts returns the counts.
const (
	PathKnobs  = "/standin/knobs"
	PathCounts = "/standin/counts"
)

// Counts holds the counters of the process.
type Counts struct {
	// Received is the number of requests received, whatever their outcome.
	Received int64 `json:"received"`
}

const (
	coldStartFactor = 4
	pollInterval    = 5 * time.Millisecond
	releaseWait     = 50 * time.Millisecond
	bodyChunk       = 4096
)

// Server is one simulated back end.
type Server struct {
	options     Options
	incarnation string
	started     time.Duration
	listener    net.Listener
	records     *recorder
	inFlight    atomic.Int64
	received    atomic.Int64
	draining    atomic.Bool
	knobs       atomic.Pointer[Knobs]

	mutex          sync.Mutex
	session        uint64
	leaseExpiry    time.Duration
	grantsRevision uint64
	grants         map[shardKey]*grant
	// released holds the highest epoch under which each shard was released. Grants
	// with that epoch or an older one arrive late and are ignored.
	released map[shardKey]uint64
}

type shardKey struct {
	service string
	shard   uint32
}

type grant struct {
	epoch     uint64
	inFlight  int
	releasing bool
}

// New opens the listener and the record file, and records the start.
func New(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", options.Listen)
	}
	records, err := openRecorder(options.RecordFile)
	if err != nil {
		return nil, err
	}
	server := &Server{
		options: options, incarnation: newIncarnation(), started: clock.Now(), listener: listener,
		records: records, grants: map[shardKey]*grant{}, released: map[shardKey]uint64{},
	}
	server.knobs.Store(&Knobs{ReportedLoad: -1})
	server.records.write(Record{Kind: RecordStart, At: int64(server.started), Node: options.Name, Incarnation: server.incarnation})
	return server, nil
}

func newIncarnation() string {
	var random [8]byte
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(random[:])
}

// Address returns the address of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx ends. It then reports that it is draining, keeps serving while it owns shards or runs
// requests and for up to a second longer, for at most drainLimit in all, and shuts down.
func (s *Server) Run(ctx context.Context, drainLimit time.Duration) error {
	server := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, MaxRequestBodySize: 1 << 30, StreamRequestBody: true}
	go func() {
		<-ctx.Done()
		s.drain()
		deadline := time.Now().Add(drainLimit)
		for time.Now().Before(deadline) && (s.ownedShards() > 0 || s.inFlight.Load() > 0) {
			time.Sleep(pollInterval)
		}
		// The drain state reaches routers with a bounded delay. Until then their requests
		// are answered with "not run".
		time.Sleep(min(time.Second, max(0, time.Until(deadline))))
		shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(shutdown)
	}()
	return eris.Wrap(server.Serve(s.listener), "serve back end")
}

func (s *Server) drain() {
	if !s.draining.Swap(true) {
		s.records.write(Record{Kind: RecordDrain, At: int64(clock.Now()), Node: s.options.Name})
	}
}

func (s *Server) ownedShards() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if clock.Now() >= s.leaseExpiry {
		return 0
	}
	return len(s.grants)
}

func (s *Server) handle(request *fasthttp.RequestCtx) {
	switch string(request.Path()) {
	case wire.BackendPathHealth:
		s.handleHealth(request)
	case wire.BackendPathLoad:
		s.handleLoad(request)
	case wire.BackendPathLease:
		s.handleLease(request)
	case wire.BackendPathGrants:
		s.handleGrants(request)
	case wire.BackendPathRelease:
		s.handleRelease(request)
	case wire.BackendPathDrain:
		s.drain()
		writeJSON(request, struct{}{})
	case PathKnobs:
		s.handleKnobs(request)
	case PathCounts:
		writeJSON(request, Counts{Received: s.received.Load()})
	default:
		s.serve(request)
	}
}

func writeJSON(request *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetContentType("application/json")
	request.SetBody(encoded)
}

func readJSON(request *fasthttp.RequestCtx, target any) bool {
	if err := json.Unmarshal(request.PostBody(), target); err != nil {
		request.Error("body is not the expected JSON: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) handleHealth(request *fasthttp.RequestCtx) {
	health := wire.BackendHealth{Status: wire.BackendOK, Incarnation: s.incarnation, InFlight: int(s.inFlight.Load())}
	switch {
	case s.draining.Load():
		health.Status = wire.BackendDraining
	case clock.Now()-s.started < s.options.StartDelay:
		health.Status = wire.BackendStarting
	}
	writeJSON(request, health)
}

func (s *Server) handleLoad(request *fasthttp.RequestCtx) {
	inFlight := int(s.inFlight.Load())
	load := wire.BackendLoad{InFlight: inFlight, Slots: s.options.Slots, Utilization: float64(inFlight) / float64(s.options.Slots)}
	if reported := s.knobs.Load().ReportedLoad; reported >= 0 {
		load.Utilization = reported
	}
	writeJSON(request, load)
}

func (s *Server) handleKnobs(request *fasthttp.RequestCtx) {
	knobs := &Knobs{ReportedLoad: -1}
	if readJSON(request, knobs) {
		s.knobs.Store(knobs)
		writeJSON(request, knobs)
	}
}

func (s *Server) handleLease(request *fasthttp.RequestCtx) {
	var lease wire.BackendLease
	if !readJSON(request, &lease) {
		return
	}
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if lease.Session < s.session {
		writeJSON(request, struct{}{})
		return
	}
	if lease.Session > s.session {
		s.adoptSession(lease.Session, now)
	}
	s.leaseExpiry = time.Duration(lease.ExpiresBootNanos)
	s.records.write(Record{Kind: RecordLease, At: int64(now), Node: s.options.Name, Session: s.session, Expiry: int64(s.leaseExpiry)})
	writeJSON(request, struct{}{})
}

// adoptSession begins a later session and releases everything owned under the earlier one.
func (s *Server) adoptSession(session uint64, now time.Duration) {
	for key, owned := range s.grants {
		s.release(key, owned, now)
	}
	s.session, s.grantsRevision, s.leaseExpiry = session, 0, 0
}

func (s *Server) release(key shardKey, owned *grant, now time.Duration) {
	delete(s.grants, key)
	s.released[key] = max(s.released[key], owned.epoch)
	s.records.write(Record{Kind: RecordRelease, At: int64(now), Node: s.options.Name, Session: s.session, Service: key.service, Shard: key.shard, Epoch: owned.epoch})
}

func (s *Server) handleGrants(request *fasthttp.RequestCtx) {
	var list wire.BackendGrants
	if !readJSON(request, &list) {
		return
	}
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if list.Session < s.session || list.Session == s.session && list.Revision < s.grantsRevision {
		writeJSON(request, struct{}{})
		return
	}
	if list.Session > s.session {
		s.adoptSession(list.Session, now)
	}
	s.grantsRevision = list.Revision
	s.applyGrants(list.Grants, now)
	writeJSON(request, struct{}{})
}

func (s *Server) applyGrants(list []wire.BackendGrant, now time.Duration) {
	wanted := make(map[shardKey]uint64, len(list))
	for _, item := range list {
		wanted[shardKey{item.Service, item.Shard}] = item.Epoch
	}
	for key, owned := range s.grants {
		if wanted[key] == owned.epoch {
			continue
		}
		// A shard with requests in flight is kept but accepts no new ones. It is
		// released once the last of them ends.
		owned.releasing = true
		if owned.inFlight == 0 {
			s.release(key, owned, now)
		}
	}
	for key, epoch := range wanted {
		if s.grants[key] != nil || epoch <= s.released[key] {
			continue
		}
		s.grants[key] = &grant{epoch: epoch}
		s.records.write(Record{Kind: RecordGrant, At: int64(now), Node: s.options.Name, Session: s.session, Service: key.service, Shard: key.shard, Epoch: epoch})
	}
}

// handleRelease closes shards to new requests, waits up to releaseWait for
// requests in flight, and answers with the shards that are released.
func (s *Server) handleRelease(request *fasthttp.RequestCtx) {
	var requested wire.BackendRelease
	if !readJSON(request, &requested) {
		return
	}
	deadline := time.Now().Add(releaseWait)
	for {
		answer := wire.BackendReleased{Shards: []wire.BackendGrant{}}
		if s.tryRelease(&requested, &answer) || time.Now().After(deadline) {
			writeJSON(request, answer)
			return
		}
		time.Sleep(pollInterval)
	}
}

func (s *Server) tryRelease(requested *wire.BackendRelease, answer *wire.BackendReleased) (complete bool) {
	now := clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	complete = true
	for _, item := range requested.Shards {
		key := shardKey{item.Service, item.Shard}
		owned := s.grants[key]
		if owned != nil && owned.epoch <= item.Epoch {
			owned.releasing = true
			if owned.inFlight > 0 {
				complete = false
				continue
			}
			s.release(key, owned, now)
		}
		s.released[key] = max(s.released[key], item.Epoch)
		answer.Shards = append(answer.Shards, item)
	}
	return complete
}

// owns returns the grant of the shard, or nil if the back end may not work on it
// now under the epoch. The caller holds s.mutex.
func (s *Server) owns(key shardKey, epoch uint64) *grant {
	owned := s.grants[key]
	if owned == nil || owned.epoch != epoch || clock.Now() >= s.leaseExpiry {
		return nil
	}
	return owned
}

func headerUint(request *fasthttp.RequestCtx, name string) uint64 {
	value, _ := strconv.ParseUint(string(request.Request.Header.Peek(name)), 10, 64)
	return value
}
