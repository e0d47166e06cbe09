package router

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/bench/standin"
	"limehold/catalog"
	"limehold/clock"
	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// BenchmarkRequest compares a request through the router with the same request
// sent directly to the backend, and through a minimal forwarder of the HTTP library
// without limits, outcomes and checks. All use persistent connections.
func BenchmarkRequest(b *testing.B) {
	backend, err := standin.New(standin.Options{Name: "a", Listen: "127.0.0.1:0", Slots: 1000})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = backend.Run(ctx, 0) }()
	router := benchRouter(b, backend.Address())
	go func() { _ = router.server.Serve(router.listener) }()
	defer func() { _ = router.server.Shutdown() }()
	forwarder := plainForwarder(b, backend.Address())
	targets := []struct{ name, address string }{
		{"direct", backend.Address()}, {"through a plain forwarder", forwarder}, {"through the router", router.Address()},
	}
	for _, size := range []int{200, 60_000} {
		for _, target := range targets {
			b.Run(fmt.Sprintf("%d bytes %s", size, target.name), func(b *testing.B) {
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) { ask(b, pb, target.address, size) })
			})
		}
	}
}

// plainForwarder starts a server that forwards each request with the library's client.
func plainForwarder(b *testing.B, backend string) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := &fasthttp.HostClient{Addr: backend, MaxConns: 1000, MaxIdemponentCallAttempts: 1}
	server := &fasthttp.Server{Handler: func(request *fasthttp.RequestCtx) {
		if err := client.Do(&request.Request, &request.Response); err != nil {
			request.Error(err.Error(), fasthttp.StatusBadGateway)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// ask sends requests for responses of the given size.
func ask(b *testing.B, pb *testing.PB, address string, size int) {
	client := &fasthttp.HostClient{Addr: address, MaxIdemponentCallAttempts: 1}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://fleet/orders/1?bytes=%d", size))
	for pb.Next() {
		if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
			b.Errorf("%v, status %d", err, response.StatusCode())
			return
		}
	}
}

// benchRouter returns a router with one service, one instance, and a view that stays current.
func benchRouter(b *testing.B, backend string) *Router {
	b.Helper()
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New()})
	if err != nil {
		b.Fatal(err)
	}
	spec := catalog.NewSpec()
	spec.Match, spec.Pool = catalog.Match{PathPrefix: "/orders"}, "orders"
	spec.Complete()
	router.table.apply(&wire.Update{
		Snapshot: true, Revision: 1,
		Services: []wire.ServiceView{{Name: "orders", Revision: 1, Spec: spec}},
		Nodes:    []wire.NodeView{{Session: 1, Name: "a", Zone: "a", Address: backend, Pool: "orders", Slots: 1000, Connections: 1000}},
	})
	router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour, revision: 1}, 1)
	return router
}
