package entry

import (
	"context"
	"io"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/node"
	"gentiancroft/internal/upstream"
)

// readBytes is how much of a stream is read at once.
const readBytes = 4 << 10

// buffers are those of streams that have ended, for the next ones.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, 2*readBytes)
	return &b
}}

// recycle gives a stream's buffer back unless one long event has blown it up.
func (s *stream) recycle() {
	if cap(s.buffer) <= 2*readBytes {
		b := s.buffer[:0]
		buffers.Put(&b)
	}
	s.buffer = nil
}

// stream passes server-sent events on to a caller, whole events only, so that
// a stream that breaks can always end with a typed event of its own. It is
// read and closed by the caller's connection; its buffer holds at most one
// event and one read.
type stream struct {
	task     *task
	dispatch node.Dispatch
	attempt  context.Context
	cancel   context.CancelFunc
	answer   *upstream.Answer
	events   events
	buffer   []byte
	ready    int  // bytes of whole events at the buffer's start
	last     bool // nothing is read from the upstream any more
	over     bool // the attempt's end was told
	outcome  core.Code
}

// beginStream waits for the first whole event; a stream that fails before it
// can still be tried elsewhere.
func (t *task) beginStream(ctx *fasthttp.RequestCtx, d node.Dispatch, attempt context.Context, cancel context.CancelFunc, answer *upstream.Answer) bool {
	s := &stream{task: t, dispatch: d, attempt: attempt, cancel: cancel, answer: answer, outcome: outcomeOK, buffer: *buffers.Get().(*[]byte)}
	for s.ready == 0 {
		if err := s.fill(); err != nil {
			answer.Close()
			s.recycle()
			t.ended(failed(d, attempt, err))
			return false
		}
	}
	t.server.node.Tell(node.FirstByte{ID: d.ID, Attempt: d.Attempt})
	t.line.firstByte()
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	setAdapter(ctx, d)
	ctx.SetBodyStream(s, -1)
	return true
}

// fill reads from the upstream once. Any end but the one after [DONE] is an error.
func (s *stream) fill() error {
	if len(s.buffer) > maxEvent {
		return upstream.TooLong.New("an event is over %d bytes", maxEvent)
	}
	s.buffer = slices.Grow(s.buffer, readBytes)
	n, err := s.answer.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	s.ready += s.events.scan(s.buffer[s.ready:])
	switch {
	case s.events.done:
		s.last = true
		return nil
	case s.events.failed:
		return upstream.Broken.New("the upstream reported an error")
	case err == io.EOF:
		return upstream.Broken.New("the stream ended without [DONE]")
	}
	return upstream.Broken.Wrap(err)
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for s.ready == 0 {
		if s.last {
			s.end(node.EndOK, nil)
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			s.broken(err)
		}
	}
	n := copy(p, s.buffer[:s.ready])
	s.buffer = append(s.buffer[:0], s.buffer[n:]...)
	s.ready -= n
	return n, nil
}

// broken ends the attempt and puts the typed last event behind what is ready.
func (s *stream) broken(err error) {
	kind := node.EndCancelled
	refusal := s.task.x.CutBy()
	if refusal == nil && s.task.isGone() {
		refusal = &core.Refusal{Code: core.CodeCancelled, Message: "the caller hung up", Ran: core.RanYes}
	}
	if refusal == nil {
		refusal = &core.Refusal{Code: core.CodeStreamBroken, Message: "the answer broke off", Ran: core.RanYes, RetryAfter: retryBroken}
		if s.attempt.Err() == nil {
			kind = node.EndBroken
		}
	}
	s.outcome = refusal.Code
	if s.task.isGone() {
		s.outcome = core.CodeCancelled
	}
	s.end(kind, err)
	s.last = true
	s.buffer = append(s.buffer[:s.ready], lastEvent(refusal)...)
	s.ready = len(s.buffer)
}

// end tells the node, once, how the attempt ended.
func (s *stream) end(kind node.EndKind, err error) {
	if s.over {
		return
	}
	s.over = true
	e := node.Ended{ID: s.dispatch.ID, Attempt: s.dispatch.Attempt, Kind: kind}
	e.Crashed = kind == node.EndBroken && upstream.Dropped(err)
	s.task.count(&e, s.events.usage, s.events.generated)
	s.task.line.used = e.Used
	if kind == node.EndOK {
		s.answer.Settle()
	} else {
		s.answer.Close()
	}
	s.task.ended(e)
}

// Close implements io.Closer. It is called once the last byte was handed over,
// or when the caller's connection failed before.
func (s *stream) Close() error {
	if !s.over {
		s.task.hangUp()
		s.outcome = core.CodeCancelled
		s.end(node.EndCancelled, nil)
	}
	s.cancel()
	s.recycle()
	s.task.finish(s.outcome)
	return nil
}
