package node

import (
	"gentiancroft/internal/core"
)

// Effect is an action that the node's caller carries out.
type Effect interface{ isEffect() }

// Dispatch sends an attempt of a request to an upstream.
type Dispatch struct {
	ID           core.RequestID
	Attempt      int
	Upstream     core.UpstreamID
	Address      string
	Adapter      core.AdapterRef // zero for a plain service
	Fence        core.Fence
	Until        core.Instant // on this host's clock; it must not be sent from then on
	Workspace    core.WorkspaceID
	Class        core.Class
	BufferAnswer bool // the whole answer is buffered and recorded
}

// Cancel cancels an attempt at its upstream.
type Cancel struct {
	ID      core.RequestID
	Attempt int
}

// Refuse is the final answer of a request whose answer has not started.
type Refuse struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// AbortAnswer aborts an answer that has started, with a last event of the refusal's type.
type AbortAnswer struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// ReplayOutcome answers a repeated request with the recorded outcome.
type ReplayOutcome struct {
	ID      core.RequestID
	Outcome core.Outcome
}

// SendOrder sends an adapter order to an engine.
type SendOrder struct{ core.AdapterOrder }

// CallObject is a call to the object API.
type CallObject struct{ Call core.ObjectCall }

// SendToPeer is a message for another host.
type SendToPeer struct {
	To      core.HostID
	Address string
	Message PeerMessage
}

// LogDecision is a decision log entry; it is also counted in the metrics.
type LogDecision struct {
	Name   string // of the decision, from a small fixed set
	Reason string // from a small fixed set; "" if the decision has only a detail
	Detail string // for the log only
	ID     core.RequestID
}

// LeaveCompleted reports that the host may exit: no request is in flight, and its shards
// are handed off, its lease was lost or the store did not confirm in time.
type LeaveCompleted struct {
	Fenced bool // the host lost its lease and must rejoin under a new identity
}

func (Dispatch) isEffect()       {}
func (Cancel) isEffect()         {}
func (Refuse) isEffect()         {}
func (AbortAnswer) isEffect()    {}
func (ReplayOutcome) isEffect()  {}
func (SendOrder) isEffect()      {}
func (CallObject) isEffect()     {}
func (SendToPeer) isEffect()     {}
func (LogDecision) isEffect()    {}
func (LeaveCompleted) isEffect() {}

// PollUpstream requests an upstream's report.
type PollUpstream struct {
	Upstream core.UpstreamID
	Address  string
}

// ListHosts reads the platform's host list, which lags behind.
type ListHosts struct{}

func (PollUpstream) isEffect() {}
func (ListHosts) isEffect()    {}
