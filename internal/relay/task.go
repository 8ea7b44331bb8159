package relay

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/untilclose"
	"gentiancroft/internal/upstream"
)

// defaultMaxConnIdle is how long a reused connection may have been idle if it is to carry a
// request that must not run twice, unless an answer on it confirms that it works. If the
// replica closes the connection at that moment, the result is unknown: the request may or
// may not have run.
const defaultMaxConnIdle = 600 * time.Millisecond

// task serves one request from its arrival to the end of its answer.
type task struct {
	server    *Server
	id        core.RequestID
	requestID string
	request   *fasthttp.Request
	exchange  Exchange
	started   time.Time
	conn      *hangup.Conn // nil where hang-ups can't be detected

	ctx        context.Context // ends when the caller hangs up
	cancel     context.CancelFunc
	hangUpOnce sync.Once

	// sentTo are the addresses of the attempts so far. All attempts have the same request id: a
	// repeated answer to one would be taken for the next one's on the same connection.
	sentTo []string

	owesEvent bool // an event of the stream has begun that has not been complete

	failure *failure // the last error answer of a replica, which the node may have delivered
}

// failure is a replica's complete error answer.
type failure struct {
	header  fasthttp.ResponseHeader
	body    []byte
	framing upstream.Framing
}

// hangUp reports, once, that the caller hung up and cancels the task.
func (t *task) hangUp() {
	t.hangUpOnce.Do(func() {
		t.server.metrics.hungUp.Inc(1)
		t.server.node.Notify(relaynode.CallerGone{ID: t.id})
		t.cancel()
	})
}

// finish releases what the task holds and records its latency.
func (t *task) finish() {
	if t.conn != nil {
		t.conn.Release()
	}
	t.exchange.Close()
	t.cancel()
	t.server.metrics.total.Update(time.Since(t.started).Microseconds())
}

// run carries out the node's decisions until the caller's answer is complete, or, for
// a stream, has started.
func (t *task) run(ctx *fasthttp.RequestCtx) {
	for {
		switch d := t.nextDecision().(type) {
		case relaynode.Dispatch:
			if t.runAttempt(ctx, d) {
				return
			}
		case relaynode.DeliverFailure:
			t.deliverFailure(ctx)
			t.finish()
			return
		case relaynode.Refuse:
			t.server.refuse(ctx, t.requestID, d.Refusal)
			t.finish()
			return
		default: // the caller hung up, or the answer was cut off before it started
			ctx.SetConnectionClose()
			t.server.refuse(ctx, t.requestID, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "no answer", Ran: core.RanUnknown})
			t.finish()
			return
		}
	}
}

// nextDecision waits for the node's next decision. It returns nil once the caller has
// hung up.
func (t *task) nextDecision() relaynode.Effect {
	select {
	case d := <-t.exchange.Decisions():
		return d
	case <-t.ctx.Done():
		return nil
	}
}

// send sends the request of an attempt and waits for the header of its answer.
func (t *task) send(ctx context.Context, d relaynode.Dispatch) (*upstream.Answer, error) {
	t.owesEvent = t.owesEvent || d.OwesEvent
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	t.server.dialect.BuildRequest(request, t.request, AttemptFields{
		Upstream:       d.Upstream,
		Workspace:      d.Workspace,
		Remaining:      d.TimeLeft,
		AdapterVersion: d.ExpectedVersion,
		LastEventID:    d.LastEvent,
		Priority:       d.Priority,
	})
	call := upstream.Call{
		Upstream: d.Upstream,
		Address:  d.Address,
		Carrier:  d.Carrier,
		Request:  core.RequestID(t.requestID),
		Prepared: request,
		Matches: func(h *fasthttp.ResponseHeader) upstream.Match {
			return t.server.dialect.MatchAnswer(h, t.requestID)
		},
		NewConnection: slices.Contains(t.sentTo, d.Address),
		StableBody:    t.conn != nil, // receiveBody has read it into memory of its own
	}
	t.sentTo = append(t.sentTo, d.Address)
	if d.NonRepeatable {
		call.MaxIdle = t.server.maxConnIdle
	}
	if d.NonRepeatable && d.Confirmable || d.Incarnation != 0 {
		call.Confirm = t.confirmation(d)
	}
	return t.server.client.Do(ctx, call)
}

