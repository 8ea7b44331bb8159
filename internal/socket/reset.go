package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// ResetOnClose makes the close of a connection reset it, also where the process is killed: what its peer
// has not acknowledged by then is discarded, and never arrives. With reset false the connection is closed
// in order again, and the kernel goes on sending what was written. The error is EINVAL where the
// connection shows no socket.
func ResetOnClose(c net.Conn, reset bool) error {
	var linger unix.Linger // off: the default
	if reset {
		linger.Onoff = 1 // for 0 s
	}
	return control(c, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &linger)
	})
}

// Unacknowledged returns how many bytes that were written to a connection its peer has not acknowledged:
// they may still arrive, at any time later. The error is EINVAL where the connection shows no socket.
func Unacknowledged(c net.Conn) (bytes int, err error) {
	err = control(c, func(fd int) (err error) {
		bytes, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return bytes, err
}
