package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/untilclose"
	"gentiancroft/internal/upstream"
)

// timeoutGrace is how long after a request's timeout its handler ends it, in case the
// node has not.
const timeoutGrace = 5 * time.Second

func newRequestID() core.RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return core.RequestID(hex.EncodeToString(b[:]))
}

// task serves one request from its arrival to the end of its answer.
type task struct {
	server   *Server
	request  *parsedRequest
	exchange Exchange
	conn     *hangup.Conn // nil if hang-ups can't be detected
	line     requestLog

	ctx            context.Context // ends when the caller hangs up, but not during a recorded attempt
	cancel         context.CancelFunc
	hangUpReported chan struct{} // closed once the hang-up was reported to the node
	mu             sync.Mutex
	hungUp         bool // the caller has hung up
	recording      bool // a recorded attempt runs, which a hang-up doesn't cancel
}

// serveRequest serves one request up to the start of its answer.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	ctx.Response.Header.Set("X-Request-Id", string(id))
	s.metrics.requests.Inc(1)
	t := &task{server: s, line: newRequestLog(s, id), hangUpReported: make(chan struct{})}
	parsed, refusal := s.parse(ctx, id)
	if refusal != nil {
		t.line.write(refusal.Code)
		writeRefusal(ctx, refusal)
		return
	}
	t.request = parsed
	t.line.model = parsed.arrival.Model
	t.ctx, t.cancel = context.WithTimeout(context.Background(), parsed.arrival.Timeout+timeoutGrace)
	t.exchange = s.node.StartRequest(parsed.arrival)
	t.conn = hangup.Watch(ctx.Conn(), t.hangUp) // after StartRequest, so that the node receives the request before its hang-up
	t.serve(ctx)
}

// hangUp records that the caller hung up and cancels the request's work. A recorded
// attempt continues, so that a retry with the same idempotency key gets its outcome and
// not an unknown result; the hang-up is then reported after it.
func (t *task) hangUp() {
	t.mu.Lock()
	first := !t.hungUp
	t.hungUp = true
	recording := t.recording
	t.mu.Unlock()
	if !first {
		return
	}
	t.server.metrics.hungUp.Inc(1)
	if !recording {
		t.reportHangUp()
	}
}

// reportHangUp cancels the request's work and reports the hang-up to the node.
func (t *task) reportHangUp() {
	t.cancel()
	t.server.node.Notify(node.CallerGone{ID: t.request.arrival.ID})
	close(t.hangUpReported)
}

func (t *task) hasHungUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hungUp
}

// startRecorded marks that a recorded attempt runs, so that a hang-up doesn't cancel it.
// It returns false if the caller has already hung up.
func (t *task) startRecorded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recording = !t.hungUp
	return t.recording
}

// endRecorded marks the end of a recorded attempt and reports a hang-up that happened
// during it.
func (t *task) endRecorded() {
	t.mu.Lock()
	t.recording = false
	hungUp := t.hungUp
	t.mu.Unlock()
	if hungUp {
		t.reportHangUp()
	}
}

// serve carries out the node's decisions until the answer has started or the request has
// ended.
func (t *task) serve(ctx *fasthttp.RequestCtx) {
	for {
		select {
		case <-t.ctx.Done():
			t.handleCancelled(ctx)
			return
		case decision := <-t.exchange.Decisions():
			if t.carryOut(ctx, decision) {
				return
			}
		}
	}
}

// handleCancelled ends a request after a hang-up or after its timeout and timeoutGrace.
func (t *task) handleCancelled(ctx *fasthttp.RequestCtx) {
	if t.hasHungUp() {
		t.endRefused(ctx, &core.Refusal{Code: core.CodeCancelled, Message: "the caller hung up", Ran: core.RanUnknown})
		return
	}
	t.hangUp()
	t.endRefused(ctx, &core.Refusal{Code: core.CodeDeadlineExceeded, Message: "no answer in time", Ran: core.RanUnknown})
}

// carryOut carries out a decision. It returns true if the request needs no further
// decisions.
func (t *task) carryOut(ctx *fasthttp.RequestCtx, decision node.Effect) bool {
	switch d := decision.(type) {
	case node.Refuse:
		t.endRefused(ctx, d.Refusal)
	case node.AbortAnswer:
		t.endRefused(ctx, d.Refusal)
	case node.ReplayOutcome:
		t.writeOutcome(ctx, d.Outcome)
		ctx.Response.Header.Set("X-Replayed", "true")
		t.finish(core.Code("replayed"))
	case node.Dispatch:
		return t.runAttempt(ctx, d)
	default:
		return false
	}
	return true
}

// endRefused ends the request with a refusal.
func (t *task) endRefused(ctx *fasthttp.RequestCtx, r *core.Refusal) {
	writeRefusal(ctx, r)
	t.finish(r.Code)
}

// writeOutcome writes a complete answer.
func (t *task) writeOutcome(ctx *fasthttp.RequestCtx, o core.Outcome) {
	ctx.SetStatusCode(o.Status)
	ctx.SetContentType(o.ContentType)
	if o.EndUnmarked {
		untilclose.SendBytes(ctx, o.Body)
		return
	}
	ctx.SetBody(o.Body)
}

// finish releases what the task holds and writes the request's log line.
func (t *task) finish(outcome core.Code) {
	if t.conn != nil {
		t.conn.Release()
	}
	t.cancel()
	t.exchange.Close()
	t.line.write(outcome)
}

