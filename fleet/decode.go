package fleet

import (
	"github.com/vmihailenco/msgpack/v5"

	"limehold/codec"
)

// Numbers of the fields in records that were written before their last fields were added: SetDraining.Node,
// CloseSessions.EndedNode and State.DrainOrders.
const (
	requiredSetDrainingFields   = 3
	requiredCloseSessionsFields = 4
	requiredStateFields         = 11
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

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *State) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, requiredStateFields, &s.Revision, &s.Catalog, &s.Membership, &s.Ownership, &s.Journal,
		&s.Records, &s.RecordOrder, &s.LastEpoch, &s.Routing, &s.Zones, &s.Quarantine, &s.DrainOrders)
	return err
}
