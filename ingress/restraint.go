package ingress

import (
	"time"

	"limehold/wire"
)

// What keeps requests from an instance that is well: its cold start, and its zone.

// takeCold takes what an announcement says of a cold start.
func (i *Instance) takeCold(announced Announcement, now time.Duration) {
	i.gate.changeCold(func(c *coldStart) { c.told(announced.Cold, now) })
	i.boundCold(announced.Service, now)
	i.probe.settle()
}

// unknownColdPerSecond is how many requests a second a cold instance is sent of whose
// service the route table has not come yet: fewer than any deployment has its own bear.
const unknownColdPerSecond = 10

// boundCold takes how many requests the instance bears while it is cold, by the route table
// that is in force here now.
func (i *Instance) boundCold(service string, now time.Duration) {
	perSecond := 0
	if i.options.Service != nil {
		told := i.options.Service(service)
		perSecond = told.ColdPerSecond
		if told.Name == "" {
			perSecond = unknownColdPerSecond
		}
	}
	if i.gate.coldBound() != perSecond {
		i.gate.changeCold(func(c *coldStart) { c.bound(perSecond, now) })
	}
}

// healthPath is at which path the instance that runs now says how it is; empty: at none.
func (i *Instance) healthPath() (id, path string) {
	i.mutex.Lock()
	announced := i.current
	i.mutex.Unlock()
	if i.options.Service == nil {
		return announced.ID, ""
	}
	return announced.ID, i.options.Service(announced.Service).HealthPath
}

// zoneRefusal is why a request may not be sent to the instance for its zone's sake; empty:
// it may. A drained zone takes nothing new but requests for the keys that the instance
// holds until another one does, for half the time within which all has to end.
func (i *Instance) zoneRefusal(keyed bool, now time.Duration) string {
	if i.options.Zone == nil {
		return ""
	}
	drained, changed := i.options.Zone()
	if drained {
		if keyed && now-changed < i.options.Settings.Ingress.ZoneDrainTime/zoneKeysShare {
			return ""
		}
		return wire.BackendReasonZoneDrained
	}
	i.mutex.Lock()
	returned := changed > i.zoneSeen
	i.zoneSeen = max(i.zoneSeen, changed)
	i.mutex.Unlock()
	if returned {
		i.probe.doubt("its zone was drained")
	}
	return ""
}

// zoneKeysShare of the zone's drain time is for how long keys are served that have not
// moved out yet: control moves them within a second, and what is still here later waits
// for an owner elsewhere.
const zoneKeysShare = 2
