package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// newHostWithLargeBatches returns a host whose engines e1 and e2 run 64 requests each and
// have adapter x loaded; e3 lacks it. The reading speed is 10,000 tokens a second.
func newHostWithLargeBatches(t *testing.T) *host {
	h := newHost(t)
	x := core.AdapterRef{ID: "x", Version: 1}
	for _, e := range []replicas.Entry{replica("e1", engines, x), replica("e2", engines, x), replica("e3", engines)} {
		e.Batch, e.Sequence = 64, 5
		h.step(ReplicaListed{Entry: e})
	}
	for range 20 {
		h.m.model(engines).Speed.Observe(10000, time.Second)
	}
	return h
}

// prompt sends a request with a prompt to a loaded adapter.
func (h *host) prompt(tokens core.Tokens) Dispatch {
	h.is.Helper()
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Tokens: tokens + 1, Prompt: tokens})
	return h.dispatch()
}

// Long prompts among short ones: the number of requests at a replica tells little about how
// long it takes until the next one starts.
func TestRequestGoesWhereTheFewestPromptTokensAreQueued(t *testing.T) {
	h := newHostWithLargeBatches(t)
	long := h.prompt(8000)
	for range 5 {
		h.is.True(h.prompt(600).Upstream != long.Upstream)
	}
	h.step(AnswerStarted{ID: long.ID, Attempt: 1, PartDelivered: true}) // its prompt is read
	h.is.Equal(h.prompt(600).Upstream, long.Upstream)
}

func TestPromptsOfEndedAttemptsAreNotQueued(t *testing.T) {
	h := newHostWithLargeBatches(t)
	d := h.prompt(8000)
	h.is.Equal(h.m.replicas.Get(d.Upstream).QueuedPrompts(), core.Tokens(8000))
	h.endAttempt(d, EndNotRun)
	h.is.Equal(h.m.replicas.Get(d.Upstream).OwnPrompts, core.Tokens(0))
	retry := h.dispatch()
	h.step(AnswerStarted{ID: retry.ID, Attempt: retry.Attempt, PartDelivered: true})
	h.endAttempt(retry, EndOK)
	h.is.Equal(h.m.replicas.Get(retry.Upstream).OwnPrompts, core.Tokens(0))
}

// Other hosts' queued prompts come with their heartbeats, and are forgotten with them.
func TestPromptsOfOtherHostsAreCounted(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	heartbeat := func(number uint64, tokens int) {
		load := []Load{{Replica: core.ShortHash("e1"), Running: tokens}}
		h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: number, Prompts: load}}}})
	}
	heartbeat(1, 9000)
	h.is.Equal(h.prompt(600).Upstream, core.UpstreamID("e2"))
	heartbeat(2, 100)
	h.is.Equal(h.m.replicas.Get("e1").OtherPrompts, core.Tokens(100))
	h.advance(fleet.HeartbeatTimeout + time.Second)
	h.is.Equal(h.m.replicas.Get("e1").OtherPrompts, core.Tokens(0))
}

// One popular adapter on replicas that run 64 requests each: their prompts queue for longer
// than the objective long before their places are taken.
func TestAnotherCopyIsDemandedWhilePlacesAreFree(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	demands := func() (all []residency.Demand) {
		for _, e := range h.out {
			if p, ok := e.(SendToPeers); ok {
				all = append(all, p.Message.Demands...)
			}
		}
		return all
	}
	h.prompt(1000)
	h.is.Equal(len(demands()), 0)
	h.prompt(4000) // read in 0.4 s of an objective of 0.5 s
	h.prompt(4000)
	h.is.Equal(len(demands()), 0) // it went to the other one
	h.prompt(600)
	h.is.Equal(len(demands()), 1)
	h.is.Equal(demands()[0].Replica, core.UpstreamID("e3"))
}

// More adapters are in use than a replica has slots: its adapters' requests must not wait at
// their preferred replica while another one has room.
func TestDemandPassesOverFullAndBusyReplicas(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	demanded := func() core.UpstreamID {
		h.is.Helper()
		h.n++
		h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "absent", Prompt: 1000})
		for _, e := range h.out {
			if p, ok := e.(SendToPeers); ok && len(p.Message.Demands) > 0 {
				return p.Message.Demands[0].Replica
			}
		}
		h.is.Fail() // no demand
		return ""
	}
	first := demanded()
	h.step(MessageReceived{From: "b/1", Message: Message{Residencies: []replicas.Residency{
		{Replica: first, Started: 1, Orders: 1, Full: true, Models: []replicas.Model{{Name: model}}},
	}}})
	second := demanded()
	h.is.True(second != first)
	h.m.replicas.Get(second).OtherPrompts = 20000 // read in 2 s
	third := demanded()
	h.is.True(third != first && third != second)
	h.m.replicas.Get(third).OtherPrompts = 20000
	h.is.Equal(demanded(), second) // busy ones before full ones, in their order
	h.now += 4 * time.Second       // the report has expired
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 2, Ready: true}}}})
	h.is.Equal(demanded(), first)
}

