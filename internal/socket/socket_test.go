package socket

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// The reader's end of both connections is the same where a write gets the error of the reset.
func TestResetIsToldFromAnEndInOrder(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	for _, wantReset := range []bool{false, true} {
		ours, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		theirs, err := l.Accept()
		is.NoErr(err)
		reset, known := WasReset(ours)
		is.True(known && !reset) // open
		if wantReset {
			is.NoErr(theirs.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(theirs.Close())
		_, err = io.ReadAll(ours)
		is.Equal(err != nil, wantReset)
		reset, known = WasReset(ours)
		is.True(known)
		is.Equal(reset, wantReset)
		is.NoErr(ours.Close())
		_, known = WasReset(ours)
		is.True(!known) // closed by this side
	}
	pipe, _ := net.Pipe()
	_, known := WasReset(pipe)
	is.True(!known)
}
