package entry

import (
	"context"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/host"
)

// Node decides what becomes of requests. A host is one.
type Node interface {
	// Begin hands over a request.
	Begin(node.Arrive) Exchange
	// Tell reports what happened to a request.
	Tell(node.Event)
}

// Exchange is one request as the node sees it.
type Exchange interface {
	// Decisions gives Dispatch, Refuse, Replay or Cut.
	Decisions() <-chan node.Effect
	// Attempt returns the context of an attempt; the node's cancel or cut ends it.
	Attempt(parent context.Context) (context.Context, context.CancelFunc)
	// CutBy is the refusal that a running answer was cut with, or nil.
	CutBy() *core.Refusal
	// Close forgets the request.
	Close()
}

// hostNode makes a host a Node.
type hostNode struct{ *host.Host }

// Begin implements Node.
func (h hostNode) Begin(a node.Arrive) Exchange { return hostExchange{h.Host.Begin(a)} }

type hostExchange struct{ *host.Exchange }

// Decisions implements Exchange.
func (x hostExchange) Decisions() <-chan node.Effect { return x.Exchange.Decisions }
