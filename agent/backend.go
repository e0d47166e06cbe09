package agent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"limehold/clock"
	"limehold/fleet"
	"limehold/membership"
	"limehold/ownership"
	"limehold/quiescence"
	"limehold/settings"
	"limehold/wire"
)

const (
	// probeTimeout is shorter than unhealthyAfter: one lost probe is noticed in time.
	probeTimeout = 300 * time.Millisecond
	// leaseTimeout bounds one telling of the lease: the next one has a later end to tell.
	leaseTimeout = 200 * time.Millisecond
	// grantsTimeout bounds one telling of grants, which the back end may have to load.
	grantsTimeout = 2 * time.Second
	// releaseTimeout is how long the back end may finish what runs on shards that it gives up.
	releaseTimeout = 5 * time.Second
)

// Description is what a back end says of itself.
type Description struct {
	// Version of the back end's software; empty: it does not say.
	Version string
	// Pool of services that it serves.
	Pool string
	// Slots is how many requests it runs at once; Connections how many it accepts.
	Slots       int
	Connections int
	// Gated is set for a back end that keeps its own limits exactly.
	Gated bool
	// Born is the Unix millisecond at which this start began. Zero: it is not said.
	Born int64
	// PredecessorGone is set when it is known that what was told to earlier starts is held no
	// longer: it is free without the end of their lease.
	PredecessorGone bool
	// Exclusive: see fleet.OpenSession.
	Exclusive bool
	// TakesLate: see membership.Node.
	TakesLate bool
}

// Opened is a session that was got.
type Opened struct {
	Session membership.SessionID
	// Incarnation is that of the back end for which it was asked.
	Incarnation string
	// Fresh is set for one that began with this: what is given under it was given after Opening returned.
	Fresh bool
	// Former are the incarnations whose sessions it has superseded, and which are still open.
	Former []string
}

// Backend is what runs beside an agent.
type Backend interface {
	// Run keeps watching the back end until ctx ends.
	Run(ctx context.Context) error
	// Alive returns the incarnation heard of last, and whether it is well at now.
	Alive(now time.Duration) (incarnation string, healthy bool)
	// Gone reports whether an incarnation is known to have ended: it runs nothing
	// and will not.
	Gone(incarnation string) bool
	// Health is the newest word on the back end.
	Health() wire.BackendHealth
	// Description is what the back end says of itself.
	Description() Description
	// Lease tells until when the grants hold, on this machine's clock.
	Lease(session membership.SessionID, expiry time.Duration) error
	// Grants tells the whole list of what the back end owns.
	Grants(list *wire.BackendGrants) error
	// Release lets shards go; it returns those on which nothing runs any more.
	Release(session membership.SessionID, shards []wire.BackendGrant) ([]fleet.ReleasedShard, error)
	// HandedBack brings shards that the back end holds no longer and does not take under their
	// epoch: control has to assign them anew. Nil: there never are any.
	HandedBack() <-chan []fleet.ReleasedShard
	// Opening is told before a session is asked for, Opened when it was got.
	Opening(ctx context.Context)
	Opened(opened Opened)
	// Vacated brings the sessions for which there is that proof. Nil: there never is.
	Vacated() <-chan membership.SessionID
	// Claim is what the next renewal says of grants, without process and term; see package
	// quiescence. Claimed is told of one that control has acknowledged.
	Claim() quiescence.Claim
	Claimed(claim quiescence.Claim)
	// ClaimNow asks for a renewal at once, as there is something new to claim. Nil: there never is.
	ClaimNow() <-chan struct{}
}

// backend talks to the back end beside the agent.
type backend struct {
	address string
	config  settings.Agent
	client  *fasthttp.HostClient

	mutex   sync.Mutex
	latest  wire.BackendHealth
	seen    time.Duration
	everSet bool
	// refused is set while nobody listens at the back end's address.
	refused bool
}

func newBackend(config settings.Settings) *backend {
	address := config.Agent.Backend
	return &backend{address: address, config: config.Agent, client: &fasthttp.HostClient{
		Addr: address, MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry, MaxConns: 16,
		NoDefaultUserAgentHeader: true, MaxIdleConnDuration: time.Second,
	}}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Run looks at the back end's health until ctx ends.
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
	if errors.Is(err, fasthttp.ErrConnectionClosed) {
		// A kept connection ended: a new one tells whether anybody is there.
		err = b.call(fasthttp.MethodGet, wire.BackendPathHealth, nil, &health, probeTimeout)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// A refused connection is a surer sign than silence: its process is gone. The
	// lease still runs to its end, in case it is not.
	b.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil && health.Incarnation != "" {
		b.latest, b.seen, b.everSet = health, sentAt, true
	}
}

// Alive returns the back end's incarnation and whether it answered lately. A
// back end that is starting has no session yet.
func (b *backend) Alive(now time.Duration) (incarnation string, healthy bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	fresh := b.everSet && !b.refused && now-b.seen < unhealthyAfter
	return b.latest.Incarnation, fresh && b.latest.Status != wire.BackendStarting
}

func (b *backend) Health() wire.BackendHealth {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.latest
}

// Description implements Backend: what the settings say.
func (b *backend) Description() Description {
	return Description{Pool: b.config.Pool, Slots: b.config.Slots, Connections: b.config.Connections}
}

// Gone implements Backend: a probe cannot tell for certain.
func (b *backend) Gone(string) bool { return false }

func (b *backend) Lease(session membership.SessionID, expiry time.Duration) error {
	return b.call(fasthttp.MethodPut, wire.BackendPathLease, &wire.BackendLease{Session: uint64(session), ExpiresBootNanos: int64(expiry)}, nil, leaseTimeout)
}

func (b *backend) Grants(list *wire.BackendGrants) error {
	return b.call(fasthttp.MethodPut, wire.BackendPathGrants, list, nil, grantsTimeout)
}

// Release asks the back end to let shards go and returns those that are idle.
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
	if err := b.client.DoTimeout(request, response, timeout); err != nil {
		return eris.Wrapf(err, "%s %s at back end %s", method, path, b.address)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("%s %s at back end %s: status %d: %s", method, path, b.address, response.StatusCode(), response.Body())
	}
	if answer == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(response.Body(), answer), "decode answer of back end %s to %s", b.address, path)
}

// Opening implements Backend.
func (b *backend) Opening(context.Context) {}

// Opened implements Backend.
func (b *backend) Opened(Opened) {}

// Vacated implements Backend: there is no such proof, the lease of earlier sessions runs to its end.
func (b *backend) Vacated() <-chan membership.SessionID { return nil }

// Claim implements Backend: the back end is told until when by the clock of its own machine, so that
// what it takes late is over.
func (b *backend) Claim() quiescence.Claim { return quiescence.Claim{} }

// Claimed implements Backend.
func (b *backend) Claimed(quiescence.Claim) {}

// ClaimNow implements Backend.
func (b *backend) ClaimNow() <-chan struct{} { return nil }

// HandedBack implements Backend: a back end called over HTTP takes what it is told.
func (b *backend) HandedBack() <-chan []fleet.ReleasedShard { return nil }