// runAttempt carries out one attempt. It returns true if the answer has started.
func (t *task) runAttempt(ctx *fasthttp.RequestCtx, d node.Dispatch) bool {
	t.line.addDispatch(d)
	if d.BufferAnswer && !t.startRecorded() {
		t.attemptEnded(node.AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: node.EndNotRun})
		return false
	}
	attempt, cancel := t.exchange.StartAttempt(t.ctx)
	if t.sendAttempt(ctx, d, attempt, cancel) {
		return true
	}
	if d.BufferAnswer {
		t.endRecorded()
	}
	cancel()
	return false
}

// sendAttempt sends the request of an attempt and starts the caller's answer. If the
// attempt fails, sendAttempt reports that to the node, which decides whether to retry, and
// returns false.
func (t *task) sendAttempt(ctx *fasthttp.RequestCtx, d node.Dispatch, attempt context.Context, cancel context.CancelFunc) bool {
	answer, err := t.server.client.Do(attempt, t.call(d))
	if err != nil {
		t.attemptEnded(endOfError(d, attempt, err))
		return false
	}
	if kind := endOfHeader(d, answer); kind != 0 {
		answer.Close()
		t.attemptEnded(node.AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: kind})
		return false
	}
	if strings.HasPrefix(answer.ContentType, "text/event-stream") && !d.BufferAnswer {
		return t.beginStream(ctx, d, attempt, cancel, answer)
	}
	return t.deliver(ctx, d, attempt, cancel, answer)
}

func (t *task) call(d node.Dispatch) upstream.Call {
	return upstream.Call{
		Upstream:      d.Upstream,
		Address:       d.Address,
		Method:        t.request.method,
		Path:          t.request.path,
		Headers:       t.request.headers,
		Body:          t.request.upstreamBody(d.Adapter),
		Request:       d.ID,
		Adapter:       d.Adapter,
		Class:         d.Class,
		Fence:         d.Fence,
		SendBefore:    d.Until,
		NewConnection: d.BufferAnswer,
	}
}

// attemptEnded reports the end of an attempt to the node. If the caller has hung up, it
// waits until the hang-up has been reported.
func (t *task) attemptEnded(e node.AttemptEnded) {
	t.mu.Lock()
	wait := t.hungUp && !t.recording
	t.mu.Unlock()
	if wait {
		<-t.hangUpReported
	}
	t.server.node.Notify(e)
}

// endOfError returns how an attempt without a complete answer ended.
func endOfError(d node.Dispatch, attempt context.Context, err error) node.AttemptEnded {
	e := node.AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: node.EndFailed}
	switch {
	case upstream.NotReached.Has(err):
		e.Kind = node.EndNotRun
	case attempt.Err() != nil:
		e.Kind = node.EndCancelled
	default:
		e.Crashed = upstream.ConnectionClosed(err)
	}
	return e
}

// endOfHeader returns how an attempt ended if its answer's header shows a failure, or 0
// if the answer is to be delivered to the caller. A plain service's error status is
// delivered unless the service reports that it did not run the request.
func endOfHeader(d node.Dispatch, a *upstream.Answer) node.EndKind {
	engine := d.Adapter != (core.AdapterRef{})
	switch {
	case engine && a.Status == http.StatusNotFound:
		return node.EndAdapterMissing
	case a.NotRun && a.Status >= http.StatusBadRequest:
		return node.EndNotRun
	case !engine:
		return 0
	case a.Status >= http.StatusInternalServerError, a.Status == http.StatusTooManyRequests:
		return node.EndFailed
	}
	return 0
}

// deliver buffers the whole answer before any of it is sent to the caller, so that the
// request can still be retried if the answer is incomplete.
func (t *task) deliver(ctx *fasthttp.RequestCtx, d node.Dispatch, attempt context.Context, cancel context.CancelFunc, answer *upstream.Answer) bool {
	body, err := upstream.ReadBody(answer, upstream.MaxAnswerBytes)
	answer.Close()
	if err != nil {
		t.attemptEnded(endOfError(d, attempt, err))
		return false
	}
	outcome := core.Outcome{Status: answer.Status, ContentType: answer.ContentType, Body: body, EndUnmarked: answer.Framing == upstream.FramedByClose}
	e := node.AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: node.EndOK}
	t.countTokens(&e, jsonUsage(body), t.request.arrival.MaxTokens)
	if d.BufferAnswer {
		e.Outcome = outcome
	}
	t.attemptEnded(e)
	if d.BufferAnswer {
		t.endRecorded()
	}
	cancel()
	if t.conn.HoldAnswer(len(body)) != nil {
		// The request has run, and its answer can't be held until the caller has taken it.
		ctx.SetConnectionClose()
		t.endRefused(ctx, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "this host has no memory for the answer", Ran: core.RanYes})
		return true
	}
	t.writeOutcome(ctx, outcome)
	setAdapter(ctx, d)
	if answer.RetryAfter != "" {
		ctx.Response.Header.Set("Retry-After", answer.RetryAfter)
	}
	t.line.usedTokens = e.TokensUsed
	t.finish(outcomeOK)
	return true
}

// countTokens sets the tokens that an attempt used: from the upstream's report u, or,
// without one, the prompt's estimate plus generated, the number of generated tokens or
// its maximum.
func (t *task) countTokens(e *node.AttemptEnded, u *usage, generated core.Tokens) {
	if t.request.completion == nil {
		return
	}
	e.TokensReceived = generated
	e.TokensUsed = t.request.arrival.PromptTokens + generated
	if u == nil {
		return
	}
	e.TokensReceived = u.Generated
	e.TokensUsed = u.Prompt + u.Generated
	e.Counted = true
}

func setAdapter(ctx *fasthttp.RequestCtx, d node.Dispatch) {
	if d.Adapter != (core.AdapterRef{}) {
		ctx.Response.Header.Set("X-Adapter", d.Adapter.String())
	}
}
