package relaynode

import (
	"fmt"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/reach"
	"gentiancroft/internal/core/replicas"
)

// newPathHost returns a host of a fleet in which b and c are reachable too.
func newPathHost(t *testing.T) *host {
	h := newHost(t)
	for _, name := range []string{"b", "c"} {
		h.step(HostListed{Host: fleet.Registration{Name: name, Host: core.HostID(name + "/1"), Link: name + ":1", Domain: "a"}})
	}
	h.reportPaths("b", nil)
	h.reportPaths("c", nil)
	return h
}

// reportPaths receives a heartbeat of another host, with a report on its paths or without.
func (h *host) reportPaths(name string, paths *reach.Report) {
	h.n++
	from := core.HostID(name + "/1")
	h.step(MessageReceived{From: from, Message: Message{Heartbeats: []Heartbeat{{Host: from, Number: uint64(h.n), Ready: true, Paths: paths}}}})
}

// unreachable ends an attempt for which no connection could be opened.
func (h *host) unreachable(d Dispatch) {
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndNotReached})
}

// cutOff lets the host find out that it reaches no replica.
func (h *host) cutOff() {
	h.arrive(RequestArrived{Path: "/act/x"})
	h.now += 300 * time.Millisecond
	h.unreachable(h.dispatch())
	h.now += 300 * time.Millisecond
	h.unreachable(h.dispatch())
}

// Guards against issue 36: after each attempt that reached nothing, the next one went to another
// replica by the same blocked way.
func TestRequestGoesOverAnotherHostWhereNoReplicaIsReached(t *testing.T) {
	h := newPathHost(t)
	h.cutOff()
	d := h.dispatch()
	h.is.True(d.Carrier.Host == "b/1" || d.Carrier.Host == "c/1")
	h.is.Equal(d.TimeLeft, 400*time.Millisecond) // the time that is left, not the whole
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.True(h.dispatch().Carrier != core.Carrier{}) // an engine that was never tried
}

func TestReplicaThatIsReachedIsPreferredToACarriedOne(t *testing.T) {
	h := newPathHost(t)
	h.arrive(RequestArrived{Path: "/act/x"})
	first := h.dispatch()
	h.now += 300 * time.Millisecond
	h.unreachable(first)
	second := h.dispatch()
	h.is.Equal(second.Upstream, other(first.Upstream, "s1", "s2"))
	h.is.Equal(second.Carrier, core.Carrier{})
}

func TestCarrierThatDoesNotReachTheReplicaIsNotChosenAgain(t *testing.T) {
	h := newPathHost(t)
	h.cutOff()
	first := h.dispatch()
	h.unreachable(first)
	second := h.dispatch()
	h.is.True(second.Carrier.Host != first.Carrier.Host || second.Upstream != first.Upstream)
	h.step(AttemptEnded{ID: second.ID, Attempt: second.Attempt, Kind: EndNotReached, CarrierLost: true})
	third := h.dispatch()
	h.is.True(third.Carrier.Host != second.Carrier.Host) // nothing is reached over it
}

func TestHostThatReportsThatItReachesNoReplicaCarriesNothing(t *testing.T) {
	h := newPathHost(t)
	h.reportPaths("b", &reach.Report{CutOff: true})
	h.cutOff()
	for range 5 {
		h.arrive(RequestArrived{Path: "/act/x"})
		h.is.Equal(h.dispatch().Carrier.Host, core.HostID("c/1"))
	}
}

func TestRequestIsRefusedAtOnceWhereNoHostReachesItsService(t *testing.T) {
	h := newPathHost(t)
	h.reportPaths("b", &reach.Report{CutOff: true})
	h.reportPaths("c", &reach.Report{CutOff: true})
	h.cutOff()
	for _, a := range []RequestArrived{{Path: "/act/x"}, {Path: "/stream/x", Model: model, Adapter: "x"}, {Path: "/stream/x", Model: model, Adapter: "new"}} {
		h.arrive(a)
		r := h.refusal()
		h.is.Equal(r.Ran, core.RanNo)
		h.is.Equal(r.RetryAfter, retryAfterUnreached)
	}
}

