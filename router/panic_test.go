package router

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"limehold/routing"
	"limehold/wire"
)

// A request under which the router panics ends by itself, with an open outcome, and keeps
// nothing: others are served, as many as before.
func TestRequestThatTheRouterFailsUnderEndsByItself(t *testing.T) {
	is := is.New(t)
	router, _ := suspectRouter(t, routing.KindSafe, 1, func(http.Header) answering { return servedWell })
	var failing atomic.Bool
	router.options.Sent = func(int) {
		if failing.Load() {
			panic("a request that nobody can send")
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
	is.Equal(router.hangups.Count(), 0)
}
