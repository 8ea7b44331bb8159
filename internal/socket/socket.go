// Package socket reads the state of TCP connections from the kernel.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// WasReset reports whether the peer of a connection has reset it. A reader can't tell: where a write
// was under way, it gets the error of the reset, and the reader the same end as of a connection that the
// peer has closed in order. known is false where the connection shows no socket.
func WasReset(c net.Conn) (reset, known bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd)}} // no events: a reset is always reported
		n, err := unix.Poll(state, 0)
		reset, pollErr = n > 0, err
	})
	return reset, err == nil && pollErr == nil
}