// A failure of the path is no failure of the replica.
func TestUnreachedReplicaIsNotChargedAndNotTakenForEnded(t *testing.T) {
	h := newPathHost(t)
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndNotReached, Refused: true})
	h.is.Equal(h.m.failureScore(d.Upstream), 0.0)
	h.is.True(!h.m.replicas.Get(d.Upstream).Down(core.Instant(h.now)))
	h.step(AttemptEnded{ID: d.ID, Attempt: 2, Kind: EndOK, Answer: AnswerEvidence{Status: 200}})
	h.cutOffAll()
	carried := h.dispatch()
	h.step(AttemptEnded{ID: carried.ID, Attempt: carried.Attempt, Kind: EndNotReached, Refused: true}) // as seen by a second host
	h.is.True(h.m.replicas.Get(carried.Upstream).Down(core.Instant(h.now)))
}

// cutOffAll is cutOff where one path has been blocked before.
func (h *host) cutOffAll() {
	h.now += time.Second
	for _, id := range []core.UpstreamID{"s1", "s2", "e1"} {
		h.step(PathProbed{Replica: id, Begun: core.Instant(h.now)})
	}
	h.arrive(RequestArrived{Path: "/act/x"})
}

// After the loss of its carrier nobody knows whether a request has run.
func TestRequestWhoseCarrierIsLostMayHaveRun(t *testing.T) {
	h := newPathHost(t)
	h.cutOff()
	d := h.dispatch()
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken})
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeUpstreamFailed)
	h.is.Equal(r.Ran, core.RanUnknown)
	h.is.Equal(h.m.failureScore(d.Upstream), 0.0)
}

// In the first moments of a cut, requests hang in connections that fell silent.
func TestSilenceOfAllReplicasHasTheirPathsProbed(t *testing.T) {
	h := newPathHost(t)
	for range 4 {
		h.arrive(RequestArrived{Path: "/act/x"})
	}
	probed := map[core.UpstreamID]bool{}
	for range 30 {
		h.advance(20 * time.Millisecond)
		for _, e := range h.out {
			if p, ok := e.(ProbePath); ok {
				probed[p.Replica] = true
			}
		}
	}
	h.is.Equal(len(probed), 2)
	for id := range probed {
		h.step(PathProbed{Replica: id, Begun: core.Instant(h.now)})
	}
	_, cut := h.m.paths.CutOff(core.Instant(h.now))
	h.is.True(cut)
}

func TestIdempotentRequestLeavesABlockedPathAtOnce(t *testing.T) {
	h := newPathHost(t)
	h.step(AttemptEnded{ID: h.arrive(RequestArrived{Path: "/read/x"}), Attempt: 1, Kind: EndOK}) // the retry budget begins
	h.now += 5 * time.Second
	h.reportPaths("b", nil)
	h.reportPaths("c", nil)
	id := h.arrive(RequestArrived{Path: "/read/x"})
	h.dispatch()
	for _, replica := range []core.UpstreamID{"e1", "e2"} {
		h.step(PathProbed{Replica: replica, Begun: core.Instant(h.now)})
	}
	h.advance(20 * time.Millisecond)
	c, ok := get[Cancel](h)
	h.is.True(ok && c.ID == id)
	h.step(AttemptEnded{ID: id, Attempt: c.Attempt, Kind: EndCancelled})
	h.is.True(h.dispatch().Carrier != core.Carrier{})
}

// Guards against issue 36: the owner of three of four shards was cut off for 12 s, and adapters were
// loaded nowhere.
func TestOwnerThatReachesNoReplicaReleasesItsShards(t *testing.T) {
	h := newPathHost(t)
	h.lease("a")
	h.advance(20 * time.Millisecond)
	for _, e := range h.out {
		if w, ok := e.(WriteObject); ok {
			h.step(WriteDone{Result: core.ObjectResult{Tag: w.Call.Tag, Status: core.ObjectOK, Object: core.Object{Key: w.Call.Key, Version: 2}}})
		}
	}
	h.is.True(h.m.shards.OwnsAny(core.Instant(h.now)))
	h.cutOff()
	h.reportPaths("b", nil)
	h.reportPaths("c", nil)
	h.advance(shardReleaseDelay)
	h.is.True(!h.m.shards.OwnsAny(core.Instant(h.now)))
	h.advance(20 * time.Millisecond)
	h.step(PathProbed{Replica: "s1", OK: true})
	h.advance(shardReturnDelay - 100*time.Millisecond)
	h.is.True(h.m.paths.releasedAt != 0) // a cut that comes and goes moves no shards back and forth
	h.advance(200 * time.Millisecond)
	h.is.True(h.m.paths.releasedAt == 0)
}

