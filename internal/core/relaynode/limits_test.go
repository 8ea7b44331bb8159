package relaynode

import (
	"slices"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/table"
)

// nameLimit sends a request to a plain replica until the one with an id gets it, which names a limit.
func (h *host) nameLimit(id core.UpstreamID, perSecond float64) {
	h.is.Helper()
	for range 10 {
		h.arrive(RequestArrived{Path: "/act/x"})
		d := h.dispatch()
		h.now += time.Millisecond
		if d.Upstream == id {
			h.notice(d, replicas.Notice{Limit: replicas.NamedLimit{Named: true, PerSecond: perSecond}})
		}
		h.endAttempt(d, EndOK)
		if d.Upstream == id {
			return
		}
	}
	h.is.Fail() // it gets no request
}

// sentAsks returns the asks for permits that the last step has sent.
func (h *host) sentAsks() []intake.Ask {
	for _, e := range h.out {
		if p, ok := e.(SendToPeers); ok && len(p.Message.PermitAsks) > 0 {
			return p.Message.PermitAsks
		}
	}
	return nil
}

// newHostWithGranter returns a host whose permits for s1 another host hands out, and that host.
func newHostWithGranter(t *testing.T) (*host, core.HostID) {
	for letter := 'b'; letter <= 'z'; letter++ {
		name := string(letter)
		h := newHost(t)
		id := h.addPeer(name)
		h.pass(id, 200*time.Millisecond) // until the active hosts are selected
		if h.m.granterOf(intake.KeyOf("s1", 1)) == core.HostID(name) {
			return h, id
		}
	}
	t.Fatal("no such host")
	return nil, ""
}

// pass lets time pass, in which another host stays reachable.
func (h *host) pass(peer core.HostID, d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		h.advance(min(step, d))
		h.heartbeat(peer, uint64(h.now), 0)
	}
}

// Guards against issue 33, second matter: each host sent a replica as many requests as before,
// whatever limit it named.
func TestLimitedReplicaGetsRequestsOnlyUnderPermits(t *testing.T) {
	h, granter := newHostWithGranter(t)
	h.nameLimit("s1", 2)
	h.is.Equal(h.upstreams("/act/x", 6), []core.UpstreamID{"s2"})
	h.pass(granter, time.Second)
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2")) // there is another replica: nothing waits
	asks := h.sentAsks()
	h.is.Equal(len(asks), 1) // but some part of the limit is to be used
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: asks[0].Number, Key: asks[0].Limit.Key, Count: 1}}}})
	h.is.Equal(h.upstreams("/act/x", 1), []core.UpstreamID{"s1"})
	h.is.Equal(h.upstreams("/act/x", 3), []core.UpstreamID{"s2"})
}

// awaitPermit makes both plain replicas name a limit, and sends a request that waits for a permit.
func (h *host) awaitPermit(granter core.HostID) (core.RequestID, intake.Ask) {
	h.is.Helper()
	h.nameLimit("s1", 2)
	h.step(ReplicaUnlisted{ID: "s2"})
	h.pass(granter, time.Second)
	id := h.arrive(RequestArrived{Path: "/act/x"})
	asks := h.sentAsks()
	h.is.Equal(len(asks), 1)
	_, sent := get[Dispatch](h)
	h.is.True(!sent)
	return id, asks[0]
}

func TestRequestWaitsForThePermitThatItNeeds(t *testing.T) {
	h, granter := newHostWithGranter(t)
	id, ask := h.awaitPermit(granter)
	h.is.True(ask.Count >= 1)
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: ask.Number, Key: ask.Limit.Key, Count: 1}}}})
	h.is.Equal(h.dispatch().ID, id)
}

func TestRequestWithoutAPermitIsRefusedAtOnce(t *testing.T) {
	h, granter := newHostWithGranter(t)
	_, ask := h.awaitPermit(granter)
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: ask.Number, Key: ask.Limit.Key, Next: 900 * time.Millisecond}}}})
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.Equal(r.RetryAfter, 900*time.Millisecond)
	h.now += 100 * time.Millisecond
	h.arrive(RequestArrived{Path: "/act/x"}) // nobody is asked again until then
	h.is.Equal(len(h.sentAsks()), 0)
	h.is.Equal(h.refusal().RetryAfter, 800*time.Millisecond)
}

func TestRequestIsRefusedWhereTheGranterIsSilent(t *testing.T) {
	h, granter := newHostWithGranter(t)
	h.awaitPermit(granter)
	h.advance(100 * time.Millisecond)
	_, refused := get[Refuse](h)
	h.is.True(!refused)
	h.advance(150 * time.Millisecond)
	h.is.Equal(h.refusal().Ran, core.RanNo)
}

// The most urgent one goes first, and a stream that may go on only there before all others.
func TestPermitGoesToTheMostUrgentRequest(t *testing.T) {
	h, granter := newHostWithGranter(t)
	h.m.table.Routes[slices.IndexFunc(h.m.table.Routes, func(r table.Route) bool { return r.Name == "act" })].Priority = 3
	first, ask := h.awaitPermit(granter)
	urgent := h.arrive(RequestArrived{Path: "/read/x"})
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: ask.Number, Key: ask.Limit.Key, Count: 1}}}})
	d := h.dispatch()
	h.is.Equal(d.ID, urgent)
	h.is.True(first != urgent)
}

