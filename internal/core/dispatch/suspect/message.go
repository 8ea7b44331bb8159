package suspect

import (
	"time"

	"gentiancroft/internal/core"
)

// claimID identifies one claim of one request, so that late messages about an
// earlier claim of the same request are not applied to it.
type claimID string

// Message is exchanged between hosts; exactly one field is set.
type Message struct {
	Claim    *ClaimMessage    `cbor:"1,keyasint,omitempty"`
	Verdict  *VerdictMessage  `cbor:"2,keyasint,omitempty"`
	Release  *ReleaseMessage  `cbor:"3,keyasint,omitempty"`
	Isolate  *IsolateMessage  `cbor:"4,keyasint,omitempty"`
	FreeSlot *FreeSlotMessage `cbor:"5,keyasint,omitempty"`
}

// ClaimMessage requests permission to run from a fingerprint's home.
type ClaimMessage struct {
	ID          claimID         `cbor:"1,keyasint"`
	Fingerprint uint64          `cbor:"2,keyasint"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	Running     bool            `cbor:"4,keyasint,omitempty"` // it runs already: a renewal, or sent to a new home
	Age         time.Duration   `cbor:"5,keyasint,omitempty"` // since the claim was made
	SecondHome  bool            `cbor:"6,keyasint,omitempty"` // sent to the second home: the first one did not answer
}

// VerdictMessage answers a claim.
type VerdictMessage struct {
	ID           claimID           `cbor:"1,keyasint"`
	Allowed      bool              `cbor:"2,keyasint"`
	Isolated     bool              `cbor:"3,keyasint,omitempty"`
	CrashCount   int               `cbor:"4,keyasint,omitempty"` // crash count of the fingerprint
	Alternatives []core.UpstreamID `cbor:"5,keyasint,omitempty"` // upstreams where a claim would be allowed
	Waiting      bool              `cbor:"6,keyasint,omitempty"` // queued for an isolation slot; the final answer follows
	Revoked      bool              `cbor:"7,keyasint,omitempty"` // the upstream crashed: revokes what was allowed
}

// ReleaseMessage ends a claim.
type ReleaseMessage struct {
	ID          claimID         `cbor:"1,keyasint"` // "": a crash reported without a claim
	Fingerprint uint64          `cbor:"2,keyasint"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	End         End             `cbor:"4,keyasint"`
	Age         time.Duration   `cbor:"5,keyasint,omitempty"` // since the claim was made
}

// IsolateMessage requests the slot of an upstream from its isolation host.
type IsolateMessage struct {
	ID       claimID         `cbor:"1,keyasint"`
	Entry    core.HostID     `cbor:"2,keyasint"` // receives the verdict
	Upstream core.UpstreamID `cbor:"3,keyasint"`
}

// FreeSlotMessage releases an isolation slot, or a place in its queue.
type FreeSlotMessage struct {
	ID       claimID         `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint"`
}
