package placement

import "gentiancroft/internal/core"

// Ask is a request that needs an upstream.
type Ask struct {
	Request   core.RequestID
	Pool      string
	Adapter   core.AdapterRef // zero for a plain service
	Base      core.BaseModel
	Workspace core.WorkspaceID
	Weight    int
	Class     core.Class
	Cost      core.Tokens
	Deadline  core.Instant
	Prefix    uint64            // hash of the prompt's head; 0 for none
	Avoid     []core.UpstreamID // tried already
}

// Ticket is the right to dispatch one request to one upstream. Check it with
// Machine.Valid immediately before the dispatch.
type Ticket struct {
	Upstream core.UpstreamID
	Address  string // ip:port
	Adapter  core.AdapterRef
	Grant    core.Grant // Until is of this host's clock
	Stalled  bool       // the request waited for a load
}

// Decision ends an ask: a ticket or a refusal.
type Decision struct {
	Request core.RequestID
	Ticket  *Ticket
	Refusal *core.Refusal
}

// Note is a decision with its reason, for the log and the metrics.
type Note struct {
	Name   string // the metric
	Reason string
}

// Residency is what an owner publishes of an upstream. Of two the one with the
// higher Fence, then the higher Seq, is newer.
type Residency struct {
	Upstream core.UpstreamID   `cbor:"1,keyasint"`
	Fence    core.Fence        `cbor:"2,keyasint"`
	Seq      uint64            `cbor:"3,keyasint"`
	Adapters []Popular         `cbor:"4,keyasint"` // resident
	Loading  []core.AdapterRef `cbor:"5,keyasint,omitempty"`
	Free     int               `cbor:"6,keyasint"`           // empty slots
	Victims  []float64         `cbor:"7,keyasint,omitempty"` // worth of what could be evicted, rising
	Load     int               `cbor:"8,keyasint"`           // requests running and waiting
	Suspect  bool              `cbor:"9,keyasint,omitempty"`
	Leaving  bool              `cbor:"10,keyasint,omitempty"`
	Warmth   float64           `cbor:"11,keyasint"` // share of a full load it may take, in (0, 1]
}

// Newer reports whether r replaces o.
func (r Residency) Newer(o Residency) bool {
	if r.Fence != o.Fence {
		return r.Fence > o.Fence
	}
	return r.Seq > o.Seq
}

// Result is what one event led to.
type Result struct {
	core.Output[Message]
	Orders    []core.AdapterOrder
	Decisions []Decision
	Publish   []Residency
	Notes     []Note
}
