// Package adminserver implements the HTTP listener that each process has for
// operators: metrics, health, and paths that the process adds.
package adminserver

import (
	"context"
	"net"
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

// Run serves requests until ctx ends. It then waits up to shutdownTimeout for running
// requests to finish.
func Run(ctx context.Context, options Options) error {
	if options.MaxBody == 0 {
		options.MaxBody = maxBody
	}
	server := &fasthttp.Server{
		Handler: options.handle, MaxRequestBodySize: options.MaxBody, ReadTimeout: readTimeout, NoDefaultServerHeader: true,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownContext, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(shutdownContext)
	}()
	err := server.Serve(accept.RetryTemporary(options.Listener, "admin", options.Logger, options.Metrics))
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return eris.Wrap(err, "serve the admin listener")
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
