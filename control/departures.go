package control

import (
	"context"

	"limehold/fleet"
	"limehold/transport"
	"limehold/wire"
)

// recordDeparture commits what the instance of the sender's node has announced about its end.
func (m *Member) recordDeparture(ctx context.Context, conn *transport.Conn, request *wire.RecordDeparture) error {
	notice := request.Notice
	if !notice.Kind.IsValid() || !notice.Incarnation.Known() {
		return &wire.Error{Code: wire.CodeInvalid, Message: "the notice names no incarnation, or is of an unknown kind", Step: "record departure of " + conn.Peer.Name, Peer: m.options.Settings.Name}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err := m.executeLocally(ctx, fleet.Command{RecordDeparture: &fleet.RecordDeparture{Node: conn.Peer.Name, Notice: notice}})
	return err
}

// departures returns the departures of the sender's node, including every one that was recorded before the call.
func (m *Member) departures(ctx context.Context, conn *transport.Conn) (*wire.DeparturesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if err := m.linearize(ctx); err != nil {
		return nil, err
	}
	reply := &wire.DeparturesReply{}
	m.replica.view(func(state *fleet.State) { reply.Notices = state.Departures[conn.Peer.Name].Notices })
	return reply, nil
}
