// Package adminserver is the HTTP listener that each process has for operators:
// metrics, health, and whatever the process adds.
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
	// Healthy returns why a balancer should leave the process out; nil: it is fine.
	Healthy func() error
	// Extension is asked first, and returns false for what is not its own. Optional.
	Extension func(*fasthttp.RequestCtx) bool
	// MaxBody bounds a request's body in bytes. Default 8 MiB.
	MaxBody int
	// Other answers every path but /metrics and /healthz. Optional.
	Other fasthttp.RequestHandler
}

const (
	readTimeout  = 10 * time.Second
	shutdownWait = 2 * time.Second
	// maxBody bounds an operator's request in bytes.
	maxBody = 8 << 20
)

// Run answers until ctx ends, and finishes what is under way then.
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
		shutdown, cancel := context.WithTimeout(context.Background(), shutdownWait)
		defer cancel()
		_ = server.ShutdownWithContext(shutdown)
	}()
	err := server.Serve(accept.Lasting(options.Listener, "admin", options.Logger, options.Metrics))
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return eris.Wrap(err, "serve operators")
}

// handle answers one question. One that it panics under is answered as failed; whoever asked
// may ask again, and others are served.
func (o *Options) handle(request *fasthttp.RequestCtx) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.Panicked(o.Logger, "answer "+string(request.Path()), request.RemoteAddr().String(), cause)
			request.Error("this process failed while it answered\n", fasthttp.StatusInternalServerError)
		}
	}()
	if o.Extension != nil && o.Extension(request) {
		return
	}
	switch string(request.Path()) {
	case "/metrics":
		o.writeMetrics(request)
	case "/healthz":
		o.writeHealth(request)
	default:
		if o.Other == nil {
			request.Error("not found: this process answers /metrics and /healthz\n", fasthttp.StatusNotFound)
			return
		}
		o.Other(request)
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
