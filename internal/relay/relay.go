// Package relay is the callers' HTTP interface of a host that passes requests
// through: the body and the answer are not looked into, and what there is to
// know of a request stands in its header, which a Dialect reads.
package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
)

// Declared is what a caller's header says of its request.
type Declared struct {
	RequestID string
	Key       []byte // valid as long as the request; empty: none
	Model     core.BaseModel
	Adapter   core.AdapterID
	Tokens    core.Tokens   // prompt and most output together; 0: not said
	Patience  time.Duration // how long the caller waits; 0: not said
	LastEvent string        // the stream goes on after it
}

// Attempt is what is added to a request on its way to a replica.
type Attempt struct {
	Upstream  core.UpstreamID
	Workspace core.WorkspaceID
	Left      time.Duration
	Version   int // of the adapter; 0: any
	LastEvent string
	Priority  int
}

// Answered is what a replica's header says of its answer.
type Answered struct {
	Status     int
	NotRun     bool // the replica has not run the request
	Missing    bool // nor could it: it lacks the adapter, or is another replica
	Made       bool // the replica has made the answer by running the request
	RetryAfter time.Duration
}

// Dialect reads and writes header fields.
type Dialect interface {
	Declared(*fasthttp.RequestHeader) Declared
	Forward(to, from *fasthttp.Request, a Attempt)
	Belongs(h *fasthttp.ResponseHeader, requestID string) bool
	Answered(*fasthttp.ResponseHeader) Answered
	Return(to, from *fasthttp.ResponseHeader)
	Refused(to *fasthttp.ResponseHeader, requestID string)
}

// Node decides what becomes of requests.
type Node interface {
	// Begin hands over a request.
	Begin(direct.Arrive) Exchange
	// Tell reports what happened to a request.
	Tell(direct.Event)
	// Leaving reports whether the host is shutting down.
	Leaving() bool
}

// Exchange is one request as the node sees it.
type Exchange interface {
	// Decisions gives Dispatch, Refuse, Deliver or Cut.
	Decisions() <-chan direct.Effect
	// Attempt returns the context of an attempt; the node's cancel ends it.
	Attempt(parent context.Context, attempt int) (context.Context, context.CancelFunc)
	// Begin says that the answer of an attempt begins to be passed on. It returns
	// false where the attempt has been cancelled before.
	Begin(attempt int) bool
	// Close forgets the request.
	Close()
}
