package entry

import (
	"context"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/host"
)

// Node decides what happens to requests. A host.Host implements it.
type Node interface {
	// StartRequest starts a request.
	StartRequest(node.RequestArrived) Exchange
	// Notify reports an event of a request to the node.
	Notify(node.Event)
}

// Exchange carries the node's decisions on one request to the server.
type Exchange interface {
	// Decisions returns the channel of the node's decisions: dispatch, refuse, replay or
	// abort.
	Decisions() <-chan node.Effect
	// StartAttempt returns the context of an attempt, which ends when the node cancels the
	// attempt or aborts the answer.
	StartAttempt(parent context.Context) (context.Context, context.CancelFunc)
	// AbortRefusal returns the refusal with which the node aborted the answer, or nil.
	AbortRefusal() *core.Refusal
	// Close ends the exchange. No more decisions are needed.
	Close()
}

// hostNode implements Node with a host.
type hostNode struct{ *host.Host }

// StartRequest implements Node.
func (h hostNode) StartRequest(a node.RequestArrived) Exchange {
	return hostExchange{h.Host.StartRequest(a)}
}

type hostExchange struct{ *host.Exchange }

// Decisions implements Exchange.
func (x hostExchange) Decisions() <-chan node.Effect { return x.Exchange.Decisions }
