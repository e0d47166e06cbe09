// Package router is the process between callers and back ends: it finds the
// service, the key's shard and its owner, admits within limits, and passes the
// answer on, telling truthfully what became of the request.
package router

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold/accept"
	"limehold/adminserver"
	"limehold/admission"
	"limehold/bulletin"
	"limehold/clock"
	"limehold/hangup"
	"limehold/metrics"
	"limehold/settings"
	"limehold/transport"
	"limehold/upstream"
	"limehold/wire"
)

// Options configures a router.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// TLS secures connections to control; nil: plain TCP.
	TLS *tls.Config
	// CallerService is the service whose instance the callers of this router are
	// beside; it is told to the back ends. Empty: unknown.
	CallerService string
	// RouteTable is set where a route table is to come: until it has, nothing is
	// known to be missing.
	RouteTable bool
	// NoAdmin is set for a router whose process has an operators' listener of its own.
	NoAdmin bool
	// Sent is told the size of each body that goes over the machine's link, to instances
	// and to callers. Nil: nobody wants to know.
	Sent func(bytes int)
}

// listeningEvent is the log's event at the start; a router that is part of a process
// leaves the process's own line to that.
func (o *Options) listeningEvent() string {
	if o.NoAdmin {
		return "router_listening"
	}
	return "listening"
}

// noteSent tells of a body that goes over the machine's link.
func (o *Options) noteSent(bytes int) {
	if o.Sent != nil {
		o.Sent(bytes)
	}
}

// Router is one router process.
type Router struct {
	options   Options
	logger    *zap.Logger
	listener  net.Listener
	callers   *drainListener
	admin     net.Listener
	server    *fasthttp.Server
	table     *table
	upstreams *upstream.Pool
	hangups   *hangup.Watcher
	work      *workTable
	board     *bulletin.Board
	witness   *witness
	// trialSpent is the newest trial of a quarantined request that this router has asked for.
	trialSpent atomic.Uint64
	freshness  freshness
	resync     atomic.Bool
	draining   atomic.Bool
	// ends is when answers have to be whole, on the process's clock; zero: no stop is under way.
	ends    atomic.Int64
	metrics routerMetrics
	// members is the newest list of control members that one of them has told.
	members  atomic.Pointer[wire.MemberList]
	follower *follower
	// reported is when measured work was last told to control.
	reported atomic.Int64
}

type routerMetrics struct {
	requests    *prometheus.CounterVec
	retries     prometheus.Counter
	budgetEmpty prometheus.Counter
	cutAnswers  prometheus.Counter
	latency     prometheus.Histogram
	confirmTime prometheus.Histogram
	lost        *prometheus.CounterVec
	oldViews    prometheus.Counter
	panics      prometheus.Counter
}

func (m *routerMetrics) count(outcome, reason string) {
	m.requests.WithLabelValues(outcome, reason).Inc()
}

const (
	// bufferedBody is the size in bytes up to which a request's body is kept,
	// so that it can be sent again; longer ones are streamed and sent once.
	bufferedBody = 64 << 10
	// drainPoll is how often a starting router looks for its first configuration.
	drainPoll = 10 * time.Millisecond
	// lastAnswers is how long before the end of a stop answers have to be whole: they are passed
	// on meanwhile.
	lastAnswers = 200 * time.Millisecond
	// startPatience bounds the wait for a first configuration before callers
	// are taken.
	startPatience = 2 * time.Second
)

// New opens the listeners. Run serves them.
func New(options Options) (*Router, error) {
	config := options.Settings
	r := &Router{options: options, logger: options.Logger, upstreams: upstream.NewPool(upstream.DefaultIdleLimit), hangups: hangup.NewWatcher(), work: newWorkTable(), witness: newWitness()}
	r.board = bulletin.New(config.Name, options.Logger, options.Metrics)
	policy := policyOf(config.Router.Balance)
	r.table = newTable(func(name string) *pool { return newPool(name, policy, config.Router.Limits == settings.LimitsFixed) })
	r.table.board, r.table.replaced = r.board, r.replaced
	r.follower = newFollower(r)
	r.registerMetrics()
	var err error
	if r.callers, r.listener, err = listen(config.Router); err != nil {
		return nil, err
	}
	r.listener = accept.Lasting(r.listener, "router", r.logger, options.Metrics)
	if options.NoAdmin {
		r.serveWith(config)
		return r, nil
	}
	if r.admin, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s (admin.listen)", config.Admin.Listen)
	}
	r.serveWith(config)
	return r, nil
}

