package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/badrequest"
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/table"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/held"
	"gentiancroft/internal/upstream"
)

// Limits bound the size of callers' requests and the time that callers may take.
type Limits struct {
	MaxBodyBytes   int           // bytes
	MaxHeaderBytes int           // bytes
	ReadTimeout    time.Duration // for a whole request to arrive
	IdleTimeout    time.Duration // between two requests on a connection
	StallTimeout   time.Duration // for a caller to read what is written to it
	MaxFields      int           // lines of a request header
}

// DefaultLimits are the limits that apply where the settings give none.
var DefaultLimits = Limits{
	MaxBodyBytes:   4 << 20,
	MaxHeaderBytes: 16 << 10,
	ReadTimeout:    5 * time.Second,
	IdleTimeout:    30 * time.Second,
	StallTimeout:   10 * time.Second,
	MaxFields:      256,
}

const (
	// bodyGrace is how long a caller may take for a body before it must have come at minBodyRate.
	bodyGrace = 3 * time.Second
	// minBodyRate is the least rate of a body, in bytes a second.
	minBodyRate = 16 << 10
	// maxUnscreenedBytes is the longest body that is received before its request is decided. Shorter
	// ones are read in any case, so that the caller's connection can be kept.
	maxUnscreenedBytes = 16 << 10
)

// Server is the HTTP server for callers.
type Server struct {
	node         Node
	client       *upstream.Client
	dialect      Dialect
	limits       Limits
	metrics      counters
	requestCount atomic.Uint64 // requests so far; numbers them
	http         *fasthttp.Server
	maxConnIdle  time.Duration // see defaultMaxConnIdle
	budget       *held.Budget  // of the callers; nil: no bounds
	serving      hangup.Serving
}

// SetBudget bounds what callers hold. It must be called before Serve.
func (s *Server) SetBudget(b *held.Budget) { s.budget = b }

// New returns a server that has requests decided by n and sends attempts with c. Its
// metrics go to r.
func New(n Node, c *upstream.Client, d Dialect, l Limits, r metrics.Registry) *Server {
	s := &Server{node: n, client: c, dialect: d, limits: l, metrics: newCounters(r), maxConnIdle: defaultMaxConnIdle}
	s.http = &fasthttp.Server{
		Handler:                      s.serve,
		ErrorHandler:                 s.handleReadError,
		HeaderReceived:               hangup.HideBody,
		ReadBufferSize:               l.MaxHeaderBytes,
		Concurrency:                  math.MaxInt32, // the budget bounds connections
		ReadTimeout:                  l.ReadTimeout,
		IdleTimeout:                  l.IdleTimeout,
		ReduceMemoryUsage:            true,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops fasthttp's own log lines, which may contain parts of a request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections from l until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(hangup.Listener{
		Listener:     l,
		StallTimeout: s.limits.StallTimeout,
		MaxLines:     s.limits.MaxFields,
		Budget:       s.budget,
		Serving:      &s.serving,
	})
}

// Serving returns how many requests have been read whose answers callers have not got to their end.
func (s *Server) Serving() int { return s.serving.Requests() }

// arrival makes the event of a new request. Its id is this host's request number and
// the caller's request id.
func (s *Server) arrival(ctx *fasthttp.RequestCtx, d RequestFields) relaynode.RequestArrived {
	a := relaynode.RequestArrived{
		ID:         core.RequestID(strconv.FormatUint(s.requestCount.Add(1), 10) + " " + d.RequestID),
		CallerID:   d.RequestID,
		Host:       string(ctx.Request.Header.Host()),
		Path:       path(ctx.Request.Header.RequestURI()),
		HasKey:     len(d.Key) > 0,
		Model:      d.Model,
		Adapter:    d.Adapter,
		Tokens:     d.Tokens,
		Prompt:     d.Prompt,
		OutputHint: d.OutputHint,
		Timeout:    d.Timeout,
		TargetHash: xxhash.Sum64String(d.RequestID),
		LastEvent:  d.LastEventID,
		Resumes:    d.Resumes,
		Parts:      d.Parts,
	}
	if a.HasKey {
		a.Key = table.HashKey(d.Key)
	}
	return a
}

// receiveBody reads the request's body, unless the request is refused by its head. It returns false
// where the request has been answered. Invariant: the connection is closed unless the whole body was
// read.
func (s *Server) receiveBody(ctx *fasthttp.RequestCtx, conn *hangup.Conn, arrival relaynode.RequestArrived) bool {
	if length := conn.BodyLength(); length < 0 || length > maxUnscreenedBytes {
		if refusal := s.screen(arrival); refusal != nil {
			ctx.SetConnectionClose()
			s.refuse(ctx, arrival.CallerID, refusal)
			return false
		}
	}
	body, err := conn.ReceiveBody(hangup.BodyLimits{
		MaxBytes: s.limits.MaxBodyBytes,
		Timeout:  s.limits.ReadTimeout,
		Grace:    bodyGrace,
		MinRate:  minBodyRate,
		Continue: ctx.Request.Header.IsHTTP11(),
	})
	if err != nil {
		ctx.SetConnectionClose()
		s.refuseUnread(ctx, arrival.CallerID, err)
		return false
	}
	ctx.Request.SetBodyRaw(body)
	return true
}

