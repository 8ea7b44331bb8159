package platform

import (
	"net"
	"sync"
)

// connections are those of one client, so that closing it ends calls that wait.
type connections struct {
	mu     sync.Mutex
	open   map[*connection]bool
	closed bool
}

type connection struct {
	net.Conn
	all *connections
}

// add keeps a connection, or refuses it where the client is closed.
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
	x := &connection{Conn: conn, all: c}
	c.open[x] = true
	return x, nil
}

// Close implements net.Conn.
func (x *connection) Close() error {
	x.all.mu.Lock()
	delete(x.all.open, x)
	x.all.mu.Unlock()
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
