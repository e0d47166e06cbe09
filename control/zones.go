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
	"limehold/decisions"
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

// ZoneOrder is an operator's order to drain a zone or to return it to service.
type ZoneOrder struct {
	Zone     string
	Draining bool
	// Basis is the revision of the state that the sender has seen, nil if it does not name one.
	Basis *uint64
}

// SetZoneDraining starts or ends the draining of a zone, as request asks. The change is durable if the error is nil.
// The order has not taken effect after a BasisMissing or UnknownZone. After any other error it may or may not have;
// it may be sent again, to any member, without a basis.
func (m *Member) SetZoneDraining(ctx context.Context, request *fasthttp.RequestCtx, zone ZoneOrder) error {
	if !m.hasStarted() {
		return m.notStarted("drain zone")
	}
	order, err := m.zoneOrder(ctx, request, zone)
	if err != nil {
		return err
	}
	result, err := m.carryOut(ctx, request, order)
	switch {
	case err != nil:
		return err
	case result.Failure != nil:
		return result.Failure
	case result.Stale > 0:
		return m.zoneChanged(zone.Zone)
	}
	return nil
}

// zoneOrder returns the order for a zone, which the deployment must have.
func (m *Member) zoneOrder(ctx context.Context, request *fasthttp.RequestCtx, zone ZoneOrder) (order, error) {
	change := &fleet.SetZoneDraining{Zone: zone.Zone, Draining: zone.Draining}
	order := order{resource: fleet.ZoneResource(zone.Zone), action: "undrain", basis: zone.Basis, command: fleet.Command{SetZoneDraining: change}}
	if zone.Draining {
		order.action = "drain"
	}
	err := m.linearize(ctx)
	if err == nil {
		var known []string
		m.replica.view(func(state *fleet.State) { known = m.knownZones(state) })
		if !slices.Contains(known, zone.Zone) {
			err = &UnknownZone{Zone: zone.Zone, Known: known}
		}
	}
	if err != nil {
		m.logOrder(request, order, fleet.Result{}, err)
	}
	return order, err
}

// zoneChanged is the error for an order that a leader of an earlier version has rejected.
func (m *Member) zoneChanged(zone string) *wire.Error {
	return &wire.Error{
		Code: wire.CodeTimeout, Step: "drain zone " + zone, Peer: m.options.Settings.Name,
		Message: "the zone was changed by another order in the meantime: send this one again if it still applies",
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
	if method == http.MethodGet && name != "" {
		return m.explainDrain(ctx, request, fleet.ZoneResource(name), name, decisions.KindZoneDraining, decisions.KindZoneResumed)
	}
	if method == http.MethodGet {
		return m.readZones(ctx, request)
	}
	if method != http.MethodPost || action != "drain" && action != "undrain" {
		return nil, methodNotAllowed(method)
	}
	basis, err := basisOf(request)
	if err != nil {
		return nil, err
	}
	order, err := m.zoneOrder(ctx, request, ZoneOrder{Zone: name, Draining: action == "drain", Basis: basis})
	if unknown, ok := err.(*UnknownZone); ok {
		return nil, &catalog.Failure{Code: catalog.FailureNotFound, Message: unknown.Error()}
	}
	if err != nil {
		return nil, err
	}
	return m.change(ctx, request, order)
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
			view := zoneStatus(name, state.Zones[name], nodes[name], shards[name])
			view.Revision = state.OrderRevision(fleet.ZoneResource(name))
			list = append(list, view)
		}
	})
	slices.SortFunc(list, func(a, b adminapi.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return list, err
}

func zoneStatus(name string, zone fleet.Zone, nodes, shards int) adminapi.Zone {
	answer := adminapi.Zone{Name: name, State: adminapi.ZoneInService, Nodes: nodes, Shards: shards}
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
