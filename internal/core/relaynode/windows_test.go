package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
)

// brittleHost is a host that knows that both plain replicas are brittle. They run four requests at
// once each.
func brittleHost(t *testing.T) *host {
	h := newHost(t)
	for _, id := range []core.UpstreamID{"s1", "s2"} {
		h.m.applyBrittleNotice(id, 1, replicas.Brittleness{Named: true, Rejections: 3}, 0)
	}
	return h
}

func (h *host) fillRoom() (sent []Dispatch) {
	for range 8 {
		h.arrive(RequestArrived{Path: "/act/x"})
		sent = append(sent, h.dispatch())
	}
	return sent
}

func TestBrittleReplicaGetsNoMoreThanItRuns(t *testing.T) {
	h := brittleHost(t)
	h.fillRoom()
	h.arrive(RequestArrived{Path: "/act/x"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	h.advance(20 * time.Millisecond) // a fraction of its objective
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.True(r.RetryAfter > 0)
}

func TestRoomGoesToTheMostUrgentRequest(t *testing.T) {
	h := brittleHost(t)
	h.m.table.Routes[4].Priority = 5 // act
	sent := h.fillRoom()
	h.arrive(RequestArrived{Path: "/act/x"})
	urgent := h.arrive(RequestArrived{Path: "/read/x"})
	h.step(AttemptEnded{ID: sent[0].ID, Attempt: 1, Kind: EndOK, Answer: AnswerEvidence{Status: 200}})
	h.is.Equal(h.dispatch().ID, urgent)
}

// The answer to a request that was sent after the last that said so ends the brittle time.
func TestReplicaThatNoLongerSaysThatItIsBrittleGetsMore(t *testing.T) {
	h := brittleHost(t)
	sent := h.fillRoom()
	h.now += time.Millisecond
	h.step(AttemptEnded{ID: sent[0].ID, Attempt: 1, Kind: EndOK, Answer: AnswerEvidence{Status: 200}})
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.is.True(d.Limited) // so that its answer is reported
	h.now += time.Millisecond
	h.step(ReplicaNoticed{ID: d.ID, Attempt: d.Attempt})
	h.is.True(!h.m.brittle(h.m.replicas.Get(d.Upstream)))
	for range 6 {
		h.arrive(RequestArrived{Path: "/act/x"})
		h.is.Equal(h.dispatch().Upstream, d.Upstream)
	}
}

func TestNewIncarnationOfABrittleReplicaCountsAsBrittle(t *testing.T) {
	h := brittleHost(t)
	e := replica("s1", services)
	e.Started = 2
	h.step(ReplicaListed{Entry: e})
	h.is.True(h.m.brittle(h.m.replicas.Get("s1")))
}
