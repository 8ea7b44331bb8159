// Package node composes the decision machines into one host. Events go in,
// effects come out; it does no I/O and reads no clock.
package node

import (
	"time"

	"gentiancroft/internal/core"
)

// Event is something that happened outside the node.
type Event interface{ isEvent() }

// Arrive is a caller's request, already parsed and bounded.
type Arrive struct {
	ID             core.RequestID
	KeyHash        string // "" where the caller sent none
	Path           string
	Model          string
	Prompt         core.Tokens // estimate from the body
	MaxTokens      core.Tokens // most that may be generated
	IdempotencyKey string
	Fingerprint    uint64 // keyed hash of what an upstream would run
	Body           uint64 // hash of the body, to tell a repeat from a reused idempotency key
	Prefix         uint64 // hash of the prompt's head, for prefix locality
	Timeout        time.Duration
}

// Gone says that the caller hung up.
type Gone struct{ ID core.RequestID }

// FirstByte says that the caller has been sent the first byte of an answer, so
// that the request can't be tried elsewhere any more.
type FirstByte struct {
	ID      core.RequestID
	Attempt int
}

// EndKind is how an attempt at an upstream ended.
type EndKind uint8

// Ends of an attempt.
const (
	EndOK        EndKind = iota + 1 // whole answer delivered
	EndNotRun                       // the upstream refused before running, or was never reached
	EndFailed                       // failed before the first byte to the caller; may have run
	EndBroken                       // broke off after the first byte to the caller
	EndMissing                      // the upstream does not hold the adapter
	EndCancelled                    // cancelled by this host
)

// Ended says that an attempt is over at the upstream.
type Ended struct {
	ID       core.RequestID
	Attempt  int
	Kind     EndKind
	Used     core.Tokens  // prompt and generated tokens
	Counted  bool         // Used is the upstream's own count
	Crashed  bool         // the upstream died or dropped all its connections
	Outcome  core.Outcome // of a non-idempotent request
	Received core.Tokens  // generated tokens seen by this host
}

// Report is an upstream's own account of itself, as polled.
type Report struct{ core.UpstreamReport }

// OrderDone is the end of an adapter order.
type OrderDone struct{ core.OrderDone }

// ObjectDone is the end of an object API call.
type ObjectDone struct{ Result core.ObjectResult }

// FromPeer is a message that came over a host link.
type FromPeer struct {
	From    core.HostID
	Message PeerMessage
}

// HostsListed is the platform's lagging list.
type HostsListed struct{ Hosts []ListedHost }

// ListedHost is one entry of the platform's list, a host or an upstream.
type ListedHost struct {
	Name    string
	Leaving bool
}

// Tick says that time has passed.
type Tick struct{}

// Leave asks the node to shut down gracefully.
type Leave struct{}

func (Arrive) isEvent()      {}
func (Gone) isEvent()        {}
func (FirstByte) isEvent()   {}
func (Ended) isEvent()       {}
func (Report) isEvent()      {}
func (OrderDone) isEvent()   {}
func (ObjectDone) isEvent()  {}
func (FromPeer) isEvent()    {}
func (HostsListed) isEvent() {}
func (Tick) isEvent()        {}
func (Leave) isEvent()       {}

// Query runs a read between two steps. It is not part of the node's decisions.
type Query struct {
	Do func(n *Node, now core.Instant)
}

func (Query) isEvent() {}
