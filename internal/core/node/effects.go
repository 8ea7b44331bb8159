package node

import (
	"gentiancroft/internal/core"
)

// Effect is something the node wants done outside.
type Effect interface{ isEffect() }

// Dispatch sends an attempt of a request to an upstream.
type Dispatch struct {
	ID        core.RequestID
	Attempt   int
	Upstream  core.UpstreamID
	Address   string
	Adapter   core.AdapterRef // zero for a plain service
	Fence     core.Fence
	Until     core.Instant // of this host's clock; not to be sent from then on
	Workspace core.WorkspaceID
	Class     core.Class
	Record    bool // the answer is recorded: buffer it whole
}

// Cancel ends an attempt at its upstream.
type Cancel struct {
	ID      core.RequestID
	Attempt int
}

// Refuse is the final answer of a request that has not begun to answer.
type Refuse struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// Cut ends a running answer with a typed last event.
type Cut struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// Replay answers a repeated request with the recorded outcome.
type Replay struct {
	ID      core.RequestID
	Outcome core.Outcome
}

// Order sends an adapter order to an engine.
type Order struct{ core.AdapterOrder }

// Object is a call to the object API.
type Object struct{ Call core.ObjectCall }

// ToPeer is a message for another host.
type ToPeer struct {
	To      core.HostID
	Address string
	Message PeerMessage
}

// Note is a decision with its reason, for the log and the metrics.
type Note struct {
	Name   string // of the decision, one of few
	Reason string // one of few, "" where only the detail tells
	Detail string // for the log alone
	ID     core.RequestID
}

// Left says that the host may exit: nothing is in flight and all is handed over.
type Left struct {
	Fenced bool // this identity is over: rejoin under a new one
}

func (Dispatch) isEffect() {}
func (Cancel) isEffect()   {}
func (Refuse) isEffect()   {}
func (Cut) isEffect()      {}
func (Replay) isEffect()   {}
func (Order) isEffect()    {}
func (Object) isEffect()   {}
func (ToPeer) isEffect()   {}
func (Note) isEffect()     {}
func (Left) isEffect()     {}

// Poll asks an upstream for its report.
type Poll struct {
	Upstream core.UpstreamID
	Address  string
}

// ListHosts asks the platform for its lagging list.
type ListHosts struct{}

func (Poll) isEffect()      {}
func (ListHosts) isEffect() {}
