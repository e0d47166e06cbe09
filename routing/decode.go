package routing

import (
	"github.com/vmihailenco/msgpack/v5"

	"limehold/codec"
)

// The numbers of fields that the types had in data folders of protocol version 11 and earlier.
const (
	legacyRouteFields  = 9
	legacyItemFields   = 6
	legacyChangeFields = 6
)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Route) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, legacyRouteFields, &r.Name, &r.Host, &r.PathPrefix, &r.Kind, &r.Timeout,
		&r.TargetLatency, &r.Priority, &r.MaxAttempts, &r.Split, &r.Public, &r.Regions)
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (i *Item) DecodeMsgpack(decoder *msgpack.Decoder) error {
	_, err := codec.DecodeFields(decoder, legacyItemFields, &i.Section, &i.Name, &i.Source, &i.Route, &i.Service, &i.Limits, &i.Tenant)
	return err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Change) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := codec.DecodeFields(decoder, legacyChangeFields, &c.Base, &c.Version, &c.ReplaceAll, &c.Upsert, &c.Remove, &c.Digest, &c.Legacy)
	if count == legacyChangeFields {
		c.Legacy = true
	}
	return err
}
