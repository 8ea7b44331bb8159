package direct

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

func TestAHostWithoutAConfigurationRefusesTruthfully(t *testing.T) {
	h := newHost(t)
	h.m = New(Settings{Self: fleet.Registration{Name: "a"}})
	h.is.True(!h.m.Ready())
	h.arrive(Arrive{Path: "/read/x"})
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeCutOff)
	h.is.Equal(r.Ran, core.RanNo)
}

func TestKeysAndRoutes(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/nowhere"})
	h.is.Equal(h.refusal().Code, core.CodeUnknownRoute)
	h.arrive(Arrive{Path: "/keyed/x"})
	h.is.Equal(h.refusal().Code, core.CodeNoKey)
	h.arrive(Arrive{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("other"))})
	h.is.Equal(h.refusal().Code, core.CodeNoKey)
	h.arrive(Arrive{Path: "/keyed/x", HasKey: true, Key: table.HashKey([]byte("key"))})
	h.is.Equal(h.dispatch().Workspace, core.WorkspaceID("w"))
}

func TestANonIdempotentRequestIsSentAgainOnlyIfItSurelyHasNotRun(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/act/x"})
	first := h.dispatch()
	h.is.True(first.Once)
	h.end(first, EndNotRun)
	second := h.dispatch()
	h.is.True(second.Upstream != first.Upstream)
	h.end(second, EndBroken)
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeUpstreamFailed)
	h.is.Equal(r.Ran, core.RanUnknown)
}

func TestAnIdempotentRequestMovesOffASilentReplica(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/read/x"})
	first := h.dispatch()
	h.after(100 * time.Millisecond)
	c, ok := get[Cancel](h)
	h.is.True(ok)
	h.is.Equal(c.Attempt, first.Attempt)
	h.end(first, EndCancelled)
	h.is.True(h.dispatch().Upstream != first.Upstream)
}

// An answer that begins while its attempt is being cancelled stays where it is; a
// later cut of it is not taken for the move.
func TestAnAnswerThatBeginsIsNotMoved(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/read/x"})
	first := h.dispatch()
	h.after(100 * time.Millisecond)
	c, ok := get[Cancel](h)
	h.is.True(ok)
	h.is.True(c.Unbegun)
	h.step(Begun{ID: first.ID, Attempt: 1, Passed: true})
	h.is.True(!h.m.requests.byID[first.ID].moving)
	h.after(900 * time.Millisecond) // its deadline
	c, ok = get[Cancel](h)
	h.is.True(ok)
	h.is.True(!c.Unbegun)
}

func TestADeadlineIsNoPromise(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/act/x"})
	h.dispatch()
	h.after(time.Second)
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeDeadline)
	h.is.Equal(r.Ran, core.RanUnknown)
}

func TestAStreamGoesOnElsewhereAfterItsLastEvent(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "x"})
	first := h.dispatch()
	h.step(Begun{ID: first.ID, Attempt: 1, Passed: true})
	h.step(Ended{ID: first.ID, Attempt: 1, Kind: EndBroken, LastEvent: "7"})
	second := h.dispatch()
	h.is.Equal(second.LastEvent, "7")
	h.is.True(second.Upstream != first.Upstream)

	h.arrive(Arrive{Path: "/once-stream/x", Model: model, Adapter: "x"})
	other := h.dispatch()
	h.step(Begun{ID: other.ID, Attempt: 1, Passed: true})
	h.step(Ended{ID: other.ID, Attempt: 1, Kind: EndBroken, LastEvent: "7"})
	_, cut := get[Cut](h)
	h.is.True(cut)
}

func TestARequestThatCrashesReplicasIsNotSentToAFourth(t *testing.T) {
	h := newHost(t)
	for range 3 {
		h.arrive(Arrive{Path: "/act/x", Fingerprint: 9})
		d := h.dispatch()
		h.step(Ended{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, Dropped: true})
		h.after(time.Second)
	}
	h.arrive(Arrive{Path: "/act/x", Fingerprint: 9})
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.arrive(Arrive{Path: "/act/x", Fingerprint: 10})
	h.dispatch()
}

