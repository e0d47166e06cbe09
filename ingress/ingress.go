// Package ingress is the only way to the instance beside it. Whether a request may
// run is decided here and nowhere else: the instance's identity and state, its
// slots, the keys it holds, the deadline. What an ingress refuses has certainly not
// run; what it has sent on and got no usable answer to is reported as unknown.
package ingress

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"limehold"
	"limehold/accept"
	"limehold/bulletin"
	"limehold/clock"
	"limehold/hangup"
	"limehold/metrics"
	"limehold/routing"
	"limehold/settings"
	"limehold/upstream"
)

// Options configures an ingress.
type Options struct {
	Settings settings.Settings
	Logger   *zap.Logger
	Metrics  *metrics.Registry
	// Keys gives keys to the instance and takes them back; nil when its service is
	// never divided by key.
	Keys limehold.KeyClient
	// Service returns what the route table says of a service; the zero value: nothing.
	// Nil: there is no route table.
	Service func(name string) routing.Service
	// Leads reports whether the route table in force here, of the version returned, sends
	// requests of a host and path to a service; they were matched by the version matched. A
	// table that is not newer says nothing against it. Nil: there is no route table.
	Leads func(host, path []byte, service string, matched uint64) (inForce uint64, leads bool)
	// Zone returns whether the ingress's zone is drained, and since when that is known
	// here; zero: since ever. Nil: zones are never drained.
	Zone func() (drained bool, since time.Duration)
	// Board is what this process and all others have observed of requests. Nil: one of its
	// own, which nobody else reads.
	Board *bulletin.Board
	// RelayTo reports whether connections may be passed on to an address; see relay.
	// Nil: none are.
	RelayTo func(address string) bool
}

// Ingress is the gate in front of one instance.
type Ingress struct {
	options   Options
	logger    *zap.Logger
	listener  net.Listener
	server    *fasthttp.Server
	instance  *Instance
	gate      *slotGate
	link      *link
	upstreams *upstream.Pool
	hangups   *hangup.Watcher
	board     *bulletin.Board
	apart     *apart
	stopping  atomic.Bool
	// tunnels counts the connections that are passed on for others.
	tunnels  atomic.Int64
	outcomes *prometheus.CounterVec
	panics   prometheus.Counter
	waits    prometheus.Histogram
	runs     prometheus.Histogram
}

const (
	// bufferedBody is the size in bytes up to which a request's body is read before
	// the request is looked at.
	bufferedBody = 64 << 10
	// readTimeout and writeTimeout end connections whose router has gone without a word. They
	// are longer than routes' timeouts, which end the requests.
	readTimeout  = 15 * time.Second
	writeTimeout = 15 * time.Second
	// idleTimeout is longer than any router keeps an idle connection.
	idleTimeout = time.Minute
	// maxHeaderBytes is more than routers let in, by what they add.
	maxHeaderBytes = 64 << 10
	// instanceIdle is how long connections to the instance are kept without use when
	// it does not say how long it keeps them.
	instanceIdle = 4 * time.Second
	// stopPoll is how often a stopping ingress looks whether something still runs.
	stopPoll = 20 * time.Millisecond
	// lastPieces is how long before the end of a stop the last piece of a large answer is given
	// to the system: it is read at the other side before the connection is closed.
	lastPieces = 200 * time.Millisecond
)

