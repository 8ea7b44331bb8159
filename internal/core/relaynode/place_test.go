package relaynode

import (
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/residency"
)

// newOwner returns a host that owns the shards of its engines. Those at work are e1 and e2, which have
// adapter x and no free slot; e3 is idle. A slot of e1 and e2 can be freed a moment later, which
// the host notices, and announces, with its next orders.
func newOwner(t *testing.T) *host {
	h := newHost(t)
	x, y := core.AdapterRef{ID: "x", Version: 1}, core.AdapterRef{ID: "y", Version: 1}
	for _, e := range []replicas.Entry{replica("e1", engines, x, y), replica("e2", engines, x, y), replica("e3", engines)} {
		e.Sequence = 5
		h.step(ReplicaListed{Entry: e})
	}
	h.step(LeasesListed{})
	for range 10 {
		h.advance(time.Second)
		h.acceptWrites()
	}
	_, owned := h.m.orderFence("e1")
	h.is.True(owned)
	for _, id := range []core.UpstreamID{"e1", "e2", "e3"} {
		h.step(ReportReceived{Report: residency.Report{
			Replica: id, OK: true, Started: 1, Sequence: 1, Models: h.m.replicas.Get(id).Models,
		}})
	}
	h.m.replicas.Get("e1").OtherRequests = 3
	h.m.replicas.Get("e2").OtherRequests = 3
	return h
}

// sent returns the attempts that the last step has sent.
func (h *host) sent() (all []Dispatch) {
	for _, e := range h.out {
		if d, ok := e.(Dispatch); ok {
			all = append(all, d)
		}
	}
	return all
}

// sentPerRequest returns how many attempts of each request the last step has sent.
func (h *host) sentPerRequest() map[core.RequestID]int {
	number := map[core.RequestID]int{}
	for _, d := range h.sent() {
		number[d.ID]++
	}
	return number
}

// Guards against a request that runs twice, or is refused although it runs: its second attempt was sent
// twice, and the end of the first of the two was ignored.
func TestRetryWhoseDemandChangesAReplicaIsSentOnce(t *testing.T) {
	h := newOwner(t)
	id := h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x"})
	first := h.dispatch()
	h.now += time.Second // now slots can be freed
	h.endAttempt(first, EndNotRun)
	h.is.Equal(h.sentPerRequest(), map[core.RequestID]int{id: 1})
}

// Guards against the same for requests that wait for their adapter.
func TestWaitingRequestsWhoseDemandsChangeAReplicaAreSentOnce(t *testing.T) {
	h := newOwner(t)
	want := map[core.RequestID]int{}
	for range 5 {
		want[h.arrive(RequestArrived{Path: "/once-stream/z", Model: model, Adapter: "z"})] = 1
	}
	h.is.Equal(len(h.sent()), 0)
	h.now += time.Second
	h.m.replicas.Get("e1").OtherRequests = 0
	h.step(ReplicaListed{Entry: replica("e4", engines, core.AdapterRef{ID: "z", Version: 1})})
	h.is.Equal(h.sentPerRequest(), want)
}

// Guards against a request that was refused with a promise and ran all the same: of an attempt that was
// sent twice, the first broke, which was ignored, and the replica rejected the second.
func TestRetriedRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	h := newOwner(t)
	h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x"})
	first := h.dispatch()
	h.now += time.Second
	h.endAttempt(first, EndNotRun)
	kind := EndBroken
	for sent := h.sent(); len(sent) > 0; sent = append(sent[1:], h.sent()...) {
		h.endAttempt(sent[0], kind)
		kind = EndNotRun
	}
	refusal := h.refusal()
	h.is.Equal(refusal.Ran, core.RanUnknown)
}

