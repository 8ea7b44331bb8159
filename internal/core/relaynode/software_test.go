package relaynode

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/origin"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/shard"
)

// engineAt returns an engine whose software has a version. Its adapter x has version 1.
func engineAt(id core.UpstreamID, v replicas.SoftwareVersion) replicas.Entry {
	e := replica(id, engines, core.AdapterRef{ID: "x", Version: 1})
	e.Software, e.Sequence = v, 1
	return e
}

// newHostWithEngines returns a host whose engines are the given ones.
func newHostWithEngines(t *testing.T, entries ...replicas.Entry) *host {
	h := newHost(t)
	h.step(LeasesListed{})
	h.step(StoreAnswered{})
	h.step(ReplicasListed{Entries: append(entries, replica("s1", services))})
	return h
}

// softwareOf returns the software version of the replica that an attempt was sent to.
func (h *host) softwareOf(d Dispatch) replicas.SoftwareVersion {
	return h.m.replicas.Get(d.Upstream).Software
}

// beginStream sends a stream, delivers its first event and returns its attempt.
func (h *host) beginStream(callerID string) Dispatch {
	h.is.Helper()
	a := streamOfX()
	a.CallerID = callerID
	h.arrive(a)
	d := h.dispatch()
	h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
	return d
}

// breakStream ends an attempt whose replica has crashed after the first event.
func (h *host) breakStream(d Dispatch) {
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, LastEvent: "1"})
}

// takeUp sends a caller's request that goes on with a stream.
func (h *host) takeUp(resumes string) {
	a := streamOfX()
	a.CallerID, a.Resumes, a.LastEvent = resumes+" again", resumes, "1"
	h.arrive(a)
}

// Guards against a stream with events of two software versions in one answer: a host went on
// with it on any replica.
func TestStreamThatBrokeGoesOnAtItsSoftwareVersion(t *testing.T) {
	for range 20 { // the choice between the other two is drawn
		h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"), engineAt("e3", "v1"), engineAt("e4", "v2"))
		first := h.beginStream("q")
		h.breakStream(first)
		again := h.dispatch()
		h.is.True(again.Upstream != first.Upstream)
		h.is.Equal(h.softwareOf(again), h.softwareOf(first))
	}
}

// The same, where no other replica has that version: the answer ends without its end.
func TestStreamIsBrokenOffWhereNoReplicaHasItsSoftwareVersion(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"))
	first := h.beginStream("q")
	h.step(ReplicaUnlisted{ID: first.Upstream})
	h.breakStream(first)
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	_, aborted := get[AbortAnswer](h)
	h.is.True(aborted)
}

// Guards against a stream with events of two software versions over a caller's requests.
func TestCallerTakesAStreamUpAtItsSoftwareVersion(t *testing.T) {
	for range 20 {
		h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"), engineAt("e3", "v1"), engineAt("e4", "v2"))
		first := h.beginStream("q")
		h.step(CallerGone{ID: first.ID})
		h.takeUp("q")
		h.is.Equal(h.softwareOf(h.dispatch()), h.softwareOf(first))
	}
}

// Guards against a guess: where several versions serve, a host that doesn't know which one a
// stream began at refuses at once to go on with it.
func TestStreamOfUnknownSoftwareVersionIsRefusedAtOnce(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"))
	h.takeUp("elsewhere")
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	h.is.Equal(h.refusal().Ran, core.RanNo)
}

// A caller may come to any host: where versions are mixed, each host tells the others which
// streams it has begun, those from before too.
func TestRecordsAreSentWhileSoftwareVersionsAreMixed(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.beginStream("before")
	h.is.Equal(len(h.sentRecords()), 0) // one version: none is needed

	h.step(ReplicaListed{Entry: engineAt("e3", "v2")})
	want := origin.Record{Stream: origin.StreamOf("before"), Software: origin.SoftwareOf(engines, "v1")}
	h.is.Equal(h.sentRecords(), []origin.Record{want})
	h.is.Equal(len(h.sentRecords()), 0) // once

	second := h.beginStream("after")
	h.is.Equal(h.sentRecords(), []origin.Record{{Stream: origin.StreamOf("after"), Software: origin.SoftwareOf(engines, h.softwareOf(second))}})

	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/2"}}) // it has restarted, and knows none
	h.is.Equal(len(h.sentRecords()), 2)
}

// Guards against lost streams in an outage of the store, in which no host can know whether one
// version alone runs: the records are sent.
func TestRecordsAreSentWhileTheStoreIsAway(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.step(HostListed{Host: fleet.Registration{Name: "b", Host: "b/1"}})
	h.beginStream("before")
	h.is.Equal(len(h.sentRecords()), 0)
	h.step(StoreCallFailed{})
	h.is.Equal(len(h.sentRecords()), 1)
	h.beginStream("meanwhile")
	h.is.Equal(len(h.sentRecords()), 1)
	h.step(StoreAnswered{})
	h.sentRecords()
	h.beginStream("after")
	h.is.Equal(len(h.sentRecords()), 0)
}

