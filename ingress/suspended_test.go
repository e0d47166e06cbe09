package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/wire"
)

// Running and waiting requests end at their deadlines even if the machine was suspended meanwhile.
func TestDeadlinesPassWhileTheMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	m := startCrashingInstance(t)
	i := startMonitored(t, m.address)
	i.Instance().Announce(Announcement{ID: "i-1", Service: "orders", Slots: 1, Sequence: 2})
	ran, waited := make(chan string, 1), make(chan string, 1)
	send := func(outcome chan string) {
		response := askPath(t, i, "/slow", func(header http.Header) {
			header.Set(wire.HeaderTarget, "3600000")
			header.Set(wire.HeaderDeadline, "3600000")
		})
		outcome <- response.Header.Get(wire.HeaderOutcome)
	}
	go send(ran)
	m.awaitRunning(t, 1)
	go send(waited)
	for i.gate.load().waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.SimulateSuspension(2 * time.Hour)
	is.Equal(<-ran, wire.OutcomeUnknown)
	is.Equal(<-waited, wire.OutcomeNotRun)
}
