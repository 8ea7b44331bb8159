package relaynode

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

func announce(version int) VersionAnnounced {
	return VersionAnnounced{Model: model, Adapter: core.AdapterRef{ID: "x", Version: version}}
}

func streamOfX() RequestArrived {
	return RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"}
}

// Guards against a request on an adapter version that was replaced long ago: each new
// announcement restarted the grace period of all versions before it.
func TestEachVersionIsUsableUntilItsOwnGracePeriodEnds(t *testing.T) {
	h := newHost(t) // the engines have version 1
	h.step(announce(2))
	h.advance(DefaultVersionGrace - time.Millisecond)
	h.step(announce(3))
	h.arrive(streamOfX())
	h.dispatch() // version 1 was replaced less than the grace period ago
	h.advance(time.Millisecond)
	h.arrive(streamOfX())
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}

// Guards against a request that begins on an old version: it was sent in time, and waited at
// its replica until the version had expired.
func TestRequestThatHasNotBegunWhenItsVersionExpiresIsWithdrawn(t *testing.T) {
	h := newHost(t)
	h.step(announce(2))
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Timeout: time.Minute})
	waiting := h.dispatch()
	h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x", Timeout: time.Minute})
	begun := h.dispatch()
	h.step(AnswerStarted{ID: begun.ID, Attempt: 1, PartDelivered: true})
	h.advance(DefaultVersionExpiry - time.Millisecond)
	_, cancelled := get[Cancel](h)
	h.is.True(!cancelled)
	h.advance(requestCheckInterval)
	c, cancelled := get[Cancel](h)
	h.is.True(cancelled)
	h.is.Equal(c.ID, waiting.ID)
	h.is.True(c.OnlyIfUnanswered) // a run that began a moment ago goes on
}

// Such a request may have begun, so nothing is promised about it.
func TestRequestThatIsWithdrawnAndMayNotBeRepeatedFails(t *testing.T) {
	h := newHost(t)
	h.step(announce(2))
	h.arrive(RequestArrived{Path: "/once-stream/x", Model: model, Adapter: "x", Timeout: time.Minute})
	d := h.dispatch()
	h.advance(DefaultVersionExpiry)
	_, cancelled := get[Cancel](h)
	h.is.True(cancelled)
	h.endAttempt(d, EndCancelled)
	r := h.refusal()
	h.is.Equal(r.Code, core.CodeUpstreamFailed)
	h.is.Equal(r.Ran, core.RanUnknown)
}

// Guards against a lost answer: whether a request for a whole answer has begun is not seen, so it
// is not withdrawn.
func TestRequestForAWholeAnswerIsNotWithdrawn(t *testing.T) {
	h := newHost(t)
	h.step(announce(2))
	h.arrive(RequestArrived{Path: "/whole/x", Model: model, Adapter: "x", Timeout: time.Minute})
	h.dispatch()
	h.advance(DefaultVersionExpiry)
	_, cancelled := get[Cancel](h)
	h.is.True(!cancelled)
}

// Guards against a request that begins on an old version: it was sent within the grace period to
// a replica that already had more prompts to read than it could before the version expired.
func TestRequestIsNotSentToAnOlderVersionWhereItWouldBeginTooLate(t *testing.T) {
	h := newHost(t)
	const tokensPerSecond = 1000
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x", Prompt: tokensPerSecond})
	first := h.dispatch()
	h.advance(time.Second)
	h.step(AnswerStarted{ID: first.ID, Attempt: 1, PartDelivered: true})
	h.step(announce(2))
	h.arrive(streamOfX())
	h.dispatch()
	for _, e := range []core.UpstreamID{"e1", "e2"} {
		h.m.replicas.Get(e).OtherPrompts = core.Tokens(tokensPerSecond * (DefaultVersionExpiry.Seconds() + 1))
	}
	h.arrive(streamOfX())
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}

// Guards against requests on an old version: a host that had missed an announcement counted the
// older versions from the next one.
func TestSkippedVersionHasNoGracePeriod(t *testing.T) {
	h := newHost(t)
	h.step(announce(3)) // version 2 was announced at an unknown time
	h.arrive(streamOfX())
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	second := replica("e1", engines, core.AdapterRef{ID: "x", Version: 2})
	second.Sequence = 1
	h.step(ReplicaListed{Entry: second})
	h.is.Equal(h.dispatch().ExpectedVersion, 2) // version 3 is new, so version 2 may be used
}

// Guards against a request on an old version at a replica that is wrongly thought to have the
// new one, where nothing withdraws it.
func TestReplicaThatIsThoughtToHaveTheNewestVersionMustConfirmIt(t *testing.T) {
	h := newHost(t)
	h.step(announce(2))
	second := replica("e1", engines, core.AdapterRef{ID: "x", Version: 2})
	second.Sequence = 1
	h.step(ReplicaListed{Entry: second})
	h.arrive(streamOfX())
	d := h.dispatch()
	h.is.Equal(d.Upstream, core.UpstreamID("e1"))
	h.is.Equal(d.ExpectedVersion, 2)
}

func TestReplicaConfirmsTheVersionThatItIsThoughtToHave(t *testing.T) {
	h := newHost(t)
	h.step(announce(2))
	h.advance(DefaultVersionGrace)
	h.step(announce(3))
	third := replica("e1", engines, core.AdapterRef{ID: "x", Version: 3})
	third.Sequence = 1
	h.step(ReplicaListed{Entry: third})
	h.arrive(streamOfX())
	h.is.Equal(h.dispatch().ExpectedVersion, 3) // at least 2 is needed, and a replica with another version rejects it
}

// The announcements that are kept give the same answers as all of them.
func TestDroppedAnnouncementsLimitNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kept, all versionHistory
		at := core.Instant(0)
		const window = 1000
		for version := 2; version < 12; version++ {
			at += core.Instant(rapid.IntRange(0, 600).Draw(t, "pause"))
			kept = kept.add(announcedVersion{version, at}, at-window)
			all = append(all, announcedVersion{version, at})
			back := core.Instant(rapid.IntRange(0, window).Draw(t, "back"))
			if kept.newestAt(at-back) != all.newestAt(at-back) {
				t.Fatalf("%d before %d: %d, not %d", back, at, kept.newestAt(at-back), all.newestAt(at-back))
			}
		}
	})
}

// Guards against a request that begins on an old version: a host that heard of an announcement
// from a watcher counted it from then on, although it had been made before.
func TestReportedVersionCountsFromItsAnnouncement(t *testing.T) {
	const age = 150 * time.Millisecond
	h := newHost(t)
	reported := announce(2)
	reported.Age = age
	h.step(MessageReceived{From: "b/1", Message: Message{Versions: []VersionAnnounced{reported}}})
	h.advance(DefaultVersionGrace - age - time.Millisecond)
	h.arrive(streamOfX())
	h.dispatch()
	h.advance(time.Millisecond)
	h.arrive(streamOfX())
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
}

// The age that a watcher gives is the time since it has read the announcement itself.
func TestWatcherSendsTheAgeOfAnAnnouncement(t *testing.T) {
	watch, _ := watchersOf(t)
	h := newHostInLargeFleet(t, watch[0])
	h.advanceFleet(2 * time.Second)
	h.step(StoreAnswered{})
	h.step(announce(2))
	read := h.now
	sent := false
	for !sent {
		h.advance(10 * time.Millisecond)
		for _, e := range h.out {
			if p, ok := e.(SendToPeers); ok && len(p.Message.Versions) > 0 {
				h.is.Equal(p.Message.Versions[0].Age, h.now-read)
				sent = true
			}
		}
	}
	h.is.True(h.now > read)
}
