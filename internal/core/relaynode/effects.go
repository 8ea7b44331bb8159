package relaynode

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/residency"
	"gentiancroft/internal/core/table"
)

// Effect is an output of the machine, to be carried out by its caller.
type Effect interface{ isEffect() }

// Dispatch sends an attempt of a request to a replica.
type Dispatch struct {
	ID              core.RequestID
	Attempt         int
	Upstream        core.UpstreamID
	Address         string
	Carrier         core.Carrier // the host that carries the connection; the zero value: none does
	Workspace       core.WorkspaceID
	TimeLeft        time.Duration // until the request's deadline
	ExpectedVersion int           // adapter version that the replica must confirm; 0: any
	LastEvent       string        // the stream resumes after it
	OwesEvent       bool          // the next event of the stream has begun before: an answer without one isn't whole
	NonRepeatable   bool          // the request must not run twice
	Confirmable     bool          // the replica answers a confirmation without running anything
	Incarnation     int64         // start of the incarnation that alone may run it, which is to be confirmed; 0: any
	Limited         bool          // the replica has named a limit or is cold, or has said that it is brittle: whether its answer does is to be reported
	Priority        int           // among the requests that wait at the replica; 0 is the most urgent
}

// Cancel ends an attempt at its replica.
type Cancel struct {
	ID               core.RequestID
	Attempt          int
	OnlyIfUnanswered bool // only if its answer has not started yet
}

// Refuse is the final answer to a request whose caller has received nothing yet.
type Refuse struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// DeliverFailure passes the replica's failure answer on to the caller.
type DeliverFailure struct{ ID core.RequestID }

// AbortAnswer breaks off an answer that can't be completed.
type AbortAnswer struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

// SendOrder sends a load or unload order to a replica.
type SendOrder struct {
	residency.Order
	TimeLeft time.Duration // after which this host may not give the order any more
}

// RequestReport requests a replica's report.
type RequestReport struct{ residency.Probe }

// CheckReplica requests a check whether an incarnation of a replica still runs.
type CheckReplica struct {
	residency.Probe
	Started int64
}

// ProbePath requests a probe of this host's path to a replica: whether a connection can be opened.
type ProbePath struct {
	Replica core.UpstreamID
	Address string
	Begun   core.Instant
}

// WriteObject is a write to the store.
type WriteObject struct{ Call core.ObjectCall }

// SendToPeers sends a message to other hosts.
type SendToPeers struct {
	To      []fleet.Registration
	Message Message
}

// LogDecision is a decision log entry: a decision and what it is based on, for the log and
// the metrics.
type LogDecision struct {
	Name        string // of the decision, as in the catalog
	Reason      string // as in the catalog
	ID          core.RequestID
	Request     string // the caller's id of a request of another host; "": see ID
	Upstream    core.UpstreamID
	Detail      string
	Age         time.Duration // of the request, or of what the decision is based on
	MetricsOnly bool          // counted and not logged
}

// RequestEnded is the end of a request, for the metrics only.
type RequestEnded struct {
	Route     string // "" where no route matched
	Outcome   string // ok, error, cut, caller_gone or the code of the refusal
	FirstByte time.Duration
	Total     time.Duration
}

// FirstEventSeen is the first event of an attempt at an engine for which a time had been
// predicted, for the metrics only. Times are from the dispatch.
type FirstEventSeen struct {
	Service   table.ServiceID
	Predicted time.Duration
	Took      time.Duration
}

// LeaveCompleted is sent when the graceful shutdown is complete and the process may exit.
type LeaveCompleted struct{}

func (Dispatch) isEffect()       {}
func (Cancel) isEffect()         {}
func (Refuse) isEffect()         {}
func (DeliverFailure) isEffect() {}
func (AbortAnswer) isEffect()    {}
func (SendOrder) isEffect()      {}
func (RequestReport) isEffect()  {}
func (CheckReplica) isEffect()   {}
func (ProbePath) isEffect()      {}
func (WriteObject) isEffect()    {}
func (SendToPeers) isEffect()    {}
func (LogDecision) isEffect()    {}
func (LeaveCompleted) isEffect() {}
func (RequestEnded) isEffect()   {}
func (FirstEventSeen) isEffect() {}
