package relaynode

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/evacuation"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// evacuationBound is the setting that these tests use.
const evacuationBound = 5 * time.Second

// newZonedHost returns a host that observes evacuations, with one replica of each service in domain a
// and one in domain b. The engines have adapter x loaded.
func newZonedHost(t *testing.T) *host {
	h := newHost(t)
	h.m.settings.Evacuation = evacuationBound
	h.zoneReplicas()
	h.advance(time.Second)
	return h
}

func (h *host) zoneReplicas() {
	x := core.AdapterRef{ID: "x", Version: 1}
	entries := []replicas.Entry{replica("e1", engines, x), replica("e2", engines, x), replica("s1", services), replica("s2", services)}
	entries[1].Domain, entries[3].Domain = "b", "b"
	h.step(ReplicasListed{Entries: entries})
}

// read reads the evacuated domains from the store.
func (h *host) read(era, revision uint64, domains ...core.Domain) {
	h.step(EvacuationsListed{At: core.Revision{Era: era, Version: revision}, Domains: domains})
}

// told receives a state of another host's.
func (h *host) told(from string, s evacuation.State) {
	h.step(MessageReceived{From: core.HostID(from + "/1"), Message: Message{Evacuations: &s}})
}

// logged returns how often a line about evacuations was logged in the last step.
func (h *host) logged(reason string) int {
	n := 0
	for _, e := range h.out {
		if l, ok := e.(LogDecision); ok && l.Name == "evacuation" && l.Reason == reason {
			n++
		}
	}
	return n
}

// used returns the replicas that a few requests are sent to which run at once, and completes them.
func (h *host) used(a RequestArrived) map[core.UpstreamID]bool {
	h.is.Helper()
	all := map[core.UpstreamID]bool{}
	var sent []Dispatch
	for range 5 {
		h.arrive(a)
		sent = append(sent, h.dispatch())
		all[sent[len(sent)-1].Upstream] = true
	}
	for _, d := range sent {
		h.endAttempt(d, EndOK)
	}
	return all
}

var (
	stream = RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"}
	act    = RequestArrived{Path: "/act/x"}
)

func hasEvacuations(m Message) bool { return m.Evacuations != nil }

func TestReplicasOfAnEvacuatedDomainGetNothingUntilItIsTakenBack(t *testing.T) {
	h := newZonedHost(t)
	h.is.Equal(len(h.used(act)), 2)
	h.read(1, 5, "b")
	h.is.Equal(h.logged("begun"), 1)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
	h.is.Equal(h.used(stream), map[core.UpstreamID]bool{"e1": true})
	h.is.Equal(*h.m.State().Evacuation, EvacuationState{Domains: 1})
	h.step(EvacuationsChanged{At: core.Revision{Era: 1, Version: 8}, Changes: []evacuation.ObjectChange{{Domain: "b", Removed: true}}})
	h.is.Equal(h.logged("ended"), 1)
	h.is.Equal(len(h.used(act)), 2)
	h.is.Equal(len(h.used(stream)), 2)
}

// Without the setting a host does as before, whatever other hosts send.
func TestEvacuationsAreIgnoredWithoutTheSetting(t *testing.T) {
	h := newHost(t)
	h.zoneReplicas()
	h.step(StoreAnswered{})
	h.told("b", evacuation.State{Era: 1, Revision: 5, Domains: []core.Domain{"b"}})
	h.read(1, 5, "b")
	h.is.Equal(len(h.used(act)), 2)
	h.is.True(!h.m.ReadPlan().Evacuations && !h.m.ReadsEvacuations())
	h.is.Equal(h.m.ownHeartbeat().Evacuations, nil)
	h.is.Equal(h.m.State().Evacuation, nil)
}

func TestRetriesAndResumptionsAvoidEvacuatedReplicas(t *testing.T) {
	h := newZonedHost(t)
	h.used(stream) // the retry budget begins
	h.now += 5 * time.Second
	resumed := 0
	for i := range 20 {
		h.read(1, uint64(h.now))
		h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Fingerprint: uint64(i + 1)})
		d := h.dispatch()
		h.read(1, uint64(h.now)+1, h.m.replicas.Get(d.Upstream).Domain)
		_, cancelled := get[Cancel](h)
		h.is.True(!cancelled) // what runs in the domain ends undisturbed
		h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, LastEvent: "7"})
		if again, ok := get[Dispatch](h); ok {
			h.is.Equal(again.Upstream, other(d.Upstream, "e1", "e2"))
			h.endAttempt(again, EndOK)
			resumed++
		}
		h.now += 5 * time.Second
	}
	h.is.True(resumed > 0)
}

