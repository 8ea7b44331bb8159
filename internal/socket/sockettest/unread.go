// Package sockettest has peers for tests of what the kernel still holds of a connection.
package sockettest

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// receiveBufferBytes is small, so that the sender's kernel holds nearly all that is written.
const receiveBufferBytes = 4 << 10

// Unread is a server that has accepted one connection and reads nothing of it for now.
type Unread struct {
	listener net.Listener
	accepted chan net.Conn
}

// Listen starts a server that accepts one connection.
func Listen(t *testing.T) *Unread {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &Unread{listener: l, accepted: make(chan net.Conn, 1)}
	go func() {
		if c, err := l.Accept(); err == nil {
			u.accepted <- c
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return u
}

// Address returns the server's ip:port.
func (u *Unread) Address() string { return u.listener.Addr().String() }

// ReadAll reads what arrives on the connection to its end, and reports whether that is a reset.
func (u *Unread) ReadAll() (got []byte, reset bool) {
	c := <-u.accepted
	got, err := io.ReadAll(c)
	_ = c.Close()
	return got, errors.Is(err, syscall.ECONNRESET)
}
