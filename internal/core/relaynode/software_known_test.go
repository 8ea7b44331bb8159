package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/origin"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
)

// followInterval is the time between two answers of the store in these tests.
const followInterval = 100 * time.Millisecond

// follow advances the time while the store answers, and the list of replicas doesn't change.
func (h *host) follow(d time.Duration) {
	h.is.Helper()
	for end := h.now + d; h.now < end; {
		h.advance(min(followInterval, end-h.now))
		h.step(StoreAnswered{})
		h.step(ReplicasCompared{})
	}
}

// refuses reports whether a stream of unknown origin is refused.
func (h *host) refuses(stream string) bool {
	h.is.Helper()
	h.takeUp(stream)
	_, sent := get[Dispatch](h)
	return !sent
}

// joinFleet starts a host of a deployment that runs already, and lists its engines.
func joinFleet(t *testing.T, leases LeasesListed, entries ...replicas.Entry) *host {
	h := newHost(t)
	h.m = New(Settings{Self: fleet.Registration{Name: "a", Host: "a/1", Domain: "a"}})
	h.step(ConfigurationRead{Table: testTable()})
	h.step(VersionsRead{})
	h.step(StoreAnswered{Era: leases.Era})
	h.step(leases)
	h.step(ReplicasListed{Entries: append(entries, replica("s1", services))})
	return h
}

// leaseOf returns a list of one lease, as read in an era.
func leaseOf(era uint64, value string) LeasesListed {
	return LeasesListed{Era: era, Objects: []core.Object{{Key: shard.Prefix + "0", Value: []byte(value), Version: 1, Era: era}}}
}

// Guards against streams joined from two software versions (rejoined, and soak seed 2134): after the
// loss of all hosts the store came back from before the leases were written. That there are none
// counted as knowledge of what had run, and the only version left as that of every stream.
func TestHostThatInheritsNoKnowledgeRefusesStreamsOfUnknownOrigin(t *testing.T) {
	for name, leases := range map[string]LeasesListed{
		"no lease":                       {Era: 1},
		"a lease of an earlier era":      leaseOf(2, `{"holder":"b","fence":1,"era":1,"software":{"engines":{"v2":0}},"softwareKnown":60000}`),
		"a lease of a former build":      leaseOf(1, `{"holder":"b","fence":1,"era":1,"software":{"engines":{"v2":0}}}`),
		"its owner had just started":     leaseOf(1, `{"holder":"b","fence":1,"era":1,"software":{"engines":{"v2":0}},"softwareKnown":2000}`),
		"a lease that can't be read":     leaseOf(1, `[[[`),
		"a time that no owner can write": leaseOf(1, `{"holder":"b","fence":1,"era":1,"softwareKnown":-1}`),
	} {
		t.Run(name, func(t *testing.T) {
			h := joinFleet(t, leases, engineAt("e2", "v2"))
			h.is.True(h.refuses("q"))
			h.follow(origin.Memory + time.Second)
			h.is.True(!h.refuses("q")) // no stream of before can be taken up any more
		})
	}
	h := joinFleet(t, leaseOf(1, `{"holder":"b","fence":1,"era":1,"software":{"engines":{"v2":0}},"softwareKnown":60000}`), engineAt("e2", "v2"))
	h.is.True(!h.refuses("q"))
}

// Guards against streams joined from two software versions (host out of step): a host stood still
// while replicas of a new version joined. The answer to a call that had been sent before, or to another
// call, counted as a comparison of its list.
func TestHostThatStoodStillRefusesUntilItsListIsCompared(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.follow(time.Second)
	before := core.Instant(h.now)
	relists := h.m.ReadPlan().Relist
	h.now += 600 * time.Millisecond // a stop that is shorter than settleTime
	h.step(StoreAnswered{Sent: before})
	h.is.True(h.refuses("q"))
	h.is.Equal(h.m.ReadPlan().Relist, relists+1) // it asks for the list
	h.step(StoreAnswered{})                      // the leases, say
	h.is.True(h.refuses("q"))
	h.step(ReplicasCompared{Sent: before}) // an answer that has waited
	h.is.True(h.refuses("q"))
	h.step(ReplicasCompared{})
	h.is.True(!h.refuses("q"))
}

// The same after a cut from the store.
func TestHostThatWasCutOffRefusesUntilItsListIsCompared(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.follow(time.Second)
	h.step(StoreCallFailed{})
	for range 20 {
		h.advance(followInterval)
	}
	h.step(StoreAnswered{})
	h.is.True(h.refuses("q"))
	h.step(ReplicasListed{Entries: []replicas.Entry{engineAt("e1", "v1"), engineAt("e2", "v1"), replica("s1", services)}})
	h.is.True(!h.refuses("q"))
}

// A version can come and go while a host's list isn't current for long: the host then doesn't know it,
// until a host that has been in touch all the while has seen the same versions.
func TestHostOutOfTouchForLongLearnsFromAnotherHost(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.follow(time.Second)
	known := h.m.softwareDigest()
	h.is.True(known != 0)
	h.now += 10 * time.Second
	h.follow(followInterval)
	h.is.True(h.refuses("q"))
	h.is.Equal(h.m.softwareDigest(), uint64(0)) // others don't rely on it
	number := uint64(0)
	heartbeat := func(digest uint64) {
		number++
		h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: number, Ready: true, Software: digest}}}})
	}
	heartbeat(known) // it may have waited
	h.is.True(h.refuses("q"))
	h.follow(delayedHeartbeatTime)
	heartbeat(0) // of a host that doesn't know either, or of a former build
	h.is.True(h.refuses("q"))
	heartbeat(known + 1) // it has seen another version
	h.is.True(h.refuses("q"))
	heartbeat(known)
	h.is.True(!h.refuses("q"))
}

// No stream begins at a version that another host can't know yet, unless no other version serves.
func TestANewSoftwareVersionWaitsWhileAnotherOneServes(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"))
	h.follow(time.Minute)
	h.step(ReplicaListed{Entry: engineAt("e2", "v2")})
	h.follow(followInterval)
	h.m.replicas.Get("e1").OtherRequests = 3 // so that e2 would be chosen
	first := h.beginStream("q")
	h.is.Equal(h.softwareOf(first), replicas.SoftwareVersion("v1"))
	h.arrive(RequestArrived{CallerID: "p", Path: "/whole/x", Model: model, Adapter: "x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e2")) // nothing is taken up there
	h.follow(settleTime)
	h.m.replicas.Get("e1").OtherRequests = 3
	h.is.Equal(h.softwareOf(h.beginStream("r")), replicas.SoftwareVersion("v2"))

	h = newHostWithEngines(t, engineAt("e1", "v1"))
	h.follow(time.Minute)
	h.step(ReplicaListed{Entry: engineAt("e2", "v2")})
	h.step(ReplicaUnlisted{ID: "e1"})
	h.is.Equal(h.softwareOf(h.beginStream("q")), replicas.SoftwareVersion("v2"))
}
