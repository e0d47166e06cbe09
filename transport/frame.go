package transport

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"

	"limehold/wire"
)

type frame struct {
	kind    wire.Kind
	call    uint64
	payload []byte
}

func putHeader(header []byte, f frame) {
	binary.LittleEndian.PutUint32(header[0:4], uint32(len(f.payload)))
	header[4] = byte(f.kind)
	binary.LittleEndian.PutUint64(header[5:13], f.call)
}

func (c *Conn) readFrame() (frame, error) { return readFrame(c.reader) }

func readPayload(reader io.Reader, length int) ([]byte, error) {
	const initialSize = 1 << 20
	payload := make([]byte, min(length, initialSize))
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	for len(payload) < length {
		step := min(length-len(payload), len(payload))
		start := len(payload)
		payload = append(payload, make([]byte, step)...)
		if _, err := io.ReadFull(reader, payload[start:]); err != nil {
			return nil, err
		}
	}
	return payload, nil
}

// readFrame reads one frame and rejects lengths above MaxFrame. The buffer grows
// with the data that arrives, not with the length that the header claims.
func readFrame(reader io.Reader) (frame, error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return frame{}, err
	}
	length := binary.LittleEndian.Uint32(header[0:4])
	if length > MaxFrame {
		return frame{}, eris.Errorf("frame of %d bytes exceeds the limit of %d", length, MaxFrame)
	}
	payload, err := readPayload(reader, int(length))
	if err != nil {
		return frame{}, err
	}
	return frame{kind: wire.Kind(header[4]), call: binary.LittleEndian.Uint64(header[5:13]), payload: payload}, nil
}
