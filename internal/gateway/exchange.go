package gateway

import (
	"context"
	"sync"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/relay"
)

// StartRequest implements relay.Node. If the event ring is full, the request is refused
// immediately.
func (g *Gateway) StartRequest(a relaynode.RequestArrived) relay.Exchange {
	x := &exchange{id: a.ID, gateway: g, decisions: make(chan relaynode.Effect, decisionBuffer)}
	g.mu.Lock()
	g.exchanges[a.ID] = x
	g.mu.Unlock()
	if !g.events.TryPush(a) {
		x.decisions <- relaynode.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, overloadRetryAfter, "the host is overloaded")}
	}
	return x
}

// findExchange returns the exchange of an open request, nil where there is none.
func (g *Gateway) findExchange(id core.RequestID) *exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exchanges[id]
}

// sendDecision hands a decision to the request's handler.
func (g *Gateway) sendDecision(id core.RequestID, e relaynode.Effect) {
	if x := g.findExchange(id); x != nil && x.push(e) {
		return
	}
	if d, ok := e.(relaynode.Dispatch); ok {
		go g.reportNotSent(d) // the machine's worker must not wait for itself
	}
}

// reportNotSent reports the end of an attempt that no handler has carried out, since its
// caller has hung up.
func (g *Gateway) reportNotSent(d relaynode.Dispatch) {
	g.Notify(relaynode.AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: relaynode.EndCancelled})
}

func (g *Gateway) cancel(c relaynode.Cancel) {
	if x := g.findExchange(c.ID); x != nil {
		x.cancelAttempt(c)
	}
}

// exchange connects the machine with the handler of one request.
type exchange struct {
	id        core.RequestID
	gateway   *Gateway
	decisions chan relaynode.Effect

	mu               sync.Mutex
	currentAttempt   int
	cancel           context.CancelFunc
	cancelledThrough int // attempts up to this number are cancelled
	startedAttempt   int // newest attempt whose answer is being forwarded
	closed           bool
}

// push adds a decision. It returns false if the handler has ended.
func (x *exchange) push(e relaynode.Effect) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return false
	}
	select {
	case x.decisions <- e:
	default: // the buffer holds more decisions than a request can have: a bug in the machine
		log.WithField("request", string(x.id)).Error("decision dropped")
	}
	return true
}

// Decisions implements relay.Exchange.
func (x *exchange) Decisions() <-chan relaynode.Effect { return x.decisions }

// StartAttempt implements relay.Exchange. The context of an attempt that was cancelled
// before is already done.
func (x *exchange) StartAttempt(parent context.Context, attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.currentAttempt, x.cancel = attempt, cancel
	if attempt <= x.cancelledThrough {
		cancel()
	}
	return ctx, cancel
}

// StartAnswer implements relay.Exchange.
func (x *exchange) StartAnswer(attempt int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if attempt <= x.cancelledThrough {
		return false
	}
	x.startedAttempt = attempt
	return true
}

// cancelAttempt cancels an attempt and those before it. Where c asks for that only
// before the answer has started, and it has, the attempt continues.
func (x *exchange) cancelAttempt(c relaynode.Cancel) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.OnlyIfUnanswered && x.startedAttempt >= c.Attempt {
		return
	}
	x.cancelledThrough = max(x.cancelledThrough, c.Attempt)
	if x.cancel != nil && x.currentAttempt <= c.Attempt {
		x.cancel()
	}
}

// Close implements relay.Exchange.
func (x *exchange) Close() {
	x.gateway.removeExchange(x.id)
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()
	for len(x.decisions) > 0 {
		if d, ok := (<-x.decisions).(relaynode.Dispatch); ok {
			x.gateway.reportNotSent(d)
		}
	}
}

func (g *Gateway) removeExchange(id core.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exchanges, id)
}
