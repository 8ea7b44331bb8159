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
	"gentiancroft/internal/upstream"
)

// backstop is how long after its timeout a request is ended by its handler, in
// case the node did not.
const backstop = 5 * time.Second

func newRequestID() core.RequestID {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return core.RequestID(hex.EncodeToString(b[:]))
}

// task serves one caller request from its parsing to the end of its answer.
type task struct {
	server  *Server
	request *inbound
	x       Exchange
	conn    *hangup.Conn // nil where hang-ups can't be seen
	line    line

	ctx     context.Context // ends at once when the caller hangs up
	cancel  context.CancelFunc
	told    chan struct{} // closed once the node knows that the caller is gone
	mu      sync.Mutex
	gone    bool
	keeping bool // a recorded attempt runs: it is not cancelled by a hang-up
}

// request serves one caller request up to the start of its answer.
func (s *Server) request(ctx *fasthttp.RequestCtx) {
	id := newRequestID()
	ctx.Response.Header.Set("X-Request-Id", string(id))
	s.metrics.requests.Inc(1)
	t := &task{server: s, line: newLine(s, id), told: make(chan struct{})}
	inbound, refusal := s.parse(ctx, id)
	if refusal != nil {
		t.line.end(refusal.Code)
		refuse(ctx, refusal)
		return
	}
	t.request = inbound
	t.line.model = inbound.arrive.Model
	t.ctx, t.cancel = context.WithTimeout(context.Background(), inbound.arrive.Timeout+backstop)
	t.x = s.node.Begin(inbound.arrive)
	t.conn = hangup.Watch(ctx.Conn(), t.hangUp) // after Begin, so that Gone never overtakes the arrival
	t.serve(ctx)
}

// hangUp ends the request's work. An attempt whose outcome is being recorded
// runs on, so that a repeat gets the outcome and not "unknown".
func (t *task) hangUp() {
	t.mu.Lock()
	first := !t.gone
	t.gone = true
	keeping := t.keeping
	t.mu.Unlock()
	if !first {
		return
	}
	t.server.metrics.gone.Inc(1)
	if !keeping {
		t.tellGone()
	}
}

func (t *task) tellGone() {
	t.cancel()
	t.server.node.Tell(node.Gone{ID: t.request.arrive.ID})
	close(t.told)
}

func (t *task) isGone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone
}

// keep guards a recorded attempt from hang-ups; false where the caller has
// gone before it began.
func (t *task) keep() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keeping = !t.gone
	return t.keeping
}

// unkeep ends the guard and tells of a hang-up that came meanwhile.
func (t *task) unkeep() {
	t.mu.Lock()
	t.keeping = false
	gone := t.gone
	t.mu.Unlock()
	if gone {
		t.tellGone()
	}
}

// serve follows the node's decisions until the answer has begun or the request
// has ended.
func (t *task) serve(ctx *fasthttp.RequestCtx) {
	for {
		select {
		case <-t.ctx.Done():
			t.abandoned(ctx)
			return
		case decision := <-t.x.Decisions():
			if t.decided(ctx, decision) {
				return
			}
		}
	}
}

// abandoned ends a request whose caller is gone or whose time is long over.
func (t *task) abandoned(ctx *fasthttp.RequestCtx) {
	if t.isGone() {
		t.refused(ctx, &core.Refusal{Code: core.CodeCancelled, Message: "the caller hung up", Ran: core.RanUnknown})
		return
	}
	t.hangUp()
	t.refused(ctx, &core.Refusal{Code: core.CodeDeadline, Message: "no answer in time", Ran: core.RanUnknown})
}

// decided carries out a decision and reports whether the request needs no more.
func (t *task) decided(ctx *fasthttp.RequestCtx, decision node.Effect) bool {
	switch d := decision.(type) {
	case node.Refuse:
		t.refused(ctx, d.Refusal)
	case node.Cut:
		t.refused(ctx, d.Refusal)
	case node.Replay:
		t.whole(ctx, d.Outcome)
		ctx.Response.Header.Set("X-Replayed", "true")
		t.finish(core.Code("replayed"))
	case node.Dispatch:
		return t.attempt(ctx, d)
	default:
		return false
	}
	return true
}

func (t *task) refused(ctx *fasthttp.RequestCtx, r *core.Refusal) {
	refuse(ctx, r)
	t.finish(r.Code)
}

func (t *task) whole(ctx *fasthttp.RequestCtx, o core.Outcome) {
	ctx.SetStatusCode(o.Status)
	ctx.SetContentType(o.ContentType)
	ctx.SetBody(o.Body)
}

// finish ends the request on this host.
func (t *task) finish(outcome core.Code) {
	if t.conn != nil {
		t.conn.Release()
	}
	t.cancel()
	t.x.Close()
	t.line.end(outcome)
}

