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
	raw, err := Raw(c)
	if err != nil {
		return err
	}
	var linger unix.Linger // off: the default
	if reset {
		linger.Onoff = 1 // for 0 s
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Unacknowledged returns how many bytes that were written to a connection its peer has not acknowledged:
// they may still arrive, at any time later. The error is EINVAL where the connection shows no socket.
func Unacknowledged(c net.Conn) (bytes int, err error) {
	raw, err := Raw(c)
	if err != nil {
		return 0, err
	}
	var queueErr error
	err = raw.Control(func(fd uintptr) {
		bytes, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if err != nil {
		return 0, err
	}
	return bytes, queueErr
}
