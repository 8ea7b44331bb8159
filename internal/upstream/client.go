// Package upstream is the HTTP client for upstreams: inference engines and plain
// services. It sends requests, load and unload orders for adapters, and polls for load
// reports, over a pool of kept connections. It sends each call once and reports whether
// the upstream can have received it; whether to retry is the caller's decision.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/answercheck"
	"gentiancroft/internal/core"
	"gentiancroft/internal/socket"
)

// Classes of errors.
var (
	// NotReached is the class of errors before any byte of a request was sent.
	NotReached = errs.Class("upstream not reached")
	// Broken is the class of errors after a request was sent: the upstream may have run
	// it.
	Broken = errs.Class("upstream connection broken")
	// CarrierLost is the class of errors where the host that is to carry a call can't be reached, or
	// carries no more.
	CarrierLost = errs.Class("carrier not reached")
	// AnswerTooLong is the class of errors for an answer over its maximum size.
	AnswerTooLong = errs.Class("upstream answer too long")
)

// Time and size limits of an exchange with an upstream.
const (
	dialTimeout     = 2 * time.Second
	writeTimeout    = 5 * time.Second
	readBufferBytes = 16 << 10 // also the maximum size of an answer's header
	// MaxAnswerBytes is the maximum size in bytes of an answer that is buffered
	// completely.
	MaxAnswerBytes = 8 << 20
	// MaxReportBytes is the maximum size in bytes of an upstream's report about itself.
	MaxReportBytes = 1 << 20
)

// Header is one header field of a request.
type Header struct{ Name, Value string }

// Call is one request to an upstream.
type Call struct {
	Upstream      core.UpstreamID // for the metrics
	Address       string          // ip:port
	Carrier       core.Carrier    // the host that carries the call; the zero value: none does
	Method        string
	Path          string   // including the query
	Headers       []Header // to forward from the caller, already filtered
	Body          []byte
	Request       core.RequestID
	Adapter       core.AdapterRef // zero for a plain service
	Class         core.Class
	Fence         core.Fence
	SendBefore    core.Instant // by the client's clock; the call is not sent at or after it; 0: no limit
	NewConnection bool         // use a new connection: a kept one may already have been closed by the upstream

	// Prepared is the complete request, to be sent unchanged. If it is set, Method,
	// Path, Headers, Body and the header fields derived from the others are not used.
	Prepared *fasthttp.Request
	// StableBody is set where the body of Prepared doesn't change after the call. It is not copied
	// then: its write may still run for a moment when the call has ended.
	StableBody bool
	// Matches tells by an answer's header whether it belongs to this call. Nil compares
	// the answer's X-Request-Id, if it has one, with Request.
	Matches func(*fasthttp.ResponseHeader) Match
	// Unnamed is set where the answers to a kind of calls don't name them.
	Unnamed bool
	// Strict is set for an unnamed call for whose answer no late copy of another one may pass: it
	// uses no kept connection on which the latest call was unnamed too.
	Strict bool
	// MaxIdle is how long a kept connection may have been idle at most; 0: as long as
	// connections are kept.
	MaxIdle time.Duration
	// Invited is set for a call that must not act late: its body, which must not be empty, is sent only
	// once the upstream asks for it on the connection.
	Invited bool
	// Confirm is a harmless request that is sent first on a kept connection that has been
	// idle for longer than MaxIdle, to learn whether it still works, or once on every
	// connection, to learn which process it leads to. Nil: no such connection is used.
	Confirm *Confirmation
}

// Confirmation is a harmless request whose answer shows that a connection works.
type Confirmation struct {
	Request *fasthttp.Request
	// Matches is as in Call.
	Matches func(*fasthttp.ResponseHeader) Match
	// Accept reports whether the call may follow an answer with this header and body.
	Accept func(h *fasthttp.ResponseHeader, body []byte) bool
	// Process names the process that Accept requires. Where it is set, every connection is
	// confirmed for it once, also a new one: a connection ends with its process. "": any.
	Process string
}

// conn is a connection to an upstream with its read buffer.
type conn struct {
	*answercheck.Conn
	address           string
	reader            *bufio.Reader
	writer            *bufio.Writer
	idleSince         time.Time     // when it was put into the pool
	use               Connection    // by the present call
	process           string        // that was confirmed on it; "": none was
	unnamed           bool          // the latest call was Unnamed
	serverIdleTimeout time.Duration // of the upstream, from its Keep-Alive header; 0: not given
	carried           bool          // over another host: it carries one call and is not kept
	requests          recentRequests
	sent              atomic.Bool // the whole of the latest request has been written
}

