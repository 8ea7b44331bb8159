package upstream

import (
	"io"
	"slices"
	"sync/atomic"

	"gentiancroft/internal/socket"
)

const (
	// bodyReservation is the step in bytes in which a body takes from the budget. The first
	// one is free, so that ordinary answers don't depend on how many long ones there are.
	bodyReservation = 64 << 10
	// maxBufferedBytes is the budget in bytes of all bodies that a client buffers at the same time.
	maxBufferedBytes = 32 << 20
	// minPartBytes and maxPartBytes bound the space in bytes for the parts in which a body is read.
	minPartBytes = 512
	maxPartBytes = 64 << 10
)

// bodyBudget bounds the memory of the bodies that are buffered at the same time. Each of them
// has a bound of its own, but upstreams that write without end would fill many of them.
type bodyBudget struct {
	limit    int64 // bytes
	reserved atomic.Int64
}

func newBodyBudget() *bodyBudget { return &bodyBudget{limit: maxBufferedBytes} }

// SetBufferBytes sets the bytes of all bodies that the client buffers at the same time, at least one
// of MaxAnswerBytes. It must be called before the first call.
func (c *Client) SetBufferBytes(bytes int64) {
	c.bodies.limit = max(bytes, 2*MaxAnswerBytes)
}

// reserve takes bytes from the budget. It returns false, and takes none, where too few are left.
func (b *bodyBudget) reserve(bytes int64) bool {
	if b.reserved.Add(bytes) <= b.limit {
		return true
	}
	b.reserved.Add(-bytes)
	return false
}

// release gives bytes back.
func (b *bodyBudget) release(bytes int64) { b.reserved.Add(-bytes) }

// closedBody is a body whose end only the connection's marks. It is whole only if nothing failed on the
// connection: where the upstream resets it while the request is written, the write gets the error, and
// the reader sees a regular end.
type closedBody struct {
	io.Reader
	conn    *conn
	written *requestWrite
}

// Read implements io.Reader.
func (b *closedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failed := b.failure(); failed != nil {
		return n, Broken.Wrap(failed)
	}
	return n, io.EOF
}

// failure returns the error by which the connection has failed in either direction, nil where the
// upstream has ended the answer. It may still read the request.
func (b *closedBody) failure() error {
	if b.written.ended() {
		return b.written.await()
	}
	if b.conn.carried {
		return nil // the host that carries it tells of a reset
	}
	if reset, known := socket.WasReset(b.conn); known && !reset {
		return nil
	}
	return b.written.await()
}

// ReadBody reads the body of an answer. The error is AnswerTooLong if it is over limit bytes
// or the client's budget for bodies is used up, and Broken if it is incomplete. Where only the
// end of the connection marks the body's end, an incomplete one can't be told from a whole one.
func ReadBody(a *Answer, limit int) ([]byte, error) {
	var parts [][]byte // none is copied until the body is whole
	size := 0
	part := make([]byte, 0, minPartBytes)
	for {
		if err := a.reserveFor(size + cap(part)); err != nil {
			return nil, err
		}
		n, err := a.Body.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		switch {
		case size+len(part) > limit:
			return nil, AnswerTooLong.New("over %d bytes", limit)
		case err == io.EOF && parts == nil:
			return part, nil
		case err == io.EOF:
			return slices.Concat(append(parts, part)...), nil
		case err != nil:
			return nil, Broken.Wrap(err)
		}
		if len(part) == cap(part) {
			parts = append(parts, part)
			size += len(part)
			part = make([]byte, 0, min(2*cap(part), maxPartBytes))
		}
	}
}

// reserveFor takes from the client's budget what a body of the given size in bytes needs beyond
// what the answer holds.
func (a *Answer) reserveFor(size int) error {
	for a.reserved+bodyReservation < int64(size) {
		if !a.client.bodies.reserve(bodyReservation) {
			return AnswerTooLong.New("%d bytes of answers are buffered already", a.client.bodies.limit)
		}
		a.reserved += bodyReservation
	}
	return nil
}