// The first attempt fails in the evacuated domain: the next one goes to the replica that is left.
func TestARequestThatHasNotRunLeavesTheEvacuatedDomain(t *testing.T) {
	h := newZonedHost(t)
	for range 20 {
		h.read(1, uint64(h.now))
		h.arrive(act)
		d := h.dispatch()
		h.read(1, uint64(h.now)+1, h.m.replicas.Get(d.Upstream).Domain)
		h.endAttempt(d, EndNotRun)
		again := h.dispatch()
		h.is.Equal(again.Upstream, other(d.Upstream, "s1", "s2"))
		h.endAttempt(again, EndOK)
		h.now += time.Second
	}
}

// Guards against requests that wait until their deadline for a service that the operator has taken
// away.
func TestRequestsAreRefusedAtOnceWhereAllReplicasAreEvacuated(t *testing.T) {
	h := newZonedHost(t)
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "y"}) // waits for its adapter
	h.lease("b")
	h.read(1, 5, "a", "b")
	h.advance(20 * time.Millisecond)
	h.is.Equal(h.refusal().RetryAfter, retryAfterEvacuated)
	for _, a := range []RequestArrived{act, stream, {Path: "/stream/x", Model: model, Adapter: "new"}} {
		h.arrive(a)
		r := h.refusal()
		h.is.Equal(r.Ran, core.RanNo)
		h.is.Equal(r.RetryAfter, retryAfterEvacuated)
	}
	h.read(1, 6, "a")
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s2": true})
}

// The replicas that are left are not all usable: the evacuated ones don't count as usable either.
func TestEvacuatedReplicasDoNotHideThatTheOthersArePausedOrUnreached(t *testing.T) {
	h := newZonedHost(t)
	h.read(1, 5, "b")
	h.arrive(act)
	d := h.dispatch()
	h.step(ReplicaNoticed{ID: d.ID, Attempt: d.Attempt, Notice: replicas.Notice{Pause: 700 * time.Millisecond}})
	h.endAttempt(d, EndNotRun)
	h.is.Equal(h.refusal().RetryAfter, 700*time.Millisecond)
	h.step(PathProbed{Replica: "e1", Begun: core.Instant(h.now)})
	h.step(PathProbed{Replica: "e1", Begun: core.Instant(h.now)})
	h.arrive(stream)
	h.is.Equal(h.refusal().Code, core.CodeNoUpstream)
}

// All replicas are evacuated, and no host reaches them.
func TestUnreachedReplicasThatAreEvacuatedAreRefusedAtOnce(t *testing.T) {
	h := newZonedHost(t)
	h.read(1, 5, "a", "b")
	for _, id := range []core.UpstreamID{"e1", "e2", "s1", "s2"} {
		h.step(PathProbed{Replica: id, Begun: core.Instant(h.now)})
	}
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "new"})
	h.is.Equal(h.refusal().Ran, core.RanNo)
}

// A request waits for an adapter that is loaded in the evacuated domain only.
func TestWaitingRequestsAreSentWhenTheDomainIsTakenBack(t *testing.T) {
	h := newZonedHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.reportPaths("b", nil)
	h.lease("b")
	y := replica("e2", engines, core.AdapterRef{ID: "y", Version: 1})
	y.Domain, y.Sequence = "b", 1
	h.step(ReplicaListed{Entry: y})
	h.read(1, 5, "b")
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "y"})
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	h.read(1, 6)
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e2"))
}

// A new software version gets streams once no settled replica is left to take them.
func TestAnEvacuatedReplicaDoesNotKeepStreamsFromANewVersion(t *testing.T) {
	h := newZonedHost(t)
	h.advance(time.Minute)
	joined := replica("e3", engines, core.AdapterRef{ID: "x", Version: 1})
	joined.Software = "v2"
	h.step(ReplicaListed{Entry: joined})
	h.read(1, 5, "b")
	for _, id := range []core.UpstreamID{"e1"} {
		h.step(ReplicaUnlisted{ID: id})
	}
	h.advance(10 * time.Second) // the removal is carried out
	joined.Started, joined.Software, joined.Sequence = 2, "v3", 1
	h.step(ReplicaListed{Entry: joined})
	h.arrive(stream)
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e3"))
}

