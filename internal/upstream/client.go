// Package upstream speaks to engines and plain services.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core"
)

// Classes of failure.
var (
	// NotReached wraps failures before any byte of a request was sent.
	NotReached = errs.Class("upstream not reached")
	// Broken wraps failures after a request was sent.
	Broken = errs.Class("upstream connection broken")
)

// Limits of what an upstream may send.
const (
	dialTimeout    = 2 * time.Second
	readBuffer     = 16 << 10 // bytes
	maxAnswerBytes = 8 << 20
)

// Call is one request to an upstream.
type Call struct {
	Address string
	Method  string
	Path    string
	Body    []byte
	Request core.RequestID
	Adapter core.AdapterRef
	Class   core.Class
	Fence   core.Fence
}

// Answer is a response whose body streams. Close it in every case.
type Answer struct {
	Status      int
	ContentType string
	Body        io.Reader
	conn        net.Conn
	stop        func() bool
	response    *fasthttp.Response
}

// Close ends the call; an unfinished one is cancelled at the upstream by the
// closing of its connection.
func (a *Answer) Close() {
	a.stop()
	_ = a.conn.Close()
}

// Do sends a call. The connection is closed as soon as ctx ends, also before
// the response's headers.
func Do(ctx context.Context, c Call) (*Answer, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, NotReached.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, err := exchange(conn, c)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, Broken.Wrap(err)
	}
	answer.stop = stop
	return answer, nil
}

func exchange(conn net.Conn, c Call) (*Answer, error) {
	var request fasthttp.Request
	request.Header.SetMethod(c.Method)
	request.SetRequestURI("http://" + c.Address + c.Path)
	request.Header.SetContentType("application/json")
	request.Header.Set("X-Request-Id", string(c.Request))
	request.Header.Set("X-Priority", strconv.Itoa(int(c.Class)))
	request.Header.Set("X-Fence", strconv.FormatUint(uint64(c.Fence), 10))
	if c.Adapter != (core.AdapterRef{}) {
		request.Header.Set("X-Adapter", c.Adapter.String())
	}
	request.SetBodyRaw(c.Body)
	w := bufio.NewWriter(conn)
	if err := request.Write(w); err != nil {
		return nil, err
	}
	if err := w.Flush(); err != nil {
		return nil, err
	}
	response := &fasthttp.Response{StreamBody: true}
	if err := response.ReadLimitBody(bufio.NewReaderSize(conn, readBuffer), maxAnswerBytes); err != nil {
		return nil, err
	}
	return &Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        response.BodyStream(),
		conn:        conn,
		response:    response,
	}, nil
}