// serveWith makes the callers' server.
func (r *Router) serveWith(config settings.Settings) {
	r.server = &fasthttp.Server{
		Handler: r.handle, HeaderReceived: r.headReceived, ErrorHandler: r.handleBadRequest, NoDefaultServerHeader: true,
		ReadTimeout: headTimeout,
		// For answers that are there whole; those that are streamed extend it.
		WriteTimeout:         writeTimeout,
		NoDefaultContentType: true, ReadBufferSize: config.Router.MaxHeaderBytes,
		MaxRequestBodySize: bufferedBody, StreamRequestBody: true, Concurrency: config.Router.MaxConnections,
		IdleTimeout: config.Router.IdleTimeout, DisablePreParseMultipartForm: true, CloseOnShutdown: true,
		Logger: libraryLogger{r.logger},
	}
}

// listen opens the callers' listener; the second one is the first, secured if
// the settings say so.
func listen(config settings.Router) (*drainListener, net.Listener, error) {
	listener, err := listenDraining(config.Listen)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen for callers on %s (router.listen)", config.Listen)
	}
	if config.Certificate == "" {
		return listener, listener, nil
	}
	secured, err := transport.LoadTLS(transport.Files{Certificate: config.Certificate, Key: config.Key})
	if err != nil {
		listener.Close()
		return nil, nil, err
	}
	return listener, tls.NewListener(listener, secured), nil
}

func policyOf(balance string) admission.Policy {
	if balance == settings.BalanceRoundRobin {
		return admission.PolicyRoundRobin
	}
	return admission.PolicyOwnObservation
}

func (r *Router) registerMetrics() {
	registry := r.options.Metrics
	r.metrics = routerMetrics{
		requests:    registry.CounterVec("router", "requests_total", "Requests answered, by outcome and reason.", "outcome", "reason"),
		retries:     registry.Counter("router", "retries_total", "Attempts after the first of a request."),
		budgetEmpty: registry.Counter("router", "retry_budget_empty_total", "Retries that were not made because the budget was spent."),
		cutAnswers:  registry.Counter("router", "cut_answers_total", "Answers that a back end broke off after their head had been passed on."),
		latency: registry.Histogram("router", "answer_seconds", "Time from a request's arrival to the head of its answer.",
			[]float64{.0005, .001, .002, .005, .01, .015, .025, .05, .1, .25, .5, 1, 2.5, 5}),
		confirmTime: registry.Histogram("router", "confirm_seconds", "Time until a control member confirmed that the view is current.",
			[]float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}),
		lost:     registry.CounterVec("router", "control_connections_lost_total", "Control members that were left, by the step that failed.", "step"),
		panics:   registry.Counter("router", "panics_total", "Requests under which this process panicked; each ended by itself."),
		oldViews: registry.Counter("router", "configuration_old_total", "Times at which the view of the configuration had not been confirmed for 1.5 s."),
	}
	registry.Gauge("router", "in_flight", "Requests under way.", func() float64 { return float64(r.hangups.Count()) })
	registry.Gauge("router", "configuration_age_seconds", "Age of the router's view of the configuration.", func() float64 { return r.freshness.age(clock.Now()).Seconds() })
	registry.Gauge("router", "configuration_revision", "Revision in force.", func() float64 { return float64(r.table.inForce()) })
	registry.Gauge("router", "route_table_version", "Version of the route table in force; 0: none.", func() float64 { return float64(r.table.routeVersion()) })
}

