package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is what limit machines of two hosts send each other. Exactly one
// field is set.
type Message struct {
	Ask    *Ask    `cbor:"1,keyasint,omitempty"`
	Share  *Share  `cbor:"2,keyasint,omitempty"`
	Recall *Recall `cbor:"3,keyasint,omitempty"`
	Borrow *Borrow `cbor:"4,keyasint,omitempty"`
	Lend   *Lend   `cbor:"5,keyasint,omitempty"`
	Return *Return `cbor:"6,keyasint,omitempty"`
}

// Ask states what a host holds of a workspace and asks its owner to renew it.
// Its sender ignores shares of fencing numbers below Fence.
type Ask struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	Fence     core.Fence       `cbor:"2,keyasint"`
	Applied   uint64           `cbor:"3,keyasint"` // Seq of the last share applied
	Rate      int64            `cbor:"4,keyasint"` // held, 1e-6 tokens a second
	Burst     int64            `cbor:"5,keyasint"` // held, 1e-9 tokens
	Level     int64            `cbor:"6,keyasint"` // now, 1e-9 tokens
	Released  int64            `cbor:"7,keyasint"` // level given up on applying Applied, 1e-9 tokens
	Demand    core.Tokens      `cbor:"8,keyasint"` // asked of this host a second
	Largest   core.Tokens      `cbor:"9,keyasint"` // the largest request lately
	Sent      core.Instant     `cbor:"10,keyasint"`
	Only      bool             `cbor:"11,keyasint,omitempty"` // an acknowledgement: no answer is wanted
	Left      int64            `cbor:"12,keyasint,omitempty"` // level given up with all that was held, 1e-9 tokens
}

// Share is a holder's slice as its owner books it.
type Share struct {
	Workspace  core.WorkspaceID `cbor:"1,keyasint"`
	Fence      core.Fence       `cbor:"2,keyasint"`
	Seq        uint64           `cbor:"3,keyasint"`
	Rate       int64            `cbor:"4,keyasint"` // 1e-6 tokens a second
	Burst      int64            `cbor:"5,keyasint"` // 1e-9 tokens
	Added      int64            `cbor:"6,keyasint"` // level that comes with it, once, 1e-9 tokens
	TotalRate  core.Tokens      `cbor:"7,keyasint"` // the limit that the owner goes by
	TotalBurst core.Tokens      `cbor:"8,keyasint"`
	Echo       core.Instant     `cbor:"9,keyasint"` // Sent of the Ask
	Term       time.Duration    `cbor:"10,keyasint"`
}

// Recall makes a host promise a fencing number and state what it holds.
type Recall struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	Fence     core.Fence       `cbor:"2,keyasint"`
}

// Borrow asks for the tokens of one request.
type Borrow struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	ID        core.RequestID   `cbor:"2,keyasint"`
	Tokens    core.Tokens      `cbor:"3,keyasint"`
	Entry     core.HostID      `cbor:"4,keyasint"` // where the answer goes
	Forwarded bool             `cbor:"5,keyasint,omitempty"`
	Again     bool             `cbor:"6,keyasint,omitempty"` // no answer came to the first
}

// Lend answers a Borrow.
type Lend struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	ID        core.RequestID   `cbor:"2,keyasint"`
	Granted   bool             `cbor:"3,keyasint"`
	Retry     time.Duration    `cbor:"4,keyasint,omitempty"` // of a refusal
	Most      core.Tokens      `cbor:"5,keyasint,omitempty"` // with a refusal: what one host could lend now
}

// Return gives back what a loan did not use.
type Return struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	ID        core.RequestID   `cbor:"2,keyasint"`
	Unused    core.Tokens      `cbor:"3,keyasint"`
}
