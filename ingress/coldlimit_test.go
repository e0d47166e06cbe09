package ingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/clock"
	"limehold/routing"
	"limehold/wire"
)

// Requests that reach an instance of a drained zone are rejected in front of it. Keys are served until
// half of the drain time has passed, as they may not have moved yet.
func TestRequestsToADrainedZoneAreRefusedInFrontOfTheInstance(t *testing.T) {
	const drainTime = 4 * second
	for name, c := range map[string]struct {
		draining bool
		// ago is how long ago the last change of the zone was received.
		ago   time.Duration
		keyed bool
		// refused is the reason of the rejection; uncertain is set if the instance may be cold.
		refused   string
		uncertain bool
	}{
		"in service, never drained":   {false, time.Hour, false, "", false},
		"drained":                     {true, second, false, wire.BackendReasonZoneDrained, false},
		"drained, a key at first":     {true, second, true, "", false},
		"drained, a key later":        {true, 3 * second, true, wire.BackendReasonZoneDrained, false},
		"taken back":                  {false, second, false, "", true},
		"taken back, a key":           {false, second, true, "", true},
		"drained long ago, any other": {true, time.Hour, false, wire.BackendReasonZoneDrained, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Settings.Ingress.ZoneDrainTime = drainTime
			i.options.Service = func(name string) routing.Service { return routing.Service{Name: name, ColdStartRate: 5} }
			is.True(i.Announce(Announcement{ID: "i-1", Service: "numbers", Slots: 2, Sequence: 1}))
			now := clock.Now()
			i.gate.updateCold(func(cold *coldStart) { cold.updateFromProbe(0, now, now) })
			i.zoneChangeSeen = now - 2*drainTime
			i.options.ZoneDraining = func() (bool, time.Duration) { return c.draining, now - c.ago }
			is.Equal(i.zoneRejectReason(c.keyed, now), c.refused)
			is.Equal(i.gate.isCold(), c.uncertain)
		})
	}
}

// The rate limit of a cold instance is that of its service in the route table in force, and a low one
// before the table has arrived.
func TestBoundOfAColdInstanceFollowsTheRouteTable(t *testing.T) {
	for name, c := range map[string]struct {
		routed routing.Service
		bound  int
	}{
		"no table yet":         {routing.Service{}, defaultColdPerSecond},
		"a service with one":   {routing.Service{Name: "numbers", ColdStartRate: 13}, 13},
		"a service without it": {routing.Service{Name: "numbers"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newHeartbeatInstance(t, 0)
			i.options.Service = func(string) routing.Service { return c.routed }
			i.updateColdLimit("numbers", clock.Now())
			is.Equal(i.gate.coldLimit(), c.bound)
		})
	}
}
