package ingress

import (
	"time"

	"limehold/wire"
)

// This file limits the requests to a healthy instance because of its cold start or its zone.

// updateCold updates the cold start from an announcement.
func (i *Instance) updateCold(announced Announcement, now time.Duration) {
	i.gate.updateCold(func(c *coldStart) { c.update(announced.ColdRemaining, now) })
	i.updateColdLimit(announced.Service, now)
	i.probe.trigger()
}

// defaultColdPerSecond is the request rate for a cold instance whose service's route table has not
// arrived yet. It is lower than the rates that deployments configure.
const defaultColdPerSecond = 10

// updateColdLimit sets the request rate for the cold instance, by the route table in force.
func (i *Instance) updateColdLimit(service string, now time.Duration) {
	perSecond := 0
	if i.options.Service != nil {
		routed := i.options.Service(service)
		perSecond = routed.ColdStartRate
		if routed.Name == "" {
			perSecond = defaultColdPerSecond
		}
	}
	if i.gate.coldLimit() != perSecond {
		i.gate.updateCold(func(c *coldStart) { c.setLimit(perSecond, now) })
	}
}

// healthPath returns the ID of the current instance and the path at which it reports its health. The
// path is empty if there is none.
func (i *Instance) healthPath() (id, path string) {
	i.mutex.Lock()
	announced := i.current
	i.mutex.Unlock()
	if i.options.Service == nil {
		return announced.ID, ""
	}
	return announced.ID, i.options.Service(announced.Service).HealthPath
}

// zoneRejectReason returns why a request may not be sent to the instance because of its zone; empty if it
// may. In a drained zone only requests for keys that the instance still holds are accepted, and only for
// the first half of the zone's drain time. Once the zone is no longer drained, zoneRejectReason records
// that the instance may be cold.
func (i *Instance) zoneRejectReason(keyed bool, now time.Duration) string {
	if i.options.ZoneDraining == nil {
		return ""
	}
	drained, changed := i.options.ZoneDraining()
	if drained {
		if keyed && now-changed < i.options.Settings.Ingress.ZoneDrainTime/zoneKeysDivisor {
			return ""
		}
		return wire.BackendReasonZoneDrained
	}
	i.mutex.Lock()
	returned := changed > i.zoneChangeSeen
	i.zoneChangeSeen = max(i.zoneChangeSeen, changed)
	i.mutex.Unlock()
	if returned {
		i.probe.markUncertain("zone returned from drain")
	}
	return ""
}

// zoneKeysDivisor divides the zone's drain time into the time for which keys that have not moved out yet
// are still served. Control moves them within a second; requests for what remains later wait for an
// owner elsewhere.
const zoneKeysDivisor = 2
