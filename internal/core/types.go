// Package core holds the types that every decision package shares: time,
// identities, typed refusals, object API calls and peer sends.
//
// Packages below internal/core are pure: time and randomness are arguments, inputs are
// typed events and outputs are typed effects. They start no goroutines and do no I/O;
// a test in this package enforces this.
package core

import (
	"fmt"
	"strings"
	"time"
)

// Instant is a reading of a host's monotonic clock in nanoseconds. Instants of
// two hosts can't be compared.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Identities. All are unique within one deployment.
type (
	// HostID names one process of a host: it changes with each restart.
	HostID string
	// Domain names a failure domain.
	Domain string
	// Region names a region, a group of failure domains.
	Region string
	// WorkspaceID names a workspace.
	WorkspaceID string
	// UpstreamID names a replica of an engine or of a plain service.
	UpstreamID string
	// AdapterID names an adapter without its version.
	AdapterID string
	// BaseModel names the model that adapters are loaded onto.
	BaseModel string
	// RequestID names one caller request; the entry host generates it.
	RequestID string
	// Fence is a fencing number. Of two orders for one shard the one with the
	// higher number takes precedence.
	Fence uint64
	// Tokens counts model tokens, prompt and generated alike.
	Tokens int64
)

// Name returns the host's name, which is the same over restarts: the part before a slash.
// No two running processes have the same name.
func (h HostID) Name() string {
	name, _, _ := strings.Cut(string(h), "/")
	return name
}

// AdapterRef is an exact adapter version.
type AdapterRef struct {
	ID      AdapterID `cbor:"1,keyasint"`
	Version int       `cbor:"2,keyasint"`
}

// String returns "id@version", the adapter's name at an engine.
func (r AdapterRef) String() string { return fmt.Sprintf("%s@%d", r.ID, r.Version) }

// Member is a host with a membership lease.
type Member struct {
	Host    HostID `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"` // HTTP address for callers, ip:port
	Link    string `cbor:"3,keyasint"` // QUIC address for other hosts, ip:port
	Domain  Domain `cbor:"4,keyasint"`
	Region  Region `cbor:"5,keyasint"`
	Leaving bool   `cbor:"6,keyasint,omitempty"`
}

// ShardKind is what a shard's owner decides.
type ShardKind uint8

// Kinds of shard.
const (
	ShardUpstream  ShardKind = iota + 1 // slots, pins and queue of one upstream
	ShardWorkspace                      // the rate and burst of one workspace
	ShardLoader                         // adapter loads from one weight store
)

// Shard is a unit of exclusive ownership.
type Shard struct {
	Kind ShardKind `cbor:"1,keyasint"`
	Name string    `cbor:"2,keyasint"`
}

// Grant is the right to act for a shard.
type Grant struct {
	Fence Fence
	Until Instant // on this host's clock; the grant is invalid from then on
}

// Ownership returns which host decides for a shard. The lease machine implements it.
type Ownership interface {
	// Self is this host.
	Self() HostID
	// Owner is the host that should own s under the current membership, and false if
	// there is no live host.
	Owner(s Shard) (HostID, bool)
	// Acting reports whether this host may exclusively act for s at now. Callers check
	// it immediately before every send.
	Acting(now Instant, s Shard) (Grant, bool)
	// Serving is a weaker right that lasts through a store outage: this host may answer
	// for s in its current state (issue tickets for loaded adapters), but must not evict,
	// since another host may own s by now. Acting implies Serving.
	Serving(now Instant, s Shard) bool
	// Members is the current membership, sorted by HostID.
	Members() []Member
}

// Class is a request's priority class. A lower value is more urgent.
type Class uint8

// Priority classes.
const (
	Interactive Class = iota
	Normal
	Overnight
	ClassCount // number of classes
)

// Ran is whether an upstream has run a request.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Code is the stable name of a refusal's reason.
type Code string

// Codes returned to callers.
const (
	CodeBadRequest             Code = "bad_request"
	CodeTooLarge               Code = "too_large"
	CodeInvalidKey             Code = "invalid_key"
	CodeKeyWithdrawn           Code = "key_withdrawn"
	CodeRouteForbidden         Code = "route_forbidden"
	CodeUnknownAdapter         Code = "unknown_adapter"
	CodeUnknownRoute           Code = "unknown_route"
	CodeRateLimited            Code = "rate_limited"
	CodeExceedsBurst           Code = "exceeds_burst"
	CodeOverloaded             Code = "overloaded"
	CodeDeadlineExceeded       Code = "deadline_exceeded"
	CodeNoUpstream             Code = "no_upstream"
	CodeUpstreamFailed         Code = "upstream_failed"
	CodeStreamBroken           Code = "stream_broken"
	CodeSuspect                Code = "suspected_of_crashing_upstreams"
	CodeIdempotencyKeyRequired Code = "idempotency_key_required"
	CodeIdempotencyKeyReused   Code = "idempotency_key_reused"
	CodeOutcomeUnknown         Code = "outcome_unknown"
	CodeStoreUnavailable       Code = "store_unavailable"
	CodeHostCutOff             Code = "host_cut_off"
	CodeHostLeaving            Code = "host_leaving"
	CodeCancelled              Code = "cancelled"
	CodeInternal               Code = "internal"
)

// Refusal is the reason why a request got no complete answer.
type Refusal struct {
	Code       Code          `cbor:"1,keyasint"`
	Message    string        `cbor:"2,keyasint,omitempty"`
	Ran        Ran           `cbor:"3,keyasint"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"` // 0: a retry doesn't help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", r.Code, r.Message, r.Ran)
}

// Refuse returns a refusal of a request that was sent to no upstream.
func Refuse(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Ran: RanNo, RetryAfter: retryAfter}
}

// Carrier is another host over which this one reaches an upstream; the zero value is none.
type Carrier struct {
	Host HostID
	Link string // ip:port of its links
}
