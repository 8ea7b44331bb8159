package peer

import (
	"bytes"
	"encoding/binary"
	"io"
)

// Frame sizes on a link.
const (
	// MaxFrameBytes is the maximum size of a payload in bytes: the largest value of the
	// object API and its envelope.
	MaxFrameBytes    = 1<<20 + 64<<10
	maxHelloBytes    = 256
	bulkFrameBytes   = 64 << 10 // a larger frame is sent on a stream of its own
	lengthBytes      = 4
	maxPreallocBytes = 64 << 10 // maximum allocation before any of the payload has arrived
)

// writeFrame writes a payload after its length (4 bytes, big-endian).
func writeFrame(w io.Writer, payload []byte) error {
	if len(payload) > MaxFrameBytes {
		return FrameError.New("a payload of %d bytes is over the limit of %d", len(payload), MaxFrameBytes)
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame = append(frame, payload...)
	if _, err := w.Write(frame); err != nil {
		return LinkError.Wrap(err)
	}
	return nil
}

// readFrame reads one payload of at most limit bytes. It returns io.EOF if the stream
// ends between frames. The buffer of a long payload grows as the payload arrives, so a
// false length can't exhaust the memory.
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
	if n <= maxPreallocBytes {
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
