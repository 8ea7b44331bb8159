// Package entry is the callers' HTTP interface of a host.
package entry

import (
	"context"
	"net"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/host"
)

// Bounds on what a caller may send.
const (
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 16 << 10
)

// Server answers callers.
type Server struct {
	host      *host.Host
	keySecret []byte // the deployment's key for hashing callers' keys
	http      *fasthttp.Server
}

// New returns a server that hands requests to a host.
func New(h *host.Host, keySecret []byte) *Server {
	s := &Server{host: h, keySecret: keySecret}
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.NotFound = s.request
	s.http = &fasthttp.Server{
		Handler:            r.Handler,
		Name:               "gentiancroft",
		MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize:     maxHeaderBytes,
		CloseOnShutdown:    true,
		Logger:             quiet{},
	}
	return s
}

// quiet drops fasthttp's own lines, which may hold parts of a request.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Serve answers callers on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Shutdown() })
	defer stop()
	return s.http.Serve(l)
}
