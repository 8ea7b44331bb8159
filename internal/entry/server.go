// Package entry is the callers' HTTP interface of a host.
//
// It bounds and parses requests, hands them to the node, carries out its
// decisions, and tells it at once when a caller hangs up. Per Dispatch it tells
// exactly one Ended; a Gone comes before the Ended that it causes.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/fasthttp/router"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/host"
	"gentiancroft/internal/upstream"
)

// Limits bound what callers may send and take.
type Limits struct {
	Body        int           // bytes
	Header      int           // bytes
	Connections int           // open at once
	Read        time.Duration // for a request to arrive
	Idle        time.Duration // between two requests on a connection
	Stall       time.Duration // for a caller to take what is written to it
}

// DefaultLimits are used where settings give none.
var DefaultLimits = Limits{
	Body:        1 << 20,
	Header:      16 << 10,
	Connections: 16384,
	Read:        30 * time.Second,
	Idle:        75 * time.Second,
	Stall:       10 * time.Second,
}

// Server answers callers.
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
	http      *fasthttp.Server
}

// Option changes a server under construction.
type Option func(*Server)

// WithStatus serves the pages that need to know the fleet.
func WithStatus(st Status) Option { return func(s *Server) { s.status = st } }

// WithRoutes adds routes, such as the console's, before the callers' own.
func WithRoutes(add func(*router.Router)) Option {
	return func(s *Server) { s.routes = append(s.routes, add) }
}

// WithRegistry counts into a registry and shows it at /metrics.
func WithRegistry(r metrics.Registry) Option {
	return func(s *Server) { s.metrics = newCounters(r) }
}

// WithLogger writes the request lines to a logger.
func WithLogger(l log.Interface) Option { return func(s *Server) { s.logger = l } }

// WithHost names the host in logs.
func WithHost(id core.HostID) Option { return func(s *Server) { s.self = id } }

// WithLimits replaces the limits.
func WithLimits(l Limits) Option { return func(s *Server) { s.limits = l } }

// WithClient sends attempts with a client; without it the server makes its own.
func WithClient(c *upstream.Client) Option { return func(s *Server) { s.client = c } }

// New returns a server that hands requests to a host.
func New(h *host.Host, keySecret []byte, options ...Option) *Server {
	return NewFor(hostNode{h}, keySecret, options...)
}

// NewFor returns a server that hands requests to any node.
func NewFor(n Node, keySecret []byte, options ...Option) *Server {
	s := &Server{
		node:      n,
		keySecret: keySecret,
		hashKey:   fingerprintKey(keySecret),
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
		Handler:            s.router().Handler,
		ErrorHandler:       s.unreadable,
		Name:               "gentiancroft",
		MaxRequestBodySize: s.limits.Body,
		ReadBufferSize:     s.limits.Header,
		Concurrency:        s.limits.Connections,
		ReadTimeout:        s.limits.Read,
		IdleTimeout:        s.limits.Idle,
		CloseOnShutdown:    true,

		DisablePreParseMultipartForm: true,
		SecureErrorLogMessage:        true,
		Logger:                       quiet{},
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
	r.GET("/metrics", s.exposition)
	if s.status != nil {
		r.GET("/v1/entries", s.entries)
		r.GET("/v1/models", s.models)
	}
	r.NotFound = s.request
	return r
}

// quiet drops fasthttp's own lines, which may hold parts of a request.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve answers callers on l until ctx ends; then it takes no new connection,
// closes idle ones, and returns once every request in flight has been answered.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	drained := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { drained <- s.http.Shutdown() })
	err := s.http.Serve(hangup.Listener{Listener: l, Stall: s.limits.Stall})
	if stop() {
		return err
	}
	err = <-drained
	s.client.Close()
	return err
}
