package platform_test

import (
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/platform"
)

// unansweredAddress returns an address at which opening packets are dropped: the queue of a socket that
// accepts nothing is full.
func unansweredAddress(t *testing.T) string {
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// Guards against requests to a replica that has left: a call to a store that had just become unreachable
// kept its worker for two seconds whatever its timeout, so that the end of the cut was seen late.
func TestCallEndsAtItsTimeoutWhereNoConnectionOpens(t *testing.T) {
	is := is.New(t)
	transport := platform.NewTransport(unansweredAddress(t), platform.DefaultLimits)
	defer transport.Close()
	for _, once := range []bool{false, true} {
		send := func(timeout time.Duration) error {
			r := &fasthttp.Request{}
			r.SetRequestURI("http://store/x")
			if once {
				r.SetConnectionClose()
			}
			_, err := transport.Send(t.Context(), r, timeout)
			return err
		}
		long, begun := make(chan error, 1), make(chan struct{})
		go func() {
			close(begun)
			long <- send(1800 * time.Millisecond)
		}()
		<-begun
		is.True(platform.IsNotSent(send(200 * time.Millisecond)))
		is.Equal(len(long), 0) // it was sent first, and still waits
		is.True(platform.IsNotSent(<-long))
	}
}
