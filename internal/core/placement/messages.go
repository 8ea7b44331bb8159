package placement

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is what the placement of one host sends to that of another; exactly
// one field is set. A message may be lost, duplicated or reordered.
type Message struct {
	Ask      *AskMessage      `cbor:"1,keyasint,omitempty"`
	Answer   *AnswerMessage   `cbor:"2,keyasint,omitempty"`
	Release  *ReleaseMessage  `cbor:"3,keyasint,omitempty"`
	Hold     *HoldMessage     `cbor:"4,keyasint,omitempty"`
	Want     *WantMessage     `cbor:"5,keyasint,omitempty"`
	Wanted   *WantedMessage   `cbor:"6,keyasint,omitempty"`
	Load     *LoadMessage     `cbor:"7,keyasint,omitempty"`
	LoadDone *LoadDoneMessage `cbor:"8,keyasint,omitempty"`
	Loading  *LoadingMessage  `cbor:"9,keyasint,omitempty"`
	Spread   *SpreadMessage   `cbor:"10,keyasint,omitempty"`
}

// AskMessage is a ticket request to an upstream's owner, or the restatement of a
// ticket in use. Seq rises with every change of upstream or owner.
type AskMessage struct {
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
	Running   bool             `cbor:"11,keyasint,omitempty"` // restatement of a ticket in use
	Counted   bool             `cbor:"12,keyasint,omitempty"` // the loader has already counted the request for the popularity
}

// AnswerKind is an owner's answer to a ticket request.
type AnswerKind uint8

// Answers to a ticket request.
const (
	AnswerTicket      AnswerKind = iota + 1
	AnswerNotOwner               // ask the current owner
	AnswerNotResident            // the adapter is not loaded on the upstream
	AnswerLeaving                // the upstream accepts no new work
	AnswerOverloaded             // the queue is full; final
	AnswerElsewhere              // another replica has room, this one is full
	AnswerUnknown                // the owner has no record of the request; send it again
)

// AnswerMessage answers a ticket request. A ticket's lifetime starts when its
// request was sent, by the requester's clock.
type AnswerMessage struct {
	Request  core.RequestID  `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	Kind     AnswerKind      `cbor:"4,keyasint"`
	Sent     core.Instant    `cbor:"5,keyasint"`
	Valid    time.Duration   `cbor:"6,keyasint,omitempty"`
	Fence    core.Fence      `cbor:"7,keyasint,omitempty"`
	Load     int             `cbor:"8,keyasint,omitempty"` // requests running and waiting at the upstream
}

// ReleaseMessage returns a ticket or cancels a ticket request.
type ReleaseMessage struct {
	Request  core.RequestID  `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	End      End             `cbor:"4,keyasint"`
}

// End is how the use of a ticket ended.
type End struct {
	Used       core.Tokens `cbor:"1,keyasint,omitempty"`
	OK         bool        `cbor:"2,keyasint,omitempty"`
	Missing    bool        `cbor:"3,keyasint,omitempty"` // the adapter was not loaded on the engine
	Crashed    bool        `cbor:"4,keyasint,omitempty"` // the upstream crashed
	NotReached bool        `cbor:"5,keyasint,omitempty"` // the request never reached the upstream
}

// HoldMessage lists the sender's outstanding requests at the receiver: those
// with a ticket and those waiting for one. A request of the sender with a Seq
// up to the given one that is not listed has ended.
type HoldMessage struct {
	Upto     uint64           `cbor:"1,keyasint"`
	Requests []core.RequestID `cbor:"2,keyasint"`
}

// WantMessage is a load request: how many callers of one host wait for an
// adapter. Zero waiting callers cancel it.
type WantMessage struct {
	Adapter core.AdapterRef   `cbor:"1,keyasint"`
	Pool    string            `cbor:"2,keyasint"`
	Waiting int               `cbor:"3,keyasint"`
	Class   core.Class        `cbor:"4,keyasint"` // the most urgent of the waiting callers
	Arrived int               `cbor:"5,keyasint"` // callers since the last load request, for the popularity
	Avoid   []core.UpstreamID `cbor:"6,keyasint,omitempty"`
}

// WantedMessage answers a load request with the upstream that has the adapter
// loaded, or without an upstream with the expected wait.
type WantedMessage struct {
	Adapter  core.AdapterRef `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint,omitempty"`
	Wait     time.Duration   `cbor:"3,keyasint,omitempty"`
}

// LoadMessage orders an upstream's owner to load an adapter.
type LoadMessage struct {
	ID       uint64          `cbor:"1,keyasint"`
	Adapter  core.AdapterRef `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	Score    float64         `cbor:"4,keyasint"` // popularity, requests within one half-life
	Most     float64         `cbor:"5,keyasint"` // maximum eviction cost of the victim; negative: no limit
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
	ID       uint64          `cbor:"1,keyasint"`
	Adapter  core.AdapterRef `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	End      LoadEnd         `cbor:"4,keyasint"`
	Evicted  Popular         `cbor:"5,keyasint"`
}

// Popular is an adapter with its popularity.
type Popular struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	Score   float64         `cbor:"2,keyasint"` // requests within one half-life
	Idle    time.Duration   `cbor:"3,keyasint"` // since its last request
}

// LoadingMessage reports to the loader which adapters the sender's upstreams
// are loading, or is the loader's query for that report.
type LoadingMessage struct {
	Adapters []core.AdapterRef `cbor:"1,keyasint"`
	Ask      bool              `cbor:"2,keyasint,omitempty"` // query by a new loader
}

// SpreadMessage requests one more replica of a busy adapter from the loader.
type SpreadMessage struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	Pool    string          `cbor:"2,keyasint"`
	Score   float64         `cbor:"3,keyasint"`
}