func TestRetriesNeedPermitsToo(t *testing.T) {
	h, _ := newHostWithGranter(t)
	h.nameLimit("s1", 2)
	for range 4 {
		h.arrive(RequestArrived{Path: "/read/x"})
		d := h.dispatch()
		h.is.Equal(d.Upstream, core.UpstreamID("s2"))
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndNotRun})
		again, sent := get[Dispatch](h)
		h.is.True(!sent || again.Upstream == "s2")
	}
}

func TestAdapterOfALimitedReplicaIsLoadedElsewhere(t *testing.T) {
	h := newHost(t)
	h.lease("b")
	h.addPeer("b")
	h.step(ReplicaListed{Entry: withSequence(replica("e2", engines), 1)}) // only e1 has adapter x
	h.m.observeLimit(named("e1", 1))
	sawDemand := false
	h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
	for range 30 {
		sawDemand = sawDemand || h.demanded("e2", 0)
		h.advance(20 * time.Millisecond)
	}
	h.is.True(sawDemand)
}

// A host that hears of a limit from another one keeps it too, and passes the end of it on.
func TestHostsTellEachOtherOfLimits(t *testing.T) {
	h, other := newHost(t), newHostAs(t, fleet.Registration{Name: "b", Host: "b/1", Domain: "a"})
	h.addPeer("b")
	other.addPeer("a")
	tell := func() {
		h.advance(time.Second)
		for _, e := range h.out {
			if p, ok := e.(SendToPeers); ok && len(p.Message.Limits) > 0 {
				other.now = h.now
				other.step(MessageReceived{From: "a/1", Message: p.Message})
			}
		}
	}
	h.nameLimit("s1", 2)
	tell()
	x := other.m.replicas.Get("s1")
	other.is.True(other.m.limited(x))
	h.now += time.Minute
	h.arrive(RequestArrived{Path: "/act/x"})
	h.m.limits.permits.Keep(func(intake.Key) bool { return false })
	r := &request{upstream: "s1", upstreamStarted: 1, stageSince: core.Instant(h.now)}
	h.now += time.Millisecond
	h.m.now = core.Instant(h.now)
	h.m.applyNoLimit(r)
	tell()
	other.is.True(!other.m.limited(x))
}

func TestGranterAnswersAsks(t *testing.T) {
	h, _ := newHostWithGranter(t)
	id := h.addPeer("asking")
	h.step(ReplicaUnlisted{ID: "s1"})
	for _, x := range []core.UpstreamID{"s2", "e1", "e2"} {
		k := intake.KeyOf(x, 1)
		h.now += time.Second
		ask := intake.Ask{Number: 7, Limit: intake.Evidence{Key: k, Named: true, PerSecond: 10}, Count: 1}
		h.step(MessageReceived{From: id, Message: Message{PermitAsks: []intake.Ask{ask}}})
		answered := slices.ContainsFunc(h.out, func(e Effect) bool {
			p, ok := e.(SendToPeers)
			return ok && len(p.Message.PermitGrants) == 1 && p.Message.PermitGrants[0].Number == 7
		})
		h.is.Equal(answered, h.m.granterOf(k) == "a")
	}
}

// Hosts that don't reach each other have a granter on each side. Together they keep the limit about,
// and each uses half of it at least.
func TestGranterThatReachesFewHostsHandsOutLess(t *testing.T) {
	h := newHost(t)
	peers := []core.HostID{h.addPeer("b"), h.addPeer("c")}
	const perSecond = 10
	ask := intake.Ask{Limit: named("s1", perSecond), Count: 1}
	granted := func(reachable []core.HostID) int {
		n := 0
		for range 1000 {
			h.advance(10 * time.Millisecond)
			for _, p := range reachable {
				h.heartbeat(p, uint64(h.now), 0)
			}
			n += h.m.grant(ask).Count
		}
		return n
	}
	all := granted(peers)
	h.is.True(all > 0.8*10*perSecond && all <= 10*perSecond)
	alone := granted(nil)
	h.is.True(alone >= 0.5*10*perSecond && alone <= 0.65*10*perSecond)
}

// named returns evidence that the first incarnation of a replica names a limit.
func named(id core.UpstreamID, perSecond float64) intake.Evidence {
	return intake.Evidence{Key: intake.KeyOf(id, 1), Named: true, PerSecond: perSecond}
}

func TestNextIncarnationIsNotLimited(t *testing.T) {
	h := newHost(t)
	h.m.observeLimit(named("e1", 1))
	h.is.True(h.m.limited(h.m.replicas.Get("e1")))
	h.restart("e1")
	h.is.True(!h.m.limited(h.m.replicas.Get("e1")))
	h.advance(time.Second)
	h.is.True(!h.m.limits.known.Any())
}
