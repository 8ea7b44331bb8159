package relay

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/hangup"
	"gentiancroft/internal/upstream"
)

// keptFresh is how long a kept connection may have been idle to carry a request
// that must not run twice: a replica that closes it meanwhile leaves open
// whether the request has run.
const keptFresh = 600 * time.Millisecond

// task serves one request from its arrival to the end of its answer.
type task struct {
	server    *Server
	id        core.RequestID
	requestID string
	request   *fasthttp.Request
	exchange  Exchange
	started   time.Time
	conn      *hangup.Conn // nil where hang-ups can't be seen

	ctx    context.Context // ends when the caller hangs up
	cancel context.CancelFunc
	hung   sync.Once

	failure *failure // the replica's own failure, to be delivered
}

// failure is a replica's whole failure answer.
type failure struct {
	header fasthttp.ResponseHeader
	body   []byte
}

func (t *task) hangUp() {
	t.hung.Do(func() {
		t.server.metrics.gone.Inc(1)
		t.server.node.Tell(direct.Gone{ID: t.id})
		t.cancel()
	})
}

// finish ends the task.
func (t *task) finish() {
	if t.conn != nil {
		t.conn.Release()
	}
	t.exchange.Close()
	t.cancel()
	t.server.metrics.total.Update(time.Since(t.started).Microseconds())
}

// run carries out the node's decisions up to the start of the answer.
func (t *task) run(ctx *fasthttp.RequestCtx) {
	for {
		switch d := t.next().(type) {
		case direct.Dispatch:
			if t.attempt(ctx, d) {
				return
			}
		case direct.Deliver:
			t.deliver(ctx)
			t.finish()
			return
		case direct.Refuse:
			t.server.refuse(ctx, t.requestID, d.Refusal)
			t.finish()
			return
		default: // the caller is gone, or the answer was cut before it began
			ctx.SetConnectionClose()
			t.server.refuse(ctx, t.requestID, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "no answer", Ran: core.RanUnknown})
			t.finish()
			return
		}
	}
}

// next is the node's next decision, nil once the caller is gone.
func (t *task) next() direct.Effect {
	select {
	case d := <-t.exchange.Decisions():
		return d
	case <-t.ctx.Done():
		return nil
	}
}

// call sends an attempt and waits for the head of its answer.
func (t *task) call(ctx context.Context, d direct.Dispatch) (*upstream.Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	t.server.dialect.Forward(request, t.request, Attempt{
		Upstream:  d.Upstream,
		Workspace: d.Workspace,
		Left:      d.Left,
		Version:   d.Version,
		LastEvent: d.LastEvent,
		Priority:  d.Priority,
	})
	call := upstream.Call{
		Upstream: d.Upstream,
		Address:  d.Address,
		Prepared: request,
		Matches: func(h *fasthttp.ResponseHeader) bool {
			return t.server.dialect.Belongs(h, t.requestID)
		},
	}
	if d.Once {
		call.Fresh = keptFresh
	}
	return t.server.client.Do(ctx, call)
}

// attempt carries out one attempt. It returns true where the answer has begun,
// so that the task ends with it.
func (t *task) attempt(ctx *fasthttp.RequestCtx, d direct.Dispatch) bool {
	attempt, cancel := t.exchange.Attempt(t.ctx, d.Attempt)
	answer, err := t.call(attempt, d)
	if err != nil {
		t.ended(d, endOf(attempt, err))
		cancel()
		return false
	}
	answered := t.server.dialect.Answered(answer.Header())
	if streamed(answer, answered) {
		return t.beginStream(ctx, d, attempt, cancel, answer)
	}
	defer cancel()
	return t.whole(ctx, d, attempt, answer, answered)
}

// whole takes an answer that is passed on once it is complete.
func (t *task) whole(ctx *fasthttp.RequestCtx, d direct.Dispatch, attempt context.Context, answer *upstream.Answer, answered Answered) bool {
	defer answer.Close()
	body, err := upstream.ReadWhole(answer, upstream.MaxAnswer)
	if err != nil {
		t.ended(d, endOf(attempt, err))
		return false
	}
	end := judge(answered)
	if end.Kind == direct.EndError {
		t.failure = &failure{body: body}
		answer.Header().CopyTo(&t.failure.header)
	}
	if end.Kind != direct.EndOK {
		t.ended(d, end)
		return false
	}
	t.server.metrics.firstByte.Update(time.Since(t.started).Microseconds())
	t.server.dialect.Return(&ctx.Response.Header, answer.Header())
	ctx.SetBody(body)
	t.ended(d, end)
	t.finish()
	return true
}

// judge tells how an attempt with a complete answer ended.
func judge(a Answered) direct.Ended {
	switch {
	case a.Missing:
		return direct.Ended{Kind: direct.EndMissing}
	case a.NotRun:
		return direct.Ended{Kind: direct.EndNotRun, RetryAfter: a.RetryAfter}
	case !a.Made:
		return direct.Ended{Kind: direct.EndBroken} // not an answer of the replica's work
	case a.Status >= 200 && a.Status < 300:
		return direct.Ended{Kind: direct.EndOK}
	}
	return direct.Ended{Kind: direct.EndError}
}

// endOf tells how an attempt ended that got no complete answer.
func endOf(attempt context.Context, err error) direct.Ended {
	switch {
	case attempt.Err() != nil:
		return direct.Ended{Kind: direct.EndCancelled}
	case upstream.NotReached.Has(err):
		return direct.Ended{Kind: direct.EndNotReached}
	}
	return direct.Ended{Kind: direct.EndBroken, Dropped: upstream.Dropped(err)}
}

func (t *task) ended(d direct.Dispatch, e direct.Ended) {
	e.ID, e.Attempt = d.ID, d.Attempt
	t.server.node.Tell(e)
}

// deliver passes on the failure that the replica answered with.
func (t *task) deliver(ctx *fasthttp.RequestCtx) {
	f := t.failure
	if promises(f.header.StatusCode()) {
		// The replica does not say that it has not run the request, but its
		// status would.
		t.server.refuse(ctx, t.requestID, &core.Refusal{Code: core.CodeUpstreamFailed, Message: "the replica failed", Ran: core.RanUnknown})
		return
	}
	t.server.dialect.Return(&ctx.Response.Header, &f.header)
	ctx.SetBody(f.body)
}

// promises reports whether a status tells a caller that its request has not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}
