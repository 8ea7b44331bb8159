package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

func TestHostWithoutConfigurationRefusesRequestsAsNotRun(t *testing.T) {
	h := newHost(t)
	h.m = New(Settings{Self: fleet.Registration{Name: "a"}})
	h.is.True(!h.m.Ready())
	h.arrive(RequestArrived{Path: "/read/x"})
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeHostCutOff)
	h.is.Equal(r.Ran, core.RanNo)
}

func TestKeysAndRoutes(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/nowhere"})
	h.is.Equal(h.refusal().Code, core.CodeUnknownRoute)
	h.arrive(RequestArrived{Path: "/keyed/x"})
	h.is.Equal(h.refusal().Code, core.CodeInvalidKey)
	h.arrive(RequestArrived{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("other"))})
	h.is.Equal(h.refusal().Code, core.CodeInvalidKey)
	h.arrive(RequestArrived{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("key"))})
	h.is.Equal(h.dispatch().Workspace, core.WorkspaceID("w"))
}

func TestNonIdempotentRequestIsRetriedOnlyIfItHasNotRun(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/act/x"})
	first := h.dispatch()
	h.is.True(first.NonRepeatable)
	h.endAttempt(first, EndNotRun)
	second := h.dispatch()
	h.is.True(second.Upstream != first.Upstream)
	h.endAttempt(second, EndBroken)
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeUpstreamFailed)
	h.is.Equal(r.Ran, core.RanUnknown)
}

func TestIdempotentRequestMovesFromAnUnresponsiveReplica(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/read/x"})
	first := h.dispatch()
	h.advance(100 * time.Millisecond)
	c, ok := get[Cancel](h)
	h.is.True(ok)
	h.is.Equal(c.Attempt, first.Attempt)
	h.endAttempt(first, EndCancelled)
	h.is.True(h.dispatch().Upstream != first.Upstream)
}

// A moved request took two retries from the budget, and was refused where the second was missing.
func TestMovedRequestTakesOneRetryFromTheBudget(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/read/x"})
	first := h.dispatch()
	h.advance(100 * time.Millisecond)
	before := h.m.retries[services].Available(core.Instant(h.now))
	h.endAttempt(first, EndCancelled)
	h.dispatch()
	h.is.Equal(h.m.retries[services].Available(core.Instant(h.now)), before)
}

// A request whose answer starts while its attempt is being cancelled is not moved. If
// the answer breaks off later, that must not count as the end of a move.
func TestStartedAnswerIsNotMoved(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/read/x"})
	first := h.dispatch()
	h.advance(100 * time.Millisecond)
	c, ok := get[Cancel](h)
	h.is.True(ok)
	h.is.True(c.OnlyIfUnanswered)
	h.step(AnswerStarted{ID: first.ID, Attempt: 1, PartDelivered: true})
	h.is.True(!h.m.requests.byID[first.ID].moving)
	h.advance(900 * time.Millisecond) // its deadline
	c, ok = get[Cancel](h)
	h.is.True(ok)
	h.is.True(!c.OnlyIfUnanswered)
}

func TestDeadlineOfARunningRequestLeavesItsResultUnknown(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/act/x"})
	h.dispatch()
	h.advance(time.Second)
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeDeadlineExceeded)
	h.is.Equal(r.Ran, core.RanUnknown)
}

func TestStreamResumesOnAnotherReplicaAfterItsLastEvent(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	first := h.dispatch()
	h.step(AnswerStarted{ID: first.ID, Attempt: 1, PartDelivered: true})
	h.step(AttemptEnded{ID: first.ID, Attempt: 1, Kind: EndBroken, LastEvent: "7"})
	second := h.dispatch()
	h.is.Equal(second.LastEvent, "7")
	h.is.True(second.Upstream != first.Upstream)

	h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x"})
	other := h.dispatch()
	h.step(AnswerStarted{ID: other.ID, Attempt: 1, PartDelivered: true})
	h.step(AttemptEnded{ID: other.ID, Attempt: 1, Kind: EndBroken, LastEvent: "7"})
	_, cut := get[AbortAnswer](h)
	h.is.True(cut)
}