// Client calls upstreams over kept connections. It is safe for concurrent use.
type Client struct {
	pool     *pool
	bodies   *bodyBudget
	registry metrics.Registry
	now      func() core.Instant

	// DialTimeout is the maximum time for opening a connection.
	DialTimeout time.Duration
	// Dial opens a connection to an ip:port. NewClient sets it to a plain TCP dial.
	Dial DialFunc
	// DialCarrier opens a connection to an upstream over another host. Nil: none can be opened.
	DialCarrier DialCarrierFunc
}

// DialCarrierFunc opens a connection for a call over its carrier. An error wraps ECONNREFUSED where
// nothing listens at the upstream's address as seen from that host, and is of class CarrierLost where
// that host can't be reached.
type DialCarrierFunc func(ctx context.Context, call Call) (net.Conn, error)

// DialFunc opens a connection to an ip:port. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client. Its metrics go to registry, or to a new one if that is
// nil. now is the host's clock; with nil, Call.SendBefore is not checked and load
// reports have no time.
func NewClient(registry metrics.Registry, now func() core.Instant) *Client {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Client{pool: newPool(), bodies: newBodyBudget(), registry: registry, now: now, DialTimeout: dialTimeout, Dial: (&net.Dialer{}).DialContext}
}

var sharedClient = NewClient(nil, nil)

// Do sends a call with a client that the process shares; see Client.Do.
func Do(ctx context.Context, c Call) (*Answer, error) { return sharedClient.Do(ctx, c) }

// Close closes the kept connections. Later calls still work, but keep none.
func (c *Client) Close() { c.pool.close() }

// Do sends a call once and returns its answer. The connection is closed as soon as ctx
// ends, also before the answer's header. Errors are of class NotReached or Broken. An
// error after sending is Broken even if the upstream closed a kept connection at that
// moment: it may have crashed on this request, so retrying is left to the caller.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	c.count(call, "calls")
	conn, err := c.connect(ctx, call)
	if err != nil {
		c.count(call, "not_reached")
		if Refused.Has(err) {
			return nil, err
		}
		return nil, NotReached.Wrap(err)
	}
	if c.now != nil && call.SendBefore != 0 && !c.now().Before(call.SendBefore) {
		conn.closeInOrder()
		return nil, NotReached.New("the ticket ended before the request was sent")
	}
	answer, err := c.attempt(ctx, conn, call)
	return answer, c.countFailure(call, err)
}

// Refused is the class of errors of calls that were not sent because of the answer to their
// confirmation.
var Refused = errs.Class("upstream accepts no call now")

func (c *Client) connect(ctx context.Context, call Call) (*conn, error) {
	if !call.NewConnection && call.Carrier == (core.Carrier{}) {
		kept, err := c.keptConn(ctx, call)
		if kept != nil || err != nil {
			return kept, err
		}
	}
	c.count(call, "dials")
	dialled, err := c.dial(ctx, call)
	if err != nil || !confirmsProcess(dialled, call) {
		return dialled, err
	}
	if err := c.confirm(ctx, dialled, call); err != nil {
		return nil, err
	}
	return dialled, nil
}

// keptConn returns a kept connection that the call may use, or nil.
func (c *Client) keptConn(ctx context.Context, call Call) (*conn, error) {
	limit := call.MaxIdle
	if call.Confirm != nil {
		limit = 0
	}
	kept := c.pool.get(call, limit)
	if kept != nil {
		kept.use = Connection{Kept: true}
	}
	if kept == nil || call.Confirm == nil {
		return kept, nil
	}
	wasIdle := call.MaxIdle > 0 && time.Since(kept.idleSince) >= call.MaxIdle
	if !wasIdle && !confirmsProcess(kept, call) {
		return kept, nil
	}
	err := c.confirm(ctx, kept, call)
	switch {
	case Refused.Has(err):
		return nil, err
	case err != nil:
		return nil, nil // another connection may work
	}
	return kept, nil
}

// confirmsProcess reports whether a call requires a process that has not been confirmed on a
// connection.
func confirmsProcess(conn *conn, call Call) bool {
	return call.Confirm != nil && call.Confirm.Process != "" && conn.process != call.Confirm.Process
}

// How long an upstream may take to answer a confirmation.
const (
	confirmTimeout        = 100 * time.Millisecond // another connection may work
	processConfirmTimeout = 400 * time.Millisecond // no connection may do without
)