// sentRecords returns the records in the next heartbeat.
func (h *host) sentRecords() []origin.Record {
	h.is.Helper()
	for range 100 {
		h.advance(10 * time.Millisecond)
		for _, e := range h.out {
			if p, ok := e.(SendToPeers); ok && len(p.Message.Heartbeats) > 0 {
				return p.Message.Origins
			}
		}
	}
	h.is.Fail() // no heartbeat
	return nil
}

// receive applies records of another host.
func (h *host) receive(stream string, v replicas.SoftwareVersion) {
	x := origin.Record{Stream: origin.StreamOf(stream), Software: origin.SoftwareOf(engines, v)}
	h.step(MessageReceived{From: "b/1", Message: Message{Origins: []origin.Record{x}}})
}

func TestStreamOfAnotherHostGoesOnAtItsSoftwareVersion(t *testing.T) {
	for range 10 {
		h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"), engineAt("e3", "v1"))
		h.receive("q", "v2")
		h.takeUp("q")
		d := h.dispatch()
		h.is.Equal(h.softwareOf(d), replicas.SoftwareVersion("v2"))
		h.is.Equal(d.Priority, 0)
	}
}

// A stream that is taken up again and again is known by the request that brought its first
// event; each time makes the record last longer.
func TestRecordIsOfTheFirstRequestAndRenewed(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"))
	h.receive("q", "v2")
	for range 4 {
		h.now += origin.Memory * 3 / 4
		h.step(StoreAnswered{})
		h.takeUp("q")
		d := h.dispatch()
		h.is.Equal(h.softwareOf(d), replicas.SoftwareVersion("v2"))
		h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt, PartDelivered: true})
		h.step(CallerGone{ID: d.ID})
		h.endAttempt(d, EndCancelled)
	}
}

// Where one version alone has run, every stream began at it.
func TestStreamNeedsNoRecordWhereOneSoftwareVersionRan(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.takeUp("of a host that is gone")
	h.dispatch()
}

// Guards against a guess by a host that has just started: only the new version is left, and
// the stream began at the one before.
func TestRestartedHostKnowsTheSoftwareVersionsThatRanBefore(t *testing.T) {
	owner := newHostWithEngines(t, engineAt("e1", "v1"))
	owner.step(ReplicaListed{Entry: engineAt("e2", "v2")})
	owner.step(ReplicaUnlisted{ID: "e1"})
	var leases []core.Object
	for i := 0; len(leases) == 0 && i < 1000; i++ {
		owner.advance(10 * time.Millisecond)
		for _, e := range owner.out {
			if w, ok := e.(WriteObject); ok && strings.HasPrefix(w.Call.Key, shard.Prefix) {
				leases = append(leases, core.Object{Key: w.Call.Key, Value: w.Call.Value, Version: 1})
			}
		}
	}
	h := newHost(t)
	h.step(ReplicasListed{Entries: []replicas.Entry{engineAt("e2", "v2")}})
	h.step(StoreAnswered{})
	h.takeUp("q")
	h.is.Equal(h.refusal().Code, core.CodeNoUpstream) // the leases have not been read
	h.step(LeasesListed{Objects: leases})
	h.takeUp("q")
	h.is.Equal(h.refusal().Code, core.CodeNoUpstream)
	h.follow(origin.Memory + time.Second)
	h.takeUp("q")
	h.dispatch() // no stream of v1 can be taken up any more
}

// Guards against a guess by a host that is out of touch: a version that it hasn't heard of may
// run.
func TestHostOutOfTouchGoesOnOnlyWithStreamsThatItKnows(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v1"))
	h.receive("known", "v1")
	h.step(StoreCallFailed{})
	h.takeUp("unknown")
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.takeUp("known")
	h.dispatch()
	h.step(StoreAnswered{})
	h.takeUp("unknown")
	h.dispatch()
}

// Before its first event has been delivered, a request may change its software version.
func TestSoftwareVersionMayChangeBeforeTheFirstEvent(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"))
	h.arrive(streamOfX())
	first := h.dispatch()
	h.endAttempt(first, EndBroken)
	h.is.True(h.softwareOf(h.dispatch()) != h.softwareOf(first))
}

