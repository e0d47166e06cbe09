package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/clock"
	"limehold/fleet"
	"limehold/loadview"
	"limehold/logging"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quiescence"
	"limehold/settings"
	"limehold/upstream"
	"limehold/wire"
)

const (
	// probeTimeout bounds one probe, and thus by how much a lost probe delays the next one. It is
	// shorter than unhealthyAfter.
	probeTimeout = 300 * time.Millisecond
	// leaseTimeout bounds one update of the lease; the next update carries a later expiry.
	leaseTimeout = 200 * time.Millisecond
	// grantsTimeout bounds one update of the grants, for which the back end may have to load state.
	grantsTimeout = 2 * time.Second
	// releaseTimeout bounds the time in which the back end completes requests on shards that it releases.
	releaseTimeout = 5 * time.Second
	// idleTimeout is how long a connection to the back end is kept idle.
	idleTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 1 << 20
	// maxQuotedBytes bounds what an error quotes of an answer.
	maxQuotedBytes = 200
)

// Description holds what a back end reports about itself.
type Description struct {
	// Version is the version of the back end's software, empty if it reports none.
	Version string
	// Pool is the pool of services that the back end serves.
	Pool string
	// Slots is the number of requests that it runs at once, Connections the number that it accepts.
	Slots       int
	Connections int
	// SelfLimited is set for a back end that enforces its own limits exactly.
	SelfLimited bool
	// StartedAt is the start of this incarnation in Unix milliseconds, 0 if it is unknown.
	StartedAt int64
	// PredecessorsEnded is set if the grants of all earlier incarnations are known to be held no
	// longer, so that their keys are free before the earlier leases expire.
	PredecessorsEnded bool
	// Exclusive is set if a grant addressed to one incarnation of the back end cannot reach another.
	Exclusive bool
	// AppliesLate is set if the back end may apply a grant long after it was sent.
	AppliesLate bool
}

// OpenedSession describes a session that control has opened.
type OpenedSession struct {
	Session membership.SessionID
	// Incarnation is the back end's incarnation for which the session was requested.
	Incarnation string
	// Created is set if this request created the session, so that all its grants were assigned after
	// BeforeOpen returned.
	Created bool
	// SupersededIncarnations holds the incarnations of the open sessions that this session has superseded.
	SupersededIncarnations []string
}

// Backend is the back end for which an agent holds a session.
type Backend interface {
	// Run monitors the back end until ctx ends.
	Run(ctx context.Context) error
	// CurrentIncarnation returns the newest known incarnation, and whether it is healthy at now.
	CurrentIncarnation(now time.Duration) (incarnation string, healthy bool)
	// HasEnded reports whether an incarnation is known to have ended, so that it will never run
	// anything again.
	HasEnded(incarnation string) bool
	// Health returns the newest health report of the back end.
	Health() wire.BackendHealth
	// Description returns what the back end reports about itself.
	Description() Description
	// Lease sets the time until which the grants are valid, on this machine's clock.
	Lease(session membership.SessionID, expiry time.Duration) error
	// Grants replaces the list of everything that the back end owns.
	Grants(list *wire.BackendGrants) error
	// Release releases shards. It returns those on which no request runs any longer.
	Release(session membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error)
	// ReturnedShards returns a channel of shards that the back end no longer holds and does not accept
	// again under their epoch, so that control has to assign them anew. It is nil if there are never any.
	ReturnedShards() <-chan []fleet.ReleasedShard
	// BeforeOpen is called before a session is requested, SessionOpened after control has opened it.
	BeforeOpen(ctx context.Context)
	SessionOpened(opened OpenedSession)
	// ProvenReleases returns a channel of sessions. A session is sent once the back end is proved
	// to hold nothing that was granted under the sessions that it has superseded. The channel is
	// nil if there is never such a proof.
	ProvenReleases() <-chan membership.SessionID
	// Claim returns the claim for the next renewal, without process and term; see package
	// quiescence. ClaimAcknowledged is called with each claim that control has acknowledged.
	Claim() quiescence.Claim
	ClaimAcknowledged(claim quiescence.Claim)
	// LoadReport returns the next load report for control; not set if the back end does not measure its load.
	LoadReport() loadview.Report
	// RenewNow returns a channel that requests an immediate renewal for a new claim. It is nil if
	// there are never any.
	RenewNow() <-chan struct{}
}

// backend is the client of a back end that is called over HTTP.
type backend struct {
	address string
	config  settings.Agent
	client  *upstream.Client
	logger  *zap.Logger
	// probeFails is set from a probe without a usable answer to the next one with it. Only probe uses it.
	probeFails bool

	mutex       sync.Mutex
	lastHealth  wire.BackendHealth
	lastSeen    time.Duration
	hasAnswered bool
	// connectionRefused is set while nothing listens at the back end's address.
	connectionRefused bool
}

func newBackend(config settings.Settings, logger *zap.Logger) *backend {
	address := config.Agent.Backend
	return &backend{address: address, config: config.Agent, logger: logger, client: upstream.NewClient(idleTimeout, maxAnswerBytes)}
}