// confirmation returns a request that shows whether an idle connection to the attempt's
// replica still works, or to which incarnation of the replica a connection leads. What the
// replica says about itself goes to the node.
func (t *task) confirmation(d relaynode.Dispatch) *upstream.Confirmation {
	request := &fasthttp.Request{}
	request.Header.SetHost(d.Address)
	t.server.dialect.BuildConfirmation(request, AttemptFields{Upstream: d.Upstream})
	accept := func(h *fasthttp.ResponseHeader, body []byte) bool {
		answered := t.server.dialect.ParseAnswer(h)
		t.reportNotice(d, answered.Notice, true)
		sameIncarnation := d.Incarnation == 0 || d.Incarnation == t.server.dialect.ParseIncarnation(body)
		return answered.Notice.Pause == 0 && !answered.Misdirected && sameIncarnation
	}
	confirmation := &upstream.Confirmation{Request: request, Matches: t.server.dialect.MatchConfirmation, Accept: accept}
	if d.Incarnation != 0 {
		confirmation.Process = string(d.Upstream) + " " + strconv.FormatInt(d.Incarnation, 10)
	}
	return confirmation
}

// reportNotice reports to the node what a replica says about itself; where it is limited, also that
// it names no limit.
func (t *task) reportNotice(d relaynode.Dispatch, n replicas.Notice, confirmation bool) {
	if n != (replicas.Notice{}) || d.Limited {
		t.server.node.Notify(relaynode.ReplicaNoticed{ID: d.ID, Attempt: d.Attempt, Notice: n, Confirmation: confirmation})
	}
}

// runAttempt carries out one attempt. It returns true where the caller's answer has
// started, so that run makes no further attempts.
func (t *task) runAttempt(ctx *fasthttp.RequestCtx, d relaynode.Dispatch) bool {
	attempt, cancel := t.exchange.StartAttempt(t.ctx, d.Attempt)
	answer, err := t.send(attempt, d)
	if err != nil {
		t.attemptEnded(d, endOfError(attempt, err))
		cancel()
		return false
	}
	answered := t.server.dialect.ParseAnswer(answer.Header())
	t.reportNotice(d, answered.Notice, false)
	if mayStream(answer, answered) {
		return t.beginStream(ctx, d, attempt, cancel, answer)
	}
	defer cancel()
	return t.forwardWhole(ctx, d, attempt, answer, answered)
}

// forwardWhole reads an answer that is not a stream and, where it is a success,
// forwards it. It returns whether it did.
func (t *task) forwardWhole(ctx *fasthttp.RequestCtx, d relaynode.Dispatch, attempt context.Context, answer *upstream.Answer, answered AnswerFields) bool {
	defer answer.Close()
	body, err := upstream.ReadBody(answer, upstream.MaxAnswerBytes)
	if err != nil {
		t.attemptEnded(d, endOfError(attempt, err))
		return false
	}
	end := endOfAnswer(answered)
	end.Answer = evidence(answer)
	if end.Kind == relaynode.EndError {
		t.failure = &failure{body: body, framing: answer.Framing}
		answer.Header().CopyTo(&t.failure.header)
	}
	if end.Kind != relaynode.EndOK {
		t.attemptEnded(d, end)
		return false
	}
	t.server.metrics.firstByte.Update(time.Since(t.started).Microseconds())
	t.server.dialect.CopyAnswerHeader(&ctx.Response.Header, answer.Header())
	if err := t.conn.HoldAnswer(len(body)); err != nil {
		// The request has run, and its answer can't be held until the caller has taken it.
		t.attemptEnded(d, end)
		ctx.SetConnectionClose()
		t.server.refuse(ctx, t.requestID, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "this host has no memory for the answer", Ran: core.RanYes})
		t.finish()
		return true
	}
	setBody(ctx, body, answer.Framing)
	answer.Close() // before finish, whose end of the context would close its connection
	t.attemptEnded(d, end)
	t.finish()
	return true
}

