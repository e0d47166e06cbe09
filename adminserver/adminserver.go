// Package adminserver implements the HTTP listener that each process has for
// operators: metrics, health, and paths that the process adds.
package adminserver

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/accept"
	"limehold/logging"
	"limehold/metrics"
)

// Options configures a listener.
type Options struct {
	Listener net.Listener
	Metrics  *metrics.Registry
	Logger   *zap.Logger
	// Healthy returns an error if a load balancer should not use the process. Optional.
	Healthy func() error
	// Intercept handles each request first. It reports whether it answered the request.
	// Optional.
	Intercept func(*fasthttp.RequestCtx) bool
	// End ends the wait for running requests before shutdownTimeout. Optional.
	End context.Context
	// MaxBody bounds the body of a request in bytes. Default 8 MiB.
	MaxBody int
	// Fallback handles every path except /metrics and /healthz. Optional.
	Fallback fasthttp.RequestHandler
}

const (
	readTimeout     = 10 * time.Second
	shutdownTimeout = 2 * time.Second
	// settleTime is how long requests that have arrived when the listener stops may take to be read.
	settleTime = 100 * time.Millisecond
	stopPoll   = 10 * time.Millisecond
	// maxBody is the default of Options.MaxBody.
	maxBody = 8 << 20
)

// Run serves requests until ctx ends. It then waits up to shutdownTimeout, or until Options.End,
// for running requests to finish, but not for connections that have sent nothing.
func Run(ctx context.Context, options Options) error {
	if options.MaxBody == 0 {
		options.MaxBody = maxBody
	}
	if options.End == nil {
		options.End = context.Background()
	}
	var running runningRequests
	server := &fasthttp.Server{
		Handler: options.handle, MaxRequestBodySize: options.MaxBody, ReadTimeout: readTimeout, NoDefaultServerHeader: true,
		ConnState: running.connState,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownContext, cancel := context.WithTimeout(options.End, shutdownTimeout)
		defer cancel()
		go func() {
			running.awaitNone(shutdownContext)
			cancel()
		}()
		_ = server.ShutdownWithContext(shutdownContext)
	}()
	err := server.Serve(accept.RetryTemporary(options.Listener, "admin", options.Logger, options.Metrics))
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return eris.Wrap(err, "serve the admin listener")
}

// runningRequests are the connections on which a request is read or runs, or its response is written. The server's shutdown also
// waits for new connections that have sent nothing, for some seconds.
type runningRequests struct {
	mutex sync.Mutex
	conns map[net.Conn]struct{}
}

// connState is the server's hook for changes of the state of a connection.
func (r *runningRequests) connState(conn net.Conn, state fasthttp.ConnState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if state != fasthttp.StateActive {
		delete(r.conns, conn)
		return
	}
	if r.conns == nil {
		r.conns = map[net.Conn]struct{}{}
	}
	r.conns[conn] = struct{}{}
}

func (r *runningRequests) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.conns)
}

// awaitNone waits for settleTime, and then until no request runs or ctx ends.
func (r *runningRequests) awaitNone(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(settleTime):
	}
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for r.count() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// handle answers one request. If the handler panics, the request gets an internal
// error and the process continues to serve others.
func (o *Options) handle(request *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(o.Logger, "answer "+string(request.Path()), request.RemoteAddr().String(), cause)
			request.Error("this process failed while it answered\n", fasthttp.StatusInternalServerError)
		}
	}()
	if o.Intercept != nil && o.Intercept(request) {
		return
	}
	switch string(request.Path()) {
	case "/metrics":
		o.writeMetrics(request)
	case "/healthz":
		o.writeHealth(request)
	default:
		if o.Fallback == nil {
			request.Error("not found: this process answers /metrics and /healthz\n", fasthttp.StatusNotFound)
			return
		}
		o.Fallback(request)
	}
}

func (o *Options) writeMetrics(request *fasthttp.RequestCtx) {
	text, err := o.Metrics.Text()
	if err != nil {
		request.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	request.SetContentType("text/plain; version=0.0.4")
	request.SetBody(text)
}

func (o *Options) writeHealth(request *fasthttp.RequestCtx) {
	if o.Healthy != nil {
		if err := o.Healthy(); err != nil {
			request.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
			return
		}
	}
	request.SetBodyString("ok\n")
}
