package relay

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core/relaynode"
	"gentiancroft/internal/untilclose"
	"gentiancroft/internal/upstream"
)

// AnswerCut is the class of errors of streams that can't be completed. The caller's
// connection is closed without the end of the body.
var AnswerCut = errs.Class("answer cut")

const (
	readSize      = 2 << 10  // bytes per read
	maxEventBytes = 64 << 10 // of one event
	// freeBufferBytes is what the buffer of a stream may have without a part of the callers' budget,
	// and the step in which it takes from that.
	freeBufferBytes = 16 << 10
)

// mayStream reports whether an answer is a successful stream of server-sent events, or goes on with
// one. A status that has no body is never.
func mayStream(a *upstream.Answer, answered AnswerFields) bool {
	ok := answered.Status >= 200 && answered.Status < 300 && answered.Produced
	hasBody := answered.Status != fasthttp.StatusNoContent && answered.Status != fasthttp.StatusResetContent
	return ok && hasBody && strings.HasPrefix(a.ContentType, "text/event-stream")
}

// stream is the body of a streamed answer. It forwards events as they arrive, but only
// complete ones, so that another replica can continue after the last. The HTTP server
// reads and closes it.
type stream struct {
	task        *task
	dispatch    relaynode.Dispatch
	attempt     context.Context
	cancel      context.CancelFunc
	answer      *upstream.Answer
	buffer      []byte
	heldBytes   int    // of the callers' budget, for the buffer
	readyBytes  int    // length of the complete events at the buffer's start
	lastEvent   string // id of the last complete event
	complete    bool   // the replica has ended the answer regularly
	broken      error  // the answer has ended otherwise, perhaps after complete events; nil: it has not
	hasEvent    bool   // the answer has had a complete event, not only comments
	insideEvent bool   // the answer has ended inside an event
	endMarked   bool   // the caller's answer marks its end, by its last chunk
	events      eventTimes
	released    bool // the attempt's end has been reported to the node
}

// beginStream waits for the first complete event and starts the caller's answer. It
// returns false where the attempt failed or was cancelled before.
func (t *task) beginStream(ctx *fasthttp.RequestCtx, d relaynode.Dispatch, attempt context.Context, cancel context.CancelFunc, answer *upstream.Answer) bool {
	s := &stream{task: t, dispatch: d, attempt: attempt, cancel: cancel, answer: answer, lastEvent: d.LastEvent}
	for !s.mayBegin() && !s.complete && s.broken == nil {
		s.fill()
	}
	if !s.mayBegin() && s.broken != nil {
		s.release(endOfError(attempt, s.broken))
		return false
	}
	if !t.exchange.StartAnswer(d.Attempt) {
		s.lastEvent = d.LastEvent // nothing of this attempt was sent to the caller
		s.release(relaynode.AttemptEnded{Kind: relaynode.EndCancelled})
		return false
	}
	t.server.metrics.firstByte.Update(time.Since(t.started).Microseconds())
	t.server.node.Notify(relaynode.AnswerStarted{ID: t.id, Attempt: d.Attempt, PartDelivered: true})
	t.server.dialect.CopyAnswerHeader(&ctx.Response.Header, answer.Header())
	s.endMarked = answer.Framing != upstream.FramedByClose
	if s.endMarked {
		ctx.SetBodyStream(s, -1)
	} else {
		untilclose.Send(ctx, s)
	}
	return true
}

// mayBegin reports whether a part of the answer can be delivered: a complete event, or a comment where no
// event is owed, without which the answer may turn out not to be whole.
func (s *stream) mayBegin() bool { return s.readyBytes > 0 && (s.hasEvent || !s.task.owesEvent) }

// release ends the current attempt, if it has not ended yet, and reports e.
func (s *stream) release(e relaynode.AttemptEnded) {
	if s.released {
		return
	}
	s.released = true
	e.LastEvent = s.lastEvent
	e.Answer = evidence(s.answer)
	e.Answer.InsideEvent = s.insideEvent
	e.Stream = s.events.summary()
	s.answer.Close()
	s.cancel()
	s.task.attemptEnded(s.dispatch, e)
}

// fill reads from the replica once and finds the complete events. It sets broken or complete
// where the answer has ended; complete events may have come before the end.
func (s *stream) fill() {
	if len(s.buffer) > maxEventBytes {
		s.broken = upstream.AnswerTooLong.New("an event is over %d bytes", maxEventBytes)
		return
	}
	if err := s.holdBuffer(); err != nil {
		s.broken = upstream.AnswerTooLong.Wrap(err)
		return
	}
	s.buffer = slices.Grow(s.buffer, readSize)
	n, err := s.answer.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	if found := s.findEvents(); found > 0 {
		s.events.add(time.Now(), found)
	}
	if err == nil {
		return
	}
	s.endPartialEvent()
	if err != io.EOF { // which is never wrapped where the framing marks the end
		s.broken = upstream.Broken.Wrap(err)
		return
	}
	if s.broken = s.checkEnd(); s.broken == nil {
		s.complete = true
		s.readyBytes = len(s.buffer)
	}
}

