package router

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"limehold/routing"
	"limehold/wire"
)

// A panic ends only its own request, with an unknown outcome, and leaks no slot: as many other
// requests as before are served.
func TestRequestThatTheRouterFailsUnderEndsByItself(t *testing.T) {
	is := is.New(t)
	router, _ := startRouter(t, routing.KindSafe, 1, func(http.Header) cannedResponse { return okResponse })
	var failing atomic.Bool
	router.options.OnBodySent = func(int) {
		if failing.Load() {
			panic("sending fails")
		}
	}
	failing.Store(true)
	for range 20 { // more than the instance has slots
		status, header := askFor(t, router)
		is.Equal(status, http.StatusBadGateway)
		is.Equal(header.Get(wire.HeaderOutcome), wire.OutcomeUnknown)
		is.Equal(header.Get(wire.HeaderReason), reasonPanicked)
	}
	failing.Store(false)
	status, _ := askFor(t, router)
	is.Equal(status, http.StatusOK)
	is.Equal(router.disconnects.Count(), 0)
}
