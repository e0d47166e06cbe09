// Package sidecar runs the processes that serve one instance in a single process: a
// router for callers on the same machine, an ingress for requests to the instance, and
// an agent that holds the node's session with control on behalf of the instance.
package sidecar

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold"
	"limehold/accept"
	"limehold/adminserver"
	"limehold/agent"
	"limehold/callchain"
	"limehold/clock"
	"limehold/departure"
	"limehold/ingress"
	"limehold/logging"
	"limehold/metrics"
	"limehold/router"
	"limehold/settings"
	"limehold/wire"
)

// Options configures a sidecar.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// TLS secures connections to control. If it is nil, they use plain TCP.
	TLS *tls.Config
	// Keys grants keys to the instance and releases them.
	Keys limehold.KeyClient
	// NewAdminHandler returns a handler that gets each request to the admin listener first and
	// reports whether it answered the request. The heartbeats of the instance arrive at
	// this listener. Optional.
	NewAdminHandler func(*ingress.Instance) func(*fasthttp.RequestCtx) bool
}

// Process is a sidecar.
type Process struct {
	options   Options
	logger    *zap.Logger
	router    *router.Router
	ingress   *ingress.Ingress
	agent     *agent.Agent
	admin     net.Listener
	readiness net.Listener
	stopping  atomic.Bool
}

// supportStopTime is how much later than the last requests of callers those of operators end at a stop.
const supportStopTime = 300 * time.Millisecond

// readinessTimeout bounds the time to read a readiness probe.
const readinessTimeout = 5 * time.Second

// New builds the parts of a sidecar and opens all listeners.
func New(options Options) (*Process, error) {
	config := options.Settings
	p := &Process{options: options, logger: options.Logger}
	repeats := callchain.New(clock.Now)
	runs := callchain.New(clock.Now)
	var err error
	if p.router, err = router.New(router.Options{
		Settings: config, Logger: options.Logger, Metrics: options.Metrics, TLS: options.TLS,
		CallLeader: func(ctx context.Context, kind wire.Kind, request, reply any) error {
			return p.agent.CallLeader(ctx, kind, request, reply)
		},
		IsCall:         runs.HasCall,
		IsRepeatedCall: repeats.HasCall,
		LocalService:   config.Agent.Pool, ExpectRouteTable: true, DisableAdmin: true, OnBodySent: func(bytes int) { p.ingress.RecordSent(bytes) },
	}); err != nil {
		return nil, err
	}
	if p.ingress, err = ingress.New(ingress.Options{
		Settings: config, Logger: options.Logger, Metrics: options.Metrics, Keys: options.Keys, Service: p.router.RouteTableService,
		CrashReports: p.router.CrashReports(),
		OnRun:        runs.Add,
		OnRepeat:     repeats.Add,
		Departures:   agentDepartures{p},
		RelayTo:      p.router.IsControlAddress,
		RoutesTo:     p.router.RoutesTo,
		ZoneDraining: func() (bool, time.Duration) { return p.router.ZoneDraining(config.Zone) },
	}); err != nil {
		return nil, err
	}
	if config.Agent.Advertise == "" {
		config.Agent.Advertise = p.ingress.Address()
	}
	// The instance may continue to run and keeps its keys while the sidecar restarts.
	config.Agent.StopMode = settings.StopRestart
	if p.agent, err = agent.New(agent.Options{
		Settings: config, Logger: options.Logger, Metrics: options.Metrics, TLS: options.TLS, Backend: p.ingress.Instance(), DisableAdmin: true,
		Relays: p.router.RelayAddresses,
	}); err != nil {
		return nil, err
	}
	if err := p.listen(config); err != nil {
		return nil, err
	}
	fields := []zap.Field{
		zap.String("part", "sidecar"), zap.String("address", p.router.Address()), zap.String("ingress", p.ingress.Address()),
		zap.String("admin", p.admin.Addr().String()), zap.String("instance", config.Ingress.Instance),
	}
	if p.readiness != nil {
		fields = append(fields, zap.String("readiness", p.readiness.Addr().String()))
	}
	p.logger.Info("listening", fields...)
	return p, nil
}

