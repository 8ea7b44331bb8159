package relaynode

import (
	"slices"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/intake"
	"gentiancroft/internal/core/replicas"
	"gentiancroft/internal/core/warmup"
)

const (
	coldTestRate  = 7.5
	coldTestStart = 3 * time.Second
)

// withColdStarts gives the services of a host that has a configuration a cold rate and time.
func (h *host) withColdStarts() *host {
	t := testTable()
	t.Version = h.m.table.Version + 1
	for _, s := range t.Services {
		s.ColdRate, s.ColdStart = coldTestRate, coldTestStart
	}
	h.step(ConfigurationRead{Table: t})
	return h
}

// saying returns an entry that says how much longer its replica is cold.
func saying(e replicas.Entry, remaining time.Duration) replicas.Entry {
	e.Cold = replicas.Coldness{Known: true, Remaining: remaining}
	return e
}

// at returns an entry as it is written with a sequence by the incarnation with a start.
func writtenBy(e replicas.Entry, started int64, sequence uint64) replicas.Entry {
	e.Started, e.Sequence = started, sequence
	return e
}

func (h *host) cold(id core.UpstreamID) bool {
	x := h.m.replicas.Get(id)
	return x != nil && h.m.limits.known.Cold(core.Instant(h.now), keyOf(x))
}

// coldLines returns the reasons of the log lines on coldness of the last step.
func (h *host) coldLines() (reasons []string) {
	for _, e := range h.out {
		if n, ok := e.(LogDecision); ok && n.Name == "replica" && (n.Reason == "cold" || n.Reason == "cold_ended") {
			reasons = append(reasons, n.Reason)
		}
	}
	return reasons
}

// sentCold returns the news of cold replicas that the last step has sent without an ask.
func (h *host) sentCold() []intake.Cold {
	for _, e := range h.out {
		if p, ok := e.(SendToPeers); ok && len(p.Message.Cold) > 0 && len(p.Message.PermitAsks) == 0 {
			return p.Message.Cold
		}
	}
	return nil
}

// Guards against a replica that crashes because it turned cold while hosts sent as before. What is on
// its way stays where it is.
func TestReplicaThatTurnsColdGetsRequestsOnlyUnderPermits(t *testing.T) {
	h, granter := newHostWithGranter(t)
	h.withColdStarts()
	var running []Dispatch
	for range 4 {
		h.arrive(RequestArrived{Path: "/act/x"})
		running = append(running, h.dispatch())
	}
	h.is.True(slices.ContainsFunc(running, func(d Dispatch) bool { return d.Upstream == "s1" }))
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s1", services), 2), 4*time.Second)})
	h.advance(20 * time.Millisecond)
	h.is.Equal(h.coldLines(), []string{"cold"})
	h.is.Equal(h.m.State().Cold, 1)
	_, cancelled := get[Cancel](h)
	h.is.True(!cancelled)
	for _, d := range running {
		h.endAttempt(d, EndOK)
		_, again := get[Dispatch](h)
		h.is.True(!again)
	}
	h.is.Equal(h.upstreams("/act/x", 6), []core.UpstreamID{"s2"})
	h.pass(granter, time.Second) // the ask that was made meanwhile has no answer
	h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s2"))
	ask := h.sentAsks()[0]
	h.is.True(ask.Limit.Named && ask.Limit.PerSecond == coldTestRate) // for a granter of the previous build
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: ask.Number, Key: ask.Limit.Key, Count: 1}}}})
	h.is.Equal(h.upstreams("/act/x", 1), []core.UpstreamID{"s1"})
	h.is.Equal(h.upstreams("/act/x", 2), []core.UpstreamID{"s2"})
	h.pass(granter, 3*time.Second)
	h.is.True(!h.cold("s1"))
	h.is.Equal(h.upstreams("/act/x", 4), []core.UpstreamID{"s1"}) // the less occupied one
}

