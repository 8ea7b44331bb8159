package wiring

import (
	"context"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"gentiancroft/internal/badrequest"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/held"
	"gentiancroft/internal/supervise"
)

// Limits of the listeners with one page each.
const (
	pageHeaderBytes  = 4 << 10
	pageMaxFields    = 100 // lines of a request header
	pageReadTimeout  = 5 * time.Second
	pageIdleTimeout  = 30 * time.Second // between two requests on a connection
	pageStallTimeout = 5 * time.Second  // for a client to read what is written to it
)

// pageServer returns a worker that serves GET requests of one path. It takes no bodies: a request with
// one is answered and its connection closed.
func pageServer(l net.Listener, budget *held.Budget, path string, handler fasthttp.RequestHandler) supervise.Worker {
	routes := router.New()
	routes.GET(path, handler)
	server := &fasthttp.Server{
		Handler:               withoutBody(routes.Handler),
		ErrorHandler:          answerUnread,
		HeaderReceived:        hangup.HideBody,
		ReadBufferSize:        pageHeaderBytes,
		ReadTimeout:           pageReadTimeout,
		IdleTimeout:           pageIdleTimeout,
		ReduceMemoryUsage:     true,
		NoDefaultServerHeader: true,
		SecureErrorLogMessage: true,
		Logger:                discardLogger{},
	}
	bounded := hangup.Listener{Listener: l, StallTimeout: pageStallTimeout, MaxLines: pageMaxFields, Budget: budget}
	return func(context.Context) error { return server.Serve(bounded) }
}

// withoutBody closes the connection after a request with a body.
func withoutBody(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		conn := hangup.Of(ctx.Conn())
		if conn == nil || conn.BodyPending() || !conn.HeadEnded() {
			ctx.SetConnectionClose() // after the handler, which may have reset the answer
		}
	}
}

// answerUnread answers a request that could not be read.
func answerUnread(ctx *fasthttp.RequestCtx, err error) {
	refusal, status := badrequest.Classify(err)
	if status == 0 {
		status = fasthttp.StatusBadRequest
	}
	ctx.Error(refusal.Message, status)
}

// discardLogger drops fasthttp's own log lines, which may contain parts of a request.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
