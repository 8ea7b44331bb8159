package platform

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/socket/sockettest"
)

// Guards against a write that the store carries out long after it was given up: the kernel held it during a
// cut.
func TestWriteThatIsGivenUpNeverArrives(t *testing.T) {
	is := is.New(t)
	const length = 256 << 10 // fits in the sender's kernel, but not in the receiver's
	server := sockettest.Listen(t)
	transport := NewTransport(server.Address(), DefaultLimits)
	defer transport.Close()
	transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout(network, address, timeout)
		if err == nil {
			_ = c.(*net.TCPConn).SetWriteBuffer(4 * length)
		}
		return c, err
	}
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI("http://" + server.Address() + "/")
	request.SetBody(make([]byte, length))
	_, err := transport.Send(context.Background(), request, 100*time.Millisecond)
	is.True(errors.Is(err, fasthttp.ErrTimeout))
	got, reset := server.ReadAll()
	is.True(reset)
	is.True(len(got) < length)
}
