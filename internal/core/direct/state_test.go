package direct

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/table"
)

func (h *host) served() Served {
	h.is.Helper()
	s, ok := get[Served](h)
	h.is.True(ok)
	return s
}

func TestEveryRequestIsCountedOnceByItsRouteAndOutcome(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/read/x"})
	d := h.dispatch()
	h.now += 30 * time.Millisecond
	h.endAttempt(d, EndOK)
	h.is.Equal(h.served(), Served{Route: "read", Outcome: "ok", FirstByte: 30 * time.Millisecond, Total: 30 * time.Millisecond})

	h.arrive(Arrive{Path: "/act/x"})
	h.endAttempt(h.dispatch(), EndError)
	h.is.Equal(h.served().Outcome, "error")

	h.arrive(Arrive{Path: "/act/x"})
	h.endAttempt(h.dispatch(), EndBroken)
	h.is.Equal(h.served().Outcome, string(core.CodeUpstreamFailed))

	h.arrive(Arrive{Path: "/nowhere"})
	h.is.Equal(h.served(), Served{Outcome: string(core.CodeUnknownRoute)})

	id := h.arrive(Arrive{Path: "/act/x"})
	d = h.dispatch()
	h.step(Gone{ID: id})
	h.endAttempt(d, EndCancelled)
	h.is.Equal(h.served().Outcome, "caller_gone")

	h.arrive(Arrive{Path: "/once-stream/x", Model: model, Adapter: "x"})
	d = h.dispatch()
	h.now += 10 * time.Millisecond
	h.step(Begun{ID: d.ID, Attempt: 1, Passed: true})
	h.now += 10 * time.Millisecond
	h.endAttempt(d, EndBroken)
	h.is.Equal(h.served(), Served{Route: "once-stream", Outcome: "cut", FirstByte: 10 * time.Millisecond, Total: 20 * time.Millisecond})
}

func TestStateReportsRunningWork(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("key"))})
	d := h.dispatch()
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "absent"})
	h.now += time.Second
	h.step(StoreReached{})
	h.now += time.Second
	s := h.m.State()
	h.is.Equal(s.Configuration, uint64(1))
	h.is.Equal(s.Waiting, 1)
	h.is.Equal(len(s.Replicas), 4)
	for _, x := range s.Replicas {
		h.is.Equal(x.Mine == 1, x.ID == d.Upstream)
	}
	h.is.Equal(s.Workspaces[0].Granted, int64(10))
	h.is.Equal(s.ActiveHosts, 1)
	h.is.True(s.Routes["keyed"])
	h.is.True(s.Retries[services] > 0)
}
