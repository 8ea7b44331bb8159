package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/badrequest"
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/core/table"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/upstream"
)

// Limits bound what callers may send and take.
type Limits struct {
	Body   int           // bytes
	Header int           // bytes
	Read   time.Duration // for a request to arrive
	Idle   time.Duration // between two requests on a connection
	Stall  time.Duration // for a caller to take what is written to it
}

// DefaultLimits are used where settings give none.
var DefaultLimits = Limits{
	Body:   4 << 20,
	Header: 16 << 10,
	Read:   5 * time.Second,
	Idle:   30 * time.Second,
	Stall:  10 * time.Second,
}

// connections is how many callers' connections are served at once.
const connections = 4096

// Server answers callers.
type Server struct {
	node    Node
	client  *upstream.Client
	dialect Dialect
	limits  Limits
	metrics counters
	next    atomic.Uint64 // number of the next request
	http    *fasthttp.Server
}

// New returns a server that hands requests to a node and sends attempts with a client.
func New(n Node, c *upstream.Client, d Dialect, l Limits, r metrics.Registry) *Server {
	s := &Server{node: n, client: c, dialect: d, limits: l, metrics: newCounters(r)}
	s.http = &fasthttp.Server{
		Handler:                      s.serve,
		ErrorHandler:                 s.unreadable,
		MaxRequestBodySize:           l.Body,
		ReadBufferSize:               l.Header,
		Concurrency:                  connections,
		ReadTimeout:                  l.Read,
		IdleTimeout:                  l.Idle,
		ReduceMemoryUsage:            true,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       quiet{},
	}
	return s
}

// quiet drops fasthttp's own lines, which may hold parts of a request.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve answers callers on l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(hangup.Listener{Listener: l, Stall: s.limits.Stall})
}

// arrive makes the event of a request.
func (s *Server) arrive(ctx *fasthttp.RequestCtx, d Declared) direct.Arrive {
	a := direct.Arrive{
		ID:        core.RequestID(strconv.FormatUint(s.next.Add(1), 10) + " " + d.RequestID),
		Host:      string(ctx.Request.Header.Host()),
		Path:      path(ctx.Request.Header.RequestURI()),
		HasKey:    len(d.Key) > 0,
		Model:     d.Model,
		Adapter:   d.Adapter,
		Tokens:    d.Tokens,
		Patience:  d.Patience,
		Spread:    xxhash.Sum64String(d.RequestID),
		LastEvent: d.LastEvent,
	}
	if a.HasKey {
		a.Key = table.HashKey(d.Key)
	}
	a.Fingerprint = core.Fingerprint(0, string(a.Key[:]), string(ctx.Request.Header.RequestURI()), string(ctx.Request.Body()))
	return a
}

// path is a request's path as it came, without the query.
func path(uri []byte) string {
	for i, b := range uri {
		if b == '?' {
			return string(uri[:i])
		}
	}
	return string(uri)
}

// serve answers one request.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	s.metrics.requests.Inc(1)
	if ambiguous(ctx.Request.Header.RawHeaders()) {
		ctx.SetConnectionClose()
		s.refuse(ctx, "", core.Refuse(core.CodeBadRequest, 0, "the request gives its length twice"))
		return
	}
	declared := s.dialect.Declared(&ctx.Request.Header)
	t := &task{server: s, requestID: declared.RequestID, started: time.Now(), request: &ctx.Request}
	arrive := s.arrive(ctx, declared)
	t.id = arrive.ID
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.exchange = s.node.Begin(arrive)
	t.conn = hangup.Watch(ctx.Conn(), t.hangUp) // after Begin, so that Gone never overtakes the arrival
	if s.node.Leaving() {
		ctx.SetConnectionClose()
	}
	t.run(ctx)
}

// ambiguous reports whether a header tells the body's length more than once, so
// that two readers could find different requests in the same bytes.
func ambiguous(raw []byte) bool {
	lengths := 0
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			lengths++
		}
	}
	return lengths > 1
}

// statuses maps codes to HTTP statuses; every other code is 503.
var statuses = map[core.Code]int{
	core.CodeBadRequest:     fasthttp.StatusBadRequest,
	core.CodeTooLarge:       fasthttp.StatusRequestEntityTooLarge,
	core.CodeNoKey:          fasthttp.StatusUnauthorized,
	core.CodeKeyWithdrawn:   fasthttp.StatusUnauthorized,
	core.CodeUnknownRoute:   fasthttp.StatusNotFound,
	core.CodeRateLimited:    fasthttp.StatusTooManyRequests,
	core.CodeUpstreamFailed: fasthttp.StatusBadGateway,
	core.CodeDeadline:       fasthttp.StatusGatewayTimeout,
	core.CodeInternal:       fasthttp.StatusInternalServerError,
}

type errorBody struct {
	Code    core.Code `json:"code"`
	Message string    `json:"message"`
	Ran     core.Ran  `json:"ran"`
}

// refuse writes the product's own answer to a request that gets no other.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, requestID string, r *core.Refusal) {
	status, ok := statuses[r.Code]
	if !ok {
		status = fasthttp.StatusServiceUnavailable
	}
	s.metrics.refused(r.Code)
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	s.dialect.Refused(&ctx.Response.Header, requestID)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(errorBody{Code: r.Code, Message: r.Message, Ran: r.Ran})
	if err != nil {
		body = nil // a struct of strings
	}
	ctx.SetBody(body)
	if s.node.Leaving() {
		ctx.SetConnectionClose()
	}
}

// unreadable answers a request that could not even be read.
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	refusal, status := badrequest.Classify(err)
	s.refuse(ctx, "", refusal)
	if status != 0 {
		ctx.SetStatusCode(status)
	}
}

// counters are the metrics of the callers' interface.
type counters struct {
	registry  metrics.Registry
	requests  metrics.Counter
	gone      metrics.Counter   // callers that hung up
	firstByte metrics.Histogram // microseconds
	total     metrics.Histogram // microseconds
}

func newCounters(r metrics.Registry) counters {
	const reservoir, decay = 256, 0.015
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(reservoir, decay))
	}
	return counters{
		registry:  r,
		requests:  metrics.GetOrRegisterCounter("relay.requests", r),
		gone:      metrics.GetOrRegisterCounter("relay.hung_up", r),
		firstByte: histogram("relay.first_byte_us"),
		total:     histogram("relay.total_us"),
	}
}

func (c counters) refused(code core.Code) {
	metrics.GetOrRegisterCounter("relay.refused."+string(code), c.registry).Inc(1)
}
