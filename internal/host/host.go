// Package host runs one node: a single goroutine takes events from a bounded queue,
// steps the node and passes its effects to executors, which do the I/O in pools of
// workers. If the event queue is full, new requests are refused, ticks and peer
// messages dropped; all other decisions are the node's.
package host

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/supervise"
)

const (
	eventQueueSize     = 8192
	tickInterval       = 50 * time.Millisecond
	retryAfterOverload = time.Second // after a refusal because the event queue is full
)

// Metric names.
const (
	MetricEvents       = "node.events"
	MetricStepTime     = "node.step_ns"
	MetricPeerDropped  = "node.peer_messages_dropped"
	MetricTicksDropped = "node.ticks_dropped"
	decisionPrefix     = "decision."
)

// Host owns a node and its event queue.
type Host struct {
	node        *node.Node
	executors   Executors
	metrics     metrics.Registry
	events      *supervise.Ring[node.Event]
	objects     *pool
	orders      *pool
	polls       *pool
	localEvents []node.Event // used by the node's worker only
	ticks       int          // used by the node's worker only
	start       time.Time
	mayExit     chan LeaveCompleted

	mu        sync.Mutex
	exchanges map[core.RequestID]*Exchange
}

// New returns a host whose workers are not started. Register adds them to a tree.
func New(n *node.Node, executors Executors, registry metrics.Registry, start time.Time) *Host {
	return &Host{
		node:      n,
		executors: executors,
		metrics:   registry,
		events:    supervise.NewRing[node.Event]("events", eventQueueSize, supervise.Refuse),
		objects:   newPool("object calls", objectWorkers),
		orders:    newPool("adapter orders", orderWorkers),
		polls:     newPool("polls", pollWorkers),
		start:     start,
		mayExit:   make(chan LeaveCompleted, 1),
		exchanges: map[core.RequestID]*Exchange{},
	}
}

// Register adds the host's workers to the supervisor tree.
func (h *Host) Register(t *supervise.Tree) {
	h.objects.register(t)
	h.orders.register(t)
	h.polls.register(t)
	t.Add("node", h.runNode)
	t.Add("ticker", supervise.Periodic(tickInterval, h.tick))
}

// Now is the host's monotonic clock.
func (h *Host) Now() core.Instant { return core.Instant(time.Since(h.start)) }

// LeaveCompleted reports that the host may exit.
type LeaveCompleted = node.LeaveCompleted

// Done returns a channel that gives one value once the host may exit.
func (h *Host) Done() <-chan LeaveCompleted { return h.mayExit }

// Notify enqueues an event and blocks while the queue is full: an event that ends
// something must not be lost. The node's worker must not call it, as it would block
// itself.
func (h *Host) Notify(e node.Event) { h.events.PushBlocking(e) }

// Offer enqueues an event. It returns false if the queue is full.
func (h *Host) Offer(e node.Event) bool { return h.events.TryPush(e) }

// ReceiveFromPeer enqueues a message from a link. If the queue is full, the message is
// dropped and counted; the node copes with lost messages.
func (h *Host) ReceiveFromPeer(from core.HostID, m node.PeerMessage) {
	if !h.Offer(node.MessageReceived{From: from, Message: m}) {
		h.count(MetricPeerDropped)
	}
}

// Read runs f between two steps of the node and waits until it returns. It returns
// an error if the event queue is full, or if ctx ends first; in that case f may
// still run later.
func (h *Host) Read(ctx context.Context, f func(n *node.Node, now core.Instant)) error {
	done := make(chan struct{})
	q := node.Query{Do: func(n *node.Node, now core.Instant) {
		f(n, now)
		close(done)
	}}
	if err := h.events.Push(q); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Host) runNode(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-h.events.Items():
			h.step(e)
			h.stepLocalEvents()
			if h.gaugesDue(e) {
				h.updateGauges()
			}
		}
	}
}

// stepLocalEvents steps the events that result from effects that could not be
// submitted.
func (h *Host) stepLocalEvents() {
	for len(h.localEvents) > 0 {
		e := h.localEvents[0]
		h.localEvents = h.localEvents[1:]
		h.step(e)
	}
}

