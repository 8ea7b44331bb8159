// Package gateway runs the state machine of a relaying host (package relaynode). One
// worker takes events from a bounded ring, steps the machine and has its effects
// carried out; other workers watch the store's objects and turn them into events.
//
// It decides nothing about requests or replicas: the machine does. The HTTP interface
// is package relay; I/O is done by the executors.
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
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/table"
	"gentiancroft/internal/supervise"
)

const (
	eventRingSize      = 4096
	tickInterval       = 20 * time.Millisecond
	decisionBuffer     = 8           // decisions that wait for a request's handler
	overloadRetryAfter = time.Second // for requests refused because the event ring is full
)

// Clock reads a host's clock. It advances while the host is suspended, so that
// leases and reports from before the suspension expire.
type Clock func() core.Instant

// Gateway owns a machine and the ring of its events.
type Gateway struct {
	machine          *relaynode.Machine
	executors        Executors
	clock            Clock
	registry         metrics.Registry
	events           *supervise.Ring[relaynode.Event]
	mayExit          chan struct{}
	status           atomic.Pointer[status]
	storeReachable   atomic.Bool // whether the last call reached the store
	retries          retryGate
	checkingStore    atomic.Bool // a call that checks whether the store is reached is open
	decisionCounters map[string]metrics.Counter
	reread           interrupts // interrupts watches so that they list their objects again
	relist           interrupts // interrupts watches that wait for changes so that they list their objects
	wake             interrupts // interrupts idle watches so that they check whether to watch

	mu        sync.Mutex
	exchanges map[core.RequestID]*exchange
}

// status is what workers other than the machine's read of its state.
type status struct {
	ready     bool
	leaving   bool
	addresses []string
	table     *table.Table       // the configuration in force; nil: none yet
	reading   relaynode.ReadPlan // how the store is to be read
}

// New returns a gateway whose workers are not running yet; see Register.
func New(m *relaynode.Machine, executors Executors, clock Clock, r metrics.Registry) *Gateway {
	g := &Gateway{
		machine:          m,
		executors:        executors,
		clock:            clock,
		registry:         r,
		events:           supervise.NewRing[relaynode.Event]("events", eventRingSize, supervise.Refuse),
		mayExit:          make(chan struct{}, 1),
		decisionCounters: map[string]metrics.Counter{},
		exchanges:        map[core.RequestID]*exchange{},
	}
	g.status.Store(&status{reading: m.ReadPlan()})
	g.storeReachable.Store(true)
	return g
}

// Register adds the gateway's workers to a supervision tree.
func (g *Gateway) Register(t *supervise.Tree) {
	t.Add("machine", g.run)
	t.Add("ticker", supervise.Periodic(tickInterval, g.tick))
	for _, w := range g.watches() {
		t.Add("watch "+w.kind, w.run)
	}
	t.Add("leases", g.readLeases)
}

// Done returns a channel that receives one value once the host may exit.
func (g *Gateway) Done() <-chan struct{} { return g.mayExit }

// Leave starts a graceful shutdown.
func (g *Gateway) Leave() { g.Notify(relaynode.Leave{}) }

// Ready reports whether the host can serve callers.
func (g *Gateway) Ready() bool { return g.status.Load().ready }

// Leaving implements relay.Node.
func (g *Gateway) Leaving() bool { return g.status.Load().leaving }

// Screen implements relay.Screener. It doesn't wait for the machine.
func (g *Gateway) Screen(a relaynode.RequestArrived) *core.Refusal {
	return relaynode.Screen(g.status.Load().table, a)
}

// Addresses returns the addresses that are advertised to callers.
func (g *Gateway) Addresses() []string { return g.status.Load().addresses }

// Notify queues an event for the machine and implements relay.Node. It blocks while the
// ring is full, since an event that ends something must not be lost. The machine's own
// worker must not call it, as it would block itself.
func (g *Gateway) Notify(e relaynode.Event) { g.events.PushBlocking(e) }

// Trusted reports whether a certificate's key is that of a registered host. It
// waits for the machine.
func (g *Gateway) Trusted(h core.HostID, key string) bool {
	return g.ask(func(m *relaynode.Machine) bool { return m.Trusted(h, key) })
}

// ask returns what a question to the machine is answered. It waits until the machine has handled
// the events before it.
func (g *Gateway) ask(question func(*relaynode.Machine) bool) bool {
	answer := make(chan bool, 1)
	g.Notify(relaynode.Query{Read: func(m *relaynode.Machine) { answer <- question(m) }})
	return <-answer
}