// Found by a hunt (VERSION): a host that had just started took a version that
// was named long before for one named a moment ago.
func TestAVersionFoundInAListHasNoGrace(t *testing.T) {
	h := newHost(t)
	h.step(VersionNamed{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}})
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.Equal(h.dispatch().Version, 0) // named a moment ago: the old one may be used yet
	h.step(VersionNamed{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 3}, Listed: true})
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "x"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent) // no replica holds version 3
	newer := replica("e1", engines, core.AdapterRef{ID: "x", Version: 3})
	newer.Sequence = 1
	h.step(ReplicaListed{Entry: newer})
	h.is.Equal(h.dispatch().Version, 3)
}

// Found by a hunt (LOST): streams taken late in a graceful shutdown outlived the
// host.
func TestALeavingHostClosesToStreamsEarlier(t *testing.T) {
	h := newHost(t)
	h.step(Leave{})
	h.is.True(!h.m.Ready())
	stream := Arrive{Path: "/stream/x", Model: model, Adapter: "x"}
	h.arrive(stream)
	d := h.dispatch()
	h.after(DefaultLeaveStreams + time.Millisecond)
	h.arrive(stream)
	h.is.Equal(h.refusal().Code, core.CodeLeaving)
	h.arrive(Arrive{Path: "/read/x"})
	h.end(h.dispatch(), EndOK)
	h.after(DefaultLeaveAfter - DefaultLeaveStreams)
	_, left := get[Left](h)
	h.is.True(!left) // a stream is in flight
	h.end(d, EndOK)
	h.after(time.Millisecond)
	_, left = get[Left](h)
	h.is.True(left)
}

func TestALeavingReplicaIsSentNothing(t *testing.T) {
	h := newHost(t)
	leaving := replica("s1", services)
	leaving.Leaving = true
	h.step(ReplicaListed{Entry: leaving})
	for range 4 {
		h.arrive(Arrive{Path: "/act/x"})
		h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	}
}

func TestWorkGoesWhereThereIsRoomAndNothingFails(t *testing.T) {
	h := newHost(t)
	counts := map[core.UpstreamID]int{}
	for range 6 {
		h.arrive(Arrive{Path: "/act/x"})
		counts[h.dispatch().Upstream]++
	}
	h.is.Equal(counts["s1"], 3)
	h.is.Equal(counts["s2"], 3)
}

func TestAPeersLoadCounts(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(FromPeer{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true, Loads: []Load{{Replica: core.Short("s1"), Running: 5}}}}}})
	for range 4 {
		h.arrive(Arrive{Path: "/act/x"})
		h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	}
	h.after(fleet.HeardFor) // b is silent: its requests are not counted on
	h.arrive(Arrive{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s1"))
}

func TestAnUnlistedReplicaIsNotUsed(t *testing.T) {
	h := newHost(t)
	h.step(ReplicasListed{Entries: []replicas.Entry{replica("s2", services)}})
	h.arrive(Arrive{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	h.arrive(Arrive{Path: "/stream/x", Model: model})
	h.is.Equal(h.refusal().Code, core.CodeNoUpstream)
}

// The pattern of a popular adapter whose version is named anew: the new one is
// loaded at another home while the old one still serves.
func TestANewVersionIsAskedForAtAnotherHomeWhileTheOldOneServes(t *testing.T) {
	h := newHost(t)
	h.step(LeasesListed{})
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(FromPeer{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	h.step(ReplicaListed{Entry: replica("e3", engines)}) // lacks the adapter
	h.step(VersionNamed{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}})
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.True(h.dispatch().Upstream != "e3")
	h.is.True(h.wanted("e3", 2))
}

// Found by a hunt (CONFIG): the store fell silent and came back, and the watch
// that waited since before it was never answered.
func TestEverythingIsReadAgainOnceTheStoreIsBack(t *testing.T) {
	h := newHost(t)
	h.step(StoreReached{})
	before := h.m.Reading().Reread
	h.step(StoreReached{})
	h.is.Equal(h.m.Reading().Reread, before)
	h.step(StoreLost{})
	h.is.Equal(h.m.Reading().Reread, before)
	h.step(StoreReached{})
	h.is.Equal(h.m.Reading().Reread, before+1)
	h.step(StoreLost{})
	h.step(StoreReached{}) // at once again: calls may fail one by one
	h.is.Equal(h.m.Reading().Reread, before+1)
	h.after(readAgain) // but what was lost in between is made up for
	h.is.Equal(h.m.Reading().Reread, before+2)
	h.after(readAgain)
	h.is.Equal(h.m.Reading().Reread, before+2)
}

func TestANewerConfigurationElsewhereIsRead(t *testing.T) {
	h := newHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	before := h.m.Reading().Reread
	for n := range uint64(3) {
		h.step(FromPeer{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: n + 1, Ready: true, Config: 2}}}})
		h.after(olderFor / 2)
	}
	h.is.Equal(h.m.Reading().Reread, before+1)
}

func TestAWatcherKeepsTheOthersListCurrent(t *testing.T) {
	h := newHost(t)
	h.is.True(h.m.Reading().Watch) // alone: it watches itself
	var n uint64
	heartbeat := func(list uint64) {
		n++
		var heartbeats []Heartbeat
		for _, name := range []core.HostID{"b", "c", "d", "e", "f"} {
			heartbeats = append(heartbeats, Heartbeat{Host: name + "/1", Number: n, Ready: true, Watches: true, List: list})
		}
		h.step(FromPeer{From: "b/1", Message: Message{Heartbeats: heartbeats}})
	}
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1")}})
	}
	digest := h.m.listDigest()
	heartbeat(digest)
	h.is.True(!h.m.watching()) // by its name
	h.is.True(!h.m.Reading().Watch)
	h.step(FromPeer{From: "b/1", Message: Message{Gone: []core.UpstreamID{"s1"}}})
	h.is.True(h.m.replicas.Get("s1") == nil)
	heartbeat(digest) // now the lists differ
	h.after(differFor)
	heartbeat(digest)
	h.is.True(h.m.Reading().Watch)
}

