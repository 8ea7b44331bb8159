package relaynode

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/promptpart"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
)

const (
	sharedPart = promptpart.ID(0xa)
	badPart    = promptpart.ID(0xbad)
)

// streamWith sends a request for a stream whose prompt has the parts.
func (h *host) streamWith(parts ...promptpart.ID) core.RequestID {
	return h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x", Parts: parts, Fingerprint: uint64(1 + h.n)}) // no two alike
}

// restart lists a new incarnation of a replica that has adapter x loaded.
func (h *host) restart(id core.UpstreamID) {
	e := replica(id, engines, core.AdapterRef{ID: "x", Version: 1})
	e.Started = h.m.replicas.Get(id).Started + 1
	h.step(ReplicaListed{Entry: e})
}

// closeConnection ends an attempt by its replica closing the connection, and returns the check of
// the replica that follows, if any.
func (h *host) closeConnection(d Dispatch) (CheckReplica, bool) {
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, ConnectionClosed: true})
	return get[CheckReplica](h)
}

// crash sends a request with parts, ends its replica, and starts it again.
func (h *host) crash(parts ...promptpart.ID) {
	h.is.Helper()
	h.now += 50 * time.Millisecond
	h.streamWith(parts...)
	d := h.dispatch()
	h.now += 20 * time.Millisecond
	c, ok := h.closeConnection(d)
	h.is.True(ok)
	h.is.True(c.NewConnection)
	h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckEnded})
	h.restart(d.Upstream)
}

// complete sends a request with parts, whose answer comes to its end.
func (h *host) complete(parts ...promptpart.ID) {
	h.is.Helper()
	h.streamWith(parts...)
	h.endAttempt(h.dispatch(), EndOK)
}

// Guards against issue 33, first matter: requests that differ, and share one part of their
// prompts, crashed one replica after the other.
func TestRequestsWithACrashingPartAreRefused(t *testing.T) {
	h := newHost(t)
	h.complete(sharedPart)
	for range 3 {
		h.crash(sharedPart, badPart)
	}
	h.streamWith(sharedPart, badPart)
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.True(r.RetryAfter > 0)
	h.is.True(strings.Contains(r.Message, badPart.String()))
	h.complete(sharedPart)
}

func TestReplicaThatOnlyClosedConnectionsIsNoCrash(t *testing.T) {
	h := newHost(t)
	for range 6 {
		h.now += 50 * time.Millisecond
		h.streamWith(badPart)
		d := h.dispatch()
		h.now += 20 * time.Millisecond
		c, ok := h.closeConnection(d)
		h.is.True(ok)
		h.now += time.Millisecond
		h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckAlive})
	}
	h.is.True(!h.m.parts.tracker.Suspected(badPart))
}

// A part crashes a replica when an answer on it begins, not in the middle of one.
func TestAnswerThatWasLongUnderWayIsNoCause(t *testing.T) {
	h := newHost(t)
	h.streamWith(sharedPart)
	long := h.dispatch()
	h.step(AnswerStarted{ID: long.ID, Attempt: 1, PartDelivered: true})
	h.now += maxCrashDelay
	h.step(ReplicaUnlisted{ID: other(long.Upstream, "e1", "e2")})
	h.streamWith(badPart)
	short := h.dispatch()
	h.now += 20 * time.Millisecond
	h.closeConnection(long)
	h.closeConnection(short)
	h.step(ReplicaChecked{Replica: long.Upstream, Started: 1, Result: CheckEnded})
	h.is.Equal(h.m.parts.tracker.Rounds(sharedPart), 0)
	h.is.Equal(h.m.parts.tracker.Rounds(badPart), 1)
}

func TestReplicaThatWasToEndIsNoCrash(t *testing.T) {
	h := newHost(t)
	h.streamWith(badPart)
	d := h.dispatch()
	leaving := replica(d.Upstream, engines, core.AdapterRef{ID: "x", Version: 1})
	leaving.Leaving = true
	h.step(ReplicaListed{Entry: leaving})
	_, checked := h.closeConnection(d)
	h.is.True(!checked)
	h.step(ReplicaUnlisted{ID: d.Upstream})
	h.is.True(!h.m.parts.tracker.Suspected(badPart))
}

