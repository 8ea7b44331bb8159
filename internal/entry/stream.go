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

// readBytes is the buffer space for one read from a stream.
const readBytes = 4 << 10

// bufferPool holds the buffers of ended streams for reuse.
var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, 2*readBytes)
	return &b
}}

// recycle returns a stream's buffer to the pool, unless a long event has enlarged it.
func (s *stream) recycle() {
	if cap(s.buffer) <= 2*readBytes {
		b := s.buffer[:0]
		bufferPool.Put(&b)
	}
	s.buffer = nil
}

// stream is the body of a streamed answer. It forwards only complete server-sent events,
// so that a stream that fails can end with an error event of this host's own. The HTTP
// server reads and closes it. Its buffer holds at most one incomplete event and one read.
type stream struct {
	task        *task
	dispatch    node.Dispatch
	attempt     context.Context
	cancel      context.CancelFunc
	answer      *upstream.Answer
	events      events
	buffer      []byte
	readyBytes  int  // length of the complete events at the buffer's start
	readingDone bool // nothing more is read from the upstream
	ended       bool // the attempt's end has been reported to the node
	outcome     core.Code
}

// beginStream waits for the first complete event and starts the caller's answer. It
// returns false if the stream failed before; the request can then still be retried.
func (t *task) beginStream(ctx *fasthttp.RequestCtx, d node.Dispatch, attempt context.Context, cancel context.CancelFunc, answer *upstream.Answer) bool {
	s := &stream{task: t, dispatch: d, attempt: attempt, cancel: cancel, answer: answer, outcome: outcomeOK, buffer: *bufferPool.Get().(*[]byte)}
	for s.readyBytes == 0 {
		if err := s.fill(); err != nil {
			answer.Close()
			s.recycle()
			t.attemptEnded(endOfError(d, attempt, err))
			return false
		}
	}
	t.server.node.Notify(node.FirstByteSent{ID: d.ID, Attempt: d.Attempt})
	t.line.recordFirstByte()
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set("Cache-Control", "no-store")
	setAdapter(ctx, d)
	ctx.SetBodyStream(s, -1)
	return true
}

// fill reads from the upstream once and finds the complete events. An end of the stream
// without [DONE] is an error.
func (s *stream) fill() error {
	if len(s.buffer) > maxEventBytes {
		return upstream.AnswerTooLong.New("an event is over %d bytes", maxEventBytes)
	}
	s.buffer = slices.Grow(s.buffer, readBytes)
	n, err := s.answer.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	s.readyBytes += s.events.scan(s.buffer[s.readyBytes:])
	switch {
	case s.events.done:
		s.readingDone = true
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
	for s.readyBytes == 0 {
		if s.readingDone {
			s.end(node.EndOK, nil)
			return 0, io.EOF
		}
		if err := s.fill(); err != nil {
			s.handleFailure(err)
		}
	}
	n := copy(p, s.buffer[:s.readyBytes])
	s.buffer = append(s.buffer[:0], s.buffer[n:]...)
	s.readyBytes -= n
	return n, nil
}

// handleFailure ends the attempt and appends the error event to the complete events.
func (s *stream) handleFailure(err error) {
	kind := node.EndCancelled
	refusal := s.task.exchange.AbortRefusal()
	if refusal == nil && s.task.hasHungUp() {
		refusal = &core.Refusal{Code: core.CodeCancelled, Message: "the caller hung up", Ran: core.RanYes}
	}
	if refusal == nil {
		refusal = &core.Refusal{Code: core.CodeStreamBroken, Message: "the answer broke off", Ran: core.RanYes, RetryAfter: brokenStreamRetryAfter}
		if s.attempt.Err() == nil {
			kind = node.EndBroken
		}
	}
	s.outcome = refusal.Code
	if s.task.hasHungUp() {
		s.outcome = core.CodeCancelled
	}
	s.end(kind, err)
	s.readingDone = true
	s.buffer = append(s.buffer[:s.readyBytes], errorEvent(refusal)...)
	s.readyBytes = len(s.buffer)
}

// end ends the attempt, if it has not ended yet, and reports it to the node.
func (s *stream) end(kind node.EndKind, err error) {
	if s.ended {
		return
	}
	s.ended = true
	e := node.AttemptEnded{ID: s.dispatch.ID, Attempt: s.dispatch.Attempt, Kind: kind}
	e.Crashed = kind == node.EndBroken && upstream.ConnectionClosed(err)
	s.task.countTokens(&e, s.events.usage, s.events.generated)
	s.task.line.usedTokens = e.TokensUsed
	if kind == node.EndOK {
		s.answer.CloseAfterDrain()
	} else {
		s.answer.Close()
	}
	s.task.attemptEnded(e)
}

// Close implements io.Closer. It is called after the last byte was read, or when the
// caller's connection failed before.
func (s *stream) Close() error {
	if !s.ended {
		s.task.hangUp()
		s.outcome = core.CodeCancelled
		s.end(node.EndCancelled, nil)
	}
	s.cancel()
	s.recycle()
	s.task.finish(s.outcome)
	return nil
}
