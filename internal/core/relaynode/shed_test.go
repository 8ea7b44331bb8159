package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
)

// Guards against work for callers that have gone: requests were sent that could only begin after
// their deadlines, and delayed the others.
func TestRequestThatCannotBeginBeforeItsDeadlineIsRefusedAtOnce(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.m.replicas.Get("e1").OtherPrompts = 62000 // read in 6.2 s
	h.m.replicas.Get("e2").OtherPrompts = 80000
	waits := map[time.Duration]bool{}
	for range 8 {
		h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600, Timeout: 5 * time.Second})
		refusal := h.refusal()
		h.is.Equal(refusal.Code, core.CodeOverloaded)
		h.is.Equal(refusal.Ran, core.RanNo)
		h.is.True(refusal.RetryAfter > time.Second && refusal.RetryAfter < 3*time.Second)
		waits[refusal.RetryAfter] = true
	}
	h.is.True(len(waits) >= 6) // callers don't come back together
	h.is.Equal(len(h.m.requests.byID), 0)
}

func TestLateRequestWithinItsDeadlineIsSent(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.m.replicas.Get("e1").OtherPrompts = 42000
	h.m.replicas.Get("e2").OtherPrompts = 80000
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600, Timeout: 5 * time.Second})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e1"))
}

// A host without observations has no prediction to refuse for.
func TestHostWithoutObservationsRefusesNothingForItsDeadline(t *testing.T) {
	h := newHost(t)
	h.m.replicas.Get("e1").OtherPrompts = 1000000
	h.m.replicas.Get("e2").OtherPrompts = 1000000
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600, Timeout: time.Second})
	h.dispatch()
}