// Guards against a check that a replica gets while it wants nothing (soak, seed 625).
func TestReplicaThatWantsNothingIsNotChecked(t *testing.T) {
	h := newHost(t)
	h.streamWith(badPart)
	d := h.dispatch()
	c, _ := h.closeConnection(d)
	h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckUnknown, Notice: replicas.Notice{Pause: time.Minute}})
	for range 10 {
		h.advance(checkInterval)
		_, checked := get[CheckReplica](h)
		h.is.True(!checked)
	}
}

func TestReplicaThatAnswersNoCheckIsCheckedRarely(t *testing.T) {
	h := newHost(t)
	h.crash(badPart)
	h.now += 50 * time.Millisecond
	h.streamWith(badPart)
	d := h.dispatch()
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndOK, Answer: AnswerEvidence{EndUnmarked: true}})
	c, checked := get[CheckReplica](h)
	checks := 0
	for range 500 {
		if checked {
			checks++
			h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckUnknown})
		}
		h.advance(20 * time.Millisecond)
		c, checked = get[CheckReplica](h)
	}
	h.is.True(checks <= 1+int(checkTime/checkInterval))
}

// A check may show nothing, as behind a cut: then the platform's list decides.
func TestReplicaThatIsReplacedHasEnded(t *testing.T) {
	h := newHost(t)
	h.streamWith(badPart)
	d := h.dispatch()
	c, _ := h.closeConnection(d)
	h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckUnknown})
	h.is.True(!h.m.parts.tracker.Suspected(badPart))
	h.advance(checkInterval)
	_, again := get[CheckReplica](h)
	h.is.True(again)
	h.restart(d.Upstream)
	h.is.Equal(h.m.parts.tracker.Rounds(badPart), 1)
}

// All requests of a batch break at once, on all hosts: that is one crash. A request that was
// sent to the replica after it had ended is no part of it.
func TestBatchThatEndsIsOneCrash(t *testing.T) {
	h := newHost(t)
	h.step(ReplicaUnlisted{ID: "e2"})
	var batch []Dispatch
	for i := range 4 {
		h.streamWith(sharedPart, promptpart.ID(0x100+i))
		batch = append(batch, h.dispatch())
	}
	h.now += 20 * time.Millisecond
	for _, d := range batch[:3] {
		h.closeConnection(d)
	}
	h.step(ReplicaChecked{Replica: "e1", Started: 1, Result: CheckEnded})
	h.closeConnection(batch[3]) // its event came late
	h.is.Equal(h.m.parts.tracker.Rounds(sharedPart), 1)
	for i := range 4 {
		h.is.Equal(h.m.parts.tracker.Rounds(promptpart.ID(0x100+i)), 1)
	}
	h.now += downTime
	h.streamWith(badPart)
	h.closeConnection(h.dispatch())
	h.is.True(!h.m.parts.tracker.Suspected(badPart))
}

// An answer that only the end of its connection marks may have been ended by a crash.
func TestUnmarkedEndAcquitsOnlyIfTheReplicaLives(t *testing.T) {
	h := newHost(t)
	h.crash(badPart)
	unmarked := func() CheckReplica {
		h.now += 50 * time.Millisecond
		h.streamWith(badPart)
		d := h.dispatch()
		h.now += 50 * time.Millisecond
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndOK, Answer: AnswerEvidence{EndUnmarked: true}})
		h.is.True(h.m.parts.tracker.Suspected(badPart))
		c, ok := get[CheckReplica](h)
		h.is.True(ok)
		return c
	}
	c := unmarked()
	h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckEnded})
	h.is.Equal(h.m.parts.tracker.Rounds(badPart), 2)
	h.restart(c.Replica)
	c = unmarked()
	h.step(ReplicaChecked{Replica: c.Replica, Started: c.Started, Result: CheckAlive})
	h.is.True(!h.m.parts.tracker.Suspected(badPart))
}

func TestRequestIsNotTriedAgainUnderAPartThatCrashedTwice(t *testing.T) {
	h := newHost(t)
	h.crash(badPart)
	h.is.Equal(h.m.parts.tracker.Rounds(badPart), 1)
	h.now += 50 * time.Millisecond
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Parts: []promptpart.ID{badPart}})
	first := h.dispatch()
	h.now += 20 * time.Millisecond
	h.closeConnection(first)
	second := h.dispatch() // one crash may have any cause
	h.step(ReplicaChecked{Replica: first.Upstream, Started: startOf(h, first), Result: CheckEnded})
	h.is.Equal(h.m.parts.tracker.Rounds(badPart), 2)
	h.now += 20 * time.Millisecond
	h.closeConnection(second)
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanUnknown)
}

