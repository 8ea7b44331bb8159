package placement

import "gentiancroft/internal/core"

// PlacementRequest is a request that needs an upstream.
type PlacementRequest struct {
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
	Avoid     []core.UpstreamID // upstreams already tried
}

// Ticket is the right to dispatch one request to one upstream. Check
// that it is still valid immediately before the dispatch.
type Ticket struct {
	Upstream      core.UpstreamID
	Address       string // ip:port
	Adapter       core.AdapterRef
	Grant         core.Grant // Until is by this host's clock
	WaitedForLoad bool       // the request waited for a load
}

// Decision ends a placement: exactly one of Ticket and Refusal is set.
type Decision struct {
	Request core.RequestID
	Ticket  *Ticket
	Refusal *core.Refusal
}

// LogEntry is a decision log entry, also counted as a metric.
type LogEntry struct {
	Name   string // the metric's name, without its prefix
	Reason string
}

// Residency is what an owner publishes about an upstream: loaded adapters, free
// slots, load and health. Of two, that with the higher Fence, then the higher
// Seq, is newer.
type Residency struct {
	Upstream        core.UpstreamID     `cbor:"1,keyasint"`
	Fence           core.Fence          `cbor:"2,keyasint"`
	Seq             uint64              `cbor:"3,keyasint"`
	Adapters        []AdapterPopularity `cbor:"4,keyasint"` // loaded
	Loading         []core.AdapterRef   `cbor:"5,keyasint,omitempty"`
	FreeSlots       int                 `cbor:"6,keyasint"`           // empty slots
	EvictionCosts   []float64           `cbor:"7,keyasint,omitempty"` // lowest eviction costs, ascending
	Load            int                 `cbor:"8,keyasint"`           // requests running and waiting
	Suspect         bool                `cbor:"9,keyasint,omitempty"`
	Leaving         bool                `cbor:"10,keyasint,omitempty"`
	SlowStartWeight float64             `cbor:"11,keyasint"` // fraction of a full load it may take, in (0, 1]
}

// Newer reports whether r replaces o.
func (r Residency) Newer(o Residency) bool {
	if r.Fence != o.Fence {
		return r.Fence > o.Fence
	}
	return r.Seq > o.Seq
}

// Result is the effects of one event.
type Result struct {
	core.Output[Message]
	Orders     []core.AdapterOrder
	Decisions  []Decision
	Publish    []Residency
	LogEntries []LogEntry
}