// A request over another host is decided here: an evacuated replica is not chosen by any way.
func TestCarriedRequestsAvoidEvacuatedReplicas(t *testing.T) {
	h := newPathHost(t)
	h.m.settings.Evacuation = evacuationBound
	h.zoneReplicas()
	h.read(1, 5, "b")
	h.arrive(act)
	h.now += 300 * time.Millisecond
	h.unreachable(h.dispatch())
	h.step(PathProbed{Replica: "e1", Begun: core.Instant(h.now)})
	h.step(PathProbed{Replica: "e2", Begun: core.Instant(h.now)})
	for range 10 {
		h.arrive(act)
		d := h.dispatch()
		h.is.Equal(d.Upstream, core.UpstreamID("s1"))
		h.is.True(d.Carrier != core.Carrier{})
		h.endAttempt(d, EndOK)
	}
}

func TestTheOwnerOfAnEvacuatedReplicaOrdersNoLoads(t *testing.T) {
	h := newZonedHost(t)
	h.lease("a")
	h.advance(20 * time.Millisecond)
	h.acceptWrites()
	h.read(1, 5, "b")
	for id, evacuated := range map[core.UpstreamID]bool{"e1": false, "e2": true} {
		_, owns := h.m.orderFence(id)
		h.is.True(owns)
		_, orders := h.m.orderFenceUnlessPaused(id)
		h.is.Equal(orders, !evacuated)
	}
	r := &request{arrival: RequestArrived{Model: model, Adapter: "y"}, service: testTable().Services[engines]}
	preferred := h.m.preferredReplicas(r)
	h.is.Equal(len(preferred), 1)
	h.is.Equal(preferred[0].ID, core.UpstreamID("e1"))
}

// Today's bound holds: the replicas that are left are not filled beyond it.
func TestTheReplicasThatAreLeftAreNotOverfilled(t *testing.T) {
	h := newZonedHost(t)
	h.read(1, 5, "b")
	sent, refused := 0, 0
	for range 30 {
		h.arrive(stream)
		if d, ok := get[Dispatch](h); ok {
			h.is.Equal(d.Upstream, core.UpstreamID("e1"))
			sent++
			continue
		}
		h.is.Equal(h.refusal().Code, core.CodeOverloaded)
		refused++
	}
	const batch = 4
	h.is.True(float64(sent-1)/batch < saturationThreshold)
	h.is.True(refused > 0)
}

// Two zones in a row, and one of them taken back at once.
func TestTwoDomainsInARowAndOneTakenBackAtOnce(t *testing.T) {
	h := newZonedHost(t)
	at := func(revision uint64) core.Revision { return core.Revision{Era: 1, Version: revision} }
	h.read(1, 1)
	h.step(EvacuationsChanged{At: at(2), Changes: []evacuation.ObjectChange{{Domain: "a"}}})
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s2": true})
	h.step(EvacuationsChanged{At: at(5), Changes: []evacuation.ObjectChange{{Domain: "b"}, {Domain: "b", Removed: true}}})
	h.is.Equal(h.logged("begun")+h.logged("ended"), 0)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s2": true})
	h.step(EvacuationsChanged{At: at(7), Changes: []evacuation.ObjectChange{{Domain: "b"}, {Domain: "a", Removed: true}}})
	h.is.Equal(h.logged("begun"), 1)
	h.is.Equal(h.logged("ended"), 1)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
}

