package upstream

import "gentiancroft/internal/socket"

// A connection resets when it is closed, also where the process is killed, so that no call which was given
// up is carried out later: after a cut the kernel would send again what was written before. Where nothing
// can arrive any more it is closed in order, as the upstream may miss a reset while it can't be reached.

// closeInOrder closes a connection that carries no call.
func (c *conn) closeInOrder() {
	_ = socket.ResetOnClose(c.Conn, false) // a connection without a socket has no such option
	_ = c.Close()
}

// abandon closes a connection whose call has ended or is given up. What the upstream has not acknowledged is
// discarded.
func (c *conn) abandon() {
	if c.delivered() {
		c.closeInOrder()
		return
	}
	_ = c.Close()
}

// delivered reports whether all of the latest request has arrived at the upstream's end of the connection.
func (c *conn) delivered() bool {
	if !c.sent.Load() {
		return false // a write may be under way
	}
	left, err := socket.Unacknowledged(c.Conn)
	return err == nil && left == 0
}
