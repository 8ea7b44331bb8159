package placement

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is what the placement of one host sends to that of another; exactly
// one field is set. A message may be lost, duplicated or reordered.
type Message struct {
	TicketRequest  *TicketRequestMessage  `cbor:"1,keyasint,omitempty"`
	TicketReply    *TicketReplyMessage    `cbor:"2,keyasint,omitempty"`
	Release        *ReleaseMessage        `cbor:"3,keyasint,omitempty"`
	Outstanding    *OutstandingMessage    `cbor:"4,keyasint,omitempty"`
	LoadRequest    *LoadRequestMessage    `cbor:"5,keyasint,omitempty"`
	LoadReply      *LoadReplyMessage      `cbor:"6,keyasint,omitempty"`
	LoadOrder      *LoadOrderMessage      `cbor:"7,keyasint,omitempty"`
	LoadDone       *LoadDoneMessage       `cbor:"8,keyasint,omitempty"`
	LoadReport     *LoadReportMessage     `cbor:"9,keyasint,omitempty"`
	ReplicaRequest *ReplicaRequestMessage `cbor:"10,keyasint,omitempty"`
}

// TicketRequestMessage is a ticket request to an upstream's owner, or the restatement of a
// ticket in use. Seq rises with every change of upstream or owner.
type TicketRequestMessage struct {
	Request   core.RequestID   `cbor:"1,keyasint"`
	Seq       uint64           `cbor:"2,keyasint"`
	Upstream  core.UpstreamID  `cbor:"3,keyasint"`
	Adapter   core.AdapterRef  `cbor:"4,keyasint"`
	Workspace core.WorkspaceID `cbor:"5,keyasint"`
	Weight    int              `cbor:"6,keyasint"`
	Class     core.Class       `cbor:"7,keyasint"`
	Cost      core.Tokens      `cbor:"8,keyasint"`
	Remaining time.Duration    `cbor:"9,keyasint"`            // until the request's deadline
	Sent      core.Instant     `cbor:"10,keyasint"`           // requester's clock; returned in the answer
	Restated  bool             `cbor:"11,keyasint,omitempty"` // restatement of a ticket in use
	Counted   bool             `cbor:"12,keyasint,omitempty"` // the loader has already counted the request for the popularity
}

// ReplyKind is an owner's answer to a ticket request.
type ReplyKind uint8

// Answers to a ticket request.
const (
	ReplyTicket         ReplyKind = iota + 1
	ReplyNotOwner                 // ask the current owner
	ReplyNotLoaded                // the adapter is not loaded on the upstream
	ReplyLeaving                  // the upstream accepts no new work
	ReplyOverloaded               // the queue is full; final
	ReplyOtherReplica             // another replica has room, this one is full
	ReplyUnknownRequest           // the owner has no record of the request; send it again
)

// TicketReplyMessage answers a ticket request. A ticket's lifetime starts when its
// request was sent, by the requester's clock.
type TicketReplyMessage struct {
	Request  core.RequestID  `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	Kind     ReplyKind       `cbor:"4,keyasint"`
	Sent     core.Instant    `cbor:"5,keyasint"`
	TTL      time.Duration   `cbor:"6,keyasint,omitempty"`
	Fence    core.Fence      `cbor:"7,keyasint,omitempty"`
	Load     int             `cbor:"8,keyasint,omitempty"` // requests running and waiting at the upstream
}

// ReleaseMessage returns a ticket or cancels a ticket request.
type ReleaseMessage struct {
	Request  core.RequestID  `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	End      TicketEnd       `cbor:"4,keyasint"`
}

// TicketEnd is how the use of a ticket ended.
type TicketEnd struct {
	TokensUsed     core.Tokens `cbor:"1,keyasint,omitempty"`
	OK             bool        `cbor:"2,keyasint,omitempty"`
	AdapterMissing bool        `cbor:"3,keyasint,omitempty"` // the adapter was not loaded on the engine
	Crashed        bool        `cbor:"4,keyasint,omitempty"` // the upstream crashed
	NotReached     bool        `cbor:"5,keyasint,omitempty"` // the request never reached the upstream
}

// OutstandingMessage lists the sender's outstanding requests at the receiver: those
// with a ticket and those waiting for one. A request of the sender with a Seq
// up to the given one that is not listed has ended.
type OutstandingMessage struct {
	MaxSeq   uint64           `cbor:"1,keyasint"`
	Requests []core.RequestID `cbor:"2,keyasint"`
}

// LoadRequestMessage is a load request: how many callers of one host wait for an
// adapter. Zero waiting callers cancel it.
type LoadRequestMessage struct {
	Adapter     core.AdapterRef   `cbor:"1,keyasint"`
	Pool        string            `cbor:"2,keyasint"`
	Waiting     int               `cbor:"3,keyasint"`
	Class       core.Class        `cbor:"4,keyasint"` // the most urgent of the waiting callers
	NewArrivals int               `cbor:"5,keyasint"` // callers since the last load request, for the popularity
	Avoid       []core.UpstreamID `cbor:"6,keyasint,omitempty"`
}

// LoadReplyMessage answers a load request with the upstream that has the adapter
// loaded, or without an upstream with the expected wait.
type LoadReplyMessage struct {
	Adapter  core.AdapterRef `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint,omitempty"`
	Wait     time.Duration   `cbor:"3,keyasint,omitempty"`
}

// LoadOrderMessage orders an upstream's owner to load an adapter.
type LoadOrderMessage struct {
	ID              uint64          `cbor:"1,keyasint"`
	Adapter         core.AdapterRef `cbor:"2,keyasint"`
	Upstream        core.UpstreamID `cbor:"3,keyasint"`
	Score           float64         `cbor:"4,keyasint"` // popularity, requests within one half-life
	MaxEvictionCost float64         `cbor:"5,keyasint"` // maximum eviction cost of the victim; negative: no limit
}

// LoadEnd is how a load ended.
type LoadEnd uint8

// Ends of a load.
const (
	LoadOK       LoadEnd = iota + 1
	LoadFailed           // the weight store or the engine failed
	LoadNoSlot           // no slot was free and no adapter could be evicted within the cost limit
	LoadNotOwner         // the receiver does not own the upstream
)

// LoadDoneMessage reports the end of a load, and the popularity of the adapter
// evicted for it.
type LoadDoneMessage struct {
	ID       uint64            `cbor:"1,keyasint"`
	Adapter  core.AdapterRef   `cbor:"2,keyasint"`
	Upstream core.UpstreamID   `cbor:"3,keyasint"`
	End      LoadEnd           `cbor:"4,keyasint"`
	Evicted  AdapterPopularity `cbor:"5,keyasint"`
}

// AdapterPopularity is an adapter with its popularity.
type AdapterPopularity struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	Score   float64         `cbor:"2,keyasint"` // requests within one half-life
	Idle    time.Duration   `cbor:"3,keyasint"` // since its last request
}

// LoadReportMessage reports to the loader which adapters the sender's upstreams
// are loading, or is the loader's query for that report.
type LoadReportMessage struct {
	Adapters []core.AdapterRef `cbor:"1,keyasint"`
	Query    bool              `cbor:"2,keyasint,omitempty"` // query by a new loader
}

// ReplicaRequestMessage requests one more replica of a busy adapter from the loader.
type ReplicaRequestMessage struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	Pool    string          `cbor:"2,keyasint"`
	Score   float64         `cbor:"3,keyasint"`
}
