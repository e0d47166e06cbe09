package control

import (
	"context"
	"fmt"
	"slices"

	"github.com/valyala/fasthttp"

	"limehold/adminapi"
	"limehold/decisions"
	"limehold/fleet"
	"limehold/wire"
)

// explainDrain tells who drained a zone or a node or returned it to service, and why it is as it is.
func (m *Member) explainDrain(ctx context.Context, request *fasthttp.RequestCtx, resource, name string, kinds ...decisions.Kind) (any, error) {
	answer := &adminapi.DrainExplanation{Resource: resource}
	known := false
	err := m.read(ctx, request, func(state *fleet.State) {
		answer.State, known = m.drainState(state, resource, name)
		answer.Revision = state.OrderRevision(resource)
		if record, recorded := state.Orders.Newest[resource]; recorded {
			answer.Newest = &adminapi.Order{Revision: record.Revision, At: formatMillis(record.At), Action: record.Action, Sender: record.Sender}
		}
		answer.EventsDropped = state.Journal.Dropped > 0
		for _, event := range state.Journal.Events {
			if event.From == name && slices.Contains(kinds, event.Kind) {
				answer.Events = append(answer.Events, eventView(event))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if !known {
		return nil, notFound(resource)
	}
	answer.Reason = drainReason(answer)
	return answer, nil
}

// drainState returns the state of a zone or a node, and whether it is known.
func (m *Member) drainState(state *fleet.State, resource, name string) (text string, known bool) {
	if resource == fleet.ZoneResource(name) {
		shards := 0
		for _, node := range state.Membership.Sessions {
			if node.Zone == name {
				shards += state.Ownership.OwnedCount(node.Session)
			}
		}
		return zoneStatus(name, state.Zones[name], 0, shards).State, slices.Contains(m.knownZones(state), name)
	}
	for _, view := range nodeViews(state, &wire.LeaderView{}) {
		if view.Name == name && view.State != "superseded" {
			return view.State, true
		}
	}
	return "", false
}

// drainReason explains the state by the newest event and the newest order.
func drainReason(answer *adminapi.DrainExplanation) string {
	reason := "no operator has given an order on it"
	if newest := answer.Newest; newest != nil {
		reason = fmt.Sprintf("the newest order, %s at revision %d (%s), came from %s", newest.Action, newest.Revision, newest.At, newest.Sender)
	}
	if len(answer.Events) == 0 {
		return reason
	}
	last := answer.Events[len(answer.Events)-1]
	reason += fmt.Sprintf("; %s since revision %d (%s): %s", last.Kind, last.Revision, last.At, last.Cause)
	if answer.Newest != nil && last.Revision < answer.Newest.Revision {
		reason += "; the newest order changed nothing"
	}
	return reason
}
