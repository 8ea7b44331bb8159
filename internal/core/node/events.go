// Package node composes the decision machines of one host: lease, feed, limit,
// placement, at-most-once records and crash records. From events and the current
// time it decides which requests are admitted, which upstream runs them and when
// the host may exit. Its caller carries out the effects; the package does no I/O
// and reads no clock.
package node

import (
	"time"

	"gentiancroft/internal/core"
)

// Event is something that happened outside the node.
type Event interface{ isEvent() }

// RequestArrived is a caller's request, parsed and checked against the size limits.
type RequestArrived struct {
	ID             core.RequestID
	KeyHash        string // "" if the caller sent none
	Path           string
	Model          string
	PromptTokens   core.Tokens // estimate from the body
	MaxTokens      core.Tokens // maximum of generated tokens
	IdempotencyKey string
	Fingerprint    uint64 // keyed hash of the content that an upstream would run; 0: no crash check
	BodyHash       uint64 // hash of the body; distinguishes a repeat from a reused idempotency key
	PrefixHash     uint64 // hash of the start of the prompt, for prefix cache affinity
	Timeout        time.Duration
}

// CallerGone reports that the caller hung up.
type CallerGone struct{ ID core.RequestID }

// FirstByteSent reports that the first byte of an answer was sent to the caller; the
// request can't be retried from then on.
type FirstByteSent struct {
	ID      core.RequestID
	Attempt int
}

// EndKind classifies the end of an attempt.
type EndKind uint8

// Values of EndKind.
const (
	EndOK             EndKind = iota + 1 // whole answer delivered
	EndNotRun                            // the upstream refused before running, or was never reached
	EndFailed                            // failed before the first byte to the caller; may have run
	EndBroken                            // broke off after the first byte to the caller
	EndAdapterMissing                    // the adapter is not loaded on the upstream
	EndCancelled                         // cancelled by this host
)

// AttemptEnded reports the end of an attempt at an upstream.
type AttemptEnded struct {
	ID             core.RequestID
	Attempt        int
	Kind           EndKind
	TokensUsed     core.Tokens  // prompt and generated tokens
	Counted        bool         // TokensUsed is the upstream's count
	Crashed        bool         // the upstream crashed or closed all its connections
	Outcome        core.Outcome // of a non-idempotent request
	TokensReceived core.Tokens  // generated tokens seen by this host
}

// ReportReceived is the result of a poll of an upstream.
type ReportReceived struct{ core.UpstreamReport }

// OrderDone is the result of an adapter order.
type OrderDone struct{ core.OrderDone }

// ObjectDone is the result of an object API call.
type ObjectDone struct{ Result core.ObjectResult }

// MessageReceived is a message that was received over a host link.
type MessageReceived struct {
	From    core.HostID
	Message PeerMessage
}

// HostListRead is the platform's list of hosts and upstreams, which lags behind.
type HostListRead struct{ Hosts []ListedHost }

// ListedHost is one entry of the platform's list: a host or an upstream.
type ListedHost struct {
	Name    string
	Leaving bool
}

// Tick runs the timers.
type Tick struct{}

// Leave starts a graceful shutdown.
type Leave struct{}

func (RequestArrived) isEvent()  {}
func (CallerGone) isEvent()      {}
func (FirstByteSent) isEvent()   {}
func (AttemptEnded) isEvent()    {}
func (ReportReceived) isEvent()  {}
func (OrderDone) isEvent()       {}
func (ObjectDone) isEvent()      {}
func (MessageReceived) isEvent() {}
func (HostListRead) isEvent()    {}
func (Tick) isEvent()            {}
func (Leave) isEvent()           {}

// Query runs a read-only function between two steps; it affects no decision.
type Query struct {
	Do func(n *Node, now core.Instant)
}

func (Query) isEvent() {}
