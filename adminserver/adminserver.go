// Package adminserver implements the HTTP listener that each process has for
// operators: metrics, health, and paths that the process adds.
package adminserver

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/accept"
	"limehold/goaway"
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
	kept := goaway.New(options.Listener, closedNotice())
	server := &fasthttp.Server{
		Handler: kept.Handler(options.handle), MaxRequestBodySize: options.MaxBody, ReadTimeout: readTimeout, NoDefaultServerHeader: true,
		CloseOnShutdown: true, ConnState: kept.ConnState,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownContext, cancel := context.WithTimeout(options.End, shutdownTimeout)
		defer cancel()
		err := server.ShutdownWithContext(shutdownContext)
		_ = kept.Close() // the shutdown does not close the listener of a server that has not begun to serve
		if err = errors.Join(err, kept.WaitContext(shutdownContext)); err != nil {
			options.Logger.Warn("admin_drain_incomplete", zap.Error(err))
		}
	}()
	err := server.Serve(accept.RetryTemporary(kept, "admin", options.Logger, options.Metrics))
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return eris.Wrap(err, "serve the admin listener")
}

// closedNotice returns the response to a request that crosses the close of its connection.
func closedNotice() []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.SetConnectionClose()
	response.SetBodyString("the process closed the connection before it read the request: send it again\n")
	return []byte(response.String())
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
