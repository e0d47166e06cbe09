// Package router implements the proxy between callers and backends. It determines
// the service, the key's shard and its owner, admits requests within limits, forwards
// responses, and reports to the caller whether a request ran, did not run, or may have run.
package router

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
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
	"limehold/callerconn"
	"limehold/clock"
	"limehold/crashreport"
	"limehold/disconnect"
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
	// TLS secures connections to control; nil selects plain TCP.
	TLS *tls.Config
	// LocalService is the service whose instance is the caller of this router. It is
	// reported to the backends. Empty if unknown.
	LocalService string
	// ExpectRouteTable is set if control provides a route table. Until it arrives, requests
	// without a matching service are not reported as unmatched.
	ExpectRouteTable bool
	// CallLeader calls the leader of control. If nil, the router calls it by way of the member that it follows.
	CallLeader func(ctx context.Context, kind wire.Kind, request, reply any) error
	// IsRepeatedCall reports whether a request, given by its ID, is a call that the instance on this machine makes while
	// it runs a repeat. If nil, the router takes no request for one.
	IsRepeatedCall func(requestID string) bool
	// IsCall reports whether a request, given by its ID, is a call that the instance on this machine makes while it runs
	// a request. If nil, the router takes no request for one.
	IsCall func(requestID string) bool
	// DisableAdmin is set if the process has its own listener for operators.
	DisableAdmin bool
	// OnBodySent, if not nil, is called with the size of each body that is sent over the machine's
	// link, to instances and to callers.
	OnBodySent func(bytes int)
}

// listeningEvent returns the event that is logged at the start. "listening" is reserved
// for the process, so a router that is part of one logs its own event.
func (o *Options) listeningEvent() string {
	if o.DisableAdmin {
		return "router_listening"
	}
	return "listening"
}

// bodySent reports a body that is sent over the machine's link.
func (o *Options) bodySent(bytes int) {
	if o.OnBodySent != nil {
		o.OnBodySent(bytes)
	}
}

// Router accepts callers' requests and forwards them to instances.
type Router struct {
	options      Options
	logger       *zap.Logger
	listener     net.Listener
	callers      *drainListener
	pipelines    *callerconn.Listener
	admin        net.Listener
	server       *fasthttp.Server
	table        *table
	upstreams    *upstream.Pool
	disconnects  *disconnect.Watcher
	bodiesAhead  bodiesAhead
	work         *workTable
	crashReports *crashreport.Exchange
	crashes      *crashLog
	// lastTrial is the number of the newest trial of a quarantined request that this router
	// has tried to acquire.
	lastTrial atomic.Uint64
	freshness freshness
	resync    atomic.Bool
	draining  atomic.Bool
	// responsesDue is when responses must be complete, on the process's clock; 0 if the router
	// is not stopping.
	responsesDue atomic.Int64
	metrics      routerMetrics
	// members is the newest list of control members that one of them has sent.
	members  atomic.Pointer[wire.MemberList]
	follower *follower
	quotas   *quotas
	// instanceStates is what instances have said of themselves in answers.
	instanceStates *instanceStates
	// regionZones lists the zones of this router's region; nil if its zone is in none.
	regionZones []string
	// lastWorkReport is when service time was last reported to control.
	lastWorkReport atomic.Int64
}

type routerMetrics struct {
	requests           *prometheus.CounterVec
	retries            prometheus.Counter
	budgetEmpty        prometheus.Counter
	repeats            *prometheus.CounterVec
	repeatedCalls      *prometheus.CounterVec
	truncatedResponses prometheus.Counter
	fullAttempts       *prometheus.CounterVec
	loadReports        *prometheus.CounterVec
	latency            prometheus.Histogram
	confirmTime        prometheus.Histogram
	lost               *prometheus.CounterVec
	staleViews         prometheus.Counter
	panics             prometheus.Counter
	quotaUnanswered    prometheus.Counter
}

func (m *routerMetrics) count(outcome, reason string) {
	m.requests.WithLabelValues(outcome, reason).Inc()
}

const (
	// bufferedBody is the size in bytes up to which a request's body is buffered
	// so that it can be sent again; longer bodies are streamed and sent once.
	bufferedBody = 64 << 10
	// startPoll is the interval at which a starting router checks for its first configuration.
	startPoll = 10 * time.Millisecond
	// responseMargin is how long before the end of a stop responses must be complete, which
	// leaves time to forward them.
	responseMargin = 200 * time.Millisecond
	// maxStartWait bounds the wait for a first configuration before callers
	// are served.
	maxStartWait = 2 * time.Second
)

