package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
)

// cutFromStore steps through a cut from the store that ends at 14 s: the calls of 10 and 13.5 s fail in
// it and long after it, and the store answers one of 14 s at once.
func (h *host) cutFromStore() {
	h.step(StoreAnswered{Sent: core.Instant(h.now)})
	h.now = 11 * time.Second
	h.step(StoreCallFailed{Sent: core.Instant(10 * time.Second)})
	h.now = 14 * time.Second
	h.step(StoreAnswered{Sent: core.Instant(14 * time.Second)})
	h.now = 15500 * time.Millisecond
	h.step(StoreCallFailed{Sent: core.Instant(13500 * time.Millisecond)})
	h.step(StoreAnswered{Sent: core.Instant(h.now)})
}

// Guards against requests to a replica that has left (review, case 7): a call that was begun in a cut from
// the store and failed after it began the grace of an outage anew.
func TestCallThatFailsAfterACutDoesNotProlongTheOutage(t *testing.T) {
	h := newHost(t)
	h.cutFromStore()
	h.step(ReplicaUnlisted{ID: "s1"})
	h.step(ReplicaUnlisted{ID: "s2"})
	h.now = 14 * time.Second
	h.advance(2200 * time.Millisecond)
	h.arrive(RequestArrived{Path: "/read/x"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	h.is.True(h.m.replicas.Get("s1") == nil && h.m.replicas.Get("s2") == nil)
}

// The same cause elsewhere: such a call had all lists read again, and the host counted as one that the store
// doesn't answer, so that it sent no documents to the others.
func TestCallThatFailsAfterACutDoesNotDoubtTheStore(t *testing.T) {
	h := newHost(t)
	h.step(StoreAnswered{Sent: core.Instant(h.now)})
	h.now = 14 * time.Second
	h.step(StoreAnswered{Sent: core.Instant(h.now)})
	relists := h.m.ReadPlan().Relist
	h.step(StoreCallFailed{Sent: core.Instant(13500 * time.Millisecond)})
	h.is.True(h.m.storeAnswers())
	h.step(StoreAnswered{Sent: core.Instant(h.now)})
	h.is.Equal(h.m.ReadPlan().Relist, relists)
	h.step(StoreCallFailed{Sent: core.Instant(h.now)}) // as late as the answered one
	h.is.True(!h.m.storeAnswers())
}

// The same cause elsewhere: calls that the store refuses one by one, as hosts make too many, each began the
// grace anew, so that no removal was ever applied.
func TestCallsThatAreRefusedOneByOneAreNoOutage(t *testing.T) {
	h := newHost(t)
	for i := range 20 {
		h.step(StoreAnswered{Sent: core.Instant(h.now)})
		h.advance(250 * time.Millisecond)
		h.step(StoreCallFailed{Sent: core.Instant(h.now)})
		if i == 10 {
			h.step(ReplicaUnlisted{ID: "s1"})
		}
		h.advance(250 * time.Millisecond)
	}
	h.step(StoreAnswered{Sent: core.Instant(h.now)})
	h.advance(20 * time.Millisecond)
	h.is.True(h.m.replicas.Get("s1") == nil)
}
