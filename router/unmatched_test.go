package router

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/catalog"
	"limehold/clock"
	"limehold/metrics"
	"limehold/settings"
	"limehold/wire"
)

// Guards against the answer that a service does not exist while the router's first table, which contains it, is
// being applied.
func TestFirstTableIsNotDeniedWhileItArrives(t *testing.T) {
	const rounds, lookups = 400, 4
	is := is.New(t)
	spec := catalog.NewSpec()
	spec.Pool = "former"
	spec.Complete()
	snapshot := &wire.Update{Snapshot: true, Revision: 1, Routes: routesOf(1, shareOf("former")), Services: []wire.ServiceView{{Name: "former", Revision: 1, Spec: spec}}}
	config := settings.Default()
	config.Name, config.Zone = "router-1", "a"
	denied := 0
	for range rounds {
		router, err := New(Options{Settings: config, Logger: zap.NewNop(), Metrics: metrics.New(), ExpectRouteTable: true})
		is.NoErr(err)
		router.freshness.confirm(clock.Now(), confirmation{sentAt: clock.Now() + time.Hour}, 0)
		var all, begun sync.WaitGroup
		var mutex sync.Mutex
		begun.Add(lookups)
		for range lookups {
			all.Go(func() {
				for first := true; ; first = false {
					request := &fasthttp.RequestCtx{}
					request.Request.SetRequestURI("http://shop.example/moved/1")
					found, rejected := router.prepare(request)
					if rejected.reason == rejectNoService.reason {
						mutex.Lock()
						denied++
						mutex.Unlock()
					}
					if found != nil {
						return
					}
					if first {
						begun.Done()
					}
				}
			})
		}
		begun.Wait()
		is.True(router.table.apply(snapshot))
		all.Wait()
		is.NoErr(router.listener.Close())
	}
	is.Equal(denied, 0)
}