func (c *Confirmation) timeout() time.Duration {
	if c.Process != "" {
		return processConfirmTimeout
	}
	return confirmTimeout
}

// confirm makes a call's confirmation on a connection. Where it fails or isn't accepted, the
// connection is closed; the error is Refused if the answer isn't accepted.
func (c *Client) confirm(ctx context.Context, conn *conn, call Call) error {
	c.count(call, "confirmations")
	accepted, err := c.askConfirmation(ctx, conn, call)
	if err == nil && accepted {
		conn.use = Connection{Kept: true, Confirmed: true}
		conn.process = call.Confirm.Process
		return nil
	}
	conn.abandon()
	if err != nil {
		c.count(call, "confirmations_failed")
		return err
	}
	return Refused.New("by the answer to a confirmation")
}

// askConfirmation sends a confirmation on a connection and reads its whole answer.
func (c *Client) askConfirmation(ctx context.Context, conn *conn, call Call) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Confirm.timeout())
	defer cancel()
	answer, err := c.attempt(ctx, conn, Call{Prepared: call.Confirm.Request, Matches: call.Confirm.Matches, Unnamed: true})
	if err != nil {
		return false, err
	}
	body, err := ReadBody(answer, MaxReportBytes)
	if err != nil {
		answer.Close()
		return false, err
	}
	accepted = call.Confirm.Accept(answer.Header(), body)
	if !answer.detach() {
		return false, Broken.New("the connection can't be used again")
	}
	return accepted, nil
}

// countFailure counts a failed call and returns its error as Broken, or nil for nil.
func (c *Client) countFailure(call Call, err error) error {
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

// carryTime is how much longer the dial of a connection over another host may take than one of this
// host's own.
const carryTime = 200 * time.Millisecond

func (c *Client) dial(ctx context.Context, call Call) (*conn, error) {
	carried := call.Carrier != (core.Carrier{})
	timeout := c.DialTimeout
	if carried {
		timeout += carryTime
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	opened, err := c.open(ctx, call, carried)
	if err != nil {
		return nil, err
	}
	_ = socket.ResetOnClose(opened, true) // a carried connection has no such option: its end discards
	checked := answercheck.New(opened)
	return &conn{
		Conn:    checked,
		address: call.Address,
		reader:  bufio.NewReaderSize(checked, readBufferBytes),
		writer:  bufio.NewWriter(opened),
		carried: carried,
	}, nil
}

// open opens a connection, over another host if one carries the call.
func (c *Client) open(ctx context.Context, call Call, carried bool) (net.Conn, error) {
	switch {
	case !carried:
		return c.Dial(ctx, "tcp", call.Address)
	case c.DialCarrier == nil:
		return nil, CarrierLost.New("this client has no links to other hosts")
	}
	return c.DialCarrier(ctx, call)
}

// Probe opens a connection to an upstream and keeps it for a call. Its error tells why it could not
// be opened.
func (c *Client) Probe(ctx context.Context, id core.UpstreamID, address string) error {
	call := Call{Upstream: id, Address: address}
	c.count(call, "probes")
	opened, err := c.dial(ctx, call)
	if err != nil {
		return NotReached.Wrap(err)
	}
	c.pool.put(opened)
	return nil
}

// OpenFor opens a connection to an upstream for another host's call.
func (c *Client) OpenFor(ctx context.Context, id core.UpstreamID, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	c.count(Call{Upstream: id}, "carried")
	opened, err := c.Dial(ctx, "tcp", address)
	return opened, NotReached.Wrap(err)
}

func (c *Client) attempt(ctx context.Context, conn *conn, call Call) (*Answer, error) {
	conn.sent.Store(false)
	stop := context.AfterFunc(ctx, conn.abandon)
	conn.unnamed = call.Unnamed
	conn.requests.add(call.Request)
	answer, err := exchange(conn, call)
	c.reportStrays(conn, call)
	if err != nil {
		stop()
		conn.abandon()
		return nil, err
	}
	answer.stop = stop
	answer.client = c
	return answer, nil
}

// reportStrays counts and logs the answers that a call has found on its connection and
// discarded.
func (c *Client) reportStrays(conn *conn, call Call) {
	if conn.use.Stray == 0 {
		return
	}
	c.count(call, "stray_answers")
	log.WithField("upstream", string(call.Upstream)).WithField("answers", conn.use.Stray).
		WithField("kept", conn.use.Kept).Warn("stray answer discarded")
}
