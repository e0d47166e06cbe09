// Package agent is the process beside a back end: it holds the node's session
// with control, hands the back end its lease and its shards, and drains it.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold/adminserver"
	"limehold/clock"
	"limehold/logging"
	"limehold/membership"
	"limehold/metrics"
	"limehold/settings"
	"limehold/transport"
	"limehold/wire"
)

// Options configures an agent.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// TLS secures connections to control; nil: plain TCP.
	TLS *tls.Config
}

// Agent is one agent process.
type Agent struct {
	options Options
	logger  *zap.Logger
	admin   net.Listener
	backend *backend
	links   []*transport.Link
	shards  *shardSet

	mutex sync.Mutex
	// favourite is the link that led to the last answer.
	favourite int
	// lease is this node's own belief; see membership.HeldLease.
	lease   membership.HeldLease
	session membership.SessionID
	wake    chan struct{}

	renewals prometheus.Counter
	failures prometheus.Counter
}

const (
	// unhealthyAfter is how long the back end may not answer before the agent
	// stops renewing its lease.
	unhealthyAfter = 350 * time.Millisecond
	renewTimeout   = 300 * time.Millisecond
	renewPerTry    = 100 * time.Millisecond
	openTimeout    = 2 * time.Second
	retryPause     = 20 * time.Millisecond
	drainPoll      = 20 * time.Millisecond
)

// New opens the operators' listener. Run connects to control.
func New(options Options) (*Agent, error) {
	config := options.Settings
	a := &Agent{
		options: options, logger: options.Logger, wake: make(chan struct{}, 1),
		backend: newBackend(config.Agent.Backend), shards: newShardSet(),
	}
	a.renewals = options.Metrics.Counter("agent", "lease_renewals_total", "Lease renewals that control granted.")
	a.failures = options.Metrics.Counter("agent", "lease_renewal_failures_total", "Lease renewals without an answer, or refused.")
	options.Metrics.Gauge("agent", "shards", "Shards that the back end owns.", func() float64 { return float64(a.shards.count()) })
	options.Metrics.Gauge("agent", "lease_remaining_seconds", "Time until the lease ends if it is not renewed.", func() float64 {
		return max(0, (a.leaseExpiry() - clock.Now()).Seconds())
	})
	for _, address := range config.Agent.Control {
		a.links = append(a.links, transport.NewLink(address, a, a.transportOptions()))
	}
	var err error
	if a.admin, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s (admin.listen)", config.Admin.Listen)
	}
	return a, nil
}

func (a *Agent) transportOptions() transport.Options {
	return transport.Options{
		TLS: a.options.TLS,
		Local: wire.Hello{
			Version: wire.ProtocolVersion, Cluster: a.options.Settings.Cluster,
			Role: wire.RoleAgent, Name: a.options.Settings.Name,
		},
	}
}

// AdminAddress is the operators' listener.
func (a *Agent) AdminAddress() string { return a.admin.Addr().String() }

// Run holds the session until ctx ends; then it drains, as settings say.
func (a *Agent) Run(ctx context.Context) error {
	serveContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serveContext)
	a.logger.Info("listening", zap.String("admin", a.AdminAddress()), zap.String("backend", a.options.Settings.Agent.Backend), zap.Bool("control_tls", a.options.TLS != nil))
	for _, link := range a.links {
		group.Go(func() error { link.Run(serving); return nil })
	}
	group.Go(func() error { return a.backend.probeLoop(serving, a.options.Settings.Agent.ProbeEvery) })
	group.Go(func() error { return a.holdSession(serving) })
	group.Go(func() error { return a.tellBackend(serving) })
	group.Go(func() error { return a.releaseLoop(serving) })
	group.Go(func() error { return a.followBackendDrain(serving) })
	group.Go(func() error {
		return adminserver.Run(serving, adminserver.Options{Listener: a.admin, Metrics: a.options.Metrics, Healthy: a.healthy})
	})
	group.Go(func() error {
		select {
		case <-serving.Done():
		case <-ctx.Done():
			a.stopGently()
		}
		stop()
		return nil
	})
	err := group.Wait()
	a.logger.Info("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stopGently has the shards moved away before the agent stops.
func (a *Agent) stopGently() {
	config := a.options.Settings.Agent
	if config.StopMode == settings.StopRestart {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), config.StopTimeout)
	defer cancel()
	if err := a.requestDrain(ctx, "the agent is being stopped"); err != nil {
		a.logger.Warn("drain_not_requested", logging.Step("drain before stop", "control", err)...)
		return
	}
	for a.shards.count() > 0 || a.backend.inFlight() > 0 {
		if pause(ctx, drainPoll) != nil {
			a.logger.Warn("drain_incomplete", zap.Int("shards", a.shards.count()), zap.Int("in_flight", a.backend.inFlight()))
			return
		}
	}
	a.logger.Info("drained")
}

