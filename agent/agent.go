// Package agent implements the process that runs next to a back end. It holds the node's session
// with control, passes the lease and the shards on to the back end, and drains the node.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold/adminserver"
	"limehold/clock"
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
	// TLS secures connections to control. If it is nil, they use plain TCP.
	TLS *tls.Config
	// Backend is the back end that the agent serves. Default: the back end of the
	// settings, called over HTTP; see docs/BACKEND-PROTOCOL.md.
	Backend Backend
	// Relays lists processes that relay connections to control members that do not
	// answer directly; see transport.Options. Optional.
	Relays func() []string
	// DisableAdmin is set for an agent whose process serves operators on another listener.
	DisableAdmin bool
}

// Agent is one agent process.
type Agent struct {
	options Options
	logger  *zap.Logger
	admin   net.Listener
	backend Backend
	links   *links
	shards  *shardSet

	mutex sync.Mutex
	// lease is this node's view of its lease; see membership.HeldLease.
	lease   membership.HeldLease
	session membership.SessionID
	// drain holds what control has been told of the node's departure.
	drain drainState
	// process is a random ID of this agent process; see membership.Node.
	process uint64
	// superseded is set if the current session had superseded open sessions when it was opened.
	superseded bool
	wake       chan struct{}
	// term is the highest term of a leader that has answered.
	term uint64
	// unknownSession is the last session that control reported as unknown.
	unknownSession membership.SessionID

	renewals prometheus.Counter
	failures prometheus.Counter
}

const (
	// unhealthyAfter is the time without an answer from the back end after which the
	// agent stops renewing its lease.
	unhealthyAfter = 350 * time.Millisecond
	// minRenewTryTimeout and minRenewTimeout are the lower bounds of the timeouts of one
	// call and of one round of calls; both timeouts grow with the renewal interval.
	minRenewTryTimeout = 100 * time.Millisecond
	minRenewTimeout    = 300 * time.Millisecond
	// renewTimeout bounds the wait for the answer to a renewal: on saturated links of 8.4 Mbit/s,
	// messages to control can take 1.3 s. An answer that arrives later than the length of the lease
	// after its renewal was sent has no effect.
	renewTimeout = 3 * time.Second
	// renewTries is the number of members that can be tried within one renewal interval.
	renewTries = 3
	// openTimeout bounds one request other than a renewal. It covers two elections.
	openTimeout = 2 * time.Second
	// retryPause is the time between two attempts, and drainPollInterval between two checks of
	// a drain. Both are short compared to the second within which a new owner must serve.
	retryPause        = 20 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// New opens the operators' listener, unless DisableAdmin is set. Run connects to control.
func New(options Options) (*Agent, error) {
	config := options.Settings
	a := &Agent{
		options: options, logger: options.Logger, wake: make(chan struct{}, 1),
		backend: options.Backend, shards: newShardSet(), process: rand.Uint64() | 1, drain: newDrainState(),
	}
	if a.backend == nil {
		a.backend = newBackend(config, options.Logger)
	}
	a.renewals = options.Metrics.Counter("agent", "lease_renewals_total", "Lease renewals that control granted.")
	a.failures = options.Metrics.Counter("agent", "lease_renewal_failures_total", "Lease renewals without an answer, or refused.")
	options.Metrics.Gauge("agent", "shards", "Shards that the back end owns.", func() float64 { return float64(a.shards.count()) })
	options.Metrics.Gauge("agent", "lease_remaining_seconds", "Time until the lease ends if it is not renewed.", func() float64 {
		return max(0, (a.leaseExpiry() - clock.Now()).Seconds())
	})
	a.links = newLinks(config.Agent.Control, len(config.Discovery.Seeds) > 0, func(address string) *transport.Link {
		return transport.NewLink(address, a, a.transportOptions())
	})
	if options.DisableAdmin {
		return a, nil
	}
	var err error
	if a.admin, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s (admin.listen)", config.Admin.Listen)
	}
	return a, nil
}

func (a *Agent) transportOptions() transport.Options {
	return transport.Options{
		Logger: a.logger,
		TLS:    a.options.TLS,
		Relays: a.options.Relays,
		Local: wire.Hello{
			Version: wire.ProtocolVersion, Cluster: a.options.Settings.Cluster,
			Role: wire.RoleAgent, Name: a.options.Settings.Name,
		},
	}
}

// AdminAddress returns the address of the operators' listener, empty if there is none.
func (a *Agent) AdminAddress() string {
	if a.admin == nil {
		return ""
	}
	return a.admin.Addr().String()
}

// leaderTryTimeout bounds the wait for one member in CallLeader, before another one is tried.
const leaderTryTimeout = 100 * time.Millisecond

// CallLeader calls the leader of control on behalf of another part of the process.
func (a *Agent) CallLeader(ctx context.Context, kind wire.Kind, request, reply any) error {
	return a.links.callLeader(ctx, leaderTryTimeout, kind, request, reply)
}

// Run holds the session until ctx ends. Then it drains the node, depending on the stop mode of the settings.
func (a *Agent) Run(ctx context.Context) error {
	serveContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serveContext)
	event := "listening"
	if a.admin == nil {
		event = "agent_started"
	}
	a.logger.Info(event, zap.String("admin", a.AdminAddress()), zap.String("backend", a.options.Settings.Agent.Backend), zap.Bool("control_tls", a.options.TLS != nil))
	a.links.start(serving)
	group.Go(func() error { return a.backend.Run(serving) })
	group.Go(func() error { return a.holdSession(serving) })
	group.Go(func() error { return a.updateBackend(serving) })
	group.Go(func() error { return a.releaseLoop(serving) })
	group.Go(func() error { return a.reportDrains(serving) })
	group.Go(func() error { return a.endSuperseded(serving) })
	group.Go(func() error {
		if a.admin == nil {
			return nil
		}
		return adminserver.Run(serving, adminserver.Options{Logger: a.logger, Listener: a.admin, Metrics: a.options.Metrics, Healthy: a.healthy})
	})
	group.Go(func() error {
		select {
		case <-serving.Done():
		case <-ctx.Done():
			a.drainBeforeStop()
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

func (a *Agent) leaseExpiry() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.lease.Expiry()
}

// signal wakes updateBackend. It never blocks.
func (a *Agent) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// healthy returns an error while the node has no lease.
func (a *Agent) healthy() error {
	if clock.Now() >= a.leaseExpiry() {
		return errNoLease
	}
	return nil
}

var errNoLease = errors.New("no lease")

func pause(ctx context.Context, length time.Duration) error {
	timer := clock.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