// New opens the listeners. Run serves them.
func New(options Options) (*Router, error) {
	config := options.Settings
	r := &Router{options: options, logger: options.Logger, upstreams: upstream.NewProxyPool(upstream.DefaultIdleTimeout), disconnects: disconnect.NewWatcher(), work: newWorkTable(), crashes: newCrashLog()}
	r.crashReports = crashreport.New(config.Name, options.Logger, options.Metrics)
	pools := poolOptions{policy: policyOf(config.Router.Balance), fixedLimits: config.Router.Limits == settings.LimitsFixed, loadView: config.Router.LoadView}
	r.table = newTable(func(name string) *pool { return newPool(name, pools) })
	r.table.retryLimit = admission.RetryLimit{Ratio: config.Router.RetryRatio, Slack: config.Router.RetrySlack}
	r.table.retryDraw = rand.Float64()
	r.table.crashReports, r.table.onReplaced = r.crashReports, r.instanceReplaced
	r.table.onZoneChanged = r.logZone
	r.follower, r.quotas, r.instanceStates = newFollower(r), newQuotas(r), newInstanceStates()
	r.regionZones = zonesOfRegion(config.Regions, config.Zone)
	r.registerMetrics()
	var err error
	if r.callers, r.listener, err = listen(config.Router); err != nil {
		return nil, err
	}
	r.listener = accept.RetryTemporary(r.listener, "router", r.logger, options.Metrics)
	if options.DisableAdmin {
		r.initServer(config)
		return r, nil
	}
	if r.admin, err = net.Listen("tcp", config.Admin.Listen); err != nil {
		return nil, eris.Wrapf(err, "listen for operators on %s (admin.listen)", config.Admin.Listen)
	}
	r.initServer(config)
	return r, nil
}

func (r *Router) initServer(config settings.Settings) {
	r.pipelines = callerconn.New(r.listener, callerconn.Options{
		MaxHeaderBytes: config.Router.MaxHeaderBytes, MayRunAhead: r.mayRunAhead, Handler: r.serve,
		Notice: r.closedNotice(), WriteTimeout: writeTimeout, Logger: libraryLogger{r.logger},
	})
	r.registerPipelineMetrics()
	r.server = &fasthttp.Server{
		Handler: r.pipelines.Handle, HeaderReceived: r.headReceived, ErrorHandler: r.handleBadRequest, NoDefaultServerHeader: true,
		ReadTimeout: headTimeout,
		// For responses written at once; streamed ones extend the deadline.
		WriteTimeout:         writeTimeout,
		NoDefaultContentType: true, ReadBufferSize: config.Router.MaxHeaderBytes,
		MaxRequestBodySize: bufferedBody, StreamRequestBody: true, Concurrency: config.Router.MaxConnections,
		IdleTimeout: config.Router.IdleTimeout, DisablePreParseMultipartForm: true,
		ConnState: r.pipelines.ConnState, Logger: libraryLogger{r.logger},
	}
}

// listen opens the callers' listener. It returns the plain listener and the one to
// serve, which adds TLS if the settings name a certificate.
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
		requests:           registry.CounterVec("router", "requests_total", "Requests answered, by outcome and reason.", "outcome", "reason"),
		retries:            registry.Counter("router", "retries_total", "Attempts after the first of a request."),
		budgetEmpty:        registry.Counter("router", "retry_budget_empty_total", "Retries that were not made because the budget was spent."),
		repeats:            registry.CounterVec("router", "repeats_total", "Arrivals at instances beyond the first of their request, by service and whether the retry budget was charged with them.", "service", "charged"),
		repeatedCalls:      registry.CounterVec("router", "repeated_calls_total", "Calls that the instance on this machine made while it ran a repeat, by the service that it called. The retry budget is charged with each.", "service"),
		truncatedResponses: registry.Counter("router", "cut_answers_total", "Answers that a back end broke off after their head had been passed on."),
		fullAttempts:       registry.CounterVec("router", "full_attempts_total", "Attempts that an instance rejected because it was full, by service.", "service"),
		loadReports:        registry.CounterVec("router", "load_reports_total", "Load reports of other instances in answers, by service and what was done with them.", "service", "verdict"),
		latency: registry.Histogram("router", "answer_seconds", "Time from a request's arrival to the head of its answer.",
			[]float64{.0005, .001, .002, .005, .01, .015, .025, .05, .1, .25, .5, 1, 2.5, 5}),
		confirmTime: registry.Histogram("router", "confirm_seconds", "Time until a control member confirmed that the view is current.",
			[]float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5}),
		lost:            registry.CounterVec("router", "control_connections_lost_total", "Control members that were left, by the step that failed.", "step"),
		panics:          registry.Counter("router", "panics_total", "Requests under which this process panicked; each ended by itself."),
		quotaUnanswered: registry.Counter("router", "quota_unanswered_total", "Requests for tokens of quotas that the authority did not answer in time."),
		staleViews:      registry.Counter("router", "configuration_old_total", "Times at which the view of the configuration had not been confirmed for 1.5 s."),
	}
	registry.Gauge("router", "in_flight", "Requests under way.", func() float64 { return float64(r.disconnects.Count()) })
	registry.Gauge("router", "load_view_age_seconds", "Mean age of the load reports of the pool in which it is greatest; 0 if none are shared.", func() float64 { return r.table.loadAge(clock.Now()).Seconds() })
	registry.Gauge("router", "configuration_age_seconds", "Age of the router's view of the configuration.", func() float64 { return r.freshness.age(clock.Now()).Seconds() })
	registry.Gauge("router", "configuration_revision", "Revision in force.", func() float64 { return float64(r.table.currentRevision()) })
	registry.Gauge("router", "route_table_version", "Version of the route table in force; 0: none.", func() float64 { return float64(r.table.routeVersion()) })
}

