package suspect

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

func upstream(i int) core.UpstreamID { return core.UpstreamID("u" + strconv.Itoa(i)) }

func TestPoisonThroughEveryHostAtOnce(t *testing.T) {
	is := is.New(t)
	const hosts, poison = 30, 7
	f := newFleet(hosts)
	f.poison[poison] = true
	for i := range hosts {
		f.claim(f.list[i].Host, poison, upstream(i))
	}
	f.deliverAll()
	is.Equal(f.crashes[poison], MaxCrashes)
	for round := range 20 { // the callers keep retrying it
		f.tick(time.Second)
		f.claim(f.list[round].Host, poison, upstream(100+round))
		f.deliverAll()
	}
	is.Equal(f.crashes[poison], MaxCrashes)
	is.Equal(f.crashCounts[len(f.crashCounts)-1].Count, MaxCrashes)
}

func TestPoisonInAnyOrderCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const poison = 9
		f := newFleet(rapid.IntRange(1, 6).Draw(t, "hosts"))
		f.poison[poison] = true
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			host := f.list[rapid.IntRange(0, len(f.list)-1).Draw(t, "host")].Host
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				f.claim(host, poison, upstream(rapid.IntRange(0, 9).Draw(t, "upstream")))
			case 2, 3:
				if n := len(f.inFlight); n > 0 {
					f.deliver(rapid.IntRange(0, n-1).Draw(t, "packet"))
				}
			case 4:
				if n := len(f.inFlight); n > 0 {
					f.inFlight = append(f.inFlight, f.inFlight[rapid.IntRange(0, n-1).Draw(t, "doubled")])
				}
			case 5:
				if n := len(f.unreported); n > 0 {
					f.reportCrash(rapid.IntRange(0, n-1).Draw(t, "death"))
				}
			case 6:
				f.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		f.deliverAll()
		if f.crashes[poison] > MaxCrashes {
			t.Fatalf("the request crashed %d upstreams", f.crashes[poison])
		}
	})
}

// advance passes time while homes answer: a message and its answer take less than
// claimTimeout, and a crash is reported before the upstream is up again.
func (f *fleet) advance(d time.Duration) {
	const step = claimTimeout / 4
	for ; d > 0; d -= step {
		f.tick(min(d, step))
		for len(f.inFlight) > 0 && f.now.Sub(f.inFlight[0].at) >= step {
			f.deliver(0)
		}
		for len(f.unreported) > 0 && f.now.Sub(f.unreported[0].crashedAt) >= restartTime/2 {
			f.reportCrash(0)
		}
	}
}

func TestNeighboursAreClearedAndNotBlocked(t *testing.T) {
	is := is.New(t)
	const poison, neighbours = 1000, 16
	f := newFleet(6)
	f.poison[poison] = true
	for i := range neighbours {
		f.claim(f.list[i%6].Host, uint64(i), upstream(0))
	}
	f.deliverAll()
	f.claim(f.list[0].Host, poison, upstream(0))
	f.deliverAll()
	is.Equal(len(f.running), 0) // all were lost in the crash
	// The neighbours are retried on two upstreams, and the poison with them.
	for i := range neighbours {
		f.claim(f.list[i%6].Host, uint64(i), upstream(1+i%2))
	}
	f.claim(f.list[0].Host, poison, upstream(1))
	f.deliverAll()
	turns := 0
	for ; len(f.running) > 0; turns++ {
		f.finish(0)
		f.tick(100 * time.Millisecond)
		f.deliverAll()
	}
	is.Equal(f.crashes[poison], MaxCrashes)
	is.Equal(turns, neighbours) // each ran once more, none was lost in the second crash
	is.Equal(len(f.refused), 0) // and none was refused
	for i := range neighbours { // cleared: they may run anywhere, together
		f.claim(f.list[0].Host, uint64(i), upstream(3))
		f.claim(f.list[1].Host, uint64(i), upstream(4))
		f.claim(f.list[2].Host, uint64(i), upstream(5))
	}
	f.deliverAll()
	is.Equal(len(f.running), 3*neighbours)
}

func TestManyReportsOfOneCrashCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	const fp = 3
	for i := range 5 {
		f.claim(f.list[i].Host, fp, upstream(0))
	}
	f.deliverAll()
	f.unreported, f.running = f.running, nil // a crash that the request did not cause
	f.reportCrash(0)
	f.tick(30 * time.Second) // the other hosts report much later, and renew before
	f.deliverAll()
	home := f.machines[f.home(fp)]
	is.Equal(home.records[fp].crashCount, 1)
}

func (f *fleet) home(fp uint64) core.HostID {
	h := f.list[0].Host
	m := f.machines[h]
	m.begin(f.own(h))
	home, _ := m.home(f.now, fp)
	return home
}

func TestUnprovenRequestMayUseTwoUpstreamsAndGetsAlternatives(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.claim("h0", 5, upstream(0))
	f.claim("h1", 5, upstream(1))
	f.deliverAll()
	id := f.claim("h2", 5, upstream(2))
	f.deliverAll()
	is.Equal(f.refused[id], core.CodeOverloaded)
	is.Equal(f.use[id], []core.UpstreamID{upstream(0), upstream(1)})
	f.claim("h2", 5, upstream(1))
	f.deliverAll()
	is.Equal(len(f.running), 3)
	f.finish(0) // one completion clears the fingerprint
	f.deliverAll()
	f.claim("h3", 5, upstream(3))
	f.deliverAll()
	is.Equal(len(f.running), 3)
}

func TestHomeLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	const poison = 11
	f.poison[poison] = true
	f.claim("h0", poison, upstream(0))
	f.deliverAll()
	is.Equal(f.crashes[poison], 1)
	for _, m := range f.machines { // the crash count has spread
		m.ApplyPublished(f.now, f.crashCounts)
	}
	f.removeHost(f.home(poison))
	f.tick(time.Second)
	entry := f.list[0].Host
	f.claim(entry, poison, upstream(1))
	f.deliverAll()
	is.Equal(f.crashes[poison], MaxCrashes) // the new home has the first one's count
	id := f.claim(f.list[1].Host, poison, upstream(2))
	f.deliverAll()
	is.Equal(f.crashes[poison], MaxCrashes)
	is.Equal(f.refused[id], core.CodeSuspect)
}

func TestUnresponsiveHomeStaysWithinBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	const poison = 12
	f.poison[poison] = true
	dead := f.home(poison)
	delete(f.machines, dead) // lost, but its lease has not expired
	f.list = append([]core.Member(nil), f.list...)
	var live []core.HostID
	for _, x := range f.list {
		if x.Host != dead {
			live = append(live, x.Host)
		}
	}
	for i, h := range live {
		f.claim(h, poison, upstream(i))
	}
	f.deliverAll()
	is.Equal(f.crashes[poison], 0) // all wait for the unresponsive home
	f.now = f.now.Add(claimTimeout)
	for _, h := range live {
		f.apply(h, f.machines[h].Tick(f.now, f.own(h)))
	}
	f.deliverAll()
	is.True(f.crashes[poison] <= MaxCrashes)
	is.True(f.crashes[poison] >= 1)
}

func TestNoHomeAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet(9)
	f.claim("h0", 21, upstream(0))
	for range 4 {
		f.inFlight = nil // cut off
		f.now = f.now.Add(claimTimeout)
		f.apply("h0", f.machines["h0"].Tick(f.now, f.own("h0")))
	}
	is.Equal(len(f.running), 1) // requests that are not suspected are still served
	f.machines["h0"].ApplyPublished(f.now, []CrashCount{{Fingerprint: 22, Count: 1, Serial: 1}})
	id := f.claim("h0", 22, upstream(0))
	for range 4 {
		f.inFlight = nil
		f.now = f.now.Add(claimTimeout)
		f.apply("h0", f.machines["h0"].Tick(f.now, f.own("h0")))
	}
	is.Equal(f.refused[id], core.CodeSuspect)
}

func TestCrashJustAfterTheCallerLeft(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.claim("h0", 31, upstream(0))
	f.deliverAll()
	f.apply("h0", f.machines["h0"].Release(f.now, f.own("h0"), f.running[0].req.ID, EndAborted))
	f.tick(time.Second)
	f.apply("h0", f.machines["h0"].UpstreamCrashed(f.now, f.own("h0"), upstream(0), nil))
	f.deliverAll()
	is.Equal(f.machines[f.home(31)].records[31].crashCount, 1)
	f.claim("h0", 32, upstream(1))
	f.deliverAll()
	f.apply("h0", f.machines["h0"].Release(f.now, f.own("h0"), f.running[1].req.ID, EndAborted))
	f.tick(abortedClaimTTL)
	f.deliverAll()
	is.Equal(f.machines["h0"].OpenClaims(), 0)
	is.Equal(len(f.machines[f.home(32)].records[32].runs), 0)
}

func TestRequestThatMovesToAnotherUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	m := f.machines["h0"]
	r := Request{ID: "r", Fingerprint: 41, Upstream: upstream(0)}
	f.apply("h0", m.Claim(f.now, f.own("h0"), r))
	f.deliverAll()
	f.apply("h0", m.Release(f.now, f.own("h0"), "r", EndAborted)) // failed, and retried elsewhere
	r.Upstream = upstream(1)
	f.apply("h0", m.Claim(f.now, f.own("h0"), r))
	f.deliverAll()
	is.Equal(len(f.running), 2)
	is.Equal(len(f.machines[f.home(41)].records[41].upstreams()), 2) // the first may still crash
	f.tick(abortedClaimTTL)
	f.deliverAll()
	is.Equal(f.machines[f.home(41)].records[41].upstreams(), []core.UpstreamID{upstream(1)})
}

func TestUnprovenRequestDoesNotWaitLongForASecondUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for fp := range uint64(2) { // neither has completed, and both need u1 as their second
		f.claim("h0", 50+fp, upstream(0))
		f.deliverAll()
		f.claim("h1", 50+fp, upstream(1))
		f.deliverAll()
	}
	is.Equal(len(f.running), 3) // the second one waits for the isolation slot of u1
	f.tick(secondUpstreamTimeout)
	f.deliverAll()
	is.Equal(len(f.refused), 1)
	for id, use := range f.use {
		is.Equal(f.refused[id], core.CodeOverloaded)
		is.Equal(use, []core.UpstreamID{upstream(0)}) // where the same request already runs
	}
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	for i := range 3 * maxRecords {
		f.claim("h0", uint64(i), upstream(i%10))
		f.finish(0)
		if i%100 == 0 {
			f.tick(100 * time.Millisecond)
		}
	}
	for range 400 {
		f.tick(100 * time.Millisecond)
	}
	m := f.machines["h0"]
	is.True(len(m.records) <= maxRecords)
	is.Equal(len(m.records), len(m.expiryOrder))
	is.Equal(len(m.claims), 0)
}
