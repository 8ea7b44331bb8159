package gateway

import (
	"context"
	"sync"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/relay"
)

// Begin implements relay.Node.
func (g *Gateway) Begin(a direct.Arrive) relay.Exchange {
	x := &exchange{id: a.ID, gateway: g, decisions: make(chan direct.Effect, decisionRing)}
	g.mu.Lock()
	g.exchanges[a.ID] = x
	g.mu.Unlock()
	if !g.events.TryPush(a) {
		x.decisions <- direct.Refuse{ID: a.ID, Refusal: core.Refuse(core.CodeOverloaded, overloaded, "the host is overloaded")}
	}
	return x
}

func (g *Gateway) exchange(id core.RequestID) *exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exchanges[id]
}

func (g *Gateway) decide(id core.RequestID, e direct.Effect) {
	if x := g.exchange(id); x != nil {
		select {
		case x.decisions <- e:
		default: // more decisions than a request can have: a fault of the machine
			log.WithField("request", string(id)).Error("decision dropped")
		}
	}
}

func (g *Gateway) cancel(c direct.Cancel) {
	if x := g.exchange(c.ID); x != nil {
		x.cancelAttempt(c)
	}
}

// exchange is the handler's side of one request.
type exchange struct {
	id        core.RequestID
	gateway   *Gateway
	decisions chan direct.Effect

	mu        sync.Mutex
	attempt   int
	cancel    context.CancelFunc
	cancelled int // attempts up to this one are cancelled
	begun     int // attempt whose answer has begun
}

// Decisions implements relay.Exchange.
func (x *exchange) Decisions() <-chan direct.Effect { return x.decisions }

// Attempt implements relay.Exchange.
func (x *exchange) Attempt(parent context.Context, attempt int) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempt, x.cancel = attempt, cancel
	if attempt <= x.cancelled {
		cancel()
	}
	return ctx, cancel
}

// Begin implements relay.Exchange.
func (x *exchange) Begin(attempt int) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if attempt <= x.cancelled {
		return false
	}
	x.begun = attempt
	return true
}

func (x *exchange) cancelAttempt(c direct.Cancel) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c.Unbegun && x.begun >= c.Attempt {
		return
	}
	x.cancelled = max(x.cancelled, c.Attempt)
	if x.cancel != nil && x.attempt <= c.Attempt {
		x.cancel()
	}
}

// Close implements relay.Exchange.
func (x *exchange) Close() {
	x.gateway.mu.Lock()
	defer x.gateway.mu.Unlock()
	delete(x.gateway.exchanges, x.id)
}