func (h *Host) step(e node.Event) {
	now := h.Now()
	effects := h.node.Step(now, e)
	metrics.GetOrRegisterCounter(MetricEvents, h.metrics).Inc(1)
	metrics.GetOrRegisterCounter(MetricStepTime, h.metrics).Inc(int64(h.Now().Sub(now)))
	for _, effect := range effects {
		h.execute(effect)
	}
}

func (h *Host) tick() {
	if !h.Offer(node.Tick{}) {
		h.count(MetricTicksDropped)
	}
}

func (h *Host) count(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) }

func (h *Host) execute(effect node.Effect) {
	switch x := effect.(type) {
	case node.Dispatch:
		h.deliverDecision(x.ID, x)
	case node.Refuse:
		h.deliverDecision(x.ID, x)
	case node.ReplayOutcome:
		h.deliverDecision(x.ID, x)
	case node.AbortAnswer:
		h.deliverDecision(x.ID, x)
	case node.Cancel:
		h.deliverDecision(x.ID, x)
	case node.SendOrder:
		h.executeOrder(x.AdapterOrder)
	case node.CallObject:
		h.callObject(x.Call)
	case node.PollUpstream:
		h.poll(x)
	case node.ListHosts:
		h.listHosts()
	case node.SendToPeer:
		h.executors.Links.Send(x.To, x.Address, x.Message)
	case node.LogDecision:
		h.logDecision(x)
	case node.LeaveCompleted:
		h.mayExit <- x // the node emits it once
	default:
		log.WithField("effect", fmt.Sprintf("%T", effect)).Error("effect has no executor and is dropped")
	}
}

// deliverDecision passes a decision to the request's handler, if it still waits.
func (h *Host) deliverDecision(id core.RequestID, effect node.Effect) {
	h.mu.Lock()
	x := h.exchanges[id]
	h.mu.Unlock()
	if x != nil {
		x.deliver(effect)
	}
}

func (h *Host) executeOrder(o core.AdapterOrder) {
	accepted := h.orders.submit(func(ctx context.Context) {
		h.Notify(node.OrderDone{OrderDone: h.executors.Orders.Do(ctx, o)})
	})
	if !accepted {
		h.localEvents = append(h.localEvents, node.OrderDone{OrderDone: core.OrderDone{ID: o.ID, NoEffect: true}})
	}
}

func (h *Host) callObject(c core.ObjectCall) {
	accepted := h.objects.submit(func(ctx context.Context) {
		h.Notify(node.ObjectDone{Result: h.executors.Objects.Do(ctx, c)})
	})
	if !accepted {
		h.localEvents = append(h.localEvents, node.ObjectDone{Result: core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnavailable}})
	}
}

func (h *Host) poll(p node.PollUpstream) {
	h.polls.submit(func(ctx context.Context) {
		sent := h.Now()
		report := h.executors.LoadReports.Poll(ctx, p.Upstream, p.Address)
		report.Upstream = p.Upstream
		report.Sent = sent
		h.Notify(node.ReportReceived{UpstreamReport: report})
	})
}

func (h *Host) listHosts() {
	h.polls.submit(func(ctx context.Context) {
		hosts, err := h.executors.Hosts.List(ctx)
		if err != nil {
			log.WithError(err).Debug("could not read the host list; the previous one is kept")
			return
		}
		h.Notify(node.HostListRead{Hosts: hosts})
	})
}

// logDecision counts a decision by its name and reason and logs it at debug level.
func (h *Host) logDecision(d node.LogDecision) {
	name := decisionPrefix + metricName(d.Name)
	if d.Reason != "" {
		name += "." + d.Reason
	}
	h.count(name)
	if !debugEnabled() {
		return
	}
	log.WithFields(log.Fields{"decision": d.Name, "reason": d.Reason, "detail": d.Detail, "request": string(d.ID)}).Debug("decided")
}

// debugEnabled reports whether debug lines are written.
func debugEnabled() bool {
	l, ok := log.Log.(*log.Logger)
	return !ok || l.Level <= log.DebugLevel
}

// metricName replaces the spaces of a name for use in a metric's name.
func metricName(s string) string { return strings.ReplaceAll(s, " ", "_") }

func workerName(pool string, i int) string { return fmt.Sprintf("%s %d", pool, i) }