// Many adapters share few slots: an adapter must become replaceable when its last request
// ends, and not only once the report of its use has expired.
func TestTheEndOfAUseIsReported(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	heartbeat := func(number uint64) {
		h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: number, Ready: true}}}})
	}
	heartbeat(1)
	h.lease("b")
	reported := func() (all []residency.Use) {
		h.advance(time.Second)
		for _, e := range h.out {
			if p, ok := e.(SendToPeers); ok {
				all = append(all, p.Message.Uses...)
			}
		}
		heartbeat(uint64(h.now))
		return all
	}
	d := h.prompt(1000)
	use := residency.Use{Replica: d.Upstream, Adapter: "x", Running: 1, Begun: 1}
	h.is.Equal(reported(), []residency.Use{use})
	use.Begun = 0
	h.is.Equal(reported(), []residency.Use{use})
	h.endAttempt(d, EndOK)
	use.Running = 0
	h.is.Equal(reported(), []residency.Use{use})
	h.is.Equal(len(reported()), 0)
}

// demandedAt returns the replicas that the last step demanded adapters at.
func (h *host) demandedAt() (all []core.UpstreamID) {
	for _, e := range h.out {
		if p, ok := e.(SendToPeers); ok {
			for _, d := range p.Message.Demands {
				all = append(all, d.Replica)
			}
		}
	}
	return all
}

// newHostWithOwner is newHostWithLargeBatches where another host orders the replicas.
func newHostWithOwner(t *testing.T) *host {
	h := newHostWithLargeBatches(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	return h
}

// reportCopy applies the owner's report that adapter x is loaded on e3.
func (h *host) reportCopy() {
	loaded := []replicas.Model{{Name: model, Adapters: []core.AdapterRef{{ID: "x", Version: 1}}}}
	h.step(MessageReceived{From: "b/1", Message: Message{Residencies: []replicas.Residency{{Replica: "e3", Started: 1, Orders: 1, Models: loaded}}}})
}

// Guards against refusals while a copy can be loaded: where every replica with the adapter was
// saturated, its requests were refused and nobody demanded a copy.
func TestRequestWaitsForACopyWhereAllReplicasAreSaturated(t *testing.T) {
	h := newHostWithOwner(t)
	h.m.replicas.Get("e1").OtherRequests = 110
	h.m.replicas.Get("e2").OtherRequests = 110
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600})
	h.is.Equal(len(h.sent()), 0)
	h.is.Equal(h.demandedAt(), []core.UpstreamID{"e3"})
	h.reportCopy()
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e3"))
	h.m.replicas.Get("e3").OtherRequests = 110
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600})
	h.is.Equal(h.refusal().Code, core.CodeOverloaded) // no replica is left for another copy
}

// Guards against queues of seconds at the first replicas of a newly popular adapter: a copy would
// have been loaded and have answered long before.
func TestRequestWaitsForACopyThatAnswersSooner(t *testing.T) {
	h := newHostWithOwner(t)
	h.m.replicas.Get("e1").OtherPrompts = 30000 // read in 3 s
	h.m.replicas.Get("e2").OtherPrompts = 30000
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600})
	h.is.Equal(len(h.sent()), 0)
	h.is.Equal(h.demandedAt(), []core.UpstreamID{"e3"})
	h.advance(100 * time.Millisecond)
	h.is.Equal(len(h.sent()), 0)
	h.reportCopy()
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e3"))
}

// A copy that doesn't come must not keep a request for longer than a load takes.
func TestRequestIsSentWhereTheCopyDoesNotCome(t *testing.T) {
	h := newHostWithOwner(t)
	h.m.replicas.Get("e1").OtherPrompts = 30000
	h.m.replicas.Get("e2").OtherPrompts = 40000
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: 600})
	h.is.Equal(len(h.sent()), 0)
	h.now += copyWait - time.Millisecond
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 2, Ready: true}}}})
	h.advance(time.Millisecond)
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e1"))
}

// Guards against copies of rare adapters: at a mean occupancy of 0.6 half of their requests found
// their replica busy with others, and each copy cost the place of another adapter.
func TestReplicaThatIsBusyWithOtherAdaptersCausesNoCopy(t *testing.T) {
	h := newHostWithOwner(t)
	h.m.replicas.Get("e1").OtherRequests = 45 // of 64
	h.m.replicas.Get("e2").OtherRequests = 45
	h.prompt(600)
	h.is.Equal(len(h.demandedAt()), 0)
	var demanded []core.UpstreamID
	for range 6 { // this host's requests are for the adapter, so the others' are taken to be, too
		h.prompt(0)
		demanded = append(demanded, h.demandedAt()...)
	}
	h.is.Equal(demanded, []core.UpstreamID{"e3"})
}

// Nobody can load a copy: to wait for one would only delay the request.
func TestRequestDoesNotWaitForACopyThatNobodyCanLoad(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.m.replicas.Get("e1").OtherPrompts = 30000
	h.m.replicas.Get("e2").OtherPrompts = 40000
	h.is.Equal(h.prompt(600).Upstream, core.UpstreamID("e1"))
}

// A demand may be lost, and a copy take longer than expected.
func TestCopyIsDemandedAgainWhileTheTargetIsMissed(t *testing.T) {
	h := newHostWithOwner(t)
	h.m.replicas.Get("e1").OtherPrompts = 8000 // read in 0.8 s of an objective of 0.5 s
	h.m.replicas.Get("e2").OtherPrompts = 8000
	h.prompt(600)
	h.is.Equal(h.demandedAt(), []core.UpstreamID{"e3"})
	h.prompt(600)
	h.is.Equal(len(h.demandedAt()), 0)
	h.now += copyInterval
	h.prompt(600)
	h.is.Equal(h.demandedAt(), []core.UpstreamID{"e3"})
}
