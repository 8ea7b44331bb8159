package relaynode

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/fleet"
	"gentiancroft/internal/core/replicas"
)

// errorDay is a load on three replicas of a plain service, through hosts that don't hear each
// other. From failFrom until failUntil, replicas fail the shares in replicaErr.
type errorDay struct {
	hosts      int
	length     time.Duration
	perSecond  float64 // idempotent requests over all hosts; as many others
	requestErr float64 // share of answers 500 at every replica
	replicaErr map[core.UpstreamID]float64
	failFrom   time.Duration
	failUntil  time.Duration
	seed       uint64
}

// errorCounts are the results of a day while replicas fail.
type errorCounts struct {
	idempotent, idempotentLost int
	others, othersLost         int
	firsts                     map[core.UpstreamID]int // first attempts
	firstsAfter                map[core.UpstreamID]int // in the last five seconds
}

func (c errorCounts) lostShare() float64 {
	return float64(c.idempotentLost) / float64(c.idempotent)
}

func (c errorCounts) firstShare(id core.UpstreamID) float64 {
	return float64(c.firsts[id]) / float64(c.idempotent+c.others)
}

// recoveredShare is a replica's share of the first attempts in the day's last five seconds.
func (c errorCounts) recoveredShare(id core.UpstreamID) float64 {
	all := 0
	for _, n := range c.firstsAfter {
		all += n
	}
	return float64(c.firstsAfter[id]) / float64(all)
}

// timedEvent is a pending event of one host.
type timedEvent struct {
	at    time.Duration
	host  int
	event Event
}

type eventQueue []timedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	errorDayStart    = 10 * time.Second // hosts wait that long before they are advertised
	errorDayLatency  = 60 * time.Millisecond
	errorDayInterval = 20 * time.Millisecond // between ticks
)

func newErrorHosts(t *testing.T, n int) []*Machine {
	var all []*Machine
	for i := range n {
		name := fmt.Sprintf("a%d", i)
		h := newHostAs(t, fleet.Registration{Name: name, Host: core.HostID(name + "/1"), Domain: "a"})
		h.m.rng = core.NewRand(uint64(i + 1))
		var entries []replicas.Entry
		for _, id := range []core.UpstreamID{"s1", "s2", "s3"} {
			e := replica(id, services)
			e.Batch = 6
			entries = append(entries, e)
		}
		h.step(ReplicasListed{Entries: entries})
		all = append(all, h.m)
	}
	return all
}

// run plays the day in virtual time.
func (d errorDay) run(t *testing.T) errorCounts {
	rng := core.NewRand(d.seed)
	hosts := newErrorHosts(t, d.hosts)
	c := errorCounts{firsts: map[core.UpstreamID]int{}, firstsAfter: map[core.UpstreamID]int{}}
	q := &eventQueue{}
	paths := map[core.RequestID]string{}
	during := func(at time.Duration) bool {
		return at >= errorDayStart+d.failFrom && at < errorDayStart+d.failUntil
	}
	counted := map[core.RequestID]bool{}
	for at := time.Duration(0); at < d.length; at += time.Duration(rng.ExpFloat64() / (2 * d.perSecond) * float64(time.Second)) {
		id, path := core.RequestID(fmt.Sprint(len(paths))), "/read/x"
		if rng.IntN(2) == 0 {
			path = "/act/x"
		}
		paths[id] = path
		heap.Push(q, timedEvent{errorDayStart + at, rng.IntN(d.hosts), RequestArrived{ID: id, Host: "h", Path: path, Timeout: 5 * time.Second}})
	}
	for at := errorDayStart; at < errorDayStart+d.length; at += errorDayInterval {
		for h := range hosts {
			heap.Push(q, timedEvent{at, h, Tick{}})
		}
	}
	for q.Len() > 0 {
		e := heap.Pop(q).(timedEvent)
		if a, ok := e.event.(RequestArrived); ok && during(e.at) {
			counted[a.ID] = true
			if a.Path == "/read/x" {
				c.idempotent++
			} else {
				c.others++
			}
		}
		for _, effect := range hosts[e.host].Step(core.Instant(e.at), e.event) {
			switch x := effect.(type) {
			case Dispatch:
				if x.Attempt == 1 && counted[x.ID] {
					c.firsts[x.Upstream]++
				}
				if x.Attempt == 1 && e.at >= errorDayStart+d.length-5*time.Second {
					c.firstsAfter[x.Upstream]++
				}
				heap.Push(q, timedEvent{e.at + d.latency(rng), e.host, d.answer(rng, x, during(e.at))})
			case DeliverFailure:
				if counted[x.ID] && paths[x.ID] == "/read/x" {
					c.idempotentLost++
				} else if counted[x.ID] {
					c.othersLost++
				}
			}
		}
	}
	return c
}

