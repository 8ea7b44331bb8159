package overhead

import (
	"context"
	"net"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
)

// immediateNode is a node that dispatches every request at once, so that only
// the callers' interface adds latency.
type immediateNode struct{ engine string }

// StartRequest implements entry.Node.
func (n immediateNode) StartRequest(a node.RequestArrived) entry.Exchange {
	x := immediateExchange{decisions: make(chan node.Effect, 1)}
	x.decisions <- node.Dispatch{
		ID: a.ID, Attempt: 1, Upstream: "usual", Address: n.engine, Workspace: "w",
		Adapter: core.AdapterRef{ID: adapterName, Version: 1},
	}
	return x
}

// Notify implements entry.Node.
func (immediateNode) Notify(node.Event) {}

// immediateExchange is an exchange whose only decision is ready from the start.
type immediateExchange struct{ decisions chan node.Effect }

// Decisions implements entry.Exchange.
func (x immediateExchange) Decisions() <-chan node.Effect { return x.decisions }

// StartAttempt implements entry.Exchange.
func (immediateExchange) StartAttempt(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(parent)
}

// AbortRefusal implements entry.Exchange.
func (immediateExchange) AbortRefusal() *core.Refusal { return nil }

// Close implements entry.Exchange.
func (immediateExchange) Close() {}

// startEntryOnly serves the callers' interface on an immediate node. The
// returned function stops it.
func (f *testbed) startEntryOnly() (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := entry.NewWithNode(immediateNode{engine: f.engine}, keySecret)
	go func() {
		_ = server.Serve(ctx, l)
		close(done)
	}()
	return l.Addr().String(), func() { cancel(); <-done }, nil
}
