package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/routing"
	"limehold/wire"
)

// A machine that was suspended past a request's deadline ends the request when it resumes:
// timers do not advance during the suspension and would end it too late.
func TestDeadlinePassesWhileTheMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	router, _ := startRouter(t, routing.KindUnsafe, 1, func(http.Header) cannedResponse {
		arrived <- struct{}{}
		<-release
		return okResponse
	})
	defer close(release)
	routes := routesFor(routing.KindUnsafe, time.Hour)
	routes.Version = 2
	router.table.apply(&wire.Update{From: 1, Revision: 2, Routes: routes})
	answered := make(chan int, 1)
	go func() {
		status, _ := askFor(t, router)
		answered <- status
	}()
	<-arrived
	clock.SimulateSuspension(time.Minute) // not past the deadline
	select {
	case status := <-answered:
		t.Fatalf("answered with %d before its deadline", status)
	default:
	}
	clock.SimulateSuspension(time.Hour)
	is.Equal(<-answered, http.StatusBadGateway) // the request was sent and may have run
}
