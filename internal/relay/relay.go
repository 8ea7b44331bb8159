// Package relay is the HTTP server that relays callers' requests to replicas. It
// doesn't parse bodies, except for the boundaries of server-sent events: all that it
// needs is in the header fields, which a Dialect reads and writes.
//
// A Node decides what happens to each request (which replica, retries, refusals);
// this package carries that out and reports the results to the node.
package relay

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
)

// Declared is what the header of a caller's request declares.
type Declared struct {
	RequestID string
	Key       []byte // valid only while the request is; empty: none
	Model     core.BaseModel
	Adapter   core.AdapterID
	Tokens    core.Tokens   // prompt and maximum output together; 0: not declared
	Patience  time.Duration // how long the caller waits; 0: not declared
	LastEvent string        // id of the event after which the stream continues; empty: from the start
}

// Attempt is what the header of a request to a replica says beside the caller's
// own fields.
type Attempt struct {
	Upstream  core.UpstreamID
	Workspace core.WorkspaceID
	Left      time.Duration // until the request's deadline
	Version   int           // of the adapter; 0: any
	LastEvent string        // as in Declared
	Priority  int           // 0 is the most urgent
}

// Answered is what the header of a replica's answer says.
type Answered struct {
	Status     int
	NotRun     bool          // the replica says that it did not run the request
	Missing    bool          // the same: it lacks the adapter, or is another replica than expected
	Made       bool          // the replica produced the answer by running the request
	RetryAfter time.Duration // 0: not given
}

// Dialect reads and writes the header fields of callers and replicas.
type Dialect interface {
	// Declared reads a caller's request.
	Declared(*fasthttp.RequestHeader) Declared
	// Forward makes the request to a replica from the caller's.
	Forward(to, from *fasthttp.Request, a Attempt)
	// Belongs reports whether an answer is to the request with this id.
	Belongs(h *fasthttp.ResponseHeader, requestID string) bool
	// Answered reads a replica's answer.
	Answered(*fasthttp.ResponseHeader) Answered
	// Return makes the header of the caller's answer from the replica's.
	Return(to, from *fasthttp.ResponseHeader)
	// Refused sets the header fields of an answer that this host makes itself.
	Refused(to *fasthttp.ResponseHeader, requestID string)
}

// Node decides what happens to requests.
type Node interface {
	// Begin starts a request.
	Begin(direct.Arrive) Exchange
	// Tell reports what happened to a request.
	Tell(direct.Event)
	// Leaving reports whether the host is shutting down.
	Leaving() bool
}

// Exchange is the node's side of one request.
type Exchange interface {
	// Decisions returns the channel of the node's decisions: dispatch to a replica,
	// refuse, deliver a replica's error answer, or cut off the answer.
	Decisions() <-chan direct.Effect
	// Attempt starts an attempt. It returns the attempt's context, which the node can
	// cancel, and the function that releases it.
	Attempt(parent context.Context, attempt int) (context.Context, context.CancelFunc)
	// Begin marks that the answer of an attempt is about to be forwarded. It returns
	// false where the attempt was cancelled before; then nothing may be forwarded.
	Begin(attempt int) bool
	// Close ends the request.
	Close()
}
