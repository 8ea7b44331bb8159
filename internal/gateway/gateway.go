// Package gateway runs the decisions of a host that sends requests to replicas
// on its own: one duty takes events from a bounded ring, steps the machine and
// hands its effects to the carriers.
package gateway

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	metrics "github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/supervise"
)

const (
	eventRing    = 4096
	tickEvery    = 20 * time.Millisecond
	decisionRing = 8 // decisions that one request can be sent before it looks
	overloaded   = time.Second
)

// Clock is a host's clock. It goes on while the host is suspended, so that what
// was valid before is not taken for valid after.
type Clock func() core.Instant

// Gateway owns a machine and its event ring.
type Gateway struct {
	machine  *direct.Machine
	carriers Carriers
	clock    Clock
	registry metrics.Registry
	events   *supervise.Ring[direct.Event]
	left     chan struct{}
	view     atomic.Pointer[view]
	reached  atomic.Bool // the store answered last time
	notes    map[string]metrics.Counter
	reread   interrupts // of watches, to read again
	follow   interrupts // of watches that rest, to follow the objects themselves

	mu        sync.Mutex
	exchanges map[core.RequestID]*exchange
}

// view is what duties beside the machine's own need to know.
type view struct {
	ready     bool
	leaving   bool
	addresses []string
	reading   direct.Reading
}

// New returns a gateway whose duties are not running yet.
func New(m *direct.Machine, c Carriers, clock Clock, r metrics.Registry) *Gateway {
	g := &Gateway{
		machine:   m,
		carriers:  c,
		clock:     clock,
		registry:  r,
		events:    supervise.NewRing[direct.Event]("events", eventRing, supervise.Refuse),
		left:      make(chan struct{}, 1),
		notes:     map[string]metrics.Counter{},
		exchanges: map[core.RequestID]*exchange{},
	}
	g.view.Store(&view{})
	g.reached.Store(true)
	return g
}

// Register puts the gateway's duties under supervision.
func (g *Gateway) Register(t *supervise.Tree) {
	t.Add("machine", g.run)
	t.Add("ticker", supervise.Every(tickEvery, g.tick))
	for _, w := range g.watches() {
		t.Add("watch "+w.kind, w.run)
	}
	t.Add("leases", g.readLeases)
}

// Left gives a value once the host may exit.
func (g *Gateway) Left() <-chan struct{} { return g.left }

// Leave begins a graceful shutdown.
func (g *Gateway) Leave() { g.Tell(direct.Leave{}) }

// Ready reports whether callers can be served.
func (g *Gateway) Ready() bool { return g.view.Load().ready }

// Leaving implements relay.Node.
func (g *Gateway) Leaving() bool { return g.view.Load().leaving }

// Addresses are those that callers are told.
func (g *Gateway) Addresses() []string { return g.view.Load().addresses }

// Tell implements relay.Node. It waits while the ring is full: an event that
// ends something must not be lost. The machine's own duty never calls it.
func (g *Gateway) Tell(e direct.Event) { g.events.Put(e) }

// Trusted asks the machine whether a certificate is a registered host's.
func (g *Gateway) Trusted(h core.HostID, key string) bool {
	answer := make(chan bool, 1)
	g.Tell(direct.Query{Read: func(m *direct.Machine) { answer <- m.Trusted(h, key) }})
	return <-answer
}

// FromPeer takes a payload of another host; a full ring drops it, as the
// network may.
func (g *Gateway) FromPeer(from core.HostID, payload []byte) {
	var m direct.Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		log.WithField("peer", string(from)).WithError(err).Warn("peer message not decoded")
		return
	}
	if len(m.Configuration) > 0 {
		g.configurationTold(from, m.Configuration)
	}
	if !g.events.TryPush(direct.FromPeer{From: from, Message: m}) {
		g.count("gateway.peer_messages_dropped")
	}
}

func (g *Gateway) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-g.events.Items():
			g.step(ctx, e)
		}
	}
}

func (g *Gateway) step(ctx context.Context, e direct.Event) {
	for _, effect := range g.machine.Step(g.clock(), e) {
		g.do(ctx, effect)
	}
	switch e.(type) {
	case direct.Tick, direct.Leave, direct.Configured, direct.ReplicasListed:
		g.look()
	}
}

// look publishes what other duties need to know, and has documents read again
// where the machine wants it.
func (g *Gateway) look() {
	g.gauge()
	next := &view{
		ready:     g.machine.Ready(),
		leaving:   g.machine.Leaving(),
		addresses: g.machine.Addresses(),
		reading:   g.machine.Reading(),
	}
	last := g.view.Swap(next)
	if last.reading.Reread != next.reading.Reread {
		g.reread.call()
	}
	if next.reading.Watch && !last.reading.Watch || next.reading.Relist != last.reading.Relist {
		g.follow.call()
	}
}

// gauge publishes how much is under way.
func (g *Gateway) gauge() {
	g.mu.Lock()
	open := len(g.exchanges)
	g.mu.Unlock()
	metrics.GetOrRegisterGauge("gateway.requests", g.registry).Update(int64(open))
	metrics.GetOrRegisterGauge("gateway.queue", g.registry).Update(int64(g.events.Stats().Length))
}

func (g *Gateway) tick() {
	if !g.events.TryPush(direct.Tick{}) {
		g.count("gateway.ticks_dropped")
	}
}

func (g *Gateway) count(name string) { metrics.GetOrRegisterCounter(name, g.registry).Inc(1) }

func (g *Gateway) do(ctx context.Context, effect direct.Effect) {
	switch x := effect.(type) {
	case direct.Dispatch:
		g.decide(x.ID, x)
	case direct.Refuse:
		g.decide(x.ID, x)
	case direct.Deliver:
		g.decide(x.ID, x)
	case direct.Cut:
		g.decide(x.ID, x)
	case direct.Cancel:
		g.cancel(x)
	case direct.Order:
		go g.order(ctx, x.Order)
	case direct.Probe:
		go g.probe(ctx, x.Probe)
	case direct.Object:
		go g.object(ctx, x.Call)
	case direct.ToPeers:
		g.toPeers(x)
	case direct.Note:
		g.note(x)
	case direct.Served:
		g.served(x)
	case direct.Left:
		g.left <- struct{}{} // the machine says so once
	}
}

// note counts a decision and logs it.
func (g *Gateway) note(n direct.Note) {
	name := "decision." + n.Name + "." + n.Reason
	c := g.notes[name]
	if c == nil {
		c = metrics.GetOrRegisterCounter(name, g.registry)
		g.notes[name] = c
	}
	c.Inc(1)
	if n.Quiet {
		return
	}
	fields := log.Fields{"decision": n.Name, "reason": n.Reason}
	if n.ID != "" {
		_, id, _ := strings.Cut(string(n.ID), " ") // the caller's own, behind this host's number
		fields["request"] = id
	}
	if n.Upstream != "" {
		fields["upstream"] = string(n.Upstream)
	}
	if n.Detail != "" {
		fields["detail"] = n.Detail
	}
	if n.Age != 0 {
		fields["age_ms"] = n.Age.Milliseconds()
	}
	log.WithFields(fields).Info("decided")
}