// A request that nothing was sent of is no second crash.
func TestRequestThatWasNotSentIsSentElsewhere(t *testing.T) {
	h := newHost(t)
	h.crash(sharedPart)
	h.crash(sharedPart)
	h.is.Equal(h.m.parts.tracker.Rounds(sharedPart), 2)
	h.now += 50 * time.Millisecond
	h.streamWith(sharedPart)
	first := h.dispatch()
	h.step(AttemptEnded{ID: first.ID, Attempt: first.Attempt, Kind: EndNotReached, Refused: true})
	h.is.Equal(h.dispatch().Upstream, other(first.Upstream, "e1", "e2"))
}

// startOf returns the start of the incarnation that a request was sent to.
func startOf(h *host, d Dispatch) int64 { return h.m.replicas.Get(d.Upstream).Started }

func TestRequestsUnderWayAreWithdrawnWhenAPartIsBlocked(t *testing.T) {
	h := newHost(t)
	waiting := h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "absent", Parts: []promptpart.ID{badPart}})
	for range 2 {
		h.crash(badPart)
	}
	h.now += 50 * time.Millisecond
	h.streamWith(badPart)
	running := h.dispatch()
	h.step(MessageReceived{From: "b/1", Message: Message{Parts: &promptpart.Report{Sightings: []promptpart.Sighting{{Part: badPart, Incarnation: 77}}}}})
	refused, ok := get[Refuse](h)
	h.is.True(ok)
	h.is.Equal(refused.ID, waiting)
	h.is.Equal(refused.Refusal.Ran, core.RanNo)
	c, ok := get[Cancel](h)
	h.is.True(ok)
	h.is.Equal(c.ID, running.ID)
	h.is.True(c.OnlyIfUnanswered)
	h.endAttempt(running, EndCancelled)
	h.is.Equal(h.refusal().Ran, core.RanUnknown)
}

// addPeer registers another host that answers.
func (h *host) addPeer(name string) core.HostID {
	id := core.HostID(name + "/1")
	h.step(HostListed{Host: fleet.Registration{Name: name, Host: id}})
	h.heartbeat(id, 1, 0)
	return id
}

// heartbeat receives a heartbeat of another host, with the digest of the parts it has blocked.
func (h *host) heartbeat(id core.HostID, number, digest uint64) {
	h.step(MessageReceived{From: id, Message: Message{Heartbeats: []Heartbeat{{Host: id, Number: number, Ready: true, BlockedParts: digest}}}})
}

// sentReports returns what the last step has told other hosts of parts.
func (h *host) sentReports() promptpart.Report {
	var all promptpart.Report
	for _, e := range h.out {
		if p, ok := e.(SendToPeers); ok && p.Message.Parts != nil {
			all.Merge(*p.Message.Parts)
		}
	}
	return all
}

// One host sees each crash, and all of them have to know the part.
func TestHostsLearnOfAPartFromEachOther(t *testing.T) {
	h, other := newHost(t), newHostAs(t, fleet.Registration{Name: "b", Host: "b/1", Domain: "a"})
	h.addPeer("b")
	for range 3 {
		h.crash(sharedPart, badPart)
		h.advance(time.Second)
		report := h.sentReports()
		h.is.True(!report.Empty())
		other.now = h.now
		other.step(MessageReceived{From: "a/1", Message: Message{Parts: &report}})
	}
	other.streamWith(sharedPart, badPart)
	other.is.Equal(other.refusal().Ran, core.RanNo)
}

// A host that has lost a message, was cut off, or starts is told once its heartbeat shows it.
func TestHostThatLacksAVerdictIsTold(t *testing.T) {
	h := newHost(t)
	id := h.addPeer("b")
	for range 3 {
		h.crash(badPart)
	}
	h.advance(time.Second)
	h.heartbeat(id, 2, 0)
	report := h.sentReports()
	h.is.Equal(len(report.Verdicts), 1)
	h.heartbeat(id, 3, 0) // a moment later
	report = h.sentReports()
	h.is.True(report.Empty())
	h.now += 2 * verdictInterval
	h.heartbeat(id, 4, h.m.parts.tracker.Digest())
	report = h.sentReports()
	h.is.True(report.Empty())
}

