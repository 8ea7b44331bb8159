package hangup

import (
	"net"
	"time"

	"gentiancroft/internal/core/heldbytes"
)

// Bounds of what is read from a caller whose request is answered before its body was read.
// Closing the connection at once would reset it, and the caller might not see the answer.
const (
	lingerBytes   = 1 << 20
	lingerTimeout = 300 * time.Millisecond
)

// evict frees what the connection holds for other connections. While a body is received, only that
// ends, so that the request can be answered with a refusal; otherwise the connection is closed.
func (c *Conn) evict() {
	if c.receiving.Load() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Conn.Close()
}

// Close implements net.Conn. A caller that still sends a body can read the answer before.
func (c *Conn) Close() error {
	if c.BodyPending() && c.account.Evicted() == "" {
		c.account.SetPhase(heldbytes.Idle)
		c.linger()
	}
	c.account.Close()
	c.endServing()
	return c.Conn.Close()
}

// linger reads and drops for a while what the caller sends.
func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	scratch := make([]byte, headReadBytes)
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.read(scratch)
		if err != nil {
			return
		}
		dropped += n
	}
}