// Requests that only cold replicas could run are refused at once where no permit comes.
func TestRequestForColdReplicasOnlyIsRefusedWithoutAPermit(t *testing.T) {
	h, granter := newHostWithGranter(t)
	h.withColdStarts()
	h.step(ReplicaUnlisted{ID: "s2"})
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s1", services), 2), 2*time.Second)})
	h.arrive(RequestArrived{Path: "/act/x"})
	ask := h.sentAsks()[0]
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: ask.Number, Key: ask.Limit.Key, Next: 170 * time.Millisecond}}}})
	r := h.refusal()
	h.is.Equal(r.Ran, core.RanNo)
	h.is.Equal(r.RetryAfter, 170*time.Millisecond)
}

func TestEndOfColdnessPlacesWaitingRequests(t *testing.T) {
	h, _ := newHostWithGranter(t)
	h.withColdStarts()
	h.step(ReplicaUnlisted{ID: "s2"})
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s1", services), 2), 100*time.Millisecond)})
	h.advance(20 * time.Millisecond)
	id := h.arrive(RequestArrived{Path: "/act/x"})
	h.is.Equal(len(h.sentAsks()), 1)
	h.advance(100 * time.Millisecond)
	h.is.Equal(h.coldLines(), []string{"cold_ended"})
	h.is.Equal(h.dispatch().ID, id)
}

func TestNewIncarnationWhoseEntryDoesNotSayIsCold(t *testing.T) {
	for name, e := range map[string]replicas.Entry{
		"restarted": writtenBy(replica("s1", services), 2, 1),
		"new":       replica("s3", services),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t).withColdStarts()
			h.is.True(!h.cold("s1")) // in the first list when the whole deployment starts
			h.step(ReplicaListed{Entry: e})
			h.is.True(h.cold(e.ID))
			h.advance(coldTestStart - time.Millisecond)
			h.is.True(h.cold(e.ID))
			h.advance(time.Millisecond)
			h.is.True(!h.cold(e.ID))
		})
	}
}

func TestNewIncarnationWhoseEntrySaysZeroIsNotCold(t *testing.T) {
	h := newHost(t).withColdStarts()
	h.step(ReplicaListed{Entry: saying(writtenBy(replica("s1", services), 2, 1), 0)})
	h.is.True(!h.cold("s1"))
}

// A store outage may have removed the entry of a replica that runs on.
func TestIncarnationThatIsListedAgainIsNotCold(t *testing.T) {
	h := newHost(t).withColdStarts()
	h.step(ReplicaUnlisted{ID: "s1"})
	h.advance(time.Second)
	h.step(ReplicaListed{Entry: withSequence(replica("s1", services), 9)})
	h.is.True(!h.cold("s1"))
	h.is.Equal(h.m.startShare(h.m.replicas.Get("s1")), 1.0)
}

// A host that restarts alone can't tell which replicas are cold.
func TestRestartedHostTreatsReplicasThatDoNotSayAsCold(t *testing.T) {
	h := newHost(t)
	h.m = New(Settings{Self: fleet.Registration{Name: "a", Host: "a/2", Domain: "a"}})
	h.step(VersionsRead{})
	h.step(ReplicasListed{Entries: []replicas.Entry{saying(replica("s1", services), 0), replica("s2", services)}})
	h.m.table = testTable()
	h.withColdStarts() // the configuration may come last
	h.is.True(!h.cold("s1"))
	h.is.True(h.cold("s2"))
	h.is.Equal(h.m.startShare(h.m.replicas.Get("s2")), 1.0) // it treats none as new
	h.advance(coldTestStart)
	h.is.True(!h.cold("s2"))
}

// The previous build passes entries on without what they say of coldness. They must not end what is
// known, nor count as one that says 0.
func TestEntryOfAHostOfThePreviousBuild(t *testing.T) {
	h := newHost(t).withColdStarts()
	peer := h.addPeer("b")
	tell := func(e replicas.Entry) {
		h.step(MessageReceived{From: peer, Message: Message{Replicas: []replicas.Entry{e}}})
	}
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s1", services), 2), 2*time.Second)})
	tell(withSequence(replica("s1", services), 3))
	h.is.True(h.cold("s1"))
	tell(replica("s3", services)) // seen first over that host
	h.is.True(h.cold("s3"))
	h.advance(time.Second)
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s3", services), 4), 0)})
	h.is.True(!h.cold("s3"))
}

