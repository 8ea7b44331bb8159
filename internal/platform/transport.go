package platform

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// NotSent is the class of calls that surely did not reach the platform.
var NotSent = errs.Class("platform: not sent")

// Bounds of a transport.
const (
	dialTimeout    = 2 * time.Second
	maxConns       = 256
	maxAnswerBytes = 64 << 20
)

// Transport sends HTTP calls to one address, each once: whether a call that
// failed may be sent again is the decision of whoever made it.
type Transport struct {
	http  *fasthttp.HostClient
	conns connections
}

// NewTransport returns a transport to an ip:port.
func NewTransport(address string) *Transport {
	t := &Transport{}
	t.http = &fasthttp.HostClient{
		Addr:                     address,
		Dial:                     t.dial,
		MaxConns:                 maxConns,
		MaxResponseBodySize:      maxAnswerBytes,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		// Invariant: the client sends a call once. A second try is the
		// decision of the machine that knows whether it is safe.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
	return t
}

// dial marks its failures as calls that were not sent.
func (t *Transport) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, NotSent.Wrap(err)
	}
	return t.conns.add(conn)
}

// Close ends all connections. A call that waits, such as a watch, ends with an
// error; a later one is not sent.
func (t *Transport) Close() { t.conns.close() }

// Unsent tells whether a failed call surely was not sent.
func Unsent(err error) bool {
	return NotSent.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Send runs one exchange until it ends or ctx does.
func (t *Transport) Send(ctx context.Context, request *fasthttp.Request, timeout time.Duration) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, NotSent.Wrap(err)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	response := &fasthttp.Response{}
	done := make(chan error, 1)
	go func() { done <- t.http.DoDeadline(request, response, deadline) }()
	select {
	case err := <-done:
		if errors.Is(err, fasthttp.ErrTimeout) {
			t.http.CloseIdleConnections() // others may have fallen silent with this one
		}
		return response, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
