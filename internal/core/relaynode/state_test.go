package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

func (h *host) served() RequestEnded {
	h.is.Helper()
	s, ok := get[RequestEnded](h)
	h.is.True(ok)
	return s
}

func TestEveryRequestIsCountedOnceByItsRouteAndOutcome(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/read/x"})
	d := h.dispatch()
	h.now += 30 * time.Millisecond
	h.endAttempt(d, EndOK)
	h.is.Equal(h.served(), RequestEnded{Route: "read", Outcome: "ok", FirstByte: 30 * time.Millisecond, Total: 30 * time.Millisecond})

	h.arrive(RequestArrived{Path: "/act/x"})
	h.endAttempt(h.dispatch(), EndError)
	h.is.Equal(h.served().Outcome, "error")

	h.arrive(RequestArrived{Path: "/act/x"})
	h.endAttempt(h.dispatch(), EndBroken)
	h.is.Equal(h.served().Outcome, string(core.CodeUpstreamFailed))

	h.arrive(RequestArrived{Path: "/nowhere"})
	h.is.Equal(h.served(), RequestEnded{Outcome: string(core.CodeUnknownRoute)})

	id := h.arrive(RequestArrived{Path: "/act/x"})
	d = h.dispatch()
	h.step(CallerGone{ID: id})
	h.endAttempt(d, EndCancelled)
	h.is.Equal(h.served().Outcome, "caller_gone")

	h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x"})
	d = h.dispatch()
	h.now += 10 * time.Millisecond
	h.step(AnswerStarted{ID: d.ID, Attempt: 1, PartDelivered: true})
	h.now += 10 * time.Millisecond
	h.endAttempt(d, EndBroken)
	h.is.Equal(h.served(), RequestEnded{Route: "once-stream", Outcome: "cut", FirstByte: 10 * time.Millisecond, Total: 20 * time.Millisecond})
}

func TestStateReportsRunningWork(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("key"))})
	d := h.dispatch()
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "absent"})
	h.now += time.Second
	h.step(StoreAnswered{})
	h.now += time.Second
	s := h.m.State()
	h.is.Equal(s.Configuration, uint64(1))
	h.is.Equal(s.Waiting, 1)
	h.is.Equal(len(s.Replicas), 4)
	for _, x := range s.Replicas {
		h.is.Equal(x.Own == 1, x.ID == d.Upstream)
	}
	h.is.Equal(s.Workspaces[0].Granted, int64(10))
	h.is.Equal(s.ActiveHosts, 1)
	h.is.True(s.Routes["keyed"])
	h.is.True(s.Retries[services] > 0)
}
