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
	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/upstream"
)

// RequestFields is what the header of a caller's request declares.
type RequestFields struct {
	RequestID   string
	Key         []byte // valid only while the request is; empty: none
	Model       core.BaseModel
	Adapter     core.AdapterID
	Tokens      core.Tokens     // prompt and maximum output together; 0: not declared
	Prompt      core.Tokens     // of these, the prompt
	OutputHint  core.Tokens     // the caller's estimate of the output; 0: none
	Timeout     time.Duration   // how long the caller waits; 0: not declared
	LastEventID string          // id of the event after which the stream continues; empty: from the start
	Resumes     string          // id of the request of the same caller that brought the stream's first event; empty: not given
	Parts       []promptpart.ID // of the prompt, that other requests may share
}

// AttemptFields is what the header of a request to a replica says in addition to the
// caller's own fields.
type AttemptFields struct {
	Upstream       core.UpstreamID
	Workspace      core.WorkspaceID
	Remaining      time.Duration // until the request's deadline
	AdapterVersion int           // of the adapter; 0: any
	LastEventID    string        // as in RequestFields
	Priority       int           // 0 is the most urgent
}

// AnswerFields is what the header of a replica's answer says.
type AnswerFields struct {
	Status      int
	NotRun      bool          // the replica says that it did not run the request
	Misdirected bool          // the same: it lacks the adapter, or is another replica than expected
	Produced    bool          // the replica produced the answer by running the request
	RetryAfter  time.Duration // 0: not given
	Notice      replicas.Notice
}

// Dialect reads and writes the header fields of callers and replicas.
type Dialect interface {
	// ParseRequest reads a caller's request.
	ParseRequest(*fasthttp.RequestHeader) RequestFields
	// BuildRequest makes the request to a replica from the caller's.
	BuildRequest(to, from *fasthttp.Request, a AttemptFields)
	// BuildConfirmation makes a harmless request to a replica, whose answer shows that a
	// connection works and what the replica says about itself.
	BuildConfirmation(to *fasthttp.Request, a AttemptFields)
	// MatchAnswer reports whether an answer is to the request with this id.
	MatchAnswer(h *fasthttp.ResponseHeader, requestID string) upstream.Match
	// ParseIncarnation reads the start of the replica's incarnation from the body of an answer to
	// a confirmation, 0 where it isn't given.
	ParseIncarnation(body []byte) int64
	// MatchConfirmation reports whether an answer can be to a confirmation.
	MatchConfirmation(h *fasthttp.ResponseHeader) upstream.Match
	// ParseAnswer reads a replica's answer.
	ParseAnswer(*fasthttp.ResponseHeader) AnswerFields
	// CopyAnswerHeader makes the header of the caller's answer from the replica's.
	CopyAnswerHeader(to, from *fasthttp.ResponseHeader)
	// SetRefusalFields sets the header fields of an answer that this host makes itself.
	SetRefusalFields(to *fasthttp.ResponseHeader, requestID string)
}

// Node decides what happens to requests.
type Node interface {
	// StartRequest starts a request.
	StartRequest(relaynode.RequestArrived) Exchange
	// Notify reports what happened to a request.
	Notify(relaynode.Event)
	// Leaving reports whether the host is shutting down.
	Leaving() bool
}

// Screener is a Node that can refuse a request by its head, without starting it.
type Screener interface {
	// Screen returns the refusal of a request that has no route or no valid key, nil for others.
	Screen(relaynode.RequestArrived) *core.Refusal
}

// Exchange is the node's side of one request.
type Exchange interface {
	// Decisions returns the channel of the node's decisions: dispatch to a replica,
	// refuse, deliver a replica's error answer, or cut off the answer.
	Decisions() <-chan relaynode.Effect
	// StartAttempt starts an attempt. It returns the attempt's context, which the node can
	// cancel, and the function that releases it.
	StartAttempt(parent context.Context, attempt int) (context.Context, context.CancelFunc)
	// StartAnswer marks that the answer of an attempt is about to be forwarded. It returns
	// false where the attempt was cancelled before; then nothing may be forwarded.
	StartAnswer(attempt int) bool
	// Close ends the request.
	Close()
}