// New opens the listener. Run serves it.
func New(options Options) (*Ingress, error) {
	listener, err := net.Listen("tcp", options.Settings.Ingress.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for routers on %s (ingress.listen)", options.Settings.Ingress.Listen)
	}
	i := &Ingress{
		apart: newApart(), options: options, logger: options.Logger,
		listener:  accept.Lasting(listener, "ingress", options.Logger, options.Metrics),
		gate:      newSlotGate(options.Settings.Ingress.QueueTime),
		link:      newLink(options.Settings.Ingress.LinkMbps),
		upstreams: upstream.NewPool(instanceIdle), hangups: hangup.NewWatcher(),
	}
	i.instance = newInstance(options, i.gate)
	i.board = i.instance.board
	i.outcomes = options.Metrics.CounterVec("ingress", "requests_total", "Requests of routers, by outcome and reason.", "outcome", "reason")
	i.panics = options.Metrics.Counter("ingress", "panics_total", "Requests under which this process panicked; each ended by itself.")
	i.waits = options.Metrics.Histogram("ingress", "wait_seconds", "Time that a request waited for one of the instance's slots.", latencyBuckets)
	i.runs = options.Metrics.Histogram("ingress", "run_seconds", "Time from sending a request to the instance to the head of its answer.", latencyBuckets)
	options.Metrics.Gauge("ingress", "running", "Requests at the instance.", func() float64 { return float64(i.gate.load().running) })
	options.Metrics.Gauge("ingress", "waiting", "Requests that wait for one of the instance's slots.", func() float64 { return float64(i.gate.load().waiting) })
	i.registerState()
	i.server = &fasthttp.Server{
		Handler: i.handle, NoDefaultServerHeader: true, NoDefaultContentType: true,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: bufferedBody, StreamRequestBody: true,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true, Logger: quietLogger{i.logger},
	}
	return i, nil
}

// registerState adds what is known of the instance and of its machine's link.
func (i *Ingress) registerState() {
	registry := i.options.Metrics
	registry.Gauge("ingress", "cold", "1 while the instance is sent only what a cold one bears.", func() float64 {
		if i.gate.isCold() {
			return 1
		}
		return 0
	})
	registry.Gauge("ingress", "link_backlog_seconds", "For how long the link is taken by answers that wait for it and by those expected.", func() float64 {
		return i.link.load(clock.Now()).Seconds()
	})
	registry.Gauge("ingress", "runs_well_ratio", "Share of runs that end well, smoothed.", func() float64 { return i.instance.success.share(clock.Now()) })
	registry.Gauge("ingress", "speed_ratio", "Pace that the instance tells, relative to what is usual there.", i.instance.pace.speed)
}

var latencyBuckets = []float64{.0005, .002, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// Instance is the instance behind the ingress.
func (i *Ingress) Instance() *Instance { return i.instance }

// Address is the listener for routers.
func (i *Ingress) Address() string { return i.listener.Addr().String() }

// Run serves until ctx ends. It then refuses what is new, waits for what runs, up
// to the stop time of the settings, and returns.
func (i *Ingress) Run(ctx context.Context) error {
	serveContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serveContext)
	i.logger.Info("ingress_listening", zap.String("address", i.Address()), zap.String("instance", i.options.Settings.Ingress.Instance))
	group.Go(func() error { return i.hangups.Run(serving) })
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

// drain goes on for the notice time, then refuses new requests and waits for those that
// run.
func (i *Ingress) drain() {
	until := clock.Now() + i.options.Settings.Ingress.StopTime
	i.link.stop(until - lastPieces)
	clock.Sleep(i.options.Settings.Ingress.StopNotice, nil)
	i.stopping.Store(true)
	i.gate.close()
	for i.hangups.Count() > 0 && clock.Now() < until {
		time.Sleep(stopPoll)
	}
	ctx, cancel := clock.WithTimeout(context.Background(), until+stopPoll-clock.Now())
	defer cancel()
	if err := i.server.ShutdownWithContext(ctx); err != nil {
		i.logger.Warn("ingress_drain_incomplete", zap.Int("in_flight", i.hangups.Count()))
	}
	// A server that has not begun to serve yet does not close it.
	_ = i.listener.Close()
}

func (i *Ingress) sweep(ctx context.Context) error {
	ticker := time.NewTicker(upstream.SweepEvery)
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

// quietLogger passes the HTTP library's own messages on at debug level.
type quietLogger struct{ logger *zap.Logger }

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, arguments ...any) {
	l.logger.Sugar().Debugf(format, arguments...)
}