// Address is the callers' listener.
func (r *Router) Address() string { return r.listener.Addr().String() }

// AdminAddress is the operators' listener.
func (r *Router) AdminAddress() string {
	if r.admin == nil {
		return ""
	}
	return r.admin.Addr().String()
}

// Run serves until ctx ends, then finishes what is under way.
func (r *Router) Run(ctx context.Context) error {
	serveContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serveContext)
	r.logger.Info(r.options.listeningEvent(), zap.String("address", r.Address()), zap.String("admin", r.AdminAddress()),
		zap.Bool("tls", r.options.Settings.Router.Certificate != ""), zap.Bool("control_tls", r.options.TLS != nil))
	group.Go(func() error { return r.follow(serving) })
	group.Go(func() error { return r.hangups.Run(serving) })
	group.Go(func() error { return r.sweep(serving) })
	group.Go(func() error { return r.watchView(serving) })
	group.Go(func() error { return r.report(serving) })
	group.Go(func() error {
		if r.admin == nil {
			return nil
		}
		return adminserver.Run(serving, adminserver.Options{Logger: r.logger, Listener: r.admin, Metrics: r.options.Metrics, Healthy: r.healthy})
	})
	group.Go(func() error {
		// Callers are not taken before there is something to tell them. After
		// startPatience they are refused truthfully instead.
		r.awaitConfiguration(serving)
		r.logger.Info("serving", zap.Uint64("revision", r.table.inForce()))
		err := r.server.Serve(r.listener)
		if r.draining.Load() {
			return nil
		}
		return eris.Wrap(err, "serve callers")
	})
	group.Go(func() error {
		select {
		case <-serving.Done():
		case <-ctx.Done():
			r.drain()
		}
		stop()
		return nil
	})
	err := group.Wait()
	r.logger.Info("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitConfiguration waits until the router's view is confirmed as current.
func (r *Router) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !r.freshness.within(clock.Now(), startPatience) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drain says at once that callers are not to be sent here, and goes on serving those
// that come before they know it, for the notice time; they are asked to close their
// connections. Then it takes no new ones, and waits for what is under way.
func (r *Router) drain() {
	r.logger.Info("draining", zap.Int("in_flight", r.hangups.Count()))
	r.draining.Store(true)
	until := clock.Now() + r.options.Settings.Router.DrainTimeout
	r.ends.Store(int64(until - lastAnswers))
	clock.Sleep(r.options.Settings.Router.CloseNotice, nil)
	r.callers.stop()
	ctx, cancel := clock.WithTimeout(context.Background(), until-clock.Now())
	defer cancel()
	if err := r.server.ShutdownWithContext(ctx); err != nil {
		r.logger.Warn("drain_incomplete", zap.Int("in_flight", r.hangups.Count()), zap.Error(err))
	}
}

func (r *Router) sweep(ctx context.Context) error {
	ticker := time.NewTicker(upstream.SweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.upstreams.Sweep()
		}
	}
}

// handleBadRequest answers what the HTTP library could not read as a request.
func (r *Router) handleBadRequest(request *fasthttp.RequestCtx, err error) {
	refused := refuseBadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		refused = refuseHeaderBig
	}
	r.refuse(request, drawID(), nil, refused)
	request.SetConnectionClose()
}

// healthy fails while a balancer in front of the routers should leave this one out.
func (r *Router) healthy() error { return r.Healthy() }

// Healthy returns why callers should not be sent here; nil: they may be.
func (r *Router) Healthy() error {
	if r.draining.Load() || r.table.inForce() == 0 || r.options.RouteTable && !r.table.hasRoutes() {
		return errNotServing
	}
	return nil
}

var errNotServing = errors.New("draining, or without a configuration yet")

// libraryLogger passes the HTTP library's own messages on at debug level: they
// are about single callers' connections.
type libraryLogger struct{ logger *zap.Logger }

// Printf implements fasthttp.Logger.
func (l libraryLogger) Printf(format string, arguments ...any) {
	l.logger.Sugar().Debugf(format, arguments...)
}
