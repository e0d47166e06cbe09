// Package sidecar runs, in one process beside one instance, everything that the
// machine's callers and other machines need: a router for the callers here, an
// ingress for requests to the instance, and an agent that holds the node's session
// with control on the instance's behalf.
package sidecar

import (
	"context"
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
	"limehold/ingress"
	"limehold/logging"
	"limehold/metrics"
	"limehold/router"
	"limehold/settings"
)

// Options configures a sidecar.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// Keys gives keys to the instance and takes them back.
	Keys limehold.KeyClient
	// Extend returns a handler that is asked first at the operators' listener, where
	// the instance announces itself; it returns false for what is not its own.
	Extend func(*ingress.Instance) func(*fasthttp.RequestCtx) bool
}

// Process is the parts of one sidecar.
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

// readinessTimeout bounds a question whether callers may be sent here.
const readinessTimeout = 5 * time.Second

// New opens all listeners.
func New(options Options) (*Process, error) {
	config := options.Settings
	p := &Process{options: options, logger: options.Logger}
	var err error
	if p.router, err = router.New(router.Options{
		Settings: config, Logger: options.Logger, Metrics: options.Metrics,
		CallerService: config.Agent.Pool, RouteTable: true, NoAdmin: true, Sent: func(bytes int) { p.ingress.NoteSent(bytes) },
	}); err != nil {
		return nil, err
	}
	if p.ingress, err = ingress.New(ingress.Options{
		Settings: config, Logger: options.Logger, Metrics: options.Metrics, Keys: options.Keys, Service: p.router.RoutedService,
		Board:   p.router.Board(),
		RelayTo: p.router.IsControl,
		Leads:   p.router.Leads,
		Zone:    func() (bool, time.Duration) { return p.router.Zone(config.Zone) },
	}); err != nil {
		return nil, err
	}
	if config.Agent.Advertise == "" {
		config.Agent.Advertise = p.ingress.Address()
	}
	// The instance may go on while the sidecar is restarted: it keeps its keys.
	config.Agent.StopMode = settings.StopRestart
	if p.agent, err = agent.New(agent.Options{
		Settings: config, Logger: options.Logger, Metrics: options.Metrics, Backend: p.ingress.Instance(), NoAdmin: true,
		Relays: p.router.Relays,
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
		return eris.Wrapf(err, "listen for readiness questions on %s (ingress.readiness)", config.Ingress.Readiness)
	}
	p.readiness = accept.Lasting(readiness, "readiness", p.logger, p.options.Metrics)
	return nil
}

// Run serves until ctx ends. It then says at once that it is not ready, finishes
// what is under way, and keeps the agent's session up to the end. A part that ends before has
// the others stop in the same way: without it the machine would be counted as serving.
func (p *Process) Run(ctx context.Context) error {
	ctx, stopAll := context.WithCancel(ctx)
	defer stopAll()
	lastContext, stopLast := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLast()
	var first, last errgroup.Group
	part := func(name string, run func(context.Context) error, until context.Context) func() error {
		return func() error {
			err := run(until)
			if ctx.Err() == nil {
				p.logger.Error("part_ended", logging.Step("run", name, err)...)
				stopAll()
			}
			return err
		}
	}
	last.Go(part("agent", p.agent.Run, lastContext))
	last.Go(part("admin", p.serveAdmin, lastContext))
	if p.readiness != nil {
		last.Go(part("readiness", p.serveReadiness, lastContext))
	}
	first.Go(part("router", p.router.Run, ctx))
	first.Go(part("ingress", p.ingress.Run, ctx))
	stopNotice := context.AfterFunc(ctx, func() { p.stopping.Store(true) })
	defer stopNotice()
	err := first.Wait()
	stopLast()
	return errors.Join(err, last.Wait())
}

func (p *Process) serveAdmin(ctx context.Context) error {
	options := adminserver.Options{Logger: p.logger, Listener: p.admin, Metrics: p.options.Metrics, Healthy: p.ready}
	if p.options.Extend != nil {
		options.Extension = p.options.Extend(p.ingress.Instance())
	}
	return adminserver.Run(ctx, options)
}

var errStopping = errors.New("stopping")

// ready returns why callers should not be sent here; nil: they may be.
func (p *Process) ready() error {
	if p.stopping.Load() {
		return errStopping
	}
	return p.router.Healthy()
}

// serveReadiness answers any GET by whether callers may be sent here.
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