// The same entry is read again with each list: its remaining time counts once.
func TestEntryThatIsReadAgainDoesNotProlongColdness(t *testing.T) {
	h := newHost(t).withColdStarts()
	e := saying(withSequence(replica("s1", services), 2), time.Second)
	h.step(ReplicaListed{Entry: e})
	for range 4 {
		h.advance(250 * time.Millisecond)
		h.step(ReplicaListed{Entry: e})
	}
	h.is.True(!h.cold("s1"))
}

// Hosts that don't watch the store have entries from a watcher only where something has changed.
func TestWatcherPassesOnThatAReplicaTurnsCold(t *testing.T) {
	h := newHost(t).withColdStarts()
	h.addPeer("b")
	h.advance(time.Second)
	passedOn := func(e replicas.Entry) bool {
		h.step(ReplicaListed{Entry: e})
		h.advance(time.Second)
		return slices.ContainsFunc(h.out, func(x Effect) bool {
			p, ok := x.(SendToPeers)
			return ok && len(p.Message.Replicas) == 1 && p.Message.Replicas[0].Cold == e.Cold
		})
	}
	h.is.True(!passedOn(saying(withSequence(replica("s1", services), 2), 0)))
	h.is.True(passedOn(saying(withSequence(replica("s1", services), 3), 4*time.Second)))
	h.is.True(!passedOn(saying(withSequence(replica("s1", services), 4), 3*time.Second))) // as known
	h.is.True(passedOn(saying(withSequence(replica("s1", services), 5), 0)))
}

// Guards against a replica that is cold unknown to the hosts that it hasn't answered.
func TestColdnessThatAnAnswerSaysIsToldToTheOtherHosts(t *testing.T) {
	h := newHost(t).withColdStarts()
	h.addPeer("b")
	other := newHostAs(t, fleet.Registration{Name: "b", Host: "b/1", Domain: "a"}).withColdStarts()
	other.addPeer("a")
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.notice(d, replicas.Notice{Cold: 2500 * time.Millisecond})
	h.is.True(h.cold(d.Upstream))
	h.advance(time.Second)
	news := h.sentCold()
	h.is.Equal(len(news), 1)
	other.now = h.now
	other.step(MessageReceived{From: "a/1", Message: Message{Cold: news}})
	other.is.True(other.cold(d.Upstream))
	other.step(ReplicaListed{Entry: saying(withSequence(replica(d.Upstream, services), 2), 0)}) // perhaps written before
	other.is.True(other.cold(d.Upstream))
	other.advance(1500 * time.Millisecond)
	other.is.True(!other.cold(d.Upstream))
}

// A replica at whose address nothing listens comes back as another incarnation, perhaps before the
// list shows it.
func TestReplicaThatMayHaveRestartedIsColdUntilAnEntryShowsIt(t *testing.T) {
	h := newHost(t).withColdStarts()
	carrier := h.addPeer("b")
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndNotReached, Refused: true})
	h.is.True(h.cold(d.Upstream))
	check, ok := get[CheckReplica](h) // of another host, which may have a better path
	h.is.True(ok && check.Carrier.Host == carrier)
	h.step(ReplicaChecked{Replica: d.Upstream, Started: 1, Result: CheckEnded, Refused: true, Carrier: check.Carrier})
	h.advance(time.Second)
	h.is.Equal(h.sentCold(), []intake.Cold{{Key: intake.KeyOf(d.Upstream, 1), Restarted: true}})
	h.step(ReplicaListed{Entry: saying(withSequence(replica(d.Upstream, services), 2), 0)}) // written before it ended
	h.is.True(h.cold(d.Upstream))
	h.step(ReplicaListed{Entry: writtenBy(replica(d.Upstream, services), 2, 1)})
	h.is.True(h.cold(d.Upstream)) // the next incarnation doesn't say
	h.step(ReplicaListed{Entry: saying(writtenBy(replica(d.Upstream, services), 2, 2), 0)})
	h.is.True(!h.cold(d.Upstream))
}

