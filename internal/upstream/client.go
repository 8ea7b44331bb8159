// Package upstream speaks to engines and plain services: requests, adapter
// orders and polls of their load.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	metrics "github.com/rcrowley/go-metrics"
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
	// TooLong wraps an answer over its bound.
	TooLong = errs.Class("upstream answer too long")
)

// Limits of what an upstream may send and take.
const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	readBuffer   = 16 << 10 // bytes; also bounds an answer's header
	// MaxAnswer is the most bytes of an answer that is buffered whole.
	MaxAnswer = 8 << 20
)

// Header is one header field of a request.
type Header struct{ Name, Value string }

// Call is one request to an upstream.
type Call struct {
	Upstream core.UpstreamID // for the metrics
	Address  string          // ip:port
	Method   string
	Path     string   // with the query
	Headers  []Header // forwarded from the caller, already filtered
	Body     []byte
	Request  core.RequestID
	Adapter  core.AdapterRef // zero for a plain service
	Class    core.Class
	Fence    core.Fence
	Until    core.Instant // not sent from then on, of the client's clock; 0: no bound
	Once     bool         // on a new connection: no doubt about whether a kept one was already closed

	// Prepared is the whole request where it is passed through as it came; Method,
	// Path, Headers, Body and what is derived from them are not used then.
	Prepared *fasthttp.Request
	// Matches tells whether an answer belongs to this call; one that does not is
	// read and dropped. Nil: every answer does.
	Matches func(*fasthttp.ResponseHeader) bool
	// Fresh is the longest that a kept connection may have been idle; 0: as long
	// as connections are kept.
	Fresh time.Duration
}

// Answer is a response whose body streams. Close it in every case.
type Answer struct {
	Status      int
	ContentType string
	NotRun      bool // the upstream says that it did not run the request
	RetryAfter  string
	Body        io.Reader

	response *fasthttp.Response
	conn     *conn
	stop     func() bool
	client   *Client
	keep     bool // the upstream keeps the connection open
	closed   bool
}

// Header is the answer's header. It is valid until Close.
func (a *Answer) Header() *fasthttp.ResponseHeader { return &a.response.Header }

// Close ends the call. A connection whose answer was read whole is kept for
// the next call; an unfinished call is cancelled at the upstream by the
// closing of its connection.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	untouched := a.stop()
	whole := untouched && a.whole()
	a.conn.keep = keepAlive(a.response.Header.Peek("Keep-Alive"))
	if !whole {
		_ = a.conn.Close() // first, so that nothing below waits for the upstream
	}
	_ = a.response.CloseBodyStream()
	fasthttp.ReleaseResponse(a.response)
	a.response, a.Body = nil, eof{} // the response is another call's from here on
	if whole {
		a.client.pool.put(a.conn)
	}
}

// whole reports whether the answer was read to its end and nothing follows it.
func (a *Answer) whole() bool {
	if !a.keep || a.response.Header.ContentLength() < -1 {
		return false
	}
	var one [1]byte
	body, ok := a.Body.(*tail)
	if !ok || !body.ended {
		return false
	}
	n, err := a.Body.Read(one[:])
	return n == 0 && errors.Is(err, io.EOF) && a.conn.reader.Buffered() == 0
}

// tail remembers that a body has ended, so that closing never waits for one
// that has not.
type tail struct {
	io.Reader
	ended bool
}

// Read implements io.Reader.
func (t *tail) Read(p []byte) (int, error) {
	if t.ended {
		return 0, io.EOF
	}
	n, err := t.Reader.Read(p)
	if err == io.EOF {
		t.ended = true
	}
	return n, err
}

// conn is a connection to an upstream with its read buffer.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	idle    time.Time     // since when it is unused
	keep    time.Duration // how long the upstream keeps it idle; 0: it did not say
}

// Client calls upstreams over kept connections.
type Client struct {
	pool     *pool
	registry metrics.Registry
	now      func() core.Instant

	// DialTimeout bounds how long a connection may take to open.
	DialTimeout time.Duration
}

// NewClient returns a client. The registry takes its metrics, nil for a
// registry of its own; now is the host's clock, nil where no order has a bound.
func NewClient(registry metrics.Registry, now func() core.Instant) *Client {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Client{pool: newPool(), registry: registry, now: now, DialTimeout: dialTimeout}
}

var shared = NewClient(nil, nil)

// Do sends a call with a shared client.
func Do(ctx context.Context, c Call) (*Answer, error) { return shared.Do(ctx, c) }

// Close closes the kept connections.
func (c *Client) Close() { c.pool.close() }

// Do sends a call, once. The connection is closed as soon as ctx ends, also
// before the answer's header. A failure after sending is Broken even where a
// kept connection was closed at that moment: the upstream may have crashed on
// this very request, and sending it again is not this client's decision.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	c.count(call, "calls")
	conn, err := c.connect(ctx, call)
	if err != nil {
		c.count(call, "not_reached")
		return nil, NotReached.Wrap(err)
	}
	if c.now != nil && call.Until != 0 && !c.now().Before(call.Until) {
		_ = conn.Close()
		return nil, NotReached.New("the ticket ended before the request was sent")
	}
	answer, err := c.attempt(ctx, conn, call)
	return answer, c.failed(call, err)
}

func (c *Client) connect(ctx context.Context, call Call) (*conn, error) {
	if !call.Once {
		if kept := c.pool.get(call.Address, call.Fresh); kept != nil {
			return kept, nil
		}
	}
	c.count(call, "dials")
	return c.dial(ctx, call.Address)
}

func (c *Client) failed(call Call, err error) error {
	if err == nil {
		return nil
	}
	c.count(call, "failures")
	return Broken.Wrap(err)
}

func (c *Client) count(call Call, name string) {
	if call.Upstream == "" {
		return
	}
	metrics.GetOrRegisterCounter("upstream."+string(call.Upstream)+"."+name, c.registry).Inc(1)
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: c.DialTimeout}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{
		Conn:    opened,
		address: address,
		reader:  bufio.NewReaderSize(opened, readBuffer),
		writer:  bufio.NewWriter(opened),
	}, nil
}

func (c *Client) attempt(ctx context.Context, conn *conn, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, err := exchange(conn, call)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	answer.stop = stop
	answer.client = c
	return answer, nil
}

type eof struct{}

// Read implements io.Reader.
func (eof) Read([]byte) (int, error) { return 0, io.EOF }

// ReadWhole reads an answer that must fit limit bytes.
func ReadWhole(a *Answer, limit int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.Body, int64(limit)+1))
	if err != nil {
		return nil, Broken.Wrap(err)
	}
	if len(b) > limit {
		return nil, TooLong.New("over %d bytes", limit)
	}
	return b, nil
}

// settleTime bounds the wait for the end of an answer that is complete by its
// content.
const settleTime = time.Second

// Settle ends a call whose content is complete (a stream after [DONE]). It
// reads the end of the answer in the background, so that the connection can be
// kept, and closes the connection where that end does not come. The call's
// context no longer matters.
func (a *Answer) Settle() {
	if !a.stop() {
		a.Close()
		return
	}
	a.stop = func() bool { return true }
	_ = a.conn.SetReadDeadline(time.Now().Add(settleTime))
	go func() {
		n, err := io.Copy(io.Discard, io.LimitReader(a.Body, readBuffer))
		_ = a.conn.SetReadDeadline(time.Time{})
		a.keep = a.keep && n == 0 && err == nil
		a.Close()
	}()
}

// Dropped reports whether an upstream let go of a connection in the middle of
// a call, as one does that crashes.
func Dropped(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
