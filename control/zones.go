package control

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/catalog"
	"limehold/fleet"
	"limehold/wire"
)

// UnknownZone is the error for a zone that the deployment does not have.
type UnknownZone struct {
	Zone string
	// Known lists the zones of the deployment.
	Known []string
}

// Error implements error.
func (u *UnknownZone) Error() string {
	return "zone is " + `"` + u.Zone + `"` + ": use one of " + strings.Join(u.Known, ", ")
}

// SetZoneDraining starts or ends the draining of a zone, as request asks. The change is durable if the
// error is nil. After an error other than UnknownZone the change may or may not have
// taken effect; it may be sent again, to any member.
func (m *Member) SetZoneDraining(ctx context.Context, request *fasthttp.RequestCtx, zone string, draining bool) error {
	if !m.hasStarted() {
		return m.notStarted("drain zone")
	}
	command, err := m.zoneCommand(ctx, zone, draining)
	if err != nil {
		return err
	}
	result, err := m.execute(ctx, command)
	m.logZoneOrder(sourceOf(request), &command, result, err)
	if err != nil {
		return err
	}
	if result.Stale > 0 {
		return m.zoneChanged(zone)
	}
	return nil
}

// zoneCommand returns the command that sets whether a zone is draining. The command has no
// effect if the zone's revision changes before it is applied.
func (m *Member) zoneCommand(ctx context.Context, zone string, draining bool) (fleet.Command, error) {
	if err := m.linearize(ctx); err != nil {
		return fleet.Command{}, err
	}
	change := &fleet.SetZoneDraining{Zone: zone, Draining: draining}
	var known []string
	m.replica.view(func(state *fleet.State) {
		change.Expected = state.Zones[zone].Revision
		known = m.knownZones(state)
	})
	if !slices.Contains(known, zone) {
		return fleet.Command{}, &UnknownZone{Zone: zone, Known: known}
	}
	return fleet.Command{SetZoneDraining: change}, nil
}

func (m *Member) zoneChanged(zone string) *wire.Error {
	return &wire.Error{
		Code: wire.CodeTimeout, Step: "drain zone " + zone, Peer: m.options.Settings.Name,
		Message: "the zone was changed by another command in the meantime: send this one again if it still applies",
	}
}

// knownZones returns the zones of the settings. If the settings list none, it returns
// the zones of all nodes and those that have ever been drained.
func (m *Member) knownZones(state *fleet.State) []string {
	if len(m.options.Settings.Zones) > 0 {
		return m.options.Settings.Zones
	}
	var known []string
	for _, node := range state.Membership.Sessions {
		known = append(known, node.Zone)
	}
	for name := range state.Zones {
		known = append(known, name)
	}
	slices.Sort(known)
	return slices.Compact(known)
}

// drainedZones returns the draining zones, which get no new work, sorted by name.
func drainedZones(state *fleet.State) []string {
	var drained []string
	for name, zone := range state.Zones {
		if zone.Draining {
			drained = append(drained, name)
		}
	}
	slices.Sort(drained)
	return drained
}

// routeZones serves the operators' requests on zones.
func (m *Member) routeZones(ctx context.Context, request *fasthttp.RequestCtx, method, name, action string) (any, error) {
	if method == http.MethodGet {
		return m.readZones(ctx, request)
	}
	if method != http.MethodPost || action != "drain" && action != "undrain" {
		return nil, methodNotAllowed(method)
	}
	command, err := m.zoneCommand(ctx, name, action == "drain")
	if unknown, ok := err.(*UnknownZone); ok {
		return nil, &catalog.Failure{Code: catalog.FailureNotFound, Message: unknown.Error()}
	}
	if err != nil {
		return nil, err
	}
	return m.change(ctx, request, command)
}

func (m *Member) readZones(ctx context.Context, request *fasthttp.RequestCtx) (any, error) {
	list := []adminapi.Zone{}
	err := m.read(ctx, request, func(state *fleet.State) {
		nodes, shards := map[string]int{}, map[string]int{}
		for _, node := range state.Membership.Sessions {
			nodes[node.Zone]++
			shards[node.Zone] += state.Ownership.OwnedCount(node.Session)
		}
		for _, name := range m.knownZones(state) {
			list = append(list, zoneStatus(name, state.Zones[name], nodes[name], shards[name]))
		}
	})
	slices.SortFunc(list, func(a, b adminapi.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return list, err
}

func zoneStatus(name string, zone fleet.Zone, nodes, shards int) adminapi.Zone {
	answer := adminapi.Zone{Name: name, State: adminapi.ZoneInService, Nodes: nodes, Shards: shards, Revision: zone.Revision}
	switch {
	case zone.Draining && shards > 0:
		answer.State = adminapi.ZoneDraining
	case zone.Draining:
		answer.State = adminapi.ZoneDrained
	}
	if zone.Revision > 0 {
		answer.Since = time.UnixMilli(zone.At).UTC().Format(time.RFC3339Nano)
	}
	return answer
}
