package suspect

import (
	"time"

	"gentiancroft/internal/core"
)

// claimID names one claim of one request, so that what is left of an earlier
// claim of the same request can't be taken for it.
type claimID string

// Message is what hosts tell each other; exactly one field is set.
type Message struct {
	Claim   *ClaimMessage   `cbor:"1,keyasint,omitempty"`
	Verdict *VerdictMessage `cbor:"2,keyasint,omitempty"`
	Release *ReleaseMessage `cbor:"3,keyasint,omitempty"`
	Apart   *ApartMessage   `cbor:"4,keyasint,omitempty"`
	Free    *FreeMessage    `cbor:"5,keyasint,omitempty"`
}

// ClaimMessage asks a fingerprint's home for leave to run.
type ClaimMessage struct {
	ID          claimID         `cbor:"1,keyasint"`
	Fingerprint uint64          `cbor:"2,keyasint"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	Running     bool            `cbor:"4,keyasint,omitempty"` // it runs already: a renewal, or the home is new
	Age         time.Duration   `cbor:"5,keyasint,omitempty"` // since the claim was made
	Second      bool            `cbor:"6,keyasint,omitempty"` // the first home did not answer
}

// VerdictMessage answers a claim.
type VerdictMessage struct {
	ID      claimID           `cbor:"1,keyasint"`
	Allowed bool              `cbor:"2,keyasint"`
	Suspect bool              `cbor:"3,keyasint,omitempty"`
	Struck  int               `cbor:"4,keyasint,omitempty"`
	Use     []core.UpstreamID `cbor:"5,keyasint,omitempty"`
	Waiting bool              `cbor:"6,keyasint,omitempty"` // a suspect in the queue of its upstream; the answer follows
	Revoked bool              `cbor:"7,keyasint,omitempty"` // takes back what was allowed
}

// ReleaseMessage ends a claim.
type ReleaseMessage struct {
	ID          claimID         `cbor:"1,keyasint"` // "": a death seen without a claim
	Fingerprint uint64          `cbor:"2,keyasint"`
	Upstream    core.UpstreamID `cbor:"3,keyasint"`
	End         End             `cbor:"4,keyasint"`
	Age         time.Duration   `cbor:"5,keyasint,omitempty"` // since the claim was made
}

// ApartMessage asks the host that keeps suspects apart on an upstream.
type ApartMessage struct {
	ID       claimID         `cbor:"1,keyasint"`
	Entry    core.HostID     `cbor:"2,keyasint"` // who gets the verdict
	Upstream core.UpstreamID `cbor:"3,keyasint"`
}

// FreeMessage ends an ApartMessage's hold, or its wait.
type FreeMessage struct {
	ID       claimID         `cbor:"1,keyasint"`
	Upstream core.UpstreamID `cbor:"2,keyasint"`
}
