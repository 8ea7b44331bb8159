package relaynode

import (
	"testing"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/replicas"
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
