// Package host runs one node: a single duty takes events from a bounded ring,
// steps the node and carries out its effects.
package host

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
)

// eventRing is how many events may wait for the node.
const eventRing = 8192

// overloadedRetry is when a caller refused by a full ring should come back.
const overloadedRetry = time.Second

// Orders carries adapter orders to engines.
type Orders interface {
	// Do runs an order to its end.
	Do(ctx context.Context, o core.AdapterOrder) core.OrderDone
}

// Host owns a node and its event ring.
type Host struct {
	node   *node.Node
	orders Orders
	events chan node.Event
	start  time.Time

	mu        sync.Mutex
	exchanges map[core.RequestID]*Exchange
}

// New returns a host that is not running yet.
func New(n *node.Node, orders Orders) *Host {
	return &Host{
		node:      n,
		orders:    orders,
		events:    make(chan node.Event, eventRing),
		start:     time.Now(),
		exchanges: map[core.RequestID]*Exchange{},
	}
}

// Now is the host's monotonic clock.
func (h *Host) Now() core.Instant { return core.Instant(time.Since(h.start)) }

// Tell hands the node an event. It waits while the ring is full: an event that
// ends something must not be lost.
func (h *Host) Tell(e node.Event) { h.events <- e }

// Offer hands the node an event unless the ring is full.
func (h *Host) Offer(e node.Event) bool {
	select {
	case h.events <- e:
		return true
	default:
		return false
	}
}

// Serve steps the node until ctx ends.
func (h *Host) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-h.events:
			for _, effect := range h.node.Step(h.Now(), e) {
				h.do(ctx, effect)
			}
		}
	}
}

func (h *Host) do(ctx context.Context, effect node.Effect) {
	switch x := effect.(type) {
	case node.Dispatch:
		h.decide(x.ID, x)
	case node.Refuse:
		h.decide(x.ID, x)
	case node.Replay:
		h.decide(x.ID, x)
	case node.Cut:
		h.decide(x.ID, x)
	case node.Cancel:
		h.decide(x.ID, x)
	case node.Order:
		go func() { h.Tell(node.OrderDone{OrderDone: h.orders.Do(ctx, x.AdapterOrder)}) }()
	default:
		log.WithField("effect", x).Debug("no carrier")
	}
}

func (h *Host) decide(id core.RequestID, effect node.Effect) {
	h.mu.Lock()
	x := h.exchanges[id]
	h.mu.Unlock()
	if x != nil {
		x.decide(effect)
	}
}
