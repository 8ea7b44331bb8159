package overhead

import (
	"context"
	"net"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/entry"
)

// immediate is a node that dispatches every request at once, so that what it
// adds is the callers' interface alone.
type immediate struct{ engine string }

// StartRequest implements entry.Node.
func (n immediate) StartRequest(a node.RequestArrived) entry.Exchange {
	x := instant{decisions: make(chan node.Effect, 1)}
	x.decisions <- node.Dispatch{
		ID: a.ID, Attempt: 1, Upstream: "usual", Address: n.engine, Workspace: "w",
		Adapter: core.AdapterRef{ID: adapterName, Version: 1},
	}
	return x
}

// Notify implements entry.Node.
func (immediate) Notify(node.Event) {}

type instant struct{ decisions chan node.Effect }

// Decisions implements entry.Exchange.
func (x instant) Decisions() <-chan node.Effect { return x.decisions }

// StartAttempt implements entry.Exchange.
func (instant) StartAttempt(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(parent)
}

// AbortRefusal implements entry.Exchange.
func (instant) AbortRefusal() *core.Refusal { return nil }

// Close implements entry.Exchange.
func (instant) Close() {}

// startAlone serves the callers' interface before an immediate node. The
// returned function ends it.
func (f *fleet) startAlone() (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, Error.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := entry.NewWithNode(immediate{engine: f.engine}, keySecret)
	go func() {
		_ = server.Serve(ctx, l)
		close(done)
	}()
	return l.Addr().String(), func() { cancel(); <-done }, nil
}
