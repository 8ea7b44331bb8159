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

// machine is the decision machine that an object call belongs to.
type machine uint8

const (
	machineLease machine = iota + 1
	machineFeed
	machineLimit
	machineOnce
)

// pendingCall is an object call without a result yet.
type pendingCall struct {
	machine machine
	tag     uint64 // as the machine set it
}

// pendingCalls maps the node's tags to the machines' tags, which may be equal.
type pendingCalls struct {
	lastTag uint64
	open    map[uint64]pendingCall
}

func (n *Node) emitObjectCall(m machine, c core.ObjectCall) {
	n.calls.lastTag++
	n.calls.open[n.calls.lastTag] = pendingCall{machine: m, tag: c.Tag}
	c.Tag = n.calls.lastTag
	n.emit(CallObject{Call: c})
}

// routeObjectResult passes a result to the machine that made the call.
func (n *Node) routeObjectResult(r core.ObjectResult) {
	c, ok := n.calls.open[r.Tag]
	if !ok {
		return
	}
	delete(n.calls.open, r.Tag)
	r.Tag = c.tag
	switch c.machine {
	case machineLease:
		n.applyLeaseOutput(n.lease.HandleObject(n.now, r))
	case machineFeed:
		n.applyFeedOutput(n.feed.HandleObject(n.now, r))
	case machineLimit:
		n.applyLimitResult(n.limit.HandleObject(n.now, n.lease, r))
	case machineOnce:
		n.applyOnceResult(n.once.HandleObject(n.now, r))
	}
}

func (n *Node) emitObjectCalls(m machine, all []core.ObjectCall) {
	for _, c := range all {
		n.emitObjectCall(m, c)
	}
}

func (n *Node) applyLeaseOutput(o lease.Output) {
	n.emitObjectCalls(machineLease, o.Calls)
	for _, s := range o.Sends {
		n.send(s.To, PeerMessage{Lease: &s.Message})
	}
}

func (n *Node) applyFeedOutput(o feed.Output) {
	n.emitObjectCalls(machineFeed, o.Calls)
	for _, s := range o.Sends {
		n.send(s.To, PeerMessage{Feed: &s.Message})
	}
}

func (n *Node) applyLimitResult(r limit.Result) {
	n.emitObjectCalls(machineLimit, r.Calls)
	for _, s := range r.Sends {
		n.send(s.To, PeerMessage{Limit: &s.Message})
	}
	for _, d := range r.Decisions {
		n.handleLimitDecision(d)
	}
}

func (n *Node) applyOnceResult(r once.Result) {
	n.emitObjectCalls(machineOnce, r.Calls)
	for _, d := range r.Decisions {
		n.handleOnceDecision(d)
	}
}

func (n *Node) applyPlacementResult(r placement.Result) {
	for _, s := range r.Sends {
		n.send(s.To, PeerMessage{Placement: &s.Message})
	}
	for _, o := range r.Orders {
		n.emit(SendOrder{AdapterOrder: o})
	}
	for _, p := range r.Publish {
		n.publishResidency(p)
	}
	for _, note := range r.LogEntries {
		n.emit(LogDecision{Name: note.Name, Detail: note.Reason})
	}
	for _, d := range r.Decisions {
		n.handlePlacementDecision(d)
	}
}

func (n *Node) applySuspectResult(r suspect.Result) {
	for _, s := range r.Sends {
		n.send(s.To, PeerMessage{Suspect: &s.Message})
	}
	for _, s := range r.Publish {
		n.publishCrashCount(s)
	}
	for _, d := range r.Decisions {
		n.handleClaimDecision(d)
	}
}
