package peer

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Sizes of frames on a link.
const (
	// MaxFrame is the largest payload in bytes: a value of the object API with
	// room for its envelope.
	MaxFrame    = 1<<20 + 64<<10
	maxHello    = 256      // bytes
	bulkFrame   = 64 << 10 // bytes; a larger frame gets a stream of its own
	lengthBytes = 4
	eagerBytes  = 64 << 10 // bytes allocated on the word of a length alone
)

// writeFrame writes a payload behind its length.
func writeFrame(w io.Writer, payload []byte) error {
	if len(payload) > MaxFrame {
		return FrameError.New("a payload of %d bytes is over the limit of %d", len(payload), MaxFrame)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame = append(frame, payload...)
	if _, err := w.Write(frame); err != nil {
		return LinkError.Wrap(err)
	}
	return nil
}

// readFrame reads one payload of at most limit bytes. It returns io.EOF where
// the stream ends between frames. A long payload is allocated as it arrives,
// not on the word of its length.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if err == io.EOF {
			return nil, err
		}
		return nil, FrameError.Wrap(err)
	}
	n := int64(binary.BigEndian.Uint32(head[:]))
	if n > int64(limit) {
		return nil, FrameError.New("a frame of %d bytes is over the limit of %d", n, limit)
	}
	if n <= eagerBytes {
		payload := make([]byte, n)
		if _, err := io.ReadFull(r, payload); err != nil {
			return nil, FrameError.Wrap(err)
		}
		return payload, nil
	}
	var payload bytes.Buffer
	if _, err := io.CopyN(&payload, r, n); err != nil {
		return nil, FrameError.Wrap(err)
	}
	return payload.Bytes(), nil
}