// Guards against pieces of a stream that come twice: its second attempt was sent twice, and the
// second of the two began after the same event as the first.
func TestResumedStreamContinuesAfterWhatTheLatestAttemptDelivered(t *testing.T) {
	h := newOwner(t)
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	first := h.dispatch()
	h.now += time.Second
	h.step(AnswerStarted{ID: first.ID, Attempt: first.Attempt, PartDelivered: true})
	delivered := "3"
	h.step(AttemptEnded{ID: first.ID, Attempt: first.Attempt, Kind: EndBroken, LastEvent: delivered})
	sent := h.sent()
	h.is.True(len(sent) > 0)
	for _, d := range sent { // a handler carries them out one after the other
		h.is.Equal(d.LastEvent, delivered)
		delivered += "0"
		h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, LastEvent: delivered})
	}
}

// Guards against refusals of requests that can run: a tick in which the wait for an adapter ends, and
// the pause of the replicas that have it too, sends the request.
func TestWaitingRequestIsPlacedBeforeItsWaitIsChecked(t *testing.T) {
	h := newOwner(t)
	const pause = minAdapterWait
	for _, id := range []core.UpstreamID{"e1", "e2"} {
		h.m.applyNotice(id, 1, replicas.Notice{Pause: pause})
	}
	id := h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x"})
	h.is.Equal(len(h.sent()), 0)
	h.advance(pause)
	h.is.Equal(h.sentPerRequest(), map[core.RequestID]int{id: 1})
}

// Guards against issue 33, first matter: for seconds, until its entry was gone, requests were sent to
// the address of a replica that had ended, since it was the least loaded.
func TestReplicaWhereNothingListensIsNotChosen(t *testing.T) {
	h := newHost(t)
	h.arrive(RequestArrived{Path: "/act/x"})
	first := h.dispatch()
	h.step(AttemptEnded{ID: first.ID, Attempt: first.Attempt, Kind: EndNotReached, Refused: true})
	h.is.Equal(h.dispatch().Upstream, other(first.Upstream, "s1", "s2"))
	for range 12 {
		h.arrive(RequestArrived{Path: "/act/x"})
		h.is.Equal(h.dispatch().Upstream, other(first.Upstream, "s1", "s2"))
	}
	h.step(AttemptEnded{ID: "b", Attempt: 2, Kind: EndOK, Answer: AnswerEvidence{Status: 200}})
	h.advance(downTime)
	p, probed := get[ProbePath](h)
	h.is.True(probed && p.Replica == first.Upstream) // its entry still says that it is ready
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, other(first.Upstream, "s1", "s2")) // no request is spent on the question
	h.step(PathProbed{Replica: p.Replica, Begun: p.Begun, OK: true})
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, first.Upstream)
}

// A request whose adapter only that replica had loaded was sent to it five times within
// milliseconds, and then refused. It waits for another replica to load the adapter.
func TestRequestWaitsWhereItsOnlyReplicaIsDown(t *testing.T) {
	h := newHost(t)
	h.lease("a")
	h.step(ReplicaListed{Entry: withSequence(replica("e2", engines), 1)}) // without adapter x
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	d := h.dispatch()
	h.is.Equal(d.Upstream, core.UpstreamID("e1"))
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndNotReached, Refused: true})
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	h.step(ReplicaListed{Entry: withSequence(replica("e2", engines, core.AdapterRef{ID: "x", Version: 1}), 2)})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e2"))
}

func withSequence(e replicas.Entry, n uint64) replicas.Entry {
	e.Sequence = n
	return e
}

func TestRequestIsRefusedAtOnceWhereEveryReplicaIsDown(t *testing.T) {
	h := newHost(t)
	h.step(ReplicaUnlisted{ID: "s2"})
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndNotReached, Refused: true})
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.True(r.RetryAfter > 0)
}

func TestAdapterIsNotLoadedWhereNothingListens(t *testing.T) {
	h := newHost(t)
	r := &request{arrival: RequestArrived{Model: model, Adapter: "y"}, service: testTable().Services[engines]}
	first := h.m.preferredReplicas(r)[0]
	h.step(ReplicaChecked{Replica: first.ID, Started: first.Started, Result: CheckEnded})
	preferred := h.m.preferredReplicas(r)
	h.is.Equal(len(preferred), 1)
	h.is.True(preferred[0].ID != first.ID)
}

