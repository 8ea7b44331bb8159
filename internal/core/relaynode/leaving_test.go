package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
)

// Guards against requests that are cut off at the end of a planned stop (issue 54): a leaving host took those
// that came late, however long they might run.
func TestLeavingHostTakesLateOnlyWhatEndsInTime(t *testing.T) {
	h := newHost(t)
	h.step(Leave{})
	h.advance(DefaultStreamRefusalDelay)
	h.arrive(RequestArrived{Path: "/whole/x", Timeout: 10 * time.Second})
	h.endAttempt(h.dispatch(), EndOK) // callers learn late that the host leaves
	h.advance(time.Millisecond)
	h.arrive(RequestArrived{Path: "/whole/x", Timeout: 10 * time.Second})
	h.is.Equal(h.refusal().Code, core.CodeHostLeaving)
	h.is.Equal(h.refusal().Ran, core.RanNo)
	left := DefaultLeaveTimeout - DefaultStreamRefusalDelay - time.Millisecond
	h.arrive(RequestArrived{Path: "/whole/x", Timeout: left - lastAnswerTime})
	h.endAttempt(h.dispatch(), EndOK)
	h.arrive(RequestArrived{Path: "/whole/x", Timeout: left})
	h.is.Equal(h.refusal().Code, core.CodeHostLeaving)
	h.arrive(RequestArrived{Path: "/act/x", Timeout: 10 * time.Second}) // the route's timeout is a second
	h.endAttempt(h.dispatch(), EndOK)
	h.advance(DefaultRequestRefusalDelay - DefaultStreamRefusalDelay)
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.refusal().Code, core.CodeHostLeaving)
}

// The requests that are left at the end get an answer, which says whether they may have run.
func TestRequestsThatAreLeftAtTheEndOfAStopAreAnswered(t *testing.T) {
	h := newHost(t)
	h.step(Leave{})
	running := h.arrive(RequestArrived{Path: "/whole/x", Timeout: time.Minute})
	h.dispatch()
	waiting := h.arrive(RequestArrived{Path: "/stream/y", Model: model, Adapter: "loaded nowhere", Timeout: time.Minute})
	h.advance(DefaultLeaveTimeout)
	ran := map[core.RequestID]core.Ran{}
	for _, e := range h.out {
		if r, ok := e.(Refuse); ok {
			ran[r.ID] = r.Refusal.Ran
		}
	}
	h.is.Equal(ran, map[core.RequestID]core.Ran{running: core.RanUnknown, waiting: core.RanNo})
	_, left := get[LeaveCompleted](h)
	h.is.True(left)
}