// An object of no known zone changes nothing, and is logged once, until a replica is in the zone.
func TestADomainThatNothingIsInIsLoggedOnce(t *testing.T) {
	h := newZonedHost(t)
	h.read(1, 5, "elsewhere")
	h.is.Equal(h.logged("unknown_domain"), 1)
	h.is.Equal(h.m.State().Evacuation.Domains, 0)
	for revision := range 10 {
		h.read(1, uint64(6+revision), "elsewhere")
		h.is.Equal(h.logged("unknown_domain")+h.logged("begun"), 0)
		h.advance(500 * time.Millisecond)
		h.is.Equal(h.logged("unknown_domain")+h.logged("begun"), 0)
	}
	h.is.Equal(len(h.used(act)), 2)
	moved := replica("s3", services)
	moved.Domain = "elsewhere"
	h.step(ReplicaListed{Entry: moved})
	h.is.Equal(len(h.used(act)), 2) // the new one gets nothing
	h.advance(unknownDomainInterval)
	h.is.Equal(h.logged("begun"), 1)
	h.read(1, 20)
	h.is.Equal(h.logged("ended"), 1)
	h.is.Equal(len(h.used(act)), 3)
}

// A registered host makes a domain known, too.
func TestADomainWithAHostIsKnown(t *testing.T) {
	h := newZonedHost(t)
	h.step(HostListed{Host: fleet.Registration{Name: "h2", Host: "h2/1", Domain: "hosts-only"}})
	h.read(1, 5, "hosts-only")
	h.is.Equal(h.logged("begun"), 1)
}

// The store comes back from an older copy, which lacks the evacuation, and the operator writes it
// again.
func TestAnEvacuationOutlivesAStoreFromAnOlderCopy(t *testing.T) {
	h := newZonedHost(t)
	h.read(1, 50, "b")
	h.step(StoreAnswered{Era: 1})
	h.step(StoreAnswered{Era: 2})
	h.read(2, 10)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
	h.now += evacuation.RestoreHoldTime / 2
	h.step(EvacuationsChanged{At: core.Revision{Era: 2, Version: 12}, Changes: []evacuation.ObjectChange{{Domain: "b"}}})
	h.advance(evacuation.RestoreHoldTime)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
	h.read(3, 5) // another copy; the operator writes nothing
	h.advance(evacuation.RestoreHoldTime - time.Millisecond)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
	h.advance(time.Millisecond)
	h.is.Equal(h.logged("ended"), 1)
	h.is.Equal(len(h.used(act)), 2)
}

// newZonedHostInLargeFleet is newHostInLargeFleet with the setting.
func newZonedHostInLargeFleet(t *testing.T, name string) *host {
	h := newHostInLargeFleet(t, name)
	h.m.settings.Evacuation = evacuationBound
	h.advanceFleet(time.Second)
	return h
}

// The hosts that watch the store send a change to all at once, standby hosts too.
func TestWatchersSendEachChangeToAllHosts(t *testing.T) {
	watch, other := watchersOf(t)
	for _, name := range append(watch, other) {
		h := newZonedHostInLargeFleet(t, name)
		h.step(StoreAnswered{Era: 1})
		h.read(1, 5, "a")
		h.is.Equal(len(h.recipients(hasEvacuations)), 0) // the others have read it as well
		h.step(EvacuationsChanged{At: core.Revision{Era: 1, Version: 7}, Changes: []evacuation.ObjectChange{{Domain: "b"}}})
		want := 25
		if name == other {
			want = 0
		}
		h.is.Equal(len(h.recipients(hasEvacuations)), want)
		h.step(EvacuationsChanged{At: core.Revision{Era: 1, Version: 9}})
		h.is.Equal(len(h.recipients(hasEvacuations)), 0)
	}
}

func heartbeatHasEvacuations(m Message) bool {
	for _, b := range m.Heartbeats {
		if b.Evacuations != nil {
			return true
		}
	}
	return false
}

// Messages may be lost: the heartbeats of watchers carry the whole state, and so do relays to standby
// hosts.
func TestHeartbeatsOfWatchersAndTheirRelaysCarryTheState(t *testing.T) {
	watch, other := watchersOf(t)
	h := newZonedHostInLargeFleet(t, watch[0])
	h.step(StoreAnswered{})
	h.read(1, 5, "b")
	h.is.Equal(*h.m.ownHeartbeat().Evacuations, evacuation.State{Era: 1, Revision: 5, Domains: []core.Domain{"b"}})

	relays := newZonedHostInLargeFleet(t, other)
	relays.step(StoreAnswered{})
	relays.read(1, 5, "b")
	relays.is.Equal(relays.m.ownHeartbeat().Evacuations, nil) // it doesn't watch
	relays.deliverHeartbeat("w1", Heartbeat{Number: uint64(relays.now) + 1})
	state := evacuation.State{Era: 1, Revision: 9, Domains: []core.Domain{"b"}}
	relays.deliverHeartbeat(watch[0], Heartbeat{Number: uint64(relays.now) + 1, IsWatcher: true, Evacuations: &state})
	toStandby := false
	for range 10 {
		relays.deliverHeartbeat("w1", Heartbeat{Number: uint64(relays.now) + 2})
		relays.advance(100 * time.Millisecond)
		toStandby = toStandby || relays.recipients(heartbeatHasEvacuations)["w1"]
	}
	relays.is.True(toStandby)
}

