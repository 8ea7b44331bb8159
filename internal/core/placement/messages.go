package placement

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is what placement on one host tells another; one field is set. Any
// of them may be lost, doubled or reordered.
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

// AskMessage asks an upstream's owner for a ticket, or with Running restates
// one that is in use. Seq rises with every change of upstream or owner.
type AskMessage struct {
	Request   core.RequestID   `cbor:"1,keyasint"`
	Seq       uint64           `cbor:"2,keyasint"`
	Upstream  core.UpstreamID  `cbor:"3,keyasint"`
	Adapter   core.AdapterRef  `cbor:"4,keyasint"`
	Workspace core.WorkspaceID `cbor:"5,keyasint"`
	Weight    int              `cbor:"6,keyasint"`
	Class     core.Class       `cbor:"7,keyasint"`
	Cost      core.Tokens      `cbor:"8,keyasint"`
	Remaining time.Duration    `cbor:"9,keyasint"`  // until the request's deadline
	Sent      core.Instant     `cbor:"10,keyasint"` // asker's clock; comes back in the answer
	Running   bool             `cbor:"11,keyasint,omitempty"`
	Counted   bool             `cbor:"12,keyasint,omitempty"` // the loader has counted it for the popularity
}

// AnswerKind is an owner's answer to an ask.
type AnswerKind uint8

// Answers to an ask.
const (
	AnswerTicket      AnswerKind = iota + 1
	AnswerNotOwner               // ask the present owner
	AnswerNotResident            // the upstream does not hold the adapter
	AnswerLeaving                // the upstream takes no new work
	AnswerOverloaded             // the queue is full; final
	AnswerElsewhere              // a further replica has room, this one has not
	AnswerUnknown                // the owner has nothing of it; state it again
)

// AnswerMessage answers an ask. A ticket is valid for Valid from the instant
// Sent of the asker's clock.
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

// ReleaseMessage gives a ticket back, or takes back an ask.
type ReleaseMessage struct {
	Request  core.RequestID  `cbor:"1,keyasint"`
	Seq      uint64          `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	End      End             `cbor:"4,keyasint"`
}

// End is how a ticket's use ended.
type End struct {
	Used       core.Tokens `cbor:"1,keyasint,omitempty"`
	OK         bool        `cbor:"2,keyasint,omitempty"`
	Missing    bool        `cbor:"3,keyasint,omitempty"` // the engine did not hold the adapter
	Crashed    bool        `cbor:"4,keyasint,omitempty"` // the upstream died
	NotReached bool        `cbor:"5,keyasint,omitempty"` // the request never reached the upstream
}

// HoldMessage lists every request that the sender still has at the receiver.
// What it has there with a Seq up to Upto and not listed is over.
type HoldMessage struct {
	Upto     uint64           `cbor:"1,keyasint"`
	Requests []core.RequestID `cbor:"2,keyasint"`
}

// WantMessage tells the loader how many callers of one host wait for an
// adapter; none waiting takes the want back.
type WantMessage struct {
	Adapter core.AdapterRef   `cbor:"1,keyasint"`
	Pool    string            `cbor:"2,keyasint"`
	Waiting int               `cbor:"3,keyasint"`
	Class   core.Class        `cbor:"4,keyasint"` // the most urgent
	Arrived int               `cbor:"5,keyasint"` // callers since the last want, for the popularity
	Avoid   []core.UpstreamID `cbor:"6,keyasint,omitempty"`
}

// WantedMessage tells a waiting host where its adapter is now, or with no
// upstream when to expect it.
type WantedMessage struct {
	Adapter  core.AdapterRef `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint,omitempty"`
	Wait     time.Duration   `cbor:"3,keyasint,omitempty"`
}

// LoadMessage is the loader's order to an upstream's owner.
type LoadMessage struct {
	ID       uint64          `cbor:"1,keyasint"`
	Adapter  core.AdapterRef `cbor:"2,keyasint"`
	Upstream core.UpstreamID `cbor:"3,keyasint"`
	Score    float64         `cbor:"4,keyasint"` // popularity, requests within one half-life
	Most     float64         `cbor:"5,keyasint"` // evict nothing worth more; negative: no bound
}

// LoadEnd is how a load ended.
type LoadEnd uint8

// Ends of a load.
const (
	LoadOK       LoadEnd = iota + 1
	LoadFailed           // the store or the engine failed it
	LoadNoSlot           // every slot is pinned or worth more
	LoadNotOwner         // not this owner's upstream
)

// LoadDoneMessage ends a load and hands back what was known of its victim.
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

// LoadingMessage tells a new loader what the sender's upstreams are loading.
type LoadingMessage struct {
	Adapters []core.AdapterRef `cbor:"1,keyasint"`
	Ask      bool              `cbor:"2,keyasint,omitempty"` // a new loader wants to know
}

// SpreadMessage asks the loader for one more replica of a busy adapter.
type SpreadMessage struct {
	Adapter core.AdapterRef `cbor:"1,keyasint"`
	Pool    string          `cbor:"2,keyasint"`
	Score   float64         `cbor:"3,keyasint"`
}
