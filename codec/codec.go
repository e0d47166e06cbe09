// Package codec encodes the product's own messages and records as msgpack with
// structs written as arrays. The order and number of fields are part of the format:
// a value of another shape is rejected, unless its type decodes itself with DecodeFields.
// A change of a message raises wire.ProtocolVersion.
package codec

import (
	"bytes"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Marshal encodes value. The error names the Go type that could not be encoded.
func Marshal(value any) ([]byte, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	// Makes equal values encode to equal bytes; only maps with string keys are sorted.
	encoder.SetSortMapKeys(true)
	if err := encoder.Encode(value); err != nil {
		return nil, eris.Wrapf(err, "encode %T", value)
	}
	return bytes.Clone(buffer.Bytes()), nil
}

// MustMarshal is like Marshal for the product's own message types, which always
// encode. It panics on an error.
func MustMarshal(value any) []byte {
	data, err := Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Unmarshal decodes data into target, a pointer.
func Unmarshal(data []byte, target any) error {
	if err := checkStructure(data); err != nil {
		return eris.Wrapf(err, "decode %T", target)
	}
	if err := msgpack.Unmarshal(data, target); err != nil {
		return eris.Wrapf(err, "decode %T", target)
	}
	return nil
}

// UnmarshalPrefix decodes the first fields of an encoded struct and ignores the
// rest. Targets are pointers, one for each field.
func UnmarshalPrefix(data []byte, targets ...any) error {
	if err := checkStructure(data); err != nil {
		return eris.Wrap(err, "decode the first fields")
	}
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(data))
	length, err := decoder.DecodeArrayLen()
	if err != nil || length < len(targets) {
		return eris.Errorf("decode the first %d of %d fields: %v", len(targets), length, err)
	}
	for i, target := range targets {
		if err := decoder.Decode(target); err != nil {
			return eris.Wrapf(err, "decode field %d", i)
		}
	}
	return nil
}

// EncodeFields encodes the fields of a struct as an array. Types whose EncodeMsgpack calls it can leave out their last
// fields while these are empty; see DecodeFields.
func EncodeFields(encoder *msgpack.Encoder, fields ...any) error {
	if err := encoder.EncodeArrayLen(len(fields)); err != nil {
		return eris.Wrap(err, "encode the number of fields")
	}
	for i, field := range fields {
		if err := encoder.Encode(field); err != nil {
			return eris.Wrapf(err, "encode field %d", i)
		}
	}
	return nil
}

// DecodeFields decodes an array into the fields of a struct and returns how many it held. Types whose
// DecodeMsgpack calls it can be read from records that were written before their last fields were added: required
// is the number of fields without those.
func DecodeFields(decoder *msgpack.Decoder, required int, fields ...any) (int, error) {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return 0, eris.Wrap(err, "decode the number of fields")
	}
	if length < required || length > len(fields) {
		return 0, eris.Errorf("%d fields: want %d to %d", length, required, len(fields))
	}
	for i, field := range fields[:length] {
		if err := decoder.Decode(field); err != nil {
			return 0, eris.Wrapf(err, "decode field %d", i)
		}
	}
	return length, nil
}
