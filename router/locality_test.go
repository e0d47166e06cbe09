package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/admission"
	"limehold/routing"
)

// Traffic between zones is expensive: a request with a small response leaves its zone when an
// instance of another zone is much faster; one with a large response only when its zone has none.
func TestInstanceOfTheOwnZoneIsChosen(t *testing.T) {
	const own, other = admission.InstanceID(1), admission.InstanceID(2)
	cases := map[string]struct {
		kind routing.Kind
		// ownTime is the run time of the instance in the own zone; the other's is 100 ms.
		ownTime time.Duration
		// gone is set when the own zone has no instance.
		gone bool
		want admission.InstanceID
	}{
		"small answer, own instance as quick":       {routing.KindSafe, 100 * time.Millisecond, false, own},
		"small answer, own instance much slower":    {routing.KindSafe, 400 * time.Millisecond, false, other},
		"large answer, own instance much slower":    {routing.KindDownload, 400 * time.Millisecond, false, own},
		"large answer, no instance in the own zone": {routing.KindDownload, 0, true, other},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gate := admission.NewGate(admission.Options{Random: func(int) int { return 0 }})
			list := []admission.Instance{{ID: other, Zone: "b", Slots: 10, SelfLimited: true}}
			if !c.gone {
				list = append(list, admission.Instance{ID: own, Zone: "a", Slots: 10, SelfLimited: true})
			}
			gate.Update(time.Minute, list)
			gate.SetLoad(own, admission.Load{Slots: 10, RunTime: c.ownTime})
			gate.SetLoad(other, admission.Load{Slots: 10, RunTime: 100 * time.Millisecond})
			p := &proxiedRequest{routed: &routedRoute{route: &routing.Route{Kind: c.kind}, stats: &routeStats{}}}
			waiter := &admission.Waiter{Requirements: admission.Requirements{Zone: "a", RemoteCost: p.remoteCost()}}
			is.Equal(gate.Acquire(time.Minute, waiter), admission.Admitted)
			is.Equal(waiter.Granted, c.want)
		})
	}
}