// agentDepartures is the store of departures at the agent, which is created after the ingress.
type agentDepartures struct{ process *Process }

// RecordDeparture implements limehold.DepartureStore.
func (d agentDepartures) RecordDeparture(ctx context.Context, notice departure.Notice) error {
	return d.process.agent.RecordDeparture(ctx, notice)
}

// Departures implements limehold.DepartureStore.
func (d agentDepartures) Departures(ctx context.Context) (departure.List, error) {
	return d.process.agent.Departures(ctx)
}

func (p *Process) listen(config settings.Settings) error {
	var err error
	if p.admin, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		return eris.Wrapf(err, "listen for operators on %s (admin.listen)", config.Admin.Listen)
	}
	if config.Ingress.Readiness == "" {
		return nil
	}
	readiness, err := net.Listen("tcp", config.Ingress.Readiness)
	if err != nil {
		return eris.Wrapf(err, "listen for readiness probes on %s (ingress.readiness)", config.Ingress.Readiness)
	}
	p.readiness = accept.RetryTemporary(readiness, "readiness", p.logger, p.options.Metrics)
	return nil
}

// Run serves until ctx ends. It then reports at once that it is not ready, finishes
// running requests, and keeps the agent's session until they have ended. A part that
// ends on its own stops the others in the same way: otherwise the machine would still
// count as serving.
func (p *Process) Run(ctx context.Context) error {
	ctx, stopAll := context.WithCancel(ctx)
	defer stopAll()
	// The agent, the admin listener and the readiness listener stop after the router and
	// the ingress.
	supportContext, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSupport()
	// The end of the operators' requests counts from the stop: otherwise they would add to the time of callers' requests.
	supportEnd, endSupport := context.WithCancel(context.Background())
	defer endSupport()
	var serving, support errgroup.Group
	part := func(name string, run func(context.Context) error, runContext context.Context) func() error {
		return func() error {
			err := run(runContext)
			if ctx.Err() == nil {
				p.logger.Error("part_ended", logging.ErrorFields("run", name, err)...)
				stopAll()
			}
			return err
		}
	}
	support.Go(part("agent", p.agent.Run, supportContext))
	support.Go(part("admin", func(ctx context.Context) error { return p.serveAdmin(ctx, supportEnd) }, supportContext))
	if p.readiness != nil {
		support.Go(part("readiness", p.serveReadiness, supportContext))
	}
	serving.Go(part("router", p.router.Run, ctx))
	serving.Go(part("ingress", p.ingress.Run, ctx))
	cancelNotice := context.AfterFunc(ctx, func() {
		p.stopping.Store(true)
		config := p.options.Settings
		time.AfterFunc(max(config.Router.DrainTimeout, config.Ingress.StopTime)+supportStopTime, endSupport)
	})
	defer cancelNotice()
	err := serving.Wait()
	stopSupport()
	return errors.Join(err, support.Wait())
}

// serveAdmin serves operators until ctx ends; the requests that run then end by end.
func (p *Process) serveAdmin(ctx, end context.Context) error {
	options := adminserver.Options{Logger: p.logger, Listener: p.admin, Metrics: p.options.Metrics, Healthy: p.ready, End: end}
	if p.options.NewAdminHandler != nil {
		options.Intercept = p.options.NewAdminHandler(p.ingress.Instance())
	}
	return adminserver.Run(ctx, options)
}

var errStopping = errors.New("stopping")

// ready returns an error if callers should not use this sidecar.
func (p *Process) ready() error {
	if p.stopping.Load() {
		return errStopping
	}
	return p.router.Healthy()
}

// serveReadiness answers any request with the result of ready.
func (p *Process) serveReadiness(ctx context.Context) error {
	server := &fasthttp.Server{
		ReadTimeout: readinessTimeout, NoDefaultServerHeader: true,
		Handler: func(request *fasthttp.RequestCtx) {
			if err := p.ready(); err != nil {
				request.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
				return
			}
			request.SetBodyString("ready\n")
		},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	err := server.Serve(p.readiness)
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "serve readiness")
}
