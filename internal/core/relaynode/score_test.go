package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicamodel"
	"gentiancroft/internal/core/replicas"
)

// newHostThatKnowsGaps is newHostWithLargeBatches with a route whose streams may pause for 300 ms,
// and engines whose gaps are known: 160 ms, and 600 ms while they read prompts. They read 38,000
// tokens a second.
func newHostThatKnowsGaps(t *testing.T) *host {
	h := newHost(t)
	table := testTable()
	table.Version = 2
	table.Routes[0].MaxEventGap = 300 * time.Millisecond
	table.Routes[0].LatencyTarget = 2 * time.Second
	table.Index()
	h.step(ConfigurationRead{Table: table})
	x := core.AdapterRef{ID: "x", Version: 1}
	for _, e := range []replicas.Entry{replica("e1", engines, x), replica("e2", engines, x)} {
		e.Batch, e.Sequence = 12, 5
		h.step(ReplicaListed{Entry: e})
	}
	for range 100 {
		h.m.model(engines).Speed.Observe(38000, time.Second)
		h.m.model(engines).ObserveStream(replicamodel.Stream{Events: 11, Lasted: 1600 * time.Millisecond, LargestGap: 600 * time.Millisecond})
	}
	return h
}

// Guards against a choice that looks at the new request only: 8,000 queued tokens delay its own
// first event by 0.2 s of 2 s, but make every stream that runs there miss its gap.
func TestFullerReplicaWithoutQueueIsBetterThanOneWithAQueue(t *testing.T) {
	h := newHostThatKnowsGaps(t)
	h.m.replicas.Get("e1").OtherRequests = 7
	h.m.replicas.Get("e1").OtherPrompts = 8000
	h.m.replicas.Get("e2").OtherRequests = 9
	for range 2 {
		h.is.Equal(h.prompt(600).Upstream, core.UpstreamID("e2"))
	}
	h.m.replicas.Get("e1").OtherPrompts = 500
	h.is.Equal(h.prompt(600).Upstream, core.UpstreamID("e1"))
}

// Guards against requests to a replica that has become slow: with the service's speed alone it gets
// as many as the others.
func TestReplicaThatHasBecomeSlowGetsFewRequests(t *testing.T) {
	h := newHostWithLargeBatches(t)
	answer := func(d Dispatch, took time.Duration) {
		h.now += took
		h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
		h.endAttempt(d, EndOK)
	}
	const read = 100 * time.Millisecond // 1,000 tokens
	toSlow := 0
	for range 30 {
		d := h.prompt(1000)
		took := read
		if d.Upstream == "e1" {
			took *= 4
			toSlow++
		}
		answer(d, took)
	}
	h.is.True(toSlow <= 8)
	h.now += 20 * time.Second // the slowdown is forgotten: the replica is tried again
	toSlow = 0
	for range 30 {
		d := h.prompt(1000)
		if d.Upstream == "e1" {
			toSlow++
		}
		answer(d, read)
	}
	h.is.True(toSlow >= 5)
}

// A restarted replica has nothing in common with the one before.
func TestRestartedReplicaIsNotTakenForSlow(t *testing.T) {
	h := newHostWithLargeBatches(t)
	h.m.replicas.Get("e1").Slowness.Observe(core.Instant(h.now), read1000, 8*read1000)
	h.is.True(h.m.replicas.Get("e1").Slowness.Factor(core.Instant(h.now)) > 1.4)
	h.restart("e1")
	h.is.Equal(h.m.replicas.Get("e1").Slowness.Factor(core.Instant(h.now)), 1.0)
}

// Guards against herds: all hosts have heard the same, and each sent its requests to the replica that
// was the emptiest at the last heartbeats.
func TestHostExpectsOtherHostsToChooseAlike(t *testing.T) {
	for _, hosts := range []int{0, 11} {
		h := newHostWithLargeBatches(t)
		for i := range hosts {
			id := core.HostID("p" + utoa(uint64(i)) + "/1")
			h.step(HostListed{Host: fleet.Registration{Name: "p" + utoa(uint64(i)), Host: id}})
			h.step(MessageReceived{From: id, Message: Message{Heartbeats: []Heartbeat{{Host: id, Number: 1, Ready: true}}}})
		}
		h.m.replicas.Get("e2").OtherRequests = 2
		h.is.Equal(h.prompt(600).Upstream, core.UpstreamID("e1"))
		h.m.replicas.Get("e1").OwnPrompts = 0 // so that places decide
		want := core.UpstreamID("e1")
		if hosts > 0 {
			want = "e2"
		}
		h.is.Equal(h.prompt(600).Upstream, want)
	}
}

const read1000 = 100 * time.Millisecond // of 1,000 tokens

// BenchmarkChoose measures one choice among 112 replicas that are known by their answers.
func BenchmarkChoose(b *testing.B) {
	m := New(Settings{FirstStart: true})
	m.Step(0, ConfigurationRead{Table: testTable()})
	x := core.AdapterRef{ID: "x", Version: 1}
	for i := range 112 {
		id := core.UpstreamID("engine-" + utoa(uint64(i)))
		m.Step(0, ReplicaListed{Entry: replica(id, engines, x)})
		m.replicas.Get(id).Slowness.Observe(0, read1000, 2*read1000)
	}
	m.model(engines).Speed.Observe(10000, time.Second)
	r := &request{route: &m.table.Routes[0], service: m.table.Services[engines], arrival: RequestArrived{Adapter: "x", Prompt: 1000}}
	from := m.replicas.ByService(engines)
	b.ReportAllocs()
	for b.Loop() {
		m.choose(r, from)
	}
}