// screen returns the refusal of a request by its head, nil if there is none.
func (s *Server) screen(arrival relaynode.RequestArrived) *core.Refusal {
	if n, ok := s.node.(Screener); ok {
		return n.Screen(arrival)
	}
	return nil
}

// path returns a request URI without the query, not normalized.
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
	if ambiguousLength(ctx.Request.Header.RawHeaders()) {
		ctx.SetConnectionClose()
		s.refuse(ctx, "", core.Refuse(core.CodeBadRequest, 0, "the request gives its length twice"))
		return
	}
	declared := s.dialect.ParseRequest(&ctx.Request.Header)
	t := &task{server: s, requestID: declared.RequestID, started: time.Now(), request: &ctx.Request}
	arrival := s.arrival(ctx, declared)
	if conn := hangup.Of(ctx.Conn()); conn != nil && !s.receiveBody(ctx, conn, arrival) {
		return
	}
	arrival.Fingerprint = core.FingerprintWithBody(0, ctx.Request.Body(), string(arrival.Key[:]), string(ctx.Request.Header.RequestURI()))
	t.id = arrival.ID
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.exchange = s.node.StartRequest(arrival)
	t.conn = hangup.Watch(ctx.Conn(), t.hangUp) // after StartRequest, so that a hang-up is reported after the arrival
	if s.node.Leaving() {
		ctx.SetConnectionClose()
	}
	t.run(ctx)
}

// ambiguousLength reports whether a header gives the body's length more than once. Two
// parsers could then find different requests in the same bytes (request smuggling).
func ambiguousLength(raw []byte) bool {
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

// statusByCode maps refusal codes to HTTP statuses; every other code is 503.
var statusByCode = map[core.Code]int{
	core.CodeBadRequest:       fasthttp.StatusBadRequest,
	core.CodeTooLarge:         fasthttp.StatusRequestEntityTooLarge,
	core.CodeInvalidKey:       fasthttp.StatusUnauthorized,
	core.CodeKeyWithdrawn:     fasthttp.StatusUnauthorized,
	core.CodeUnknownRoute:     fasthttp.StatusNotFound,
	core.CodeRateLimited:      fasthttp.StatusTooManyRequests,
	core.CodeUpstreamFailed:   fasthttp.StatusBadGateway,
	core.CodeDeadlineExceeded: fasthttp.StatusGatewayTimeout,
	core.CodeInternal:         fasthttp.StatusInternalServerError,
}

type errorBody struct {
	Code    core.Code `json:"code"`
	Message string    `json:"message"`
	Ran     core.Ran  `json:"ran"`
}

// refuse answers a request with a refusal of this host's own.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, requestID string, r *core.Refusal) {
	status, ok := statusByCode[r.Code]
	if !ok {
		status = fasthttp.StatusServiceUnavailable
	}
	s.metrics.refused(r.Code)
	closing := ctx.Response.ConnectionClose() // Reset would keep the connection open
	ctx.Response.Reset()
	if closing {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	s.dialect.SetRefusalFields(&ctx.Response.Header, requestID)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(errorBody{Code: r.Code, Message: r.Message, Ran: r.Ran})
	if err != nil {
		body = nil // can't fail: the fields are strings
	}
	ctx.SetBody(body)
	if s.node.Leaving() {
		ctx.SetConnectionClose()
	}
}

// handleReadError answers a request that could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	s.refuseUnread(ctx, "", err)
}

// refuseUnread refuses a request that was not read, or not whole.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, requestID string, err error) {
	refusal, status := badrequest.Classify(err)
	s.refuse(ctx, requestID, refusal)
	if status != 0 {
		ctx.SetStatusCode(status)
	}
}

// counters are the metrics of the callers' interface.
type counters struct {
	registry  metrics.Registry
	requests  metrics.Counter
	hungUp    metrics.Counter   // callers that hung up
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
		hungUp:    metrics.GetOrRegisterCounter("relay.hung_up", r),
		firstByte: histogram("relay.first_byte_us"),
		total:     histogram("relay.total_us"),
	}
}

// refused counts a refusal by its code.
func (c counters) refused(code core.Code) {
	metrics.GetOrRegisterCounter("relay.refused."+string(code), c.registry).Inc(1)
}
