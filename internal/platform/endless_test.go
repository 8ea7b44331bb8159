package platform

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// kernelSlackBytes is more than the kernel's buffers of one loopback connection hold.
const kernelSlackBytes = 24 << 20

// Guards against an answer of the store without end, in its head or its body: the call fails
// at a bound, long before its timeout.
func TestAnswerWithoutEndIsReadToABoundOnly(t *testing.T) {
	for name, head := range map[string]string{
		"header":         "HTTP/1.1 200 OK\r\nX-Field: ",
		"body by close":  "HTTP/1.1 200 OK\r\n\r\n",
		"body by length": "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
	} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		written := make(chan int, 1)
		go func() { written <- writeWithoutEnd(l, head) }()
		transport := NewTransport(l.Addr().String(), DefaultLimits)
		request := &fasthttp.Request{}
		request.SetRequestURI("http://" + l.Addr().String() + "/")
		const timeout = 30 * time.Second
		_, err = transport.Send(context.Background(), request, timeout)
		if err == nil || err == fasthttp.ErrTimeout {
			t.Errorf("%s: %v", name, err)
		}
		if n := <-written; n > DefaultLimits.AnswerBytes+kernelSlackBytes {
			t.Errorf("%s: %d bytes were read", name, n)
		}
		transport.Close()
		_ = l.Close()
	}
}

// writeWithoutEnd answers one request with a head and bytes until the connection is closed. It
// returns the number of bytes after the head.
func writeWithoutEnd(l net.Listener, head string) (written int) {
	c, err := l.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return 0
	}
	_, _ = io.WriteString(c, head)
	block := bytes.Repeat([]byte("x"), 4<<10)
	for {
		n, err := c.Write(block)
		written += n
		if err != nil {
			return written
		}
	}
}