// attempt runs one attempt and reports whether the answer has begun.
func (t *task) attempt(ctx *fasthttp.RequestCtx, d node.Dispatch) bool {
	t.line.dispatched(d)
	if d.Record && !t.keep() {
		t.ended(node.Ended{ID: d.ID, Attempt: d.Attempt, Kind: node.EndNotRun})
		return false
	}
	attempt, cancel := t.x.Attempt(t.ctx)
	if t.begin(ctx, d, attempt, cancel) {
		return true
	}
	if d.Record {
		t.unkeep()
	}
	cancel()
	return false
}

// begin sends the attempt. A failed attempt is told to the node, which decides
// what comes next.
func (t *task) begin(ctx *fasthttp.RequestCtx, d node.Dispatch, attempt context.Context, cancel context.CancelFunc) bool {
	answer, err := t.server.client.Do(attempt, t.call(d))
	if err != nil {
		t.ended(failed(d, attempt, err))
		return false
	}
	if kind := judge(d, answer); kind != 0 {
		answer.Close()
		t.ended(node.Ended{ID: d.ID, Attempt: d.Attempt, Kind: kind})
		return false
	}
	if strings.HasPrefix(answer.ContentType, "text/event-stream") && !d.Record {
		return t.beginStream(ctx, d, attempt, cancel, answer)
	}
	return t.deliver(ctx, d, attempt, cancel, answer)
}

func (t *task) call(d node.Dispatch) upstream.Call {
	return upstream.Call{
		Upstream: d.Upstream,
		Address:  d.Address,
		Method:   t.request.method,
		Path:     t.request.path,
		Headers:  t.request.headers,
		Body:     t.request.sent(d.Adapter),
		Request:  d.ID,
		Adapter:  d.Adapter,
		Class:    d.Class,
		Fence:    d.Fence,
		Until:    d.Until,
		Once:     d.Record,
	}
}

// ended tells the node of an attempt's end, after the hang-up that caused it.
func (t *task) ended(e node.Ended) {
	t.mu.Lock()
	wait := t.gone && !t.keeping
	t.mu.Unlock()
	if wait {
		<-t.told
	}
	t.server.node.Tell(e)
}

// failed is the end of an attempt that gave no answer.
func failed(d node.Dispatch, attempt context.Context, err error) node.Ended {
	e := node.Ended{ID: d.ID, Attempt: d.Attempt, Kind: node.EndFailed}
	switch {
	case upstream.NotReached.Has(err):
		e.Kind = node.EndNotRun
	case attempt.Err() != nil:
		e.Kind = node.EndCancelled
	default:
		e.Crashed = upstream.Dropped(err)
	}
	return e
}

// judge says how an answer's header ends its attempt, 0 where the answer is
// the caller's. Statuses of a service are its answer, save where it says that
// it did not run the request.
func judge(d node.Dispatch, a *upstream.Answer) node.EndKind {
	engine := d.Adapter != (core.AdapterRef{})
	switch {
	case engine && a.Status == http.StatusNotFound:
		return node.EndMissing
	case a.NotRun && a.Status >= http.StatusBadRequest:
		return node.EndNotRun
	case !engine:
		return 0
	case a.Status >= http.StatusInternalServerError, a.Status == http.StatusTooManyRequests:
		return node.EndFailed
	}
	return 0
}

// deliver buffers an answer whole before the caller sees any of it, so that a
// broken one can still be tried elsewhere.
func (t *task) deliver(ctx *fasthttp.RequestCtx, d node.Dispatch, attempt context.Context, cancel context.CancelFunc, answer *upstream.Answer) bool {
	body, err := upstream.ReadWhole(answer, upstream.MaxAnswer)
	answer.Close()
	if err != nil {
		t.ended(failed(d, attempt, err))
		return false
	}
	outcome := core.Outcome{Status: answer.Status, ContentType: answer.ContentType, Body: body}
	e := node.Ended{ID: d.ID, Attempt: d.Attempt, Kind: node.EndOK}
	t.count(&e, jsonUsage(body), t.request.arrive.MaxTokens)
	if d.Record {
		e.Outcome = outcome
	}
	t.ended(e)
	if d.Record {
		t.unkeep()
	}
	cancel()
	t.whole(ctx, outcome)
	setAdapter(ctx, d)
	if answer.RetryAfter != "" {
		ctx.Response.Header.Set("Retry-After", answer.RetryAfter)
	}
	t.line.used = e.Used
	t.finish(outcomeOK)
	return true
}

// count fills in the tokens that an attempt used. Without the upstream's own
// count it takes the estimate of the prompt and what was generated at most.
func (t *task) count(e *node.Ended, u *usage, generated core.Tokens) {
	if t.request.completion == nil {
		return
	}
	e.Received = generated
	e.Used = t.request.arrive.Prompt + generated
	if u == nil {
		return
	}
	e.Received = u.Generated
	e.Used = u.Prompt + u.Generated
	e.Counted = true
}

func setAdapter(ctx *fasthttp.RequestCtx, d node.Dispatch) {
	if d.Adapter != (core.AdapterRef{}) {
		ctx.Response.Header.Set("X-Adapter", d.Adapter.String())
	}
}
