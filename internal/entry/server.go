// Package entry is the HTTP server for callers on a host.
//
// It checks and parses requests, passes them to the node, which decides what happens to
// them, and carries out its decisions: it sends attempts to upstreams and returns
// answers or refusals. It reports a caller's hang-up to the node immediately, except
// during a recorded attempt. Invariant: the end of each dispatched attempt is reported
// exactly once, and a hang-up is reported before the end of the attempt that it
// cancels.
package entry

import (
	"cmp"
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/fasthttp/router"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/held"
	"gentiancroft/internal/host"
	"gentiancroft/internal/upstream"
)

// Limits bound the size of callers' requests, their connections and the time that
// callers may take.
type Limits struct {
	MaxBodyBytes   int           // bytes
	MaxHeaderBytes int           // bytes
	MaxConnections int           // open at the same time; a budget may allow fewer
	MaxFields      int           // lines of a request header; 0: maxFields
	ReadTimeout    time.Duration // for receiving a request
	IdleTimeout    time.Duration // between two requests on a connection
	StallTimeout   time.Duration // for a caller to accept written data
}

// DefaultLimits are the limits that apply where the settings give none.
var DefaultLimits = Limits{
	MaxBodyBytes:   1 << 20,
	MaxHeaderBytes: 16 << 10,
	MaxConnections: 16384,
	ReadTimeout:    30 * time.Second,
	IdleTimeout:    75 * time.Second,
	StallTimeout:   10 * time.Second,
}

const (
	// maxFields is the largest number of lines of a request header where the limits give none.
	maxFields = 256
	// bodyGrace is how long a caller may take for a body before it must have come at minBodyRate.
	bodyGrace = 5 * time.Second
	// minBodyRate is the least rate of a body, in bytes a second.
	minBodyRate = 4 << 10
)

// Server is the HTTP server for callers.
type Server struct {
	node      Node
	client    *upstream.Client
	keySecret []byte // the deployment's key for hashing callers' keys
	hashKey   uint64 // of request hashes
	self      core.HostID
	status    Status
	logger    log.Interface
	limits    Limits
	metrics   counters
	routes    []func(*router.Router)
	budget    *held.Budget // of the callers; nil: no bounds
	http      *fasthttp.Server
}

// Option configures a new server.
type Option func(*Server)

// WithStatus serves the pages that show the state of the host and the fleet.
func WithStatus(st Status) Option { return func(s *Server) { s.status = st } }

// WithRoutes adds routes, such as the console's, that take precedence over the callers'.
func WithRoutes(add func(*router.Router)) Option {
	return func(s *Server) { s.routes = append(s.routes, add) }
}

// WithRegistry sets the metrics registry, which /metrics shows.
func WithRegistry(r metrics.Registry) Option {
	return func(s *Server) { s.metrics = newCounters(r) }
}

// WithLogger sets the logger for the log lines of requests.
func WithLogger(l log.Interface) Option { return func(s *Server) { s.logger = l } }

// WithHost sets the host identity in log lines.
func WithHost(id core.HostID) Option { return func(s *Server) { s.self = id } }

// WithLimits replaces DefaultLimits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithClient sets the client for attempts; without it the server creates one.
func WithClient(c *upstream.Client) Option { return func(s *Server) { s.client = c } }

// WithBudget bounds what callers hold.
func WithBudget(b *held.Budget) Option { return func(s *Server) { s.budget = b } }

// New returns a server that passes requests to a host.
func New(h *host.Host, keySecret []byte, options ...Option) *Server {
	return NewWithNode(hostNode{h}, keySecret, options...)
}

// NewWithNode returns a server that passes requests to any node.
func NewWithNode(n Node, keySecret []byte, options ...Option) *Server {
	s := &Server{
		node:      n,
		keySecret: keySecret,
		hashKey:   deriveHashKey(keySecret),
		logger:    log.Log,
		limits:    DefaultLimits,
		metrics:   newCounters(metrics.NewRegistry()),
	}
	for _, o := range options {
		o(s)
	}
	if s.client == nil {
		s.client = upstream.NewClient(s.metrics.registry, nil)
	}
	s.http = &fasthttp.Server{
		Handler:         s.receiveBody(s.router().Handler),
		ErrorHandler:    s.handleReadError,
		HeaderReceived:  hangup.HideBody,
		Name:            "gentiancroft",
		ReadBufferSize:  s.limits.MaxHeaderBytes,
		Concurrency:     s.limits.MaxConnections,
		ReadTimeout:     s.limits.ReadTimeout,
		IdleTimeout:     s.limits.IdleTimeout,
		CloseOnShutdown: true,

		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	return s
}

func (s *Server) router() *router.Router {
	r := router.New()
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.HandleOPTIONS = false
	r.HandleMethodNotAllowed = false
	for _, add := range s.routes {
		add(r)
	}
	r.GET("/healthz", s.healthz)
	r.GET("/readyz", s.readyz)
	r.GET("/metrics", s.serveMetrics)
	if s.status != nil {
		r.GET("/v1/entries", s.entries)
		r.GET("/v1/models", s.models)
	}
	r.NotFound = s.serveRequest
	return r
}

// receiveBody reads the request's body before it is served. Invariant: the connection is closed unless
// the whole body was read.
func (s *Server) receiveBody(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		conn := hangup.Of(ctx.Conn())
		if conn == nil {
			next(ctx)
			return
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
			s.handleReadError(ctx, err)
			return
		}
		ctx.Request.SetBodyRaw(body)
		next(ctx)
	}
}

// discardLogger drops fasthttp's own log lines, which may contain parts of a request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve serves requests on connections from l until ctx ends. Then it accepts no new
// connections, closes idle ones, and returns once all requests in flight are answered.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	drained := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { drained <- s.http.Shutdown() })
	err := s.http.Serve(hangup.Listener{
		Listener:     l,
		StallTimeout: s.limits.StallTimeout,
		MaxLines:     cmp.Or(s.limits.MaxFields, maxFields),
		Budget:       s.budget,
	})
	if stop() {
		return err
	}
	err = <-drained
	s.client.Close()
	return err
}