func TestRequestThatCrashedThreeReplicasIsRefused(t *testing.T) {
	h := newHost(t)
	for range 3 {
		h.arrive(RequestArrived{Path: "/act/x", Fingerprint: 9})
		d := h.dispatch()
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, ConnectionClosed: true})
		h.advance(time.Second)
	}
	h.arrive(RequestArrived{Path: "/act/x", Fingerprint: 9})
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.arrive(RequestArrived{Path: "/act/x", Fingerprint: 10})
	h.dispatch()
}

// Rule VERSION: a host that had just started took a version that was announced long
// before for one announced a moment ago, and still used the older one.
func TestListedVersionHasNoGracePeriod(t *testing.T) {
	h := newHost(t)
	h.step(VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}})
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.Equal(h.dispatch().ExpectedVersion, 0) // announced a moment ago: the old one may still be used
	h.step(VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 3}, Listed: true})
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent) // version 3 is loaded nowhere
	newer := replica("e1", engines, core.AdapterRef{ID: "x", Version: 3})
	newer.Sequence = 1
	h.step(ReplicaListed{Entry: newer})
	h.is.Equal(h.dispatch().ExpectedVersion, 3)
}

// Rule LOST: streams admitted late in a graceful shutdown were still running when
// the host exited.
func TestLeavingHostRefusesStreamsBeforeOtherRequests(t *testing.T) {
	h := newHost(t)
	h.step(Leave{})
	h.is.True(!h.m.Ready())
	stream := RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"}
	h.arrive(stream)
	d := h.dispatch()
	h.advance(DefaultStreamRefusalDelay + time.Millisecond)
	h.arrive(stream)
	h.is.Equal(h.refusal().Code, core.CodeHostLeaving)
	h.arrive(RequestArrived{Path: "/read/x"})
	h.endAttempt(h.dispatch(), EndOK)
	h.advance(DefaultRequestRefusalDelay - DefaultStreamRefusalDelay)
	_, left := get[LeaveCompleted](h)
	h.is.True(!left) // a stream is in flight
	h.endAttempt(d, EndOK)
	h.advance(time.Millisecond)
	_, left = get[LeaveCompleted](h)
	h.is.True(left)
}

func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	h := newHost(t)
	leaving := replica("s1", services)
	leaving.Leaving = true
	h.step(ReplicaListed{Entry: leaving})
	for range 4 {
		h.arrive(RequestArrived{Path: "/act/x"})
		h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	}
}

func TestRequestsAreSpreadByLoad(t *testing.T) {
	h := newHost(t)
	counts := map[core.UpstreamID]int{}
	for range 6 {
		h.arrive(RequestArrived{Path: "/act/x"})
		counts[h.dispatch().Upstream]++
	}
	h.is.Equal(counts["s1"], 3)
	h.is.Equal(counts["s2"], 3)
}

func TestPeerLoadCountsInTheChoiceOfReplica(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true, Loads: []Load{{Replica: core.ShortHash("s1"), Running: 5}}}}}})
	for range 4 {
		h.arrive(RequestArrived{Path: "/act/x"})
		h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	}
	h.advance(fleet.HeartbeatTimeout) // b is no longer reachable: its requests do not count
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s1"))
}

func TestAnUnlistedReplicaIsNotUsed(t *testing.T) {
	h := newHost(t)
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s2", services)}})
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	h.arrive(RequestArrived{Path: "/stream/x", Model: model})
	h.is.Equal(h.refusal().Code, core.CodeNoUpstream)
}

// The new version of a popular adapter is loaded on another preferred replica while
// the old one still serves.
func TestNewVersionIsDemandedOnAnotherReplicaWhileTheOldOneServes(t *testing.T) {
	h := newHost(t)
	h.step(LeasesListed{})
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	h.step(ReplicaListed{Entry: replica("e3", engines)}) // without the adapter
	h.step(VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}})
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.True(h.dispatch().Upstream != "e3")
	h.is.True(h.demanded("e3", 2))
}

