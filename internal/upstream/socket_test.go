package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package doesn't name.
const tcpUserTimeout = 18

// A user timeout on a socket would end connections that are only silent for a while, and decide when
// keep-alive probes give up. Neither the runtime nor a library sets one: silence is judged by the
// timeouts of requests alone.
func TestConnectionsHaveNoUserTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialled, err := NewClient(nil, nil).dial(context.Background(), Call{Address: l.Addr().String()})
	is.NoErr(err)
	defer func() { _ = dialled.Close() }()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer func() { _ = accepted.Close() }()
	for _, c := range []net.Conn{dialled.Conn, accepted} {
		raw, err := c.(syscall.Conn).SyscallConn()
		is.NoErr(err)
		var timeout int
		var optionErr error
		is.NoErr(raw.Control(func(fd uintptr) {
			timeout, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		}))
		is.NoErr(optionErr)
		is.Equal(timeout, 0)
	}
}
