package host

import (
	"context"
	"sync"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

// decisionRing holds every decision that one request can be sent before its
// handler looks: each attempt gives at most a dispatch and an end.
const decisionRing = 16

// Exchange is the handler's side of one request.
type Exchange struct {
	ID        core.RequestID
	Decisions chan node.Effect // Dispatch, Refuse, Replay or Cut
	host      *Host

	mu        sync.Mutex
	cancel    context.CancelFunc
	cancelled bool // before an attempt was there to cancel
	cut       *core.Refusal
}

// Begin hands a request to the node.
func (h *Host) Begin(a node.Arrive) *Exchange {
	x := &Exchange{ID: a.ID, Decisions: make(chan node.Effect, decisionRing), host: h}
	h.mu.Lock()
	h.exchanges[a.ID] = x
	h.mu.Unlock()
	if !h.Offer(a) {
		x.decide(node.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, overloadedRetry, "the host is overloaded")})
	}
	return x
}

// Close forgets the request.
func (x *Exchange) Close() {
	x.host.mu.Lock()
	delete(x.host.exchanges, x.ID)
	x.host.mu.Unlock()
}

// Attempt returns the context of an attempt; the node's cancel or cut ends it,
// also one that came before this call.
func (x *Exchange) Attempt(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel = cancel
	if x.cancelled {
		cancel()
	}
	return ctx, cancel
}

// CutBy is the refusal that a running answer was cut with, or nil.
func (x *Exchange) CutBy() *core.Refusal {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cut
}

func (x *Exchange) decide(effect node.Effect) {
	switch e := effect.(type) {
	case node.Cancel:
		x.end(nil)
		return
	case node.Cut:
		x.end(e.Refusal)
	}
	select {
	case x.Decisions <- effect:
	default:
	}
}

// end cancels the attempt under way, or the one that is about to begin.
func (x *Exchange) end(cut *core.Refusal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cut != nil {
		x.cut = cut
	}
	x.cancelled = true
	if x.cancel != nil {
		x.cancel()
	}
}
