package platform

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/answercheck"
	"gentiancroft/internal/socket"
)

// NotSent is the class of errors of calls that were certainly not sent.
var NotSent = errs.Class("platform: not sent")

// Limits of a transport.
const (
	dialTimeout = 2 * time.Second
	// openTimeout is how long one try to open a connection may take. The kernel repeats a lost opening
	// packet only after a second.
	openTimeout    = 400 * time.Millisecond
	maxConnections = 256
	// maxIdleTime is how long a connection without a call is kept. One that has gone silent
	// meanwhile costs the next call its timeout.
	maxIdleTime = 1500 * time.Millisecond
)

// DefaultLimits are the limits of a client of the object API, whose lists have no pages.
var DefaultLimits = Limits{AnswerBytes: 16 << 20, TotalBytes: 32 << 20}

// Transport sends HTTP calls to one address. It sends each call once: whether a failed
// call may be retried is the caller's decision.
type Transport struct {
	kept   *fasthttp.HostClient // keeps connections for later calls
	single *fasthttp.HostClient // has a connection for each call
	conns  connections
	open   func(network, address string, timeout time.Duration) (net.Conn, error)
}

// NewTransport returns a transport to an ip:port.
func NewTransport(address string, l Limits) *Transport {
	t := &Transport{open: net.DialTimeout, conns: connections{limits: l}}
	t.kept, t.single = t.client(address), t.client(address)
	return t
}

// client returns an HTTP client.
func (t *Transport) client(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                     address,
		DialTimeout:              t.dial,
		MaxIdleConnDuration:      maxIdleTime,
		MaxConns:                 maxConnections,
		MaxResponseBodySize:      t.conns.limits.AnswerBytes,
		NoDefaultUserAgentHeader: true,
		DisablePathNormalizing:   true,
		// Invariant: a call is sent once. Only the caller can tell whether a
		// retry is safe.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// dial opens a connection within the time that is left of its call, by several tries if need be. Its
// errors are of class NotSent.
func (t *Transport) dial(address string, left time.Duration) (net.Conn, error) {
	if left <= 0 || left > dialTimeout {
		left = dialTimeout
	}
	deadline := time.Now().Add(left)
	for {
		conn, err := t.open("tcp", address, min(openTimeout, time.Until(deadline)))
		if err == nil {
			_ = socket.ResetOnClose(conn, true) // a call that was given up isn't carried out later
			return t.conns.add(answercheck.New(conn))
		}
		if !isTimeout(err) || !time.Now().Before(deadline) {
			return nil, NotSent.Wrap(err)
		}
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// Close closes all connections. Pending calls, such as a watch, end with an error; later
// calls are not sent.
func (t *Transport) Close() { t.conns.close() }

// IsNotSent reports whether the call that failed with err was certainly not sent.
func IsNotSent(err error) bool {
	return NotSent.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// Send sends a request and returns its answer. It gives up after the timeout, or when
// ctx ends; the request may then still be in flight. IsNotSent classifies the error. A request
// with "Connection: close" is sent over a connection that is opened for it.
func (t *Transport) Send(ctx context.Context, request *fasthttp.Request, timeout time.Duration) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, NotSent.Wrap(err)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	client := t.kept
	if request.ConnectionClose() {
		client = t.single
	}
	response := &fasthttp.Response{}
	done := make(chan error, 1)
	go func() { done <- client.DoDeadline(request, response, deadline) }()
	select {
	case err := <-done:
		if errors.Is(err, fasthttp.ErrTimeout) {
			t.kept.CloseIdleConnections() // if the platform has become unresponsive, they hang as well
		}
		return response, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
