package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"gentiancroft/internal/core/direct"
	"gentiancroft/internal/upstream"
)

// Cut is the class of answers that can't be completed. The caller's connection
// ends without the answer's end.
var Cut = errs.Class("answer cut")

const (
	readBytes = 2 << 10  // read of a stream at once
	maxEvent  = 64 << 10 // bytes of one event
)

// streamed reports whether an answer is a series of events.
func streamed(a *upstream.Answer, answered Answered) bool {
	ok := answered.Status >= 200 && answered.Status < 300 && answered.Made
	return ok && strings.HasPrefix(a.ContentType, "text/event-stream")
}

// stream passes events on as they arrive, whole ones only, so that another
// replica can go on after the last one. It is read and closed by the caller's
// connection.
type stream struct {
	task     *task
	dispatch direct.Dispatch
	attempt  context.Context
	cancel   context.CancelFunc
	answer   *upstream.Answer
	buffer   []byte
	ready    int // bytes of whole events at the buffer's start
	last     string
	whole    bool // the answer has ended as it should
	passed   bool
	over     bool // the node knows that the attempt has ended
}

// beginStream waits for the first whole event. It returns false where there is
// none.
func (t *task) beginStream(ctx *fasthttp.RequestCtx, d direct.Dispatch, attempt context.Context, cancel context.CancelFunc, answer *upstream.Answer) bool {
	s := &stream{task: t, dispatch: d, attempt: attempt, cancel: cancel, answer: answer, last: d.LastEvent}
	for s.ready == 0 && !s.whole {
		if err := s.fill(); err != nil {
			s.release(endOf(attempt, err))
			return false
		}
	}
	if !t.exchange.Begin(d.Attempt) {
		s.last = d.LastEvent // the caller has been sent nothing of it
		s.release(direct.Ended{Kind: direct.EndCancelled})
		return false
	}
	t.server.metrics.firstByte.Update(time.Since(t.started).Microseconds())
	t.server.node.Tell(direct.Begun{ID: t.id, Attempt: d.Attempt, Passed: true})
	s.passed = true
	t.server.dialect.Return(&ctx.Response.Header, answer.Header())
	ctx.SetBodyStream(s, -1)
	return true
}

// release ends the running attempt.
func (s *stream) release(e direct.Ended) {
	if s.over {
		return
	}
	s.over = true
	e.LastEvent = s.last
	s.answer.Close()
	s.cancel()
	s.task.ended(s.dispatch, e)
}

// fill reads from the replica once.
func (s *stream) fill() error {
	if len(s.buffer) > maxEvent {
		return upstream.TooLong.New("an event is over %d bytes", maxEvent)
	}
	s.buffer = slices.Grow(s.buffer, readBytes)
	n, err := s.answer.Body.Read(s.buffer[len(s.buffer):cap(s.buffer)])
	s.buffer = s.buffer[:len(s.buffer)+n]
	s.scan()
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		s.whole = true
		s.ready = len(s.buffer)
		return nil
	}
	return upstream.Broken.Wrap(err)
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// scan finds the whole events in the buffer and the id of the last one.
func (s *stream) scan() {
	for {
		end := bytes.Index(s.buffer[s.ready:], eventEnd)
		if end < 0 {
			return
		}
		event := s.buffer[s.ready : s.ready+end]
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, idField); ok {
				s.last = string(bytes.TrimSpace(id))
			}
		}
		s.ready += end + len(eventEnd)
	}
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for s.ready == 0 {
		if s.whole {
			s.release(direct.Ended{Kind: direct.EndOK})
			return 0, io.EOF
		}
		err := s.fill()
		if err == nil {
			continue
		}
		s.release(endOf(s.attempt, err))
		if !s.resume() {
			return 0, Cut.Wrap(err)
		}
	}
	n := copy(p, s.buffer[:s.ready])
	s.buffer = append(s.buffer[:0], s.buffer[n:]...)
	s.ready -= n
	return n, nil
}

// resume goes on with another replica's answer, if the node decides so.
func (s *stream) resume() bool {
	s.buffer = s.buffer[:0] // a part of an event comes again
	for {
		d, ok := s.task.next().(direct.Dispatch)
		if !ok {
			return false
		}
		attempt, cancel := s.task.exchange.Attempt(s.task.ctx, d.Attempt)
		answer, err := s.task.call(attempt, d)
		if err != nil {
			s.task.ended(d, endOf(attempt, err))
			cancel()
			continue
		}
		answered := s.task.server.dialect.Answered(answer.Header())
		if !streamed(answer, answered) || !s.task.exchange.Begin(d.Attempt) {
			end := judge(answered)
			if end.Kind == direct.EndOK {
				end = endOf(attempt, upstream.Broken.New("no stream"))
			}
			answer.Close()
			cancel()
			s.task.ended(d, end)
			continue
		}
		s.task.server.node.Tell(direct.Begun{ID: d.ID, Attempt: d.Attempt})
		s.dispatch, s.attempt, s.cancel, s.answer = d, attempt, cancel, answer
		s.over, s.whole = false, false
		return true
	}
}

// Close implements io.Closer. It is called once the last byte was handed over,
// or when the caller's connection failed before.
func (s *stream) Close() error {
	if !s.over {
		s.task.hangUp()
		s.release(direct.Ended{Kind: direct.EndCancelled})
	}
	s.task.finish()
	return nil
}
