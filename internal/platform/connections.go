package platform

import (
	"net"
	"sync"
)

// connections are the open connections of one client. Closing them ends pending calls.
type connections struct {
	mu     sync.Mutex
	open   map[*connection]bool
	closed bool
}

// connection removes itself from its client's connections when it is closed.
type connection struct {
	net.Conn
	owner *connections
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

// Close implements net.Conn.
func (x *connection) Close() error {
	x.owner.mu.Lock()
	delete(x.owner.open, x)
	x.owner.mu.Unlock()
	return x.Conn.Close()
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