func (d errorDay) latency(rng *core.Rand) time.Duration {
	return errorDayLatency/2 + time.Duration(rng.Int64N(int64(errorDayLatency)))
}

func (d errorDay) answer(rng *core.Rand, x Dispatch, failing bool) Event {
	share := d.requestErr
	if failing {
		share = max(share, d.replicaErr[x.Upstream])
	}
	end := AttemptEnded{ID: x.ID, Attempt: x.Attempt, Kind: EndOK, Answer: AnswerEvidence{Status: 200}}
	if rng.Float64() < share {
		end.Kind, end.Answer.Status = EndError, 500
	}
	return end
}

// runErrorDays sums the results of a day under several seeds.
func runErrorDays(t *testing.T, d errorDay, days int) errorCounts {
	sum := errorCounts{firsts: map[core.UpstreamID]int{}, firstsAfter: map[core.UpstreamID]int{}}
	for seed := range days {
		d.seed = uint64(seed + 1)
		c := d.run(t)
		sum.idempotent += c.idempotent
		sum.idempotentLost += c.idempotentLost
		sum.others += c.others
		sum.othersLost += c.othersLost
		for id, n := range c.firsts {
			sum.firsts[id] += n
		}
		for id, n := range c.firstsAfter {
			sum.firstsAfter[id] += n
		}
	}
	t.Logf("idempotent lost %d of %d (%.2f %%), others %d of %d (%.2f %%), first attempts %v, after recovery %v",
		sum.idempotentLost, sum.idempotent, 100*sum.lostShare(), sum.othersLost, sum.others, 100*float64(sum.othersLost)/float64(max(sum.others, 1)), sum.firsts, sum.firstsAfter)
	return sum
}

// oneFailing is a day on which one of three replicas fails 45 % of its answers.
func oneFailing(hosts int, requestErr float64) errorDay {
	return errorDay{
		hosts: hosts, length: 25 * time.Second, perSecond: 24, requestErr: requestErr,
		replicaErr: map[core.UpstreamID]float64{"s1": 0.45}, failFrom: 6 * time.Second, failUntil: 12500 * time.Millisecond,
	}
}

// Guards against idempotent requests whose second attempt meets the failing replica again, against
// first attempts that go on to it, and against one that is hardly used after its recovery. The
// hosts don't hear each other: of 12 each sees an answer of a replica in 0.7 s.
func TestRequestsAvoidAReplicaThatFailsPartOfThem(t *testing.T) {
	for _, c := range []struct {
		hosts               int
		requestErr          float64
		maxLost, maxFirsts  float64
		minFirstsOnRecovery float64
	}{
		{1, 0.004, 0.002, 0.12, 0.25},
		{1, 0.14, 0.032, 0.13, 0.25},
		{4, 0.14, 0.032, 0.17, 0.25},
		{12, 0.004, 0.002, 0.15, 0.2},
	} {
		t.Run(fmt.Sprintf("%d hosts, %g", c.hosts, c.requestErr), func(t *testing.T) {
			is := is.New(t)
			got := runErrorDays(t, oneFailing(c.hosts, c.requestErr), 20)
			is.True(got.lostShare() <= c.maxLost)
			is.True(got.firstShare("s1") <= c.maxFirsts)
			is.True(got.recoveredShare("s1") >= c.minFirstsOnRecovery)
		})
	}
}

// newPlainHost returns a host with three replicas of the plain service, of which s1 has failed three
// times and the others never.
func newPlainHost(t *testing.T) *host {
	h := newHost(t)
	h.step(ReplicaListed{Entry: replica("s3", services)})
	for range 3 {
		for _, id := range []core.UpstreamID{"s1", "s2", "s3"} {
			h.m.errors.Observe(core.Instant(h.now), errorKey(h.m.replicas.Get(id)), id == "s1")
		}
	}
	return h
}