// endPartialEvent notes whether the answer has ended inside an event.
func (s *stream) endPartialEvent() {
	partial := s.buffer[s.readyBytes:]
	s.insideEvent = isInsideEvent(partial)
	if hasField(partial) {
		s.task.owesEvent = true
	}
}

// holdBuffer takes from the callers' budget what the buffer needs for another read.
func (s *stream) holdBuffer() error {
	for len(s.buffer)+readSize > freeBufferBytes+s.heldBytes {
		if err := s.task.conn.Hold(freeBufferBytes); err != nil {
			return err
		}
		s.heldBytes += freeBufferBytes
	}
	return nil
}

// findEvents finds the complete events in the buffer and the last event id in them. It returns
// how many there are.
func (s *stream) findEvents() (found int) {
	for ; ; found++ {
		length, id := scanEvent(s.buffer[s.readyBytes:])
		if length == 0 {
			return found
		}
		if hasField(s.buffer[s.readyBytes : s.readyBytes+length]) {
			s.hasEvent, s.task.owesEvent = true, false
		}
		if id != nil {
			s.lastEvent = string(id)
		}
		s.readyBytes += length
	}
}

// checkEnd returns the error of an answer that has ended regularly by its framing and is broken off all the
// same, nil where it is not. An answer without any event is whole where the stream had ended before and only
// its end was lost, not where an event had begun. Where only the end of the connection marks the end, an
// answer without any event is broken off too, and so is one that would have to mark the end of the caller's
// answer.
func (s *stream) checkEnd() error {
	unmarked := s.answer.Framing == upstream.FramedByClose
	switch {
	case unmarked && (s.insideEvent || !s.hasEvent):
		return upstream.Broken.Wrap(io.ErrUnexpectedEOF)
	case s.insideEvent:
		return upstream.Broken.New("the answer ended inside an event")
	case s.task.owesEvent:
		return upstream.Broken.New("the answer lacks the event that had begun before")
	case unmarked && s.endMarked:
		return upstream.Broken.New("the answer that goes on with a stream marks no end")
	}
	return nil
}

// Read implements io.Reader. It blocks until a complete event is buffered.
func (s *stream) Read(p []byte) (int, error) {
	for s.readyBytes == 0 {
		if s.complete {
			s.release(relaynode.AttemptEnded{Kind: relaynode.EndOK})
			return 0, io.EOF
		}
		if s.broken == nil {
			s.fill()
			continue
		}
		broken := s.broken
		s.release(endOfError(s.attempt, broken))
		if !s.resume() {
			return 0, AnswerCut.Wrap(broken)
		}
	}
	n := copy(p, s.buffer[:s.readyBytes])
	s.buffer = append(s.buffer[:0], s.buffer[n:]...)
	s.readyBytes -= n
	return n, nil
}

// resume continues the stream with the answer of the node's next attempt. It returns
// false where there is none.
func (s *stream) resume() bool {
	s.buffer = s.buffer[:0] // an incomplete event is sent again by the next replica
	for {
		d, ok := s.task.nextDecision().(relaynode.Dispatch)
		if !ok {
			return false
		}
		attempt, cancel := s.task.exchange.StartAttempt(s.task.ctx, d.Attempt)
		answer, err := s.task.send(attempt, d)
		if err != nil {
			s.task.attemptEnded(d, endOfError(attempt, err))
			cancel()
			continue
		}
		answered := s.task.server.dialect.ParseAnswer(answer.Header())
		s.task.reportNotice(d, answered.Notice, false)
		if !mayStream(answer, answered) || !s.task.exchange.StartAnswer(d.Attempt) {
			end := endOfAnswer(answered)
			end.Answer = evidence(answer)
			if end.Kind == relaynode.EndOK {
				end = endOfError(attempt, upstream.Broken.New("the answer is not an event stream"))
			}
			answer.Close()
			cancel()
			s.task.attemptEnded(d, end)
			continue
		}
		s.task.server.node.Notify(relaynode.AnswerStarted{ID: d.ID, Attempt: d.Attempt})
		s.dispatch, s.attempt, s.cancel, s.answer = d, attempt, cancel, answer
		s.released, s.complete, s.broken, s.hasEvent, s.events = false, false, nil, false, eventTimes{}
		return true
	}
}

// Close implements io.Closer. It is called after the last byte was read, or when the
// caller's connection failed before.
func (s *stream) Close() error {
	if !s.released {
		s.task.hangUp()
		s.release(relaynode.AttemptEnded{Kind: relaynode.EndCancelled})
	}
	s.task.finish()
	return nil
}
