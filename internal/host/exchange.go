package host

import (
	"context"
	"sync"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

// decisionBuffer has room for all decisions of one request: each attempt gives at
// most a dispatch and an end, so none is dropped if the handler is slow.
const decisionBuffer = 16

// Exchange is the handler's side of one request.
type Exchange struct {
	ID        core.RequestID
	Decisions chan node.Effect // Dispatch, Refuse, ReplayOutcome or AbortAnswer
	host      *Host

	mu           sync.Mutex
	cancel       context.CancelFunc
	cancelled    bool // also before the attempt has started
	abortRefusal *core.Refusal
}

// StartRequest passes a request to the node. If the event queue is full, the exchange
// receives a refusal.
func (h *Host) StartRequest(a node.RequestArrived) *Exchange {
	x := &Exchange{ID: a.ID, Decisions: make(chan node.Effect, decisionBuffer), host: h}
	h.mu.Lock()
	h.exchanges[a.ID] = x
	h.mu.Unlock()
	if !h.Offer(a) {
		x.deliver(node.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, retryAfterOverload, "the host is overloaded")})
	}
	return x
}

// Close removes the exchange; later decisions on the request are dropped.
func (x *Exchange) Close() {
	x.host.mu.Lock()
	delete(x.host.exchanges, x.ID)
	x.host.mu.Unlock()
}

// StartAttempt returns the context of an attempt. A cancel or abort by the node ends
// it, even if it came before this call.
func (x *Exchange) StartAttempt(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancel = cancel
	if x.cancelled {
		cancel()
	}
	return ctx, cancel
}

// AbortRefusal returns the refusal that the answer was aborted with, or nil.
func (x *Exchange) AbortRefusal() *core.Refusal {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.abortRefusal
}

// deliver applies a cancel or abort and passes the other decisions to the handler.
func (x *Exchange) deliver(effect node.Effect) {
	switch e := effect.(type) {
	case node.Cancel:
		x.cancelAttempt(nil)
		return
	case node.AbortAnswer:
		x.cancelAttempt(e.Refusal)
	}
	select {
	case x.Decisions <- effect:
	default:
	}
}

// cancelAttempt cancels the running attempt, or the next one if none runs. A nil
// refusal is a cancel without an abort.
func (x *Exchange) cancelAttempt(refusal *core.Refusal) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if refusal != nil {
		x.abortRefusal = refusal
	}
	x.cancelled = true
	if x.cancel != nil {
		x.cancel()
	}
}
