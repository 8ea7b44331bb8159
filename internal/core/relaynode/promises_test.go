package relaynode

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicamodel"
)

// newHostWithCapacity is newHostWithLargeBatches whose engines have room for 20,000 tokens.
func newHostWithCapacity(t *testing.T) *host {
	h := newHostWithLargeBatches(t)
	table := testTable()
	table.Version = 2
	table.Services[engines].Engine.KVCapacity = 20000
	h.step(ConfigurationRead{Table: table})
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	return h
}

// large sends a request that declares an output.
func (h *host) large(prompt, output core.Tokens) Dispatch {
	h.is.Helper()
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Tokens: prompt + output, Prompt: prompt})
	return h.dispatch()
}

func (h *host) heartbeatOf(number uint64, b Heartbeat) {
	b.Host, b.Number, b.Ready = "b/1", number, true
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{b}}})
}

func loadAt(id core.UpstreamID, n int) []Load {
	return []Load{{Replica: core.ShortHash(string(id)), Running: n}}
}

// Guards against preemptions: several hosts promised the same memory of a replica.
func TestMemoryThatOtherHostsHavePromisedIsNotPromisedAgain(t *testing.T) {
	h := newHostWithCapacity(t)
	h.m.replicas.Get("e2").OtherRequests = 20 // fuller, but with memory left
	h.heartbeatOf(1, Heartbeat{Loads: loadAt("e1", 1), Promised: loadAt("e1", 15000)})
	h.is.Equal(h.large(1000, 6000).Upstream, core.UpstreamID("e2"))
	h.is.Equal(h.m.replicas.Get("e2").OwnPromised, core.Tokens(7000))
	h.is.Equal(h.large(1000, 1000).Upstream, core.UpstreamID("e1")) // this one fits
	h.heartbeatOf(2, Heartbeat{})
	h.is.Equal(h.m.replicas.Get("e1").OtherPromised, core.Tokens(0))
	h.is.Equal(h.large(1000, 6000).Upstream, core.UpstreamID("e1"))
}

// Where no candidate has memory left, the request is sent all the same: replicas queue or preempt.
func TestRequestIsSentWhereNoReplicaHasMemoryLeft(t *testing.T) {
	h := newHostWithCapacity(t)
	for _, id := range []core.UpstreamID{"e1", "e2"} {
		h.m.replicas.Get(id).OtherPromised = 19000
	}
	h.large(1000, 6000)
}

// A host of a former build reports its requests only.
func TestPromisesOfAFormerBuildAreEstimated(t *testing.T) {
	h := newHostWithCapacity(t)
	h.heartbeatOf(1, Heartbeat{Loads: loadAt("e1", 3)})
	h.is.Equal(h.m.replicas.Get("e1").OtherPromised, core.Tokens(0)) // nothing is known
	h.large(1000, 3000)
	h.heartbeatOf(2, Heartbeat{Loads: loadAt("e1", 3)})
	h.is.Equal(h.m.replicas.Get("e1").OtherPromised, core.Tokens(12000))
	h.advance(fleet.HeartbeatTimeout + time.Second)
	h.is.Equal(h.m.replicas.Get("e1").OtherPromised, core.Tokens(0))
}

func TestPromisesEndWithTheirAttempts(t *testing.T) {
	h := newHostWithCapacity(t)
	d := h.large(1000, 3000)
	x := h.m.replicas.Get(d.Upstream)
	h.is.Equal(h.m.ownHeartbeat().Promised, loadAt(x.ID, 4000))
	h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndOK, Stream: replicamodel.Stream{Events: 10, Lasted: time.Second}})
	h.is.Equal(x.Promised(), core.Tokens(0))
}

// The field's number is agreed upon with hosts of other builds.
func TestPromisesHaveTheirNumberOnTheWire(t *testing.T) {
	h := newHost(t)
	payload, err := cbor.Marshal(Heartbeat{Promised: loadAt("e1", 2)})
	h.is.NoErr(err)
	var fields map[int]any
	h.is.NoErr(cbor.Unmarshal(payload, &fields))
	h.is.True(fields[24] != nil)
}