func TestReplicaThatClosedAConnectionIsColdUntilACheckShowsThatItRuns(t *testing.T) {
	h := newHost(t).withColdStarts()
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.now += 10 * time.Millisecond
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, ConnectionClosed: true})
	check, ok := get[CheckReplica](h)
	h.is.True(ok && check.Replica == d.Upstream)
	h.is.True(h.cold(d.Upstream))
	h.now += 10 * time.Millisecond
	h.step(ReplicaChecked{Replica: d.Upstream, Started: 1, Result: CheckAlive})
	h.is.True(!h.cold(d.Upstream))
	h.advance(time.Second)
	h.is.Equal(len(h.sentCold()), 0) // nothing to tell
}

func TestReplicaThatAnotherIncarnationAnswersForIsCold(t *testing.T) {
	for _, result := range []CheckResult{CheckEnded, CheckUnknown} {
		h := newHost(t).withColdStarts()
		h.addPeer("b")
		h.arrive(RequestArrived{Path: "/act/x"})
		d := h.dispatch()
		h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, ConnectionClosed: true})
		h.step(ReplicaChecked{Replica: d.Upstream, Started: 1, Result: result})
		h.advance(2 * time.Second)
		h.is.True(h.cold(d.Upstream))
		h.is.Equal(len(h.sentCold()), 1)
	}
}

func TestDomainThatIsTakenBackIsCold(t *testing.T) {
	h := newHost(t).withColdStarts()
	elsewhere := replica("s3", services)
	elsewhere.Domain = "b"
	h.step(ReplicaListed{Entry: saying(elsewhere, 0)})
	h.m.markDomainCold("b")
	h.is.True(h.cold("s3") && !h.cold("s1"))
	h.advance(time.Second)
	h.step(ReplicaListed{Entry: saying(withSequence(elsewhere, 2), 0)}) // perhaps written before
	h.is.True(h.cold("s3"))
	h.advance(coldTestStart - time.Millisecond)
	h.is.True(h.cold("s3"))
	h.advance(time.Millisecond)
	h.is.True(!h.cold("s3"))
}

func TestEntryWrittenAfterTheDomainWasTakenBackSaysHowLong(t *testing.T) {
	h := newHost(t).withColdStarts()
	h.m.markDomainCold("a")
	h.advance(2 * time.Second)
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s1", services), 2), 0)})
	h.is.True(!h.cold("s1"))
	h.is.True(h.cold("s2"))
}

// A request that a cold replica answers with 421 doesn't count.
func TestPermitOfAMisdirectedRequestIsUsedAgain(t *testing.T) {
	h, granter := newHostWithGranter(t)
	h.withColdStarts()
	h.step(ReplicaUnlisted{ID: "s2"})
	h.step(ReplicaListed{Entry: saying(withSequence(replica("s1", services), 2), 2*time.Second)})
	h.arrive(RequestArrived{Path: "/act/x"})
	ask := h.sentAsks()[0]
	h.step(MessageReceived{From: granter, Message: Message{PermitGrants: []intake.Grant{{Number: ask.Number, Key: ask.Limit.Key, Count: 1}}}})
	d := h.dispatch()
	h.now += 20 * time.Millisecond
	h.endAttempt(d, EndAdapterMissing)
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s1")) // the same permit
	h.is.Equal(len(h.sentAsks()), 0)
}

// An ask for a cold replica carries its rate as a named limit, for the previous build. A granter of
// this one must not keep it when the coldness has ended.
func TestColdRateOfAnAskIsNoNamedLimit(t *testing.T) {
	h, _ := newHostWithGranter(t)
	h.withColdStarts()
	asking := h.addPeer("asking")
	for _, id := range []core.UpstreamID{"e1", "e2", "s1", "s2"} {
		k := intake.KeyOf(id, 1)
		if h.m.granterOf(k) != "a" {
			continue
		}
		ask := intake.Ask{Number: 7, Limit: intake.Evidence{Key: k, Named: true, PerSecond: coldTestRate}, Count: 1}
		h.step(MessageReceived{From: asking, Message: Message{PermitAsks: []intake.Ask{ask}, Cold: []intake.Cold{{Key: k, For: time.Second}}}})
		h.is.True(h.cold(id))
		_, named := h.m.limits.known.Rate(k)
		h.is.True(!named)
		ask.Limit.PerSecond = 2 // one that the replica names
		h.step(MessageReceived{From: asking, Message: Message{PermitAsks: []intake.Ask{ask}}})
		rate, _ := h.m.limits.known.RateAt(core.Instant(h.now), k)
		h.is.Equal(rate, 2.0)
	}
}

