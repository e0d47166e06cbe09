// Package ingress is the gate in front of one instance: every request reaches the
// instance through it. The ingress alone decides whether a request may run, by the
// instance's identity and state, its slots, the keys it holds and the deadline. A
// rejected request is guaranteed not to have run. A request that was sent on and got no
// usable response is reported as unknown.
package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold"
	"limehold/accept"
	"limehold/clock"
	"limehold/crashreport"
	"limehold/disconnect"
	"limehold/goaway"
	"limehold/loadview"
	"limehold/metrics"
	"limehold/routing"
	"limehold/settings"
	"limehold/upstream"
	"limehold/wire"
)

// Options configures an ingress.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// Keys grants keys to the instance and releases them; nil if the instance's service
	// is never divided by key.
	Keys limehold.KeyClient
	// Service returns the route table's entry for a service, or the zero value if there
	// is none. Nil if there is no route table.
	Service func(name string) routing.Service
	// RoutesTo reports whether the route table in force here sends requests for a host and path to a service,
	// and returns the version of the table that decides. matched is the version that matched the request:
	// if the table in force is not newer, RoutesTo returns matched and true. Nil if there is no route table.
	RoutesTo func(host, path []byte, service string, matched uint64) (inForce uint64, matches bool)
	// ZoneDraining returns whether the ingress's zone is drained, and when this process received
	// that state; 0 if the state has never changed. Nil if zones are never drained.
	ZoneDraining func() (drained bool, since time.Duration)
	// CrashReports holds the crash records of control and the reports of this process. If nil, the ingress
	// creates an exchange of its own.
	CrashReports *crashreport.Exchange
	// OnRun, if not nil, is called with the ID and the deadline of each request before the instance receives it.
	OnRun func(requestID string, deadline time.Duration)
	// OnRepeat, if not nil, is called with the ID and the deadline of each repeat before the instance receives it.
	OnRepeat func(requestID string, deadline time.Duration)
	// Departures keeps what the instance announces about its end. If nil, that ends with this process.
	Departures limehold.DepartureStore
	// RelayTo reports whether connections may be relayed to an address; see relay. If
	// nil, no connection is relayed.
	RelayTo func(address string) bool
}

// Ingress is the gate in front of one instance.
type Ingress struct {
	options  Options
	logger   *zap.Logger
	listener net.Listener
	// kept are the connections of routers, which are closed with a notice.
	kept         *goaway.Listener
	server       *fasthttp.Server
	instance     *Instance
	gate         *slotGate
	link         *link
	inbound      *inbound
	unframed     unframedMemory
	upstreams    *upstream.Pool
	disconnects  *disconnect.Watcher
	crashReports *crashreport.Exchange
	isolation    *isolation
	firstAnswers firstAnswers
	// loadsMutex guards loads, the load reports of this instance and the others of its service.
	loadsMutex sync.Mutex
	loads      *loadview.Exchange
	stopping   atomic.Bool
	// tunnels counts the connections that are being relayed.
	tunnels  atomic.Int64
	outcomes *prometheus.CounterVec
	panics   prometheus.Counter
	waits    prometheus.Histogram
	runs     prometheus.Histogram
}

const (
	// bufferedBody is the size in bytes up to which a request's body is read before
	// the request is handled.
	bufferedBody = 64 << 10
	// readTimeout and writeTimeout close connections whose router has disappeared without
	// closing them. A request whose deadline is later has longer ones; see transferTimeouts.
	readTimeout  = 15 * time.Second
	writeTimeout = 15 * time.Second
	// transferMargin is how much longer than the request's deadline the timeouts are, so that the
	// deadline ends the request. maxTransferTime bounds them.
	transferMargin  = time.Second
	maxTransferTime = 24 * time.Hour
	// idleTimeout is longer than any router keeps an idle connection open.
	idleTimeout = time.Minute
	// maxHeaderBytes exceeds the routers' limit by the headers that routers add.
	maxHeaderBytes = 64 << 10
	// instanceIdle is how long idle connections to the instance are kept if the instance
	// does not announce its own keep-alive time.
	instanceIdle = 4 * time.Second
	// stopPoll is the interval at which a stopping ingress checks for running requests.
	stopPoll = 20 * time.Millisecond
	// lastChunkMargin is how long before the end of a stop the last chunk of a large response is
	// written to the socket, so that the peer reads it before the connection is closed.
	lastChunkMargin = 200 * time.Millisecond
)

