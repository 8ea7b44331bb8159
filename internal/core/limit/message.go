package limit

import (
	"time"

	"gentiancroft/internal/core"
)

// Message is what limit machines of two hosts send each other. Exactly one
// field is set.
type Message struct {
	ShareRequest *ShareRequest `cbor:"1,keyasint,omitempty"`
	Share        *Share        `cbor:"2,keyasint,omitempty"`
	StateRequest *StateRequest `cbor:"3,keyasint,omitempty"`
	LoanRequest  *LoanRequest  `cbor:"4,keyasint,omitempty"`
	LoanReply    *LoanReply    `cbor:"5,keyasint,omitempty"`
	LoanReturn   *LoanReturn   `cbor:"6,keyasint,omitempty"`
}

// ShareRequest states what a holder has of a workspace and asks the owner to renew it. Its
// sender ignores shares with fencing numbers below Fence.
type ShareRequest struct {
	Workspace       core.WorkspaceID `cbor:"1,keyasint"`
	Fence           core.Fence       `cbor:"2,keyasint"`
	Applied         uint64           `cbor:"3,keyasint"` // Seq of the last share applied
	Rate            int64            `cbor:"4,keyasint"` // held, in 1e-6 tokens per second
	Burst           int64            `cbor:"5,keyasint"` // held, in 1e-9 tokens
	Level           int64            `cbor:"6,keyasint"` // current, in 1e-9 tokens
	Released        int64            `cbor:"7,keyasint"` // level released on applying share Applied, in 1e-9 tokens
	Demand          core.Tokens      `cbor:"8,keyasint"` // tokens per second that requests on this host need
	Largest         core.Tokens      `cbor:"9,keyasint"` // largest recent request
	Sent            core.Instant     `cbor:"10,keyasint"`
	Acknowledgement bool             `cbor:"11,keyasint,omitempty"` // an acknowledgement, not to be answered
	Returned        int64            `cbor:"12,keyasint,omitempty"` // level released with the whole share, in 1e-9 tokens
}

// Share is a holder's share as recorded in its owner's ledger.
type Share struct {
	Workspace  core.WorkspaceID `cbor:"1,keyasint"`
	Fence      core.Fence       `cbor:"2,keyasint"`
	Seq        uint64           `cbor:"3,keyasint"`
	Rate       int64            `cbor:"4,keyasint"` // in 1e-6 tokens per second
	Burst      int64            `cbor:"5,keyasint"` // in 1e-9 tokens
	AddedLevel int64            `cbor:"6,keyasint"` // level that is added once with it, in 1e-9 tokens
	TotalRate  core.Tokens      `cbor:"7,keyasint"` // the workspace's limit as the owner has it configured
	TotalBurst core.Tokens      `cbor:"8,keyasint"`
	Echo       core.Instant     `cbor:"9,keyasint"` // Sent of the request that it answers
	Term       time.Duration    `cbor:"10,keyasint"`
}

// StateRequest makes its receiver promise to ignore lower fencing numbers and state what
// it holds.
type StateRequest struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	Fence     core.Fence       `cbor:"2,keyasint"`
}

// LoanRequest requests a loan of the tokens of one request.
type LoanRequest struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	ID        core.RequestID   `cbor:"2,keyasint"`
	Tokens    core.Tokens      `cbor:"3,keyasint"`
	Entry     core.HostID      `cbor:"4,keyasint"`           // host that gets the answer
	Forwarded bool             `cbor:"5,keyasint,omitempty"` // by the owner, to a holder
	Repeated  bool             `cbor:"6,keyasint,omitempty"` // the first one was not answered
}

// LoanReply answers a loan request.
type LoanReply struct {
	Workspace   core.WorkspaceID `cbor:"1,keyasint"`
	ID          core.RequestID   `cbor:"2,keyasint"`
	Granted     bool             `cbor:"3,keyasint"`
	RetryAfter  time.Duration    `cbor:"4,keyasint,omitempty"` // set in a refusal: time to wait before a retry
	LargestLoan core.Tokens      `cbor:"5,keyasint,omitempty"` // set in a refusal: largest loan that one host could give now
}

// LoanReturn returns the unused part of a loan.
type LoanReturn struct {
	Workspace core.WorkspaceID `cbor:"1,keyasint"`
	ID        core.RequestID   `cbor:"2,keyasint"`
	Unused    core.Tokens      `cbor:"3,keyasint"`
}