// No host is left that could tell: the leases do.
func TestStartingHostReadsTheBlockedPartsFromTheLeases(t *testing.T) {
	h := newHost(t)
	h.crash(sharedPart)
	for range 3 {
		h.crash(badPart)
	}
	value, err := json.Marshal(shard.Record{Owner: "gone", Fence: 1, Parts: h.m.partStates()})
	h.is.NoErr(err)
	started := newHost(t)
	started.step(LeasesListed{Objects: []core.Object{{Key: shard.Prefix + "0", Value: value, Version: 1}}})
	started.streamWith(badPart)
	started.is.Equal(started.refusal().Ran, core.RanNo)
	started.is.Equal(started.m.parts.tracker.Rounds(sharedPart), 1)
	malformed, err := json.Marshal(shard.Record{Owner: "gone", Fence: 1, Parts: shard.PartStates{"not hex": {Blocked: true}}})
	started.is.NoErr(err)
	another := newHost(t)
	another.step(LeasesListed{Objects: []core.Object{{Key: shard.Prefix + "0", Value: malformed, Version: 1}}})
	another.complete(badPart)
}

// tryBlocked blocks the bad part, and returns the dispatch of the request that is tried later.
func (h *host) tryBlocked() Dispatch {
	h.is.Helper()
	for range 3 {
		h.crash(badPart)
	}
	h.advance(10 * time.Second)
	h.streamWith(badPart)
	return h.dispatch()
}

// A part that was blocked for another's crashes must not stay shut out.
func TestOneRequestWithABlockedPartIsTried(t *testing.T) {
	h := newHost(t)
	trial := h.tryBlocked()
	h.streamWith(badPart)
	h.is.Equal(h.refusal().Ran, core.RanNo) // one at a time
	h.endAttempt(trial, EndOK)
	h.complete(badPart)
}

func TestOnlyOneHostTriesABlockedPart(t *testing.T) {
	tried := 0
	names := []string{"a", "b", "c", "d"}
	for _, self := range names {
		h := newHostAs(t, fleet.Registration{Name: self, Host: core.HostID(self + "/1"), Domain: "a"})
		for _, name := range names {
			if name != self {
				h.addPeer(name)
			}
		}
		h.step(MessageReceived{From: "b/1", Message: Message{Parts: &promptpart.Report{Verdicts: []promptpart.Verdict{{Part: badPart, Rounds: 3}}}}})
		h.streamWith(badPart)
		if _, ok := get[Dispatch](h); ok {
			tried++
		}
	}
	newHost(t).is.Equal(tried, 1)
}

// One crash under parts that no other request has, each time others, blocks none of them.
func TestUnrelatedCrashesBlockNothing(t *testing.T) {
	h := newHost(t)
	for i := range 8 {
		h.crash(sharedPart, promptpart.ID(0x200+i))
		h.complete(sharedPart, promptpart.ID(0x300))
	}
	h.is.Equal(h.m.parts.tracker.Digest(), uint64(0))
	h.is.Equal(h.m.parts.tracker.Rounds(sharedPart), 0)
}

// Guards against sound requests that are refused for half a minute: their shared part was blocked
// with the crashing one, and the caller of the request that was tried left.
func TestTrialWhoseCallerLeavesIsSoonRepeated(t *testing.T) {
	h := newHost(t)
	for range 3 {
		h.crash(sharedPart, badPart)
	}
	h.streamWith(sharedPart)
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.advance(time.Second)
	h.streamWith(sharedPart)
	trial := h.dispatch()
	h.step(CallerGone{ID: trial.ID})
	h.endAttempt(trial, EndCancelled)
	h.advance(2 * time.Second)
	h.complete(sharedPart)
	h.crash(sharedPart, badPart) // the other one's trial
	h.complete(sharedPart)
	h.advance(7 * time.Second)
	h.streamWith(sharedPart, badPart)
	h.is.Equal(h.refusal().Ran, core.RanNo)
}

// A trial whose answer is long in coming must not be followed by another one, which could end the next
// replica.
func TestOneTrialAtATime(t *testing.T) {
	h := newHost(t)
	trial := h.tryBlocked()
	h.advance(4 * time.Second)
	h.streamWith(badPart)
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.step(CallerGone{ID: trial.ID})
	h.endAttempt(trial, EndCancelled)
	h.streamWith(badPart)
	h.dispatch()
}