// Address returns the address of the callers' listener.
func (r *Router) Address() string { return r.listener.Addr().String() }

// AdminAddress returns the address of the operators' listener, "" if there is none.
func (r *Router) AdminAddress() string {
	if r.admin == nil {
		return ""
	}
	return r.admin.Addr().String()
}

// Run serves until ctx ends, then drains.
func (r *Router) Run(ctx context.Context) error {
	serveContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serveContext)
	r.logger.Info(r.options.listeningEvent(), zap.String("address", r.Address()), zap.String("admin", r.AdminAddress()),
		zap.Bool("tls", r.options.Settings.Router.Certificate != ""), zap.Bool("control_tls", r.options.TLS != nil))
	group.Go(func() error { return r.follow(serving) })
	group.Go(func() error { return r.disconnects.Run(serving) })
	group.Go(func() error { return r.sweep(serving) })
	group.Go(func() error { return r.monitorView(serving) })
	group.Go(func() error { return r.sendReports(serving) })
	group.Go(func() error {
		if r.admin == nil {
			return nil
		}
		return adminserver.Run(serving, adminserver.Options{Logger: r.logger, Listener: r.admin, Metrics: r.options.Metrics, Healthy: r.healthy})
	})
	group.Go(func() error {
		// Callers are not served before there is a configuration. After maxStartWait
		// their requests are rejected instead.
		r.awaitConfiguration(serving)
		r.logger.Info("serving", zap.Uint64("revision", r.table.currentRevision()))
		err := r.server.Serve(r.pipelines)
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

// awaitConfiguration waits until the router's view is confirmed as current, for at most
// maxStartWait. It ends when the router is to stop, so that callers get answers.
func (r *Router) awaitConfiguration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxStartWait)
	defer cancel()
	ticker := time.NewTicker(startPoll)
	defer ticker.Stop()
	for !r.draining.Load() && !r.freshness.within(clock.Now(), maxStartWait) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// drain immediately reports the router as unhealthy and asks callers to close their connections.
// It accepts connections for another Router.CloseNotice, because callers may not have learned of
// the drain yet. Then it closes the listener and waits for the requests in flight until
// DrainTimeout after the start of the drain.
func (r *Router) drain() {
	r.logger.Info("draining", zap.Int("in_flight", r.disconnects.Count()))
	r.draining.Store(true)
	deadline := clock.Now() + r.options.Settings.Router.DrainTimeout
	r.pipelines.Drain()
	r.responsesDue.Store(int64(deadline - responseMargin))
	clock.Sleep(r.options.Settings.Router.CloseNotice, nil)
	r.callers.stop()
	ctx, cancel := clock.WithTimeout(context.Background(), deadline-clock.Now())
	defer cancel()
	err := r.server.ShutdownWithContext(ctx)
	// Requests that run ahead are answered after the server has shut down.
	if err = errors.Join(err, r.pipelines.WaitContext(ctx)); err != nil {
		r.logger.Warn("drain_incomplete", zap.Int("in_flight", r.disconnects.Count()), zap.Error(err))
	}
}

// sweep closes idle upstream connections periodically.
func (r *Router) sweep(ctx context.Context) error {
	ticker := time.NewTicker(upstream.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.upstreams.Sweep()
			r.instanceStates.sweep(r.table.hasNode, clock.Now())
		}
	}
}

// handleBadRequest responds to input that the HTTP library cannot parse as a request.
func (r *Router) handleBadRequest(request *fasthttp.RequestCtx, err error) {
	rejected := rejectBadRequest
	var tooSmall *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooSmall) {
		rejected = rejectHeaderTooLarge
	}
	r.reject(request, newRequestID(), nil, rejected)
	request.SetConnectionClose()
}

// healthy returns an error while a load balancer should not send requests to this router.
func (r *Router) healthy() error { return r.Healthy() }

// Healthy returns an error while callers should not be sent to this router.
func (r *Router) Healthy() error {
	if r.draining.Load() || r.table.currentRevision() == 0 || r.options.ExpectRouteTable && !r.table.hasRoutes() {
		return errNotServing
	}
	return nil
}

var errNotServing = errors.New("draining, or without a configuration yet")

// libraryLogger logs the HTTP library's messages at debug level, because they
// concern single connections of callers.
type libraryLogger struct{ logger *zap.Logger }

// Printf implements fasthttp.Logger.
func (l libraryLogger) Printf(format string, arguments ...any) {
	l.logger.Sugar().Debugf(format, arguments...)
}