// New returns an ingress with an open listener. Run serves it.
func New(options Options) (*Ingress, error) {
	listener, err := net.Listen("tcp", options.Settings.Ingress.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for routers on %s (ingress.listen)", options.Settings.Ingress.Listen)
	}
	kept := goaway.New(listener, closedNotice())
	i := &Ingress{
		isolation: newIsolation(), loads: loadview.NewExchange(rand.Uint32()), options: options, logger: options.Logger,
		listener:  accept.RetryTemporary(kept, "ingress", options.Logger, options.Metrics),
		kept:      kept,
		gate:      newSlotGate(options.Settings.Ingress.QueueTime),
		link:      newLink(options.Settings.Ingress.LinkMbps),
		inbound:   newInbound(options.Settings.Ingress.LinkMbps),
		upstreams: upstream.NewPool(instanceIdle), disconnects: disconnect.NewWatcher(),
	}
	i.gate.plansRuns, i.gate.spreadsReturns = options.Settings.Ingress.PlanRuns, options.Settings.Ingress.SpreadReturns
	i.instance = newInstance(options, i.gate)
	i.crashReports = i.instance.crashReports
	i.outcomes = options.Metrics.CounterVec("ingress", "requests_total", "Requests of routers, by outcome and reason.", "outcome", "reason")
	i.panics = options.Metrics.Counter("ingress", "panics_total", "Requests under which this process panicked; each ended by itself.")
	i.waits = options.Metrics.Histogram("ingress", "wait_seconds", "Time that a request waited for one of the instance's slots.", latencyBuckets)
	i.runs = options.Metrics.Histogram("ingress", "run_seconds", "Time from sending a request to the instance to the head of its answer.", latencyBuckets)
	options.Metrics.Gauge("ingress", "running", "Requests at the instance.", func() float64 { return float64(i.gate.load().running) })
	options.Metrics.Gauge("ingress", "waiting", "Requests that wait for one of the instance's slots.", func() float64 { return float64(i.gate.load().waiting) })
	i.registerState()
	i.server = &fasthttp.Server{
		Handler: kept.Handler(i.handle), ExpectHandler: i.handleAnnounced, HeaderReceived: transferTimeouts, NoDefaultServerHeader: true, NoDefaultContentType: true,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: bufferedBody, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true, Logger: quietLogger{i.logger}, ConnState: kept.ConnState,
	}
	return i, nil
}

// transferTimeouts returns the timeouts for reading a request and writing its answer: those of the server, or until its
// deadline has passed.
func transferTimeouts(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	millis, err := strconv.ParseUint(string(header.Peek(wire.HeaderDeadline)), 10, 64)
	if err != nil {
		// The handler rejects the request.
		return fasthttp.RequestConfig{}
	}
	longest := time.Duration(min(millis, uint64(maxTransferTime/time.Millisecond)))*time.Millisecond + transferMargin
	return fasthttp.RequestConfig{ReadTimeout: max(readTimeout, longest), WriteTimeout: max(writeTimeout, longest)}
}

// registerState registers the gauges for the state of the instance and of the machine's
// network link.
func (i *Ingress) registerState() {
	registry := i.options.Metrics
	registry.Gauge("ingress", "cold", "1 while the instance is sent only what a cold one bears.", func() float64 {
		if i.gate.isCold() {
			return 1
		}
		return 0
	})
	registry.Gauge("ingress", "named_limit", "Requests a second that the instance says that it takes from all callers together; 0: it names no limit.", i.gate.namedLimit)
	registry.Gauge("ingress", "link_backlog_seconds", "For how long the link is taken by answers that wait for it and by those expected.", func() float64 {
		return i.link.load(clock.Now()).Seconds()
	})
	registry.Gauge("ingress", "inbound_backlog_seconds", "For how long the link is taken by request bodies that have been announced.", func() float64 {
		return i.inbound.load().Seconds()
	})
	registry.Gauge("ingress", "inbound_body_bytes", "Bytes of announced request bodies that are in memory or on their way.", i.inbound.memory)
	registry.Gauge("ingress", "close_notices_total", "Idle connections of routers that were closed with the notice that no request ran.", func() float64 { return float64(i.kept.Notices()) })
	registry.Gauge("ingress", "runs_well_ratio", "Share of runs that end well, smoothed.", func() float64 { return i.instance.success.share(clock.Now()) })
	registry.Gauge("ingress", "pace_ratio", "Pace of the instance as measured, relative to the mean of its service; 0: not known.", func() float64 {
		return i.instance.load.currentPace(clock.Now())
	})
	registry.Gauge("ingress", "speed_ratio", "Pace that the instance tells, relative to what is usual there.", i.instance.slowdown.speed)
}

