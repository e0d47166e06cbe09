package consensus

import (
	"github.com/vmihailenco/msgpack/v5"

	"limehold/codec"
)

// requiredConfigurationFields is the number of fields of a configuration without Outgoing. Earlier versions know
// only configurations of this form.
const requiredConfigurationFields = 1

// EncodeMsgpack implements msgpack.CustomEncoder. Outgoing is left out unless the configuration is joint, so that
// earlier versions can read all other configurations. They reject a joint one, and with it the entries that
// follow, so they never make a decision by a wrong quorum.
func (c Configuration) EncodeMsgpack(encoder *msgpack.Encoder) error {
	fields := []any{c.Members}
	if c.IsJoint() {
		fields = append(fields, c.Outgoing)
	}
	return codec.EncodeFields(encoder, fields...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Configuration) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, requiredConfigurationFields, &c.Members, &c.Outgoing)
	return err
}