// Guards against a host that trusts a watcher which no longer reads the evacuations, or which has
// just been suspended.
func TestAWatcherWithoutCurrentEvacuationsSendsNone(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newZonedHostInLargeFleet(t, watch[0])
	h.step(StoreAnswered{})
	h.is.Equal(h.m.ownHeartbeat().Evacuations, nil) // never read
	h.read(1, 5)
	h.is.True(h.m.ownHeartbeat().Evacuations != nil)
	h.step(StoreCallFailed{})
	h.is.Equal(h.m.ownHeartbeat().Evacuations, nil)
	h.step(StoreAnswered{})
	h.read(1, 6)
	h.is.True(h.m.ownHeartbeat().Evacuations != nil)
	sent := core.Instant(h.now)
	h.advance(2 * stallTimeout)
	h.step(StoreAnswered{})
	h.step(EvacuationsChanged{At: core.Revision{Era: 1, Version: 8}, Sent: sent}) // it waited while the process stood still
	h.is.Equal(h.m.ownHeartbeat().Evacuations, nil)
	h.read(1, 9)
	h.is.True(h.m.ownHeartbeat().Evacuations != nil)
	for range int(evacuationReadTTL / (100 * time.Millisecond)) {
		h.advanceFleet(100 * time.Millisecond)
		h.step(StoreAnswered{}) // by calls for other kinds
	}
	h.is.Equal(h.m.ownHeartbeat().Evacuations, nil)
}

// watchersSend delivers heartbeats of all watchers for a time, with evacuations or without, and
// returns whether the host was to read these itself in the end.
func (h *host) watchersSend(watch []string, d time.Duration, state *evacuation.State) bool {
	for end := h.now + d; h.now < end; {
		h.advanceFleet(100 * time.Millisecond)
		for _, w := range watch {
			h.deliverHeartbeat(w, Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true, ListDigest: h.m.listDigest(), Evacuations: state})
		}
	}
	return h.m.ReadPlan().Evacuations
}

// The watchers are of the former build: they say that they watch, and send no evacuations.
func TestAHostReadsItselfBesideWatchersOfTheFormerBuild(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newZonedHostInLargeFleet(t, "w0")
	state := &evacuation.State{Era: 1, Revision: 5}
	h.is.True(!h.watchersSend(watch, 3*time.Second, state))
	h.is.True(!h.watchersSend(watch, evacuationStateTimeout-200*time.Millisecond, nil))
	h.is.True(h.watchersSend(watch, 300*time.Millisecond, nil))
	h.is.True(!h.m.ReadPlan().Watch) // what they do send is relied on
	watcher := newZonedHostInLargeFleet(t, watch[0])
	h.is.True(watcher.watchersSend(watch[1:], time.Second, state)) // it is one of those that the others rely on
	h.is.True(!h.watchersSend(watch[:1], 100*time.Millisecond, state))
	h.advance(evacuationStateTimeout) // none is heard
	h.is.True(h.m.ReadPlan().Evacuations)
}

// A host was suspended while the operator evacuated the zone: the next heartbeat brings it up to
// date, and it lists everything again.
func TestASuspendedHostLearnsOfTheEvacuation(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newZonedHostInLargeFleet(t, "w0")
	h.zoneReplicas()
	h.watchersSend(watch, time.Second, &evacuation.State{Era: 1, Revision: 5})
	relist := h.m.ReadPlan().Relist
	h.advance(20 * time.Second)
	h.is.True(h.m.ReadPlan().Relist > relist)
	h.is.True(h.m.ReadPlan().Evacuations) // until a watcher is heard
	h.deliverHeartbeat(watch[0], Heartbeat{Number: uint64(h.now) + 1, IsWatcher: true, Evacuations: &evacuation.State{Era: 1, Revision: 9, Domains: []core.Domain{"b"}}})
	h.is.Equal(h.logged("begun"), 1)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
	h.told(watch[1], evacuation.State{Era: 1, Revision: 5}) // sent before the suspension
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
}

