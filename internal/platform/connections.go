package platform

import (
	"net"
	"sync"

	"github.com/zeebo/errs"
)

// AnswerTooLong is the class of errors of answers over the bounds of a transport.
var AnswerTooLong = errs.Class("platform: answer too long")

// Limits bound the bytes of answers that a transport holds. An answer is read whole, and takes up to
// twice its size while it is read.
type Limits struct {
	AnswerBytes int // of one answer
	TotalBytes  int // of the answers over freeAnswerBytes that are read at the same time
}

// freeAnswerBytes is how much of an answer counts in no total, so that ordinary ones don't depend on how many
// long ones there are.
const freeAnswerBytes = 64 << 10

// connections are the open connections of one client. Closing them ends pending calls.
type connections struct {
	limits Limits

	mu     sync.Mutex
	open   map[*connection]bool
	closed bool
	held   int // bytes of the connections' answers beyond freeAnswerBytes
}

// connection removes itself from its client's connections when it is closed, and fails where the
// answer that it carries is too long.
type connection struct {
	net.Conn
	owner *connections

	read int // bytes of the present answer; guarded by the owner's mu
}

// add registers a connection. If the client is closed, it closes the connection and
// returns a NotSent error.
func (c *connections) add(conn net.Conn) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, NotSent.New("the client is closed")
	}
	if c.open == nil {
		c.open = map[*connection]bool{}
	}
	x := &connection{Conn: conn, owner: c}
	c.open[x] = true
	return x, nil
}

// Write implements net.Conn. It begins a request: the answer before it has been read.
func (x *connection) Write(p []byte) (int, error) {
	x.owner.release(x)
	return x.Conn.Write(p)
}

// Read implements net.Conn.
func (x *connection) Read(p []byte) (int, error) {
	n, err := x.Conn.Read(p)
	if tooLong := x.owner.hold(x, n); tooLong != nil {
		return 0, tooLong
	}
	return n, err
}

// Close implements net.Conn.
func (x *connection) Close() error {
	x.owner.release(x)
	x.owner.mu.Lock()
	delete(x.owner.open, x)
	x.owner.mu.Unlock()
	return x.Conn.Close()
}

// heldBytes returns how much of an answer counts in the total.
func heldBytes(read int) int { return max(0, read-freeAnswerBytes) }

// hold counts further bytes of a connection's answer, unless they are too many.
func (c *connections) hold(x *connection, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	read := x.read + n
	more := heldBytes(read) - heldBytes(x.read)
	switch {
	case read > c.limits.AnswerBytes:
		return AnswerTooLong.New("over %d bytes", c.limits.AnswerBytes)
	case c.held+more > c.limits.TotalBytes:
		return AnswerTooLong.New("%d bytes of answers are held already", c.held)
	}
	x.read = read
	c.held += more
	return nil
}

// release gives back what a connection's answer holds.
func (c *connections) release(x *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= heldBytes(x.read)
	x.read = 0
}

func (c *connections) close() {
	c.mu.Lock()
	c.closed = true
	open := c.open
	c.open = nil
	c.mu.Unlock()
	for x := range open {
		_ = x.Conn.Close()
	}
}