func TestOwnerKeepsItsShardsWhereNoOtherHostReachesMore(t *testing.T) {
	h := newPathHost(t)
	h.reportPaths("b", &reach.Report{CutOff: true})
	h.reportPaths("c", &reach.Report{CutOff: true})
	h.cutOff()
	h.reportPaths("b", &reach.Report{CutOff: true})
	h.reportPaths("c", &reach.Report{CutOff: true})
	h.advance(shardReleaseDelay)
	h.is.Equal(h.m.paths.releasedAt, core.Instant(0))
}

func TestAdapterIsNotDemandedOfAnOwnerThatDoesNotReachTheReplica(t *testing.T) {
	h := newPathHost(t)
	h.lease("b")
	h.reportPaths("b", &reach.Report{Unreached: []uint32{core.ShortHash("e1")}})
	r := &request{arrival: RequestArrived{Model: model, Adapter: "y"}, service: testTable().Services[engines]}
	preferred := h.m.preferredReplicas(r)
	h.is.Equal(len(preferred), 1)
	h.is.Equal(preferred[0].ID, core.UpstreamID("e2"))
}

func TestHostCarriesOnlyToReplicasThatItKnowsAndReaches(t *testing.T) {
	h := newPathHost(t)
	h.is.True(h.m.MayCarry("s1", "s1"))
	h.is.True(!h.m.MayCarry("s1", "elsewhere")) // not a way to any address
	h.is.True(!h.m.MayCarry("unknown", "s1"))
	h.step(PathProbed{Replica: "s1", Begun: core.Instant(h.now)})
	h.is.True(!h.m.MayCarry("s1", "s1"))
	h.is.True(h.m.MayCarry("s2", "s2"))
	h.step(Leave{})
	h.is.True(!h.m.MayCarry("s2", "s2"))
}

// A replica asks the host for a pause that it sees, which is the one that carries.
func TestPauseIsForTheHostThatCarriesAsWell(t *testing.T) {
	h := newPathHost(t)
	h.cutOff()
	d := h.dispatch()
	h.step(ReplicaNoticed{ID: d.ID, Attempt: d.Attempt, Notice: replicas.Notice{Pause: time.Minute}})
	sent, ok := get[SendToPeers](h)
	h.is.True(ok)
	h.is.Equal(sent.To[0].Host, d.Carrier.Host)

	carrier := newPathHost(t)
	carrier.step(MessageReceived{From: "b/1", Message: sent.Message})
	h.is.True(!carrier.m.MayCarry(d.Upstream, string(d.Upstream)))
	carrier.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(carrier.dispatch().Upstream, other(d.Upstream, "s1", "s2"))
}

func TestLeavingReplicaIsReachedOverNoOtherHost(t *testing.T) {
	h := newPathHost(t)
	h.m.replicas.MarkLeaving("s1", 1)
	h.is.True(!h.m.MayCarry("s1", "s1"))
}

func TestLeavingHostWaitsForTheConnectionsThatItCarries(t *testing.T) {
	h := newPathHost(t)
	h.step(CarryDialled{For: "b/1", Replica: "s1", OK: true})
	h.step(Leave{})
	h.advance(DefaultRequestRefusalDelay + 100*time.Millisecond)
	_, left := get[LeaveCompleted](h)
	h.is.True(!left)
	h.step(CarryEnded{})
	h.advance(20 * time.Millisecond)
	_, left = get[LeaveCompleted](h)
	h.is.True(left)
}

// At 350 hosts, a host that is cut off from all of 670 replicas adds little to its heartbeats.
func TestReportsOnPathsStaySmall(t *testing.T) {
	h := newPathHost(t)
	for i := range 670 {
		h.step(PathProbed{Replica: core.UpstreamID(fmt.Sprintf("r%d", i)), Begun: core.Instant(h.now)})
	}
	r := h.m.paths.Report(core.Instant(h.now))
	h.is.Equal(r, &reach.Report{CutOff: true})
}