// Run probes the back end's health until ctx ends.
func (b *backend) Run(ctx context.Context) error {
	ticker := time.NewTicker(b.config.ProbeEvery)
	defer ticker.Stop()
	for {
		b.probe()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (b *backend) probe() {
	sentAt := clock.Now()
	var health wire.BackendHealth
	err := b.call(fasthttp.MethodGet, wire.BackendPathHealth, nil, &health, probeTimeout)
	if errors.Is(err, io.EOF) {
		// An idle connection was closed; a new one shows whether the back end still runs.
		err = b.call(fasthttp.MethodGet, wire.BackendPathHealth, nil, &health, probeTimeout)
	}
	b.logProbe(err)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// A refused connection indicates an ended process sooner than silence does. The
	// lease still runs until it expires, since the process may not have ended.
	b.connectionRefused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil && health.Incarnation != "" {
		b.lastHealth, b.lastSeen, b.hasAnswered = health, sentAt, true
	}
}

// logProbe logs the first of several probes that fail.
func (b *backend) logProbe(err error) {
	if err != nil && !b.probeFails {
		b.logger.Warn("probe_failed", logging.ErrorFields("probe health", b.address, err)...)
	}
	b.probeFails = err != nil
}

// CurrentIncarnation implements Backend. The back end is healthy if it has answered a probe that was sent
// within unhealthyAfter, does not refuse connections and is not starting; a starting back end
// has no session yet.
func (b *backend) CurrentIncarnation(now time.Duration) (incarnation string, healthy bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	recent := b.hasAnswered && !b.connectionRefused && now-b.lastSeen < unhealthyAfter
	return b.lastHealth.Incarnation, recent && b.lastHealth.Status != wire.BackendStarting
}

func (b *backend) Health() wire.BackendHealth {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.lastHealth
}

// Description implements Backend. It returns what the settings say.
func (b *backend) Description() Description {
	return Description{Pool: b.config.Pool, Slots: b.config.Slots, Connections: b.config.Connections}
}

// HasEnded implements Backend. It returns false, because a probe cannot prove that a process has ended.
func (b *backend) HasEnded(string) bool { return false }

func (b *backend) Lease(session membership.SessionID, expiry time.Duration) error {
	return b.call(fasthttp.MethodPut, wire.BackendPathLease, &wire.BackendLease{Session: uint64(session), ExpiresBootNanos: int64(expiry)}, nil, leaseTimeout)
}

func (b *backend) Grants(list *wire.BackendGrants) error {
	return b.call(fasthttp.MethodPut, wire.BackendPathGrants, list, nil, grantsTimeout)
}

// Release implements Backend. It requests the release of shards and returns those on which no
// request runs any longer.
func (b *backend) Release(session membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error) {
	var answer wire.BackendReleased
	request := &wire.BackendRelease{Session: uint64(session), Shards: shards}
	if err := b.call(fasthttp.MethodPost, wire.BackendPathRelease, request, &answer, releaseTimeout); err != nil {
		return nil, err
	}
	done := make([]fleet.ReleasedShard, 0, len(answer.Shards))
	for _, item := range answer.Shards {
		done = append(done, fleet.ReleasedShard{Key: ownership.Key{Service: item.Service, Shard: item.Shard}, Epoch: item.Epoch, Token: item.Token})
	}
	return done, nil
}

func (b *backend) call(method, path string, body, answer any, timeout time.Duration) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + b.address + path)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request to back end")
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(encoded)
	}
	if err := b.send(path, request, response, timeout); err != nil {
		return eris.Wrapf(err, "%s %s at back end %s", method, path, b.address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("%s %s at back end %s: status %d: %.*s", method, path, b.address, response.StatusCode(), maxQuotedBytes, response.Body())
	}
	if answer == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(response.Body(), answer), "decode answer of back end %s to %s", b.address, path)
}

// send makes a call. That of a release is made alone: its answer frees shards, and does not name its call.
func (b *backend) send(path string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	request.Header.SetHost(b.address)
	if path != wire.BackendPathRelease {
		return b.client.Do(b.address, request, response, timeout)
	}
	ctx, cancel := clock.WithTimeout(context.Background(), timeout)
	defer cancel()
	return upstream.CallAlone(ctx, b.address, request, response)
}

// BeforeOpen implements Backend.
func (b *backend) BeforeOpen(context.Context) {}

// SessionOpened implements Backend.
func (b *backend) SessionOpened(OpenedSession) {}

// ProvenReleases implements Backend. There is never such a proof, so the leases of earlier sessions have to expire.
func (b *backend) ProvenReleases() <-chan membership.SessionID { return nil }

// Claim implements Backend. The back end receives the expiry on its own machine's clock, so that a
// grant that it carries out late has already expired.
func (b *backend) Claim() quiescence.Claim { return quiescence.Claim{} }

// ClaimAcknowledged implements Backend.
func (b *backend) ClaimAcknowledged(quiescence.Claim) {}

// LoadReport implements Backend: back ends behind HTTP do not measure their load.
func (b *backend) LoadReport() loadview.Report { return loadview.Report{} }

// RenewNow implements Backend.
func (b *backend) RenewNow() <-chan struct{} { return nil }

// ReturnedShards implements Backend. A back end called over HTTP accepts every grant.
func (b *backend) ReturnedShards() <-chan []fleet.ReleasedShard { return nil }
