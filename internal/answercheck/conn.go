package answercheck

import (
	"net"
	"syscall"

	"gentiancroft/internal/socket"
)

// Conn is a client's connection that returns only legal answers from Read. The first bytes that are
// none are an error of class Malformed, and so is each later read.
type Conn struct {
	net.Conn
	checker Checker
	err     error
}

// New returns a connection whose answers are checked.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// BeginAnswer is as in Checker. It must be called before a request is written, while nothing is read.
func (c *Conn) BeginAnswer(head bool) { c.checker.BeginAnswer(head) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	legal, malformed := c.checker.Check(p[:n])
	if malformed == nil {
		return n, err
	}
	c.err = malformed
	if legal > 0 {
		return legal, nil
	}
	return 0, malformed
}

// Failed reports whether bytes have come that are no answer.
func (c *Conn) Failed() bool { return c.err != nil }

// SyscallConn implements syscall.Conn where the wrapped connection does.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return socket.Raw(c.Conn) }
