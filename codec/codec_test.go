package codec

import (
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	From     uint64
	Revision uint64
	Names    []string
	Values   map[string]string
}

func TestRoundTripAndPrefix(t *testing.T) {
	is := is.New(t)
	value := sample{From: 3, Revision: 9, Names: []string{"a", "b"}, Values: map[string]string{"x": "1", "y": "2", "z": "3"}}
	data := MustMarshal(&value)
	var again sample
	is.NoErr(Unmarshal(data, &again))
	is.Equal(again, value)
	var from, revision uint64
	is.NoErr(UnmarshalPrefix(data, &from, &revision))
	is.Equal(from, uint64(3))
	is.Equal(revision, uint64(9))
	is.True(UnmarshalPrefix([]byte{0xc0}, &from) != nil)
}

// Digests of commands depend on equal values having equal encodings.
func TestEqualValuesGiveEqualBytes(t *testing.T) {
	is := is.New(t)
	first := MustMarshal(map[string]string{"a": "1", "b": "2", "c": "3", "d": "4"})
	for range 20 {
		is.Equal(MustMarshal(map[string]string{"d": "4", "c": "3", "b": "2", "a": "1"}), first)
	}
}

// A value of another shape must be rejected rather than misread.
func TestAnotherShapeIsRefused(t *testing.T) {
	is := is.New(t)
	data := MustMarshal(&sample{From: 1, Revision: 2, Names: []string{"n"}})
	var older struct{ From, Revision uint64 }
	is.True(Unmarshal(data, &older) != nil)
}
