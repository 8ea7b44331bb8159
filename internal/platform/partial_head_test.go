package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a store that stops in the middle of its answer's head, behind an interim answer or not, and
// whose answer is taken for a whole one.
func TestHeadThatStopsHalfWayIsNoAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	answers := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, <-answers)
			}
			_ = c.Close()
		}
	}()
	transport := NewTransport(l.Addr().String(), DefaultLimits)
	defer transport.Close()
	for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nX-Object-Version: 3\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		} {
			for cut := range len(head) {
				answers <- before + head[:cut]
				request := &fasthttp.Request{}
				request.SetRequestURI("http://" + l.Addr().String() + "/")
				_, err := transport.Send(context.Background(), request, 5*time.Second)
				if err == nil || IsNotSent(err) {
					t.Errorf("%q cut at %d: %v", head, cut, err)
				}
			}
		}
	}
}