// endOfAnswer returns how an attempt with a complete answer ended. Invariant: an answer that
// the replica produced by running the request never counts as "not run".
func endOfAnswer(a AnswerFields) relaynode.AttemptEnded {
	switch {
	case a.Produced && a.Status >= 200 && a.Status < 300:
		return relaynode.AttemptEnded{Kind: relaynode.EndOK}
	case a.Produced:
		return relaynode.AttemptEnded{Kind: relaynode.EndError}
	case a.Misdirected:
		return relaynode.AttemptEnded{Kind: relaynode.EndAdapterMissing}
	case a.NotRun:
		return relaynode.AttemptEnded{Kind: relaynode.EndNotRun, RetryAfter: a.RetryAfter}
	}
	return relaynode.AttemptEnded{Kind: relaynode.EndBroken} // not the replica's
}

// evidence describes an answer for the log.
func evidence(a *upstream.Answer) relaynode.AnswerEvidence {
	c := a.Connection
	return relaynode.AnswerEvidence{
		Status:      a.Status,
		Kept:        c.Kept,
		Confirmed:   c.Confirmed,
		Stray:       c.Stray,
		EndUnmarked: a.Framing == upstream.FramedByClose,
	}
}

// endOfError returns how an attempt without a complete answer ended.
func endOfError(attempt context.Context, err error) relaynode.AttemptEnded {
	switch {
	case attempt.Err() != nil:
		return relaynode.AttemptEnded{Kind: relaynode.EndCancelled}
	case upstream.NotReached.Has(err):
		return relaynode.AttemptEnded{Kind: relaynode.EndNotReached, Refused: upstream.NothingListens(err), CarrierLost: upstream.CarrierLost.Has(err)}
	case upstream.Refused.Has(err):
		return relaynode.AttemptEnded{Kind: relaynode.EndNotRun} // nothing was sent
	}
	return relaynode.AttemptEnded{Kind: relaynode.EndBroken, ConnectionClosed: upstream.ConnectionClosed(err)}
}

// attemptEnded reports the end of an attempt to the node.
func (t *task) attemptEnded(d relaynode.Dispatch, e relaynode.AttemptEnded) {
	e.ID, e.Attempt, e.OwesEvent = d.ID, d.Attempt, t.owesEvent && e.Kind != relaynode.EndOK
	t.server.node.Notify(e)
}

// deliverFailure forwards the replica's last error answer.
func (t *task) deliverFailure(ctx *fasthttp.RequestCtx) {
	f := t.failure
	if impliesNotRun(f.header.StatusCode()) {
		// The status would imply that the request has not run, which the replica
		// has not said.
		t.server.refuse(ctx, t.requestID, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the replica failed", Ran: core.RanUnknown})
		return
	}
	if t.conn.HoldAnswer(len(f.body)) != nil {
		ctx.SetConnectionClose()
		t.server.refuse(ctx, t.requestID, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the replica failed", Ran: core.RanUnknown})
		return
	}
	t.server.dialect.CopyAnswerHeader(&ctx.Response.Header, &f.header)
	setBody(ctx, f.body, f.framing)
}

// setBody sets the body of the caller's answer. Its end is marked only where the replica
// marked it.
func setBody(ctx *fasthttp.RequestCtx, body []byte, framing upstream.Framing) {
	if framing == upstream.FramedByClose {
		untilclose.SendBytes(ctx, body)
		return
	}
	ctx.Response.SetBodyRaw(body)
}

// impliesNotRun reports whether callers take a status to mean that the request has
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}
