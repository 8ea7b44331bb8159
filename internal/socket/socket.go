// Package socket reads the state of TCP connections from the kernel.
package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Raw returns the raw connection of a connection's socket. Connections that wrap others have it as their
// SyscallConn. The error is EINVAL where the connection shows no socket.
func Raw(c net.Conn) (syscall.RawConn, error) {
	if s, ok := c.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// WasReset reports whether the peer of a connection has reset it. A reader can't tell: where a write
// was under way, it gets the error of the reset, and the reader the same end as of a connection that the
// peer has closed in order. known is false where the connection shows no socket.
func WasReset(c net.Conn) (reset, known bool) {
	err := control(c, func(fd int) error {
		state := []unix.PollFd{{Fd: int32(fd)}} // no events: a reset is always reported
		n, err := unix.Poll(state, 0)
		reset = n > 0
		return err
	})
	return reset, err == nil
}

// control calls f with the descriptor of a connection's socket. The error is f's, or of a connection without
// an open socket.
func control(c net.Conn, f func(fd int) error) error {
	raw, err := Raw(c)
	if err != nil {
		return err
	}
	var ofSocket error
	if err := raw.Control(func(fd uintptr) { ofSocket = f(int(fd)) }); err != nil {
		return err
	}
	return ofSocket
}