// A caller's request that goes on with a stream is refused at once where no replica has its
// version, and goes before new work where the replicas that have it are full.
func TestStreamGoesOnAtItsLastReplicas(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"), engineAt("e2", "v2"))
	h.receive("q", "v1")
	h.receive("gone", "v0")
	h.m.replicas.Get("e1").OtherRequests = 100
	h.takeUp("gone")
	h.is.Equal(h.refusal().Ran, core.RanNo)
	h.takeUp("q")
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e1"))
	h.m.replicas.Get("e2").OtherRequests = 100
	h.arrive(streamOfX())
	h.is.Equal(h.refusal().Code, core.CodeOverloaded) // new work is not
}

// Where its adapter isn't loaded at that version, it waits for the adapter there.
func TestStreamWaitsForItsAdapterAtItsSoftwareVersion(t *testing.T) {
	empty := engineAt("e1", "v1")
	empty.Models[0].Adapters = nil
	h := newHostWithEngines(t, empty, engineAt("e2", "v2"))
	h.receive("q", "v1")
	h.takeUp("q")
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	h.is.Equal(h.m.State().Waiting, 1)
	loaded := engineAt("e1", "v1")
	loaded.Sequence = 2
	h.step(ReplicaListed{Entry: loaded})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("e1"))
}

// An id that is used again by a replica of another version is another replica.
func TestReplicaThatRestartsWithAnotherSoftwareVersion(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"))
	h.beginStream("q")
	again := engineAt("e1", "v2")
	again.Started = 2
	h.step(ReplicaListed{Entry: again})
	h.takeUp("q")
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}

// In a large fleet a standby host sends its records to its contacts, which pass them on, and gets
// those of the others in relays.
func TestRecordsReachStandbyHosts(t *testing.T) {
	h := newHostInLargeFleet(t, "s0")
	h.step(LeasesListed{})
	h.step(StoreAnswered{})
	h.step(ReplicasListed{Entries: []replicas.Entry{engineAt("e1", "v1"), engineAt("e2", "v2")}})
	h.advanceFleet(time.Second)
	record := origin.Record{Stream: origin.StreamOf("q"), Software: origin.SoftwareOf(engines, "v1")}
	carries := func(m Message) bool { return slices.Contains(m.Origins, record) }

	h.step(MessageReceived{From: "s1/1", Message: Message{Origins: []origin.Record{record}}})
	toActive, toStandby := h.recipientsWithin(2*time.Second, carries)
	h.is.Equal(toActive, 0) // its host has sent it to them
	h.is.True(toStandby > 0)

	h.step(MessageReceived{From: "w0/1", Message: Message{Origins: []origin.Record{record}}})
	toActive, toStandby = h.recipientsWithin(2*time.Second, carries)
	h.is.Equal(toActive, 5)
	h.is.True(toStandby > 0)
}

// recipientsWithin returns how many active and standby hosts get a message that fits.
func (h *host) recipientsWithin(d time.Duration, fits func(Message) bool) (active, standby int) {
	to := map[string]bool{}
	for i := range int(d / (10 * time.Millisecond)) {
		if i%10 == 0 {
			h.deliverHeartbeat("w1", Heartbeat{Number: uint64(h.now)}) // a standby host that reports to this one
			for _, name := range []string{"s1", "s2", "s3", "s4", "s5"} {
				h.deliverHeartbeat(name, Heartbeat{Number: uint64(h.now)})
			}
		}
		h.advance(10 * time.Millisecond)
		for _, e := range h.out {
			p, ok := e.(SendToPeers)
			if !ok || !fits(p.Message) {
				continue
			}
			for _, r := range p.To {
				to[r.Name] = h.m.fleet.IsActive(r.Host)
			}
		}
	}
	for _, isActive := range to {
		if isActive {
			active++
		} else {
			standby++
		}
	}
	return active, standby
}

// A request that goes on with a stream names the incarnation that is to run it; so does one that
// begins a stream whose record other hosts need.
func TestIncarnationIsConfirmedWhereAStreamsVersionCounts(t *testing.T) {
	h := newHostWithEngines(t, engineAt("e1", "v1"))
	h.sentHeartbeat()
	h.arrive(streamOfX())
	h.is.Equal(h.dispatch().Incarnation, int64(0))
	h.takeUp("q")
	h.is.Equal(h.dispatch().Incarnation, int64(1))

	h.step(ReplicaListed{Entry: engineAt("e2", "v2")})
	h.sentHeartbeat()
	h.arrive(streamOfX())
	h.is.Equal(h.dispatch().Incarnation, int64(1))
	h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x"}) // can't be resumed
	h.is.Equal(h.dispatch().Incarnation, int64(0))
}

// sentHeartbeat advances the time beyond the next heartbeat.
func (h *host) sentHeartbeat() {
	for range 20 {
		h.advance(10 * time.Millisecond)
	}
}
