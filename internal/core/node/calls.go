package node

import (
	"gentiancroft/internal/core"
	"gentiancroft/internal/core/dispatch/once"
	"gentiancroft/internal/core/dispatch/suspect"
	"gentiancroft/internal/core/feed"
	"gentiancroft/internal/core/lease"
	"gentiancroft/internal/core/limit"
	"gentiancroft/internal/core/placement"
)

// part names the machine that an object call belongs to.
type part uint8

const (
	partLease part = iota + 1
	partFeed
	partLimit
	partOnce
)

// call is an object call under way.
type call struct {
	part part
	tag  uint64 // the machine's own
}

// calls keeps the machines' tags apart.
type calls struct {
	last uint64
	open map[uint64]call
}

func (n *Node) callObject(p part, c core.ObjectCall) {
	n.calls.last++
	n.calls.open[n.calls.last] = call{part: p, tag: c.Tag}
	c.Tag = n.calls.last
	n.emit(Object{Call: c})
}

func (n *Node) objectDone(r core.ObjectResult) {
	c, ok := n.calls.open[r.Tag]
	if !ok {
		return
	}
	delete(n.calls.open, r.Tag)
	r.Tag = c.tag
	switch c.part {
	case partLease:
		n.leaseOutput(n.lease.Object(n.now, r))
	case partFeed:
		n.feedOutput(n.feed.Object(n.now, r))
	case partLimit:
		n.limitResult(n.limit.Object(n.now, n.lease, r))
	case partOnce:
		n.onceResult(n.once.Object(n.now, r))
	}
}

func (n *Node) callObjects(p part, all []core.ObjectCall) {
	for _, c := range all {
		n.callObject(p, c)
	}
}

func (n *Node) leaseOutput(o lease.Output) {
	n.callObjects(partLease, o.Calls)
	for _, s := range o.Sends {
		n.send(s.To, PeerMessage{Lease: &s.Message})
	}
}

func (n *Node) feedOutput(o feed.Output) {
	n.callObjects(partFeed, o.Calls)
	for _, s := range o.Sends {
		n.send(s.To, PeerMessage{Feed: &s.Message})
	}
}

func (n *Node) limitResult(r limit.Result) {
	n.callObjects(partLimit, r.Calls)
	for _, s := range r.Sends {
		n.send(s.To, PeerMessage{Limit: &s.Message})
	}
	for _, d := range r.Decisions {
		n.limited(d)
	}
}

func (n *Node) onceResult(r once.Result) {
	n.callObjects(partOnce, r.Calls)
	for _, d := range r.Decisions {
		n.recorded(d)
	}
}

func (n *Node) placementResult(r placement.Result) {
	for _, s := range r.Sends {
		n.send(s.To, PeerMessage{Placement: &s.Message})
	}
	for _, o := range r.Orders {
		n.emit(Order{AdapterOrder: o})
	}
	for _, p := range r.Publish {
		n.publishResidency(p)
	}
	for _, note := range r.Notes {
		n.emit(Note{Name: note.Name, Detail: note.Reason})
	}
	for _, d := range r.Decisions {
		n.placed(d)
	}
}

func (n *Node) suspectResult(r suspect.Result) {
	for _, s := range r.Sends {
		n.send(s.To, PeerMessage{Suspect: &s.Message})
	}
	for _, s := range r.Publish {
		n.publishStrike(s)
	}
	for _, d := range r.Decisions {
		n.claimed(d)
	}
}
