package codec

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// wide has a field of each kind that messages use.
type wide struct {
	Number  uint64
	Small   int8
	Part    float64
	Text    string
	Bytes   []byte
	List    []wide
	Map     map[string]int
	Values  map[string]string
	Pointer *wide
	Digest  [16]byte
}

// Data that claims more than it contains must be rejected before memory is allocated for it.
func TestDataThatClaimsMoreThanItBringsIsRefused(t *testing.T) {
	long := wide{
		Number: 1 << 40, Small: -5, Part: 1.5, Text: string(bytes.Repeat([]byte("x"), 70_000)), Bytes: bytes.Repeat([]byte("y"), 300),
		List: make([]wide, 40), Map: map[string]int{"a": 1, "b": -70000}, Values: map[string]string{"a": "1", "b": "2"}, Pointer: &wide{Text: "inner"},
	}
	whole := MustMarshal(&long)
	for name, c := range map[string]struct {
		data []byte
		ok   bool
	}{
		"what was encoded":           {whole, true},
		"bytes behind it":            {append(bytes.Clone(whole), 0xff), true},
		"cut":                        {whole[:len(whole)-1], false},
		"nothing":                    {nil, false},
		"a list of billions":         {[]byte{0x9a, 0, 0, 0, 0, 0, 0xdd, 0x72, 0, 0, 0}, false},
		"a map of billions":          {[]byte{0xdf, 0xff, 0xff, 0xff, 0xff}, false},
		"a text of billions":         {[]byte{0xdb, 0xff, 0xff, 0xff, 0xff, 'x'}, false},
		"nested by the ten thousand": {bytes.Repeat([]byte{0x91}, 10_000), false},
		"a length that is cut":       {[]byte{0xdc, 0x01}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var read wide
			err := Unmarshal(c.data, &read)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.True(reflect.DeepEqual(read, long))
			}
		})
	}
}

// FuzzCheck verifies that the decoder does not crash on any data that passes check.
func FuzzCheck(f *testing.F) {
	f.Add(MustMarshal(&wide{List: []wide{{}}, Map: map[string]int{"a": 1}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 1<<10 {
			return
		}
		if checkStructure(data) != nil {
			return
		}
		var read any
		_ = msgpack.Unmarshal(data, &read)
	})
}

func BenchmarkUnmarshal(b *testing.B) {
	data := MustMarshal(&wide{List: make([]wide, 100), Map: map[string]int{"a": 1}})
	for name, decode := range map[string]func(target *wide) error{
		"checked":   func(target *wide) error { return Unmarshal(data, target) },
		"unchecked": func(target *wide) error { return msgpack.Unmarshal(data, target) },
	} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				var target wide
				if err := decode(&target); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