// ReceiveFromPeer decodes a payload from another host and queues it for the machine. If
// the ring is full, the message is dropped, as it might also be lost on the network.
func (g *Gateway) ReceiveFromPeer(from core.HostID, payload []byte) {
	var m relaynode.Message
	if err := cbor.Unmarshal(payload, &m); err != nil {
		log.WithField("peer", string(from)).WithError(err).Warn("peer message not decoded")
		return
	}
	if len(m.Configuration) > 0 {
		g.configurationReceived(from, m.Configuration, m.ConfigurationRestored)
	}
	if !g.events.TryPush(relaynode.MessageReceived{From: from, Message: m}) {
		g.count("gateway.peer_messages_dropped")
	}
}

// run steps the machine until ctx ends.
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

// step handles one event. The status is published only after events that may
// change it.
func (g *Gateway) step(ctx context.Context, e relaynode.Event) {
	for _, effect := range g.machine.Step(g.clock(), e) {
		g.execute(ctx, effect)
	}
	switch e.(type) {
	case relaynode.Tick, relaynode.Leave, relaynode.ConfigurationRead, relaynode.ReplicasListed:
		g.publishStatus()
	}
}

// publishStatus updates the status that other workers read, and interrupts the
// watches where the machine has changed how they are to read.
func (g *Gateway) publishStatus() {
	g.updateGauges()
	next := &status{
		ready:     g.machine.Ready(),
		leaving:   g.machine.Leaving(),
		addresses: g.machine.Addresses(),
		table:     g.machine.Table(),
		reading:   g.machine.ReadPlan(),
	}
	last := g.status.Swap(next)
	if last.reading.Reread != next.reading.Reread {
		g.reread.interruptAll()
	}
	if next.reading.Relist != last.reading.Relist {
		g.relist.interruptAll()
	}
	if next.reading.Watch && !last.reading.Watch || next.reading.Evacuations && !last.reading.Evacuations || next.reading.Relist != last.reading.Relist {
		g.wake.interruptAll()
	}
}

// updateGauges updates the metrics of open requests and queued events.
func (g *Gateway) updateGauges() {
	g.mu.Lock()
	open := len(g.exchanges)
	g.mu.Unlock()
	metrics.GetOrRegisterGauge("gateway.requests", g.registry).Update(int64(open))
	metrics.GetOrRegisterGauge("gateway.queue", g.registry).Update(int64(g.events.Stats().Length))
}

func (g *Gateway) tick() {
	if !g.events.TryPush(relaynode.Tick{}) {
		g.count("gateway.ticks_dropped")
	}
}

func (g *Gateway) count(name string) { metrics.GetOrRegisterCounter(name, g.registry).Inc(1) }

// execute carries out one effect. I/O that can block runs in its own goroutine.
func (g *Gateway) execute(ctx context.Context, effect relaynode.Effect) {
	switch x := effect.(type) {
	case relaynode.Dispatch:
		g.sendDecision(x.ID, x)
	case relaynode.Refuse:
		g.sendDecision(x.ID, x)
	case relaynode.DeliverFailure:
		g.sendDecision(x.ID, x)
	case relaynode.AbortAnswer:
		g.sendDecision(x.ID, x)
	case relaynode.Cancel:
		g.cancel(x)
	case relaynode.SendOrder:
		go g.sendOrder(ctx, x)
	case relaynode.RequestReport:
		go g.readReport(ctx, x.Probe)
	case relaynode.CheckReplica:
		go g.checkReplica(ctx, x)
	case relaynode.ProbePath:
		go g.probePath(ctx, x)
	case relaynode.WriteObject:
		go g.callStore(ctx, x.Call)
	case relaynode.SendToPeers:
		g.sendToPeers(x)
	case relaynode.LogDecision:
		g.logDecision(x)
	case relaynode.RequestEnded:
		g.recordRequestEnd(x)
	case relaynode.FirstEventSeen:
		g.recordFirstEvent(x)
	case relaynode.LeaveCompleted:
		g.mayExit <- struct{}{} // sent once, so the buffer of one never blocks
	}
}

// logDecision counts a decision and, unless it is for the metrics only, logs it.
func (g *Gateway) logDecision(d relaynode.LogDecision) {
	name := "decision." + d.Name + "." + d.Reason
	c := g.decisionCounters[name]
	if c == nil {
		c = metrics.GetOrRegisterCounter(name, g.registry)
		g.decisionCounters[name] = c
	}
	c.Inc(1)
	if d.MetricsOnly {
		return
	}
	fields := log.Fields{"decision": d.Name, "reason": d.Reason}
	if d.ID != "" {
		_, id, _ := strings.Cut(string(d.ID), " ") // the caller's request id, which follows this host's number
		fields["request"] = id
	}
	if d.Request != "" {
		fields["request"] = d.Request
	}
	if d.Upstream != "" {
		fields["upstream"] = string(d.Upstream)
	}
	if d.Detail != "" {
		fields["detail"] = d.Detail
	}
	if d.Age != 0 {
		fields["age_ms"] = d.Age.Milliseconds()
	}
	log.WithFields(fields).Info("decided")
}