var latencyBuckets = []float64{.0005, .002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// Instance returns the instance behind the ingress.
func (i *Ingress) Instance() *Instance { return i.instance }

// Address returns the address on which the ingress listens for routers.
func (i *Ingress) Address() string { return i.listener.Addr().String() }

// Run serves until ctx ends. It then still accepts requests for the configured notice time, rejects new
// ones after that, and waits for the running ones. Notice and wait together take at most the
// configured stop time, plus stopPoll, or lastChunkMargin if less than that is left after the notice.
func (i *Ingress) Run(ctx context.Context) error {
	serveContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serveContext)
	i.logger.Info("ingress_listening", zap.String("address", i.Address()), zap.String("instance", i.options.Settings.Ingress.Instance))
	group.Go(func() error { return i.disconnects.Run(serving) })
	group.Go(func() error { return i.sweep(serving) })
	group.Go(func() error {
		err := i.server.Serve(i.listener)
		if i.stopping.Load() {
			return nil
		}
		return eris.Wrap(err, "serve routers")
	})
	group.Go(func() error {
		select {
		case <-serving.Done():
		case <-ctx.Done():
			i.drain()
		}
		stop()
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain still accepts requests for the configured notice time, then rejects new ones and waits for the
// running ones until the stop time is over. The stop time includes the notice time. Connections stay open until
// no request is running, or until lastChunkMargin before the end: routers that had to dial for each request would
// do so while the listener is closed.
func (i *Ingress) drain() {
	begin := clock.Now()
	until := begin + i.options.Settings.Ingress.StopTime
	i.link.setStop(until - lastChunkMargin)
	clock.Sleep(i.options.Settings.Ingress.StopNotice, nil)
	i.stopping.Store(true)
	i.gate.close()
	i.awaitRequests(until - lastChunkMargin)
	linkLeft := i.link.load(clock.Now())
	i.link.endPacing()
	// The HTTP library looks for open connections every 100 ms only, so that a shorter shutdown gives up after one look.
	ctx, cancel := clock.WithTimeout(context.Background(), max(until-clock.Now(), lastChunkMargin))
	defer cancel()
	err := i.server.ShutdownWithContext(ctx)
	// Shutdown does not close the listener of a server that has not begun to serve.
	_ = i.listener.Close()
	log, event := i.logger.Info, "ingress_drained"
	if err = errors.Join(err, i.kept.WaitContext(ctx)); err != nil {
		log, event = i.logger.Warn, "ingress_drain_incomplete"
	}
	log(event, zap.Int("in_flight", i.disconnects.Count()), zap.Duration("took", clock.Now()-begin), zap.Duration("link_left", linkLeft), zap.Error(err))
}

// awaitRequests waits until no request is running, but no longer than until the given time.
func (i *Ingress) awaitRequests(until time.Duration) {
	for i.disconnects.Count() > 0 && clock.Now() < until {
		time.Sleep(stopPoll)
	}
}

// closedNotice returns the response to a request that crosses the close of its connection.
func closedNotice() []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.SetConnectionClose()
	response.Header.Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	response.Header.Set(wire.HeaderReason, wire.BackendReasonClosed)
	response.Header.Set(wire.HeaderFromIngress, "1")
	return []byte(response.String())
}

func (i *Ingress) sweep(ctx context.Context) error {
	ticker := time.NewTicker(upstream.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.upstreams.Sweep()
		}
	}
}

// quietLogger logs the HTTP library's own messages at debug level.
type quietLogger struct{ logger *zap.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, arguments ...any) {
	l.logger.Sugar().Debugf(format, arguments...)
}
