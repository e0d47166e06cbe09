package ingress

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/wire"
)

// A request during which the ingress panics ends with an unknown outcome and releases its slot, wherever
// the panic happens.
func TestRequestThatTheIngressFailsUnderEndsByItself(t *testing.T) {
	for name, after := range map[string]int64{"before it has a slot": 1, "once it has one": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := startIngress(t, startInstance(t, okResponse, false))
			var looks, failing atomic.Int64
			failing.Store(after)
			i.instance.options.ZoneDraining = func() (bool, time.Duration) {
				if at := failing.Load(); at > 0 && looks.Add(1)%at == 0 {
					panic("injected panic")
				}
				return false, 0
			}
			for range 5 { // more than the instance has slots
				response := ask(t, i, nil)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(response.Header.Get(wire.HeaderOutcome), wire.OutcomeUnknown)
			}
			failing.Store(0)
			is.Equal(i.gate.load().running, 0)
			is.Equal(i.disconnects.Count(), 0)
			is.Equal(ask(t, i, nil).Header.Get(wire.HeaderOutcome), wire.OutcomeOK)
		})
	}
}
