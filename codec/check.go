package codec

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// maxDepth bounds the nesting of values, which is about a dozen levels in the product's own
// messages. The decoder recurses at each level, and a stack overflow cannot be recovered from.
const maxDepth = 64

// checkStructure returns an error for data that the decoder must not receive: values that claim more
// elements or bytes than the data holds, for which the decoder would allocate memory at once,
// and values that are nested too deep. Otherwise a message of a few bytes could crash every
// process that receives it.
func checkStructure(data []byte) error {
	// open[d] is the number of values at depth d that have not been read yet.
	var open [maxDepth]uint64
	open[0] = 1
	for depth := 0; depth >= 0; {
		if open[depth] == 0 {
			depth--
			continue
		}
		open[depth]--
		skip, values, err := parseHeader(data)
		if err != nil {
			return err
		}
		if skip > uint64(len(data)) || values > uint64(len(data))-skip {
			return eris.Errorf("a value claims %d bytes and %d nested values, but %d bytes are left", skip, values, len(data))
		}
		data = data[skip:]
		if values == 0 {
			continue
		}
		if depth++; depth == maxDepth {
			return eris.Errorf("values are nested more than %d deep", maxDepth)
		}
		open[depth] = values
	}
	return nil
}

// parseHeader parses the header of a value. It returns the number of bytes that the value itself
// occupies, and the number of values nested in it that follow.
func parseHeader(data []byte) (skip, values uint64, err error) {
	if len(data) == 0 {
		return 0, 0, eris.New("the data ends before a value that it announces")
	}
	switch first := data[0]; {
	case first <= 0x7f || first >= 0xe0 || first >= 0xc0 && first <= 0xc3: // small numbers, nil, booleans
		return 1, 0, nil
	case first <= 0x8f: // short map
		return 1, 2 * uint64(first&0x0f), nil
	case first <= 0x9f: // short list
		return 1, uint64(first & 0x0f), nil
	case first <= 0xbf: // short text
		return 1 + uint64(first&0x1f), 0, nil
	case first >= 0xca && first <= 0xd3: // numbers
		return 1 + numberBytes[first-0xca], 0, nil
	case first >= 0xd4 && first <= 0xd8: // extensions of fixed lengths
		return 2 + 1<<(first-0xd4), 0, nil
	}
	return parseLongHeader(data)
}

// numberBytes holds the lengths of numbers, from float32 (0xca) to int64 (0xd3).
var numberBytes = [...]uint64{4, 8, 1, 2, 4, 8, 1, 2, 4, 8}

// parseLongHeader is parseHeader for values whose length is encoded after the first byte.
func parseLongHeader(data []byte) (skip, values uint64, err error) {
	var width int
	switch data[0] {
	case 0xc4, 0xc7, 0xd9:
		width = 1
	case 0xc5, 0xc8, 0xda, 0xdc, 0xde:
		width = 2
	default:
		width = 4
	}
	if len(data) < 1+width {
		return 0, 0, eris.New("the data ends within a length field")
	}
	var padded [8]byte
	copy(padded[8-width:], data[1:1+width])
	length := binary.BigEndian.Uint64(padded[:])
	headerLength := uint64(1 + width)
	switch data[0] {
	case 0xc7, 0xc8, 0xc9: // extensions carry a type
		return headerLength + 1 + length, 0, nil
	case 0xdc, 0xdd:
		return headerLength, length, nil
	case 0xde, 0xdf:
		return headerLength, 2 * length, nil
	}
	return headerLength + length, 0, nil
}