func (a *Agent) requestDrain(ctx context.Context, cause string) error {
	for {
		a.mutex.Lock()
		session := a.session
		a.mutex.Unlock()
		if session == 0 {
			return nil
		}
		err := a.callLeader(ctx, openTimeout, wire.KindDrainSelf, &wire.DrainSelf{Session: session, Cause: cause}, nil)
		if err == nil {
			return nil
		}
		if pause(ctx, retryPause) != nil {
			return err
		}
	}
}

// followBackendDrain drains the node when its back end says that it is leaving.
func (a *Agent) followBackendDrain(ctx context.Context) error {
	requested := membership.SessionID(0)
	for {
		if pause(ctx, a.options.Settings.Agent.ProbeEvery) != nil {
			return nil
		}
		health := a.backend.health()
		a.mutex.Lock()
		session := a.session
		a.mutex.Unlock()
		if health.Status != wire.BackendDraining || session == 0 || session == requested {
			continue
		}
		if err := a.requestDrain(ctx, "the back end says that it is leaving"); err == nil {
			requested = session
		}
	}
}

// callLeader tries the members in turn, beginning with the one that answered
// last, and going where a refusal says that the leader is. perTry bounds the
// wait for one member, so that a frozen one does not use up the time of all.
func (a *Agent) callLeader(ctx context.Context, perTry time.Duration, kind wire.Kind, request, reply any) error {
	var last error = transport.ErrClosed
	tried := make([]bool, len(a.links))
	next := a.firstChoice()
	for range a.links {
		if next < 0 || tried[next] {
			next = a.untried(tried)
		}
		if next < 0 {
			break
		}
		tried[next] = true
		callContext, cancel := context.WithTimeout(ctx, perTry)
		err := a.links[next].Call(callContext, kind, request, reply)
		cancel()
		if err == nil {
			a.favour(next)
			return nil
		}
		last = err
		var refused *wire.Error
		if !errors.As(err, &refused) {
			a.favour((next + 1) % len(a.links))
			next = -1
			continue
		}
		if refused.Code != wire.CodeNotLeader {
			return err
		}
		next = a.named(refused.Leader)
	}
	return last
}

func (a *Agent) untried(tried []bool) int {
	for i, link := range a.links {
		if !tried[i] && link.Conn() != nil {
			return i
		}
	}
	return -1
}

// named finds the link to a member by the name in its hello.
func (a *Agent) named(member string) int {
	for i, link := range a.links {
		if conn := link.Conn(); conn != nil && member != "" && conn.Peer.Name == member {
			return i
		}
	}
	return -1
}

func (a *Agent) firstChoice() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.favourite
}

func (a *Agent) favour(link int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.favourite = link
}

func (a *Agent) leaseExpiry() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lease.Expiry()
}

// signal wakes tellBackend.
func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// healthy fails while the node has no lease.
func (a *Agent) healthy() error {
	if clock.Now() >= a.leaseExpiry() {
		return errNoLease
	}
	return nil
}

var errNoLease = errors.New("no lease")

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
