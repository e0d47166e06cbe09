package fleet

import (
	"github.com/vmihailenco/msgpack/v5"

	"limehold/codec"
)

// Numbers of the fields in records that were written before their last fields were added: SetDraining.Node,
// CloseSessions.EndedNode, State.DrainOrders to State.Orders, and Command.RecordDeparture with Command.Order.
const (
	requiredSetDrainingFields   = 3
	requiredCloseSessionsFields = 4
	requiredStateFields         = 11
	requiredCommandFields       = 21
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *SetDraining) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, requiredSetDrainingFields, &c.Session, &c.Draining, &c.Cause, &c.Node)
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *CloseSessions) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, requiredCloseSessionsFields, &c.Process, &c.Superseded, &c.Sessions, &c.Cause, &c.EndedNode)
	return err
}

// fields returns pointers to all fields of a state in the order of its encoding.
func (s *State) fields() []any {
	return []any{&s.Revision, &s.Catalog, &s.Membership, &s.Ownership, &s.Journal,
		&s.Records, &s.RecordOrder, &s.LastEpoch, &s.Routing, &s.Zones, &s.Quarantine, &s.DrainOrders, &s.Departures, &s.Orders}
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *State) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, requiredStateFields, s.fields()...)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder. A state without orders, or without departures either, is encoded as by
// versions that do not know them, which can read it.
func (s *State) EncodeMsgpack(encoder *msgpack.Encoder) error {
	fields := s.fields()
	if s.Orders.isEmpty() {
		fields = fields[:len(fields)-1]
		if len(s.Departures) == 0 {
			fields = fields[:len(fields)-1]
		}
	}
	return codec.EncodeFields(encoder, fields...)
}

// fields returns pointers to all fields of a command in the order of its encoding.
func (c *Command) fields() []any {
	return []any{&c.ID, &c.At, &c.ApplyTemplate, &c.RetireTemplate, &c.CreateService, &c.UpdateService, &c.RetireService, &c.RemoveService,
		&c.OpenSession, &c.CloseSessions, &c.MarkSessionsLost, &c.SetDraining, &c.Assign, &c.Transfer, &c.Release, &c.ChangeRoutes,
		&c.SetZoneDraining, &c.RecordReports, &c.ReleaseRequest, &c.UpdateQuarantine, &c.ClaimTrial, &c.RecordDeparture, &c.Order}
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Command) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, requiredCommandFields, c.fields()...)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder. RecordDeparture and Order are left out unless they are set, so that
// earlier versions can read all other commands.
func (c *Command) EncodeMsgpack(encoder *msgpack.Encoder) error {
	fields := c.fields()
	switch {
	case c.Order != nil:
	case c.RecordDeparture != nil:
		fields = fields[:requiredCommandFields+1]
	default:
		fields = fields[:requiredCommandFields]
	}
	return codec.EncodeFields(encoder, fields...)
}