func TestSettingsChangeUnderWay(t *testing.T) {
	h := newHost(t)
	h.step(Tuned{VersionGrace: time.Minute})
	h.step(VersionNamed{Model: model, Adapter: core.AdapterRef{ID: "x", Version: 2}})
	h.after(30 * time.Second)
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.Equal(h.dispatch().Version, 0) // still within the longer grace
	h.step(Tuned{VersionGrace: time.Second})
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "x"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}

// The pattern of an outage of the store that outlasts the leases: nobody may
// order, so a request for an adapter that no replica holds is not kept waiting.
func TestARequestThatNobodyCanLoadForIsRefusedSoon(t *testing.T) {
	h := newHost(t)
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "absent"})
	h.after(unaskedFor)
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.True(r.RetryAfter > 0)

	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.step(FromPeer{From: "b/1", Message: Message{Heartbeats: []Heartbeat{{Host: "b/1", Number: 1, Ready: true}}}})
	h.lease("b")
	h.arrive(Arrive{Path: "/stream/x", Model: model, Adapter: "absent"})
	h.after(unaskedFor) // somebody was asked: it waits
	_, refused := get[Refuse](h)
	h.is.True(!refused)
}

func TestAHostIsReadyOnceItHasReadAllThatItDecidesBy(t *testing.T) {
	h := newHost(t)
	h.is.True(h.m.Ready())
	h.m = New(Settings{Self: fleet.Registration{Name: "a", Host: "a/1"}})
	for _, e := range []Event{Configured{Table: testTable()}, ReplicasListed{}, VersionsRead{}} {
		h.is.True(!h.m.Ready())
		h.arrive(Arrive{Path: "/read/x"})
		h.is.Equal(h.refusal().Code, core.CodeCutOff)
		h.step(e)
	}
	h.is.True(h.m.Ready())
}

// The pattern of a fleet that restarts at once: each host sends a first request
// before it knows the others, and must not keep the retries of all for itself.
func TestTheRetryBudgetFollowsTheFleet(t *testing.T) {
	h := newHost(t)
	retries := func() int {
		n := 0
		for range 40 {
			if h.m.budget(services).Retry(h.m.now) {
				n++
			}
		}
		return n
	}
	h.is.True(retries() >= 1) // alone: a second's worth of the whole slack
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "i"} {
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1")}})
	}
	h.after(10 * time.Second)
	h.is.True(retries() <= int(DefaultRetrySlack/8)) // an eighth of the fleet's
}
