// Package host runs one node: a single duty takes events from a bounded ring,
// steps the node and hands its effects to the carriers.
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
	eventRing       = 8192
	tickEvery       = 50 * time.Millisecond
	overloadedRetry = time.Second // when a caller refused by a full ring should come back
)

// Metric names.
const (
	MetricEvents       = "node.events"
	MetricStepTime     = "node.step_ns"
	MetricPeerDropped  = "node.peer_messages_dropped"
	MetricTicksDropped = "node.ticks_dropped"
	decisionPrefix     = "decision."
)

// Host owns a node and its event ring.
type Host struct {
	node     *node.Node
	carriers Carriers
	metrics  metrics.Registry
	events   *supervise.Ring[node.Event]
	objects  *pool
	orders   *pool
	polls    *pool
	own      []node.Event // of the node's duty alone
	ticks    int          // of the node's duty alone
	start    time.Time
	left     chan Left

	mu        sync.Mutex
	exchanges map[core.RequestID]*Exchange
}

// New returns a host whose duties are not running yet.
func New(n *node.Node, c Carriers, registry metrics.Registry, start time.Time) *Host {
	return &Host{
		node:      n,
		carriers:  c,
		metrics:   registry,
		events:    supervise.NewRing[node.Event]("events", eventRing, supervise.Refuse),
		objects:   newPool("object calls", objectWorkers),
		orders:    newPool("adapter orders", orderWorkers),
		polls:     newPool("polls", pollWorkers),
		start:     start,
		left:      make(chan Left, 1),
		exchanges: map[core.RequestID]*Exchange{},
	}
}

// Register puts the host's duties under supervision.
func (h *Host) Register(t *supervise.Tree) {
	h.objects.register(t)
	h.orders.register(t)
	h.polls.register(t)
	t.Add("node", h.run)
	t.Add("ticker", supervise.Every(tickEvery, h.tick))
}

// Now is the host's monotonic clock.
func (h *Host) Now() core.Instant { return core.Instant(time.Since(h.start)) }

// Left says that the host may exit.
type Left = node.Left

// Left gives one value once the host may exit.
func (h *Host) Left() <-chan Left { return h.left }

// Tell hands the node an event and waits while the ring is full: an event that
// ends something must not be lost. The node's own duty never calls it.
func (h *Host) Tell(e node.Event) { h.events.Put(e) }

// Offer hands the node an event unless the ring is full.
func (h *Host) Offer(e node.Event) bool { return h.events.TryPush(e) }

// FromPeer hands the node a message from a link; a full ring drops it, as the
// network may.
func (h *Host) FromPeer(from core.HostID, m node.PeerMessage) {
	if !h.Offer(node.FromPeer{From: from, Message: m}) {
		h.count(MetricPeerDropped)
	}
}

// Read runs f between two steps of the node and waits for it.
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

func (h *Host) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-h.events.Items():
			h.step(e)
			h.stepOwn()
			if h.vitalsDue(e) {
				h.readVitals()
			}
		}
	}
}

// stepOwn steps the events that carrying out effects gave rise to.
func (h *Host) stepOwn() {
	for len(h.own) > 0 {
		e := h.own[0]
		h.own = h.own[1:]
		h.step(e)
	}
}

func (h *Host) step(e node.Event) {
	now := h.Now()
	effects := h.node.Step(now, e)
	metrics.GetOrRegisterCounter(MetricEvents, h.metrics).Inc(1)
	metrics.GetOrRegisterCounter(MetricStepTime, h.metrics).Inc(int64(h.Now().Sub(now)))
	for _, effect := range effects {
		h.do(effect)
	}
}

func (h *Host) tick() {
	if !h.Offer(node.Tick{}) {
		h.count(MetricTicksDropped)
	}
}

func (h *Host) count(name string) { metrics.GetOrRegisterCounter(name, h.metrics).Inc(1) }

func (h *Host) do(effect node.Effect) {
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
		h.order(x.AdapterOrder)
	case node.Object:
		h.object(x.Call)
	case node.Poll:
		h.poll(x)
	case node.ListHosts:
		h.list()
	case node.ToPeer:
		h.carriers.Links.Send(x.To, x.Address, x.Message)
	case node.Note:
		h.note(x)
	case node.Left:
		h.left <- x // the node says so once
	default:
		log.WithField("effect", fmt.Sprintf("%T", effect)).Error("effect without a carrier")
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

func (h *Host) order(o core.AdapterOrder) {
	taken := h.orders.submit(func(ctx context.Context) {
		h.Tell(node.OrderDone{OrderDone: h.carriers.Orders.Do(ctx, o)})
	})
	if !taken {
		h.own = append(h.own, node.OrderDone{OrderDone: core.OrderDone{ID: o.ID, Sure: true}})
	}
}

func (h *Host) object(c core.ObjectCall) {
	taken := h.objects.submit(func(ctx context.Context) {
		h.Tell(node.ObjectDone{Result: h.carriers.Objects.Do(ctx, c)})
	})
	if !taken {
		h.own = append(h.own, node.ObjectDone{Result: core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnavailable}})
	}
}

func (h *Host) poll(p node.Poll) {
	h.polls.submit(func(ctx context.Context) {
		sent := h.Now()
		report := h.carriers.Polls.Poll(ctx, p.Upstream, p.Address)
		report.Upstream = p.Upstream
		report.Sent = sent
		h.Tell(node.Report{UpstreamReport: report})
	})
}

func (h *Host) list() {
	h.polls.submit(func(ctx context.Context) {
		hosts, err := h.carriers.Listing.List(ctx)
		if err != nil {
			log.WithError(err).Debug("host list not read")
			return
		}
		h.Tell(node.HostsListed{Hosts: hosts})
	})
}

// note counts a decision by its name and reason and logs it with its detail.
func (h *Host) note(n node.Note) {
	name := decisionPrefix + plainName(n.Name)
	if n.Reason != "" {
		name += "." + n.Reason
	}
	h.count(name)
	if !debugging() {
		return
	}
	log.WithFields(log.Fields{"decision": n.Name, "reason": n.Reason, "detail": n.Detail, "request": string(n.ID)}).Debug("decided")
}

// debugging reports whether debug lines are written at all.
func debugging() bool {
	l, ok := log.Log.(*log.Logger)
	return !ok || l.Level <= log.DebugLevel
}

// plainName makes a name fit for a metric.
func plainName(s string) string { return strings.ReplaceAll(s, " ", "_") }

func workerName(pool string, i int) string { return fmt.Sprintf("%s %d", pool, i) }