func TestNextIncarnationIsChosenAtOnce(t *testing.T) {
	h := newHost(t)
	h.step(ReplicaUnlisted{ID: "e2"})
	h.step(ReplicaChecked{Replica: "e1", Started: 1, Result: CheckEnded})
	h.restart("e1")
	h.streamWith()
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e1"))
	h.step(ReplicaChecked{Replica: "e1", Started: 1, Result: CheckEnded}) // of the earlier one
	h.is.True(!h.m.replicas.Get("e1").Down(core.Instant(h.now)))
}

// saturate fills the replicas that have adapter x.
func (h *host) saturate() {
	for _, id := range []core.UpstreamID{"e1", "e2"} {
		h.m.replicas.Get(id).OtherRequests = 7
	}
}

// Guards against refusals for a popular adapter whose few replicas are full while others are idle.
func TestRequestWaitsForItsAdapterOnAnIdleReplicaWhereThoseThatHaveItAreFull(t *testing.T) {
	h := newOwner(t)
	h.saturate()
	id := h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	_, refused := get[Refuse](h)
	h.is.True(!refused)
	order, ordered := get[SendOrder](h)
	h.is.True(ordered)
	h.is.Equal(order.Replica, core.UpstreamID("e3"))
	h.m.replicas.ApplyResidency(core.Instant(h.now), replicas.Residency{
		Replica: "e3", Started: 1, Orders: 9, Models: []replicas.Model{{Name: model, Version: 1, Adapters: []core.AdapterRef{{ID: "x", Version: 1}}}},
	})
	h.m.placementDue = true
	h.advance(20 * time.Millisecond)
	d := h.dispatch()
	h.is.Equal(d.ID, id)
	h.is.Equal(d.Upstream, core.UpstreamID("e3"))
}

// Guards against a request that waits on although a replica that has its adapter has room again.
func TestRequestThatWaitsForACopyTakesAPlaceThatBecomesFree(t *testing.T) {
	h := newOwner(t)
	first := h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	running := h.dispatch()
	h.is.Equal(running.ID, first)
	h.saturate()
	h.m.replicas.Get(running.Upstream).OtherRequests = 6
	waiting := h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.Equal(len(h.sent()), 0)
	h.endAttempt(running, EndOK)
	h.is.Equal(h.dispatch().ID, waiting)
}

// Guards against requests that wait although no replica has room.
func TestRequestIsRefusedAtOnceWhereEveryReplicaIsFull(t *testing.T) {
	h := newOwner(t)
	h.saturate()
	h.m.replicas.Get("e3").OtherRequests = 7
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	h.is.Equal(h.refusal().Code, core.CodeOverloaded)
}

// Guards against a request that is sent to the same full engine again and again within a few milliseconds, because
// it alone has the adapter, until the request's attempts are used up.
func TestEngineThatHasRejectedARequestGetsNoOtherOneForAMoment(t *testing.T) {
	h := newOwner(t)
	h.m.replicas.Get("e2").OtherRequests = 7 // full
	id := h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	d := h.dispatch()
	h.is.Equal(d.Upstream, core.UpstreamID("e1"))
	h.endAttempt(d, EndNotRun)
	h.is.Equal(len(h.sent()), 0)
	h.advance(rejectionTime / 2)
	h.is.Equal(len(h.sent()), 0)
	h.advance(rejectionTime / 2)
	again := h.dispatch()
	h.is.Equal(again.ID, id)
	h.is.Equal(again.Upstream, core.UpstreamID("e1"))
}

// Guards against a request that waits to its deadline for an adapter that can't be loaded in the time it has left.
func TestRequestThatCannotGetItsAdapterInTimeIsRefusedAtOnce(t *testing.T) {
	h := newOwner(t)
	h.arrive(RequestArrived{Path: "/stream/z", Model: model, Adapter: "z", Timeout: minAdapterTime - time.Millisecond})
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.arrive(RequestArrived{Path: "/stream/z", Model: model, Adapter: "z", Timeout: minAdapterTime})
	_, refused := get[Refuse](h)
	h.is.True(!refused)
}
