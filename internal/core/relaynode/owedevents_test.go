package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core/fleet"
)

// breakInside sends a request for a stream whose attempts all break inside an event after one with id 7.
func (h *host) breakInside(fingerprint uint64) {
	h.is.Helper()
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Fingerprint: fingerprint, CallerID: "s1"})
	for {
		d, ok := get[Dispatch](h)
		if !ok {
			_, cut := get[AbortAnswer](h)
			h.is.True(cut)
			return
		}
		h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, LastEvent: "7", OwesEvent: true})
	}
}

// goOn sends the request that goes on with a stream.
func (h *host) goOn(fingerprint uint64, after string) Dispatch {
	h.is.Helper()
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Fingerprint: fingerprint, LastEvent: after, Resumes: "s1"})
	return h.dispatch()
}

// Guards against a stream that ends as complete without an event that had begun, where its caller takes it
// up: at the host where it broke, or at another one.
func TestStreamThatIsTakenUpOwesTheEventThatBegan(t *testing.T) {
	h, other := newHost(t), newHostAs(t, fleet.Registration{Name: "b", Host: "b/1", Domain: "a"})
	h.addPeer("b")
	h.advance(time.Second)
	h.breakInside(9)
	for _, effect := range h.out {
		if p, ok := effect.(SendToPeers); ok && p.Message.OwedEvents != nil {
			other.now = h.now
			other.step(MessageReceived{From: "a/1", Message: p.Message})
		}
	}
	h.is.True(h.goOn(9, "7").OwesEvent)
	h.is.True(!h.goOn(9, "8").OwesEvent)  // a part of another answer has come since
	h.is.True(!h.goOn(10, "7").OwesEvent) // another request
	h.is.True(other.m.owesEvent(&RequestArrived{Fingerprint: 9, LastEvent: "7"}))
	h.is.True(!other.m.owesEvent(&RequestArrived{Fingerprint: 9, LastEvent: "8"}))
}

// A stream whose event has come owes nothing any more.
func TestAttemptThatBringsTheEventOwesNothing(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Fingerprint: 9})
	first := h.dispatch()
	h.is.True(!first.OwesEvent)
	h.step(AnswerStarted{ID: first.ID, Attempt: 1, PartDelivered: true})
	h.step(AttemptEnded{ID: first.ID, Attempt: 1, Kind: EndBroken, LastEvent: "7", OwesEvent: true})
	second := h.dispatch()
	h.is.True(second.OwesEvent)
	h.step(AttemptEnded{ID: first.ID, Attempt: second.Attempt, Kind: EndOK})
	h.is.True(!h.m.owesEvent(&RequestArrived{Fingerprint: 9, LastEvent: "7"}))
}