// Guards against a second attempt that goes to an idle replica that fails, in place of a sound one with
// more load.
func TestRetryGoesToTheReplicaWithTheLowestErrorShare(t *testing.T) {
	h := newPlainHost(t)
	h.m.replicas.Get("s3").OtherRequests = 5 // over its batch of 4
	h.arrive(RequestArrived{Path: "/read/x"})
	first := h.dispatch()
	h.is.Equal(first.Upstream, core.UpstreamID("s2"))
	h.step(AttemptEnded{ID: first.ID, Attempt: 1, Kind: EndError, Answer: AnswerEvidence{Status: 500}})
	h.is.Equal(h.dispatch().Upstream, core.UpstreamID("s3"))
}

// Guards against an avoided replica that gets nothing, or more than one first attempt in 20.
func TestAvoidedReplicaGetsOneFirstAttemptInTwenty(t *testing.T) {
	h := newPlainHost(t)
	sent := map[core.UpstreamID]int{}
	for range 100 {
		h.arrive(RequestArrived{Path: "/read/x"})
		d := h.dispatch()
		sent[d.Upstream]++
		h.m.requests.remove(h.m.requests.byID[d.ID])
		h.m.replicas.Get(d.Upstream).OwnRequests = 0
	}
	h.is.Equal(sent["s1"], 5)
}

// Guards against avoiding a replica where all fail alike, and after they have recovered.
func TestNoReplicaIsAvoidedForErrorsThatAllHave(t *testing.T) {
	is := is.New(t)
	d := oneFailing(4, 0.004)
	d.replicaErr = map[core.UpstreamID]float64{"s1": 0.9, "s2": 0.9, "s3": 0.9}
	c := runErrorDays(t, d, 20)
	for _, id := range []core.UpstreamID{"s1", "s2", "s3"} {
		is.True(c.firstShare(id) >= 0.28)
		is.True(c.recoveredShare(id) >= 0.28)
	}
}

// Guards against avoiding replicas by chance where the requests themselves fail.
func TestCommonErrorsChangeNoChoice(t *testing.T) {
	is := is.New(t)
	d := oneFailing(4, 0.14)
	d.replicaErr = nil
	c := runErrorDays(t, d, 20)
	for _, id := range []core.UpstreamID{"s1", "s2", "s3"} {
		is.True(c.firstShare(id) >= 0.28)
	}
}

// Guards against failures that an error share misses, and against failures in it that are none of
// the replica.
func TestEndsOfAttemptsCountInTheErrorShare(t *testing.T) {
	h := newHost(t)
	for _, c := range []struct {
		name           string
		r              request
		e              AttemptEnded
		failed, counts bool
	}{
		{"success", request{}, AttemptEnded{Kind: EndOK}, false, true},
		{"500", request{}, AttemptEnded{Kind: EndError, Answer: AnswerEvidence{Status: 500}}, true, true},
		{"400", request{}, AttemptEnded{Kind: EndError, Answer: AnswerEvidence{Status: 400}}, false, true},
		{"reset", request{}, AttemptEnded{Kind: EndBroken, ConnectionClosed: true}, true, true},
		{"carrier lost", request{carrier: core.Carrier{Host: "b"}}, AttemptEnded{Kind: EndBroken}, true, false},
		{"moved as silent", request{moving: true}, AttemptEnded{Kind: EndCancelled}, true, true},
		{"deadline without an answer", request{outcome: string(core.CodeDeadlineExceeded)}, AttemptEnded{Kind: EndCancelled}, true, true},
		{"caller gone", request{outcome: "caller_gone"}, AttemptEnded{Kind: EndCancelled}, true, false},
		{"not run", request{}, AttemptEnded{Kind: EndNotRun}, false, false},
		{"not reached", request{}, AttemptEnded{Kind: EndNotReached}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			failed, counts := h.m.attemptFailed(&c.r, &c.e)
			is.Equal(counts, c.counts)
			is.True(!counts || failed == c.failed)
		})
	}
}