// Rule CONFIG: after an outage of the store, a watch that was pending since before
// it was never answered.
func TestDocumentsAreRereadAfterAStoreOutage(t *testing.T) {
	h := newHost(t)
	h.step(StoreAnswered{})
	before := h.m.ReadPlan().Reread
	h.step(StoreAnswered{})
	h.is.Equal(h.m.ReadPlan().Reread, before)
	h.step(StoreCallFailed{})
	h.is.Equal(h.m.ReadPlan().Reread, before)
	h.step(StoreAnswered{})
	h.is.Equal(h.m.ReadPlan().Reread, before+1)
	h.step(StoreCallFailed{})
	h.step(StoreAnswered{}) // again at once: calls may fail one by one
	h.is.Equal(h.m.ReadPlan().Reread, before+1)
	h.advance(rereadInterval) // the reread that was not allowed before
	h.is.Equal(h.m.ReadPlan().Reread, before+2)
	h.advance(rereadInterval)
	h.is.Equal(h.m.ReadPlan().Reread, before+2)
}

func TestANewerConfigurationElsewhereIsRead(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	before := h.m.ReadPlan().Reread
	for n := range uint64(3) {
		h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: n + 1, Ready: true, ConfigVersion: 2}}}})
		h.advance(newerElsewhereTimeout / 2)
	}
	h.is.Equal(h.m.ReadPlan().Reread, before+1)
}

func TestAWatcherKeepsTheOthersListCurrent(t *testing.T) {
	h := newHost(t)
	h.is.True(h.m.ReadPlan().Watch) // alone: it watches the store itself
	var n uint64
	heartbeat := func(list uint64) {
		n++
		var heartbeats []Heartbeat
		for _, name := range []core.HostID{"b", "c", "d", "e", "f"} {
			heartbeats = append(heartbeats, Heartbeat{Host: name + "/1", Number: n, Ready: true, IsWatcher: true, ListDigest: list})
		}
		h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: heartbeats}})
	}
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1")}})
	}
	digest := h.m.listDigest()
	heartbeat(digest)
	h.is.True(!h.m.isWatcher()) // by its name
	h.is.True(!h.m.ReadPlan().Watch)
	h.step(MessageReceived{From: "b/1", Message: Message{RemovedReplicas: []replicas.Removal{{ID: "s1", Started: 1}}}})
	h.is.True(h.m.replicas.Get("s1") == nil)
	heartbeat(digest) // now the lists differ
	h.advance(listDifferTimeout)
	heartbeat(digest)
	h.is.True(h.m.ReadPlan().Watch)
}

func TestSettingsChangeAtRunTime(t *testing.T) {
	h := newHost(t)
	h.step(SettingsChanged{VersionGrace: time.Minute})
	h.step(VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}})
	h.advance(30 * time.Second)
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.Equal(h.dispatch().ExpectedVersion, 0) // still within the longer grace period
	h.step(SettingsChanged{VersionGrace: time.Second})
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}

// In an outage of the store that outlasts the leases no shard has an owner, so a
// request for an adapter that is loaded nowhere must not wait.
func TestARequestThatNobodyCanLoadForIsRefusedSoon(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "absent"})
	h.advance(noOwnerTimeout)
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.True(r.RetryAfter > 0)

	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(MessageReceived{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "absent"})
	h.advance(noOwnerTimeout) // a demand was sent: it waits
	_, refused := get[Refuse](h)
	h.is.True(!refused)
}

func TestHostIsReadyOnceAllItsInputsAreRead(t *testing.T) {
	h := newHost(t)
	h.is.True(h.m.Ready())
	h.m = New(Settings{Self: fleet.Registration{Name: "a", Host: "a/1"}})
	for _, e := range []Event{ConfigurationRead{Table: testTable()}, ReplicasListed{}, VersionsRead{}} {
		h.is.True(!h.m.Ready())
		h.arrive(RequestArrived{Path: "/read/x"})
		h.is.Equal(h.refusal().Code, core.CodeHostCutOff)
		h.step(e)
	}
	h.is.True(h.m.Ready())
}

// When the whole fleet restarts, each host sends a first request before it has found
// the others, and must not use the retry budget of the whole fleet.
func TestRetryBudgetFollowsTheFleetSize(t *testing.T) {
	h := newHost(t)
	retries := func() int {
		n := 0
		for range 40 {
			if h.m.retryBudget(services).Withdraw(h.m.now) {
				n++
			}
		}
		return n
	}
	h.is.True(retries() >= 1) // alone: a second's worth of the whole slack
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "i"} {
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1")}})
	}
	h.advance(10 * time.Second)
	h.is.True(retries() <= int(DefaultRetrySlack/8)) // an eighth of the fleet's
}