// The store goes away right after it has acknowledged the evacuation: a host keeps what it knows, and
// learns of it from whoever reads it first.
func TestEvacuationsStayAsLastKnownWhileTheStoreIsAway(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newZonedHostInLargeFleet(t, watch[0])
	h.zoneReplicas()
	h.step(StoreAnswered{})
	h.read(1, 5, "b")
	h.step(StoreCallFailed{})
	h.advanceFleet(20 * time.Second)
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})
	h.told("w7", evacuation.State{Era: 1, Revision: 9, Domains: []core.Domain{"a"}})
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s2": true})
}

// All hosts restart while a zone is evacuated: none serves before it has read that.
func TestAStartingHostIsNotReadyBeforeItsFirstRead(t *testing.T) {
	start := func() *host {
		h := newHost(t)
		h.m = New(Settings{Self: fleet.Registration{Name: "a", Host: "a/2", Domain: "a"}, Evacuation: evacuationBound})
		h.now = 100 * time.Millisecond
		h.step(ConfigurationRead{Table: testTable()})
		h.step(VersionsRead{})
		h.step(LeasesListed{})
		h.zoneReplicas()
		return h
	}
	h := start()
	h.is.True(!h.m.Ready())
	h.arrive(act)
	h.is.Equal(h.refusal().Code, core.CodeHostCutOff)
	h.read(1, 5, "b")
	h.is.True(h.m.Ready())
	h.is.Equal(h.used(act), map[core.UpstreamID]bool{"s1": true})

	h = start()
	h.step(EvacuationsListed{At: core.Revision{Era: 1}}) // the store has no object of the kind
	h.is.True(h.m.Ready())

	h = start() // the reads fail
	h.advance(evacuationStartTimeout - h.now - time.Millisecond)
	h.is.True(!h.m.Ready())
	h.advance(time.Millisecond)
	h.is.True(h.m.Ready())
	h.is.Equal(len(h.used(act)), 2) // it knows nothing, and treats no zone as evacuated
}

// A state of too many domains is not sent: the others read it themselves.
func TestHeartbeatsAreBounded(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newZonedHostInLargeFleet(t, watch[0])
	h.step(StoreAnswered{})
	var many []core.Domain
	for i := range evacuation.MaxSentDomains + 1 {
		many = append(many, core.Domain(fmt.Sprint("d", i)))
	}
	h.read(1, 5, many[1:]...)
	h.is.True(h.m.ownHeartbeat().Evacuations != nil)
	h.read(1, 6, many...)
	h.is.Equal(h.m.ownHeartbeat().Evacuations, nil)
}

// The former build ignores the fields, and this one knows their absence from an empty state.
func TestTheStateOnTheWire(t *testing.T) {
	h := newHost(t)
	for _, s := range []*evacuation.State{nil, {Era: 2, Revision: 7}, {Revision: 7, Domains: []core.Domain{"a", "b"}}} {
		b, err := cbor.Marshal(Message{Evacuations: s, Heartbeats: []Heartbeat{{Host: "h", Evacuations: s}}})
		h.is.NoErr(err)
		var m Message
		h.is.NoErr(cbor.Unmarshal(b, &m))
		h.is.Equal(m.Evacuations, s)
		h.is.Equal(m.Heartbeats[0].Evacuations, s)
		var fields struct {
			Evacuations cbor.RawMessage `cbor:"20,keyasint"`
			Heartbeats  []struct {
				Evacuations cbor.RawMessage `cbor:"21,keyasint"`
			} `cbor:"1,keyasint"`
		}
		h.is.NoErr(cbor.Unmarshal(b, &fields))
		h.is.Equal(fields.Evacuations == nil, s == nil)
		h.is.Equal(fields.Heartbeats[0].Evacuations == nil, s == nil)
	}
}