func TestAdapterIsLoadedOnAColdReplicaLast(t *testing.T) {
	h := newHost(t).withColdStarts()
	r := &request{arrival: RequestArrived{Model: model, Adapter: "y"}, route: &h.m.table.Routes[0], service: h.m.table.Services[engines]}
	h.m.limits.known.BeginCold(core.Instant(h.now), intake.KeyOf("e1", 1), h.m.coldRule(engines), time.Second)
	h.is.Equal(h.m.loadRank(r, h.m.replicas.Get("e1")), rankLimited)
	h.is.Equal(h.m.loadRank(r, h.m.replicas.Get("e2")), rankLoadable)
}

// Other deployments are served as before.
func TestServicesWithoutAColdRateHaveNoColdReplicas(t *testing.T) {
	h := newHost(t)
	h.step(ReplicaListed{Entry: saying(writtenBy(replica("s1", services), 2, 1), 2*time.Second)})
	h.step(ReplicaListed{Entry: writtenBy(replica("s2", services), 2, 1)})
	h.m.markDomainCold("a")
	h.arrive(RequestArrived{Path: "/act/x"})
	d := h.dispatch()
	h.notice(d, replicas.Notice{Cold: time.Second})
	h.step(AttemptEnded{ID: d.ID, Attempt: d.Attempt, Kind: EndBroken, ConnectionClosed: true})
	_, checked := get[CheckReplica](h)
	h.is.True(!checked)
	h.advance(time.Second)
	h.is.Equal(h.m.State().Cold, 0)
	h.is.Equal(len(h.coldLines()), 0)
	h.is.Equal(len(h.upstreams("/act/x", 6)), 2)
	h.is.Equal(h.m.startShare(h.m.replicas.Get("s1")), 1.0)
}

func TestReplicaThatHasJustStartedGetsLess(t *testing.T) {
	h := newHost(t).withColdStarts()
	for _, s := range h.m.table.Services {
		s.ColdRate = 0 // it takes any number of requests
	}
	h.step(ReplicaListed{Entry: saying(writtenBy(replica("s1", services), 2, 1), 0)})
	h.is.Equal(h.m.startShare(h.m.replicas.Get("s1")), warmup.MinShare)
	sent := map[core.UpstreamID]int{}
	var open []Dispatch
	for range 5 {
		h.arrive(RequestArrived{Path: "/act/x"})
		open = append(open, h.dispatch())
		sent[open[len(open)-1].Upstream]++
	}
	h.is.Equal(sent["s1"], 1)
	for range 20 { // it completes answers
		h.arrive(RequestArrived{Path: "/act/x"})
		h.endAttempt(h.dispatch(), EndOK)
	}
	for _, d := range open {
		h.endAttempt(d, EndOK)
	}
	h.advance(10 * time.Second)
	h.is.Equal(h.m.startShare(h.m.replicas.Get("s1")), 1.0)
}

// Of an engine, first events in time count.
func TestEngineWarmsByFirstEventsInTime(t *testing.T) {
	h := newHost(t).withColdStarts()
	e := replica("e1", engines, core.AdapterRef{ID: "x", Version: 1})
	h.step(ReplicaUnlisted{ID: "e2"})
	h.step(ReplicaListed{Entry: saying(writtenBy(e, 2, 1), 0)})
	share := func() float64 { return h.m.startShare(h.m.replicas.Get("e1")) }
	answer := func(after time.Duration) {
		h.arrive(RequestArrived{Path: "/stream/x", Model: model, Adapter: "x"})
		d := h.dispatch()
		h.now += after
		h.step(AnswerStarted{ID: d.ID, Attempt: d.Attempt})
		h.endAttempt(d, EndOK)
	}
	answer(600 * time.Millisecond) // later than the route's objective
	h.is.Equal(share(), warmup.MinShare)
	answer(100 * time.Millisecond)
	h.is.True(share() > warmup.MinShare)
}
