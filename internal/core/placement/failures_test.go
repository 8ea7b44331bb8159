package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// settled returns a fleet whose owners may evict.
func settled(hosts, engines, slots int) *fleet {
	f := newFleet(hosts, engines, slots, 8)
	f.run(10 * time.Second)
	return f
}

// serve has h run a request on an adapter.
func (f *fleet) serve(is *is.I, h core.HostID, id core.RequestID, a core.AdapterRef) {
	is.Helper()
	f.ask(h, id, a)
	is.True(f.soon(h, id, 3*time.Second))
}

// soon dispatches a request as soon as it has a ticket, within d.
func (f *fleet) soon(h core.HostID, id core.RequestID, d time.Duration) bool {
	for end := f.now.Add(d); f.now < end; f.run(10 * time.Millisecond) {
		if f.start(h, id) {
			return true
		}
	}
	return false
}

func (f *fleet) move(s core.Shard, to core.HostID) {
	f.give(s, to)
	f.spread()
}

func (f *fleet) ticketed(id core.RequestID) bool { return f.out[id].Ticket != nil }

func TestNewOwnerEvictsNothingThatRunsUnderTheFormerOwnersTickets(t *testing.T) {
	is := is.New(t)
	f := settled(3, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	f.crash("h0") // the owner, and it tells nobody
	f.run(leaseFor)
	f.packIn = func(m Message) []time.Duration {
		if m.Ask != nil && m.Ask.Running {
			return nil // no restatement arrives
		}
		return []time.Duration{0}
	}
	f.move(upstreamShard(0), "h2")
	f.move(LoaderShard, "h2")
	f.ask("h2", "r2", ref(2))
	f.run(20 * time.Second)
	is.True(!f.ticketed("r2"))
	is.Equal(len(f.faults), 0)
	f.end("h1", "r1", End{OK: true})
	is.True(f.soon("h2", "r2", 5*time.Second)) // and nothing is stuck
}

func TestTicketOfAFormerOwnerIsNotUsedAfterItsTerm(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.ask("h1", "r1", ref(1))
	f.run(time.Second)
	is.True(f.ticketed("r1"))
	f.nodes["h1"].paused = true // between the ticket and the dispatch
	f.ask("h0", "r2", ref(2))
	f.run(25 * time.Second)
	is.True(f.ticketed("r2")) // its pin is cleared: the silent holder's ticket has ended
	f.nodes["h1"].paused = false
	is.True(!f.nodes["h1"].Valid(f.clock("h1"), "r1")) // checked immediately before the dispatch
	f.do("h1", f.nodes["h1"].Renew(f.clock("h1"), f.own("h1"), "r1"))
	f.run(time.Second)
	is.Equal(len(f.faults), 0)
}

func TestEvictionOfAPausedOwnerIsNotSentLate(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	f.end("h1", "r1", End{OK: true})
	f.run(time.Second)
	var grants []core.Grant
	f.orderIn = func(o core.AdapterOrder) time.Duration {
		grants = append(grants, o.Grant)
		return time.Millisecond
	}
	f.serve(is, "h1", "r2", ref(2))
	is.True(len(grants) >= 2) // the unload, then the load
	// An order sent at the last moment arrives before the lease ends, so it
	// can't meet a successor's ticket.
	lease := f.nodes["h0"].until + f.nodes["h0"].ahead
	is.True(grants[0].Until.Add(defaultOrderLinger) <= lease)
}

func TestLateOrderOfALeaverMeetsNoNewTicket(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	f.end("h1", "r1", End{OK: true})
	f.run(time.Second)
	f.orderIn = func(o core.AdapterOrder) time.Duration { return defaultOrderLinger - stepTime }
	f.ask("h1", "r2", ref(2)) // has ref(1) evicted, slowly
	f.run(100 * time.Millisecond)
	f.nodes["h0"].Departing(f.clock("h0"), upstreamShard(0)) // and its state is lost
	f.move(upstreamShard(0), "h1")
	f.ask("h1", "r3", ref(1))
	for range 1000 {
		f.run(5 * time.Millisecond)
		f.start("h1", "r3")
	}
	is.Equal(len(f.faults), 0)
}

func TestLostReleaseIsSettledByTheNextAccount(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	f.packIn = func(m Message) []time.Duration {
		if m.Release != nil {
			return nil
		}
		return []time.Duration{0}
	}
	f.end("h1", "r1", End{OK: true})
	f.ask("h0", "r2", ref(2))
	is.True(f.soon("h0", "r2", defaultHoldEvery+2*time.Second))
	is.Equal(len(f.faults), 0)
}

func TestDeadEntryHostsPinEndsWithinTheStatedBound(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	f.crash("h1")
	f.run(leaseFor)
	f.succeed()
	f.ask("h0", "r2", ref(2))
	f.run(12 * time.Second)
	is.True(!f.ticketed("r2")) // the engine still runs r1
	f.end("h1", "r1", End{})
	is.True(f.soon("h0", "r2", Settings{}.StuckBound(time.Second)))
	is.Equal(len(f.faults), 0)
}

func TestFailedLoadIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	f := settled(2, 2, 2)
	for _, e := range f.engines {
		e.fail = 1
	}
	f.ask("h0", "r1", ref(1))
	is.True(f.soon("h0", "r1", 10*time.Second))
	is.True(f.engines["u0"].loads > 0 && f.engines["u1"].loads > 0)
}

func TestLoadThatSucceedsAfterItsTimeoutIsNoticed(t *testing.T) {
	is := is.New(t)
	f := settled(1, 1, 2)
	f.answer = func(core.AdapterOrder) bool { return false } // it was loaded, nobody heard
	f.ask("h0", "r1", ref(1))
	is.True(f.soon("h0", "r1", 8*time.Second))
	is.Equal(f.engines["u0"].loads, 1)
}

func TestRestartedEngineIsNotTakenToHoldAnything(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 2)
	f.serve(is, "h1", "r1", ref(1))
	f.engines["u0"].restart()
	is.Equal(len(f.nodes["h1"].view.holders[ref(1)]), 1) // not known yet
	f.ask("h1", "r2", ref(1))
	f.run(10 * time.Millisecond)
	is.True(!f.start("h1", "r2")) // the engine refuses what it does not hold
	f.end("h1", "r2", End{Missing: true})
	f.end("h1", "r1", End{Crashed: true})
	f.serve(is, "h1", "r3", ref(1))
	is.Equal(f.engines["u0"].loads, 2)
}

func TestRestartIsSeenInTheFirstReport(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 2)
	f.serve(is, "h1", "r1", ref(1)) // loaded within a report's lag
	f.engines["u0"].restart()
	f.poll()
	is.Equal(len(f.nodes["h1"].view.holders[ref(1)]), 0)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := settled(2, 2, 2)
	f.serve(is, "h1", "r1", ref(1))
	u := f.out["r1"].Ticket.Upstream
	for _, h := range f.hosts {
		f.do(h, f.nodes[h].Leaving(f.clock(h), f.own(h), []core.UpstreamID{u}))
	}
	f.serve(is, "h0", "r2", ref(1))
	is.True(f.out["r2"].Ticket.Upstream != u)
	_, runs := f.engines[u].running["r1"]
	is.True(runs) // what runs there ends there
}

func TestWhatWaitsForALeavingUpstreamGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := settled(2, 2, 2)
	for i := range 9 { // one more than the batch
		f.ask("h0", core.RequestID(rune('a'+i)), ref(1))
	}
	f.run(time.Second)
	is.True(!f.ticketed("i"))
	u := f.out["a"].Ticket.Upstream
	for _, h := range f.hosts {
		f.do(h, f.nodes[h].Leaving(f.clock(h), f.own(h), []core.UpstreamID{u}))
	}
	f.run(time.Second)
	is.True(f.ticketed("i"))
	is.True(f.out["i"].Ticket.Upstream != u)
}

func TestOutageGivesTicketsAndEvictsNothing(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	f.end("h1", "r1", End{OK: true})
	f.outage = true
	f.run(2 * leaseFor)
	f.serve(is, "h1", "r2", ref(1))
	f.end("h1", "r2", End{OK: true})
	f.ask("h0", "r3", ref(2))
	f.run(5 * time.Second)
	is.True(f.engines["u0"].adapters[ref(1)])
	f.outage = false
	is.True(f.soon("h0", "r3", 10*time.Second))
}

func TestHandedOverPinsHold(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	f.serve(is, "h1", "r1", ref(1))
	state := f.nodes["h0"].Departing(f.clock("h0"), upstreamShard(0))
	f.move(upstreamShard(0), "h1")
	f.do("h1", f.nodes["h1"].Adopt(f.clock("h1"), f.own("h1"), upstreamShard(0), state))
	f.ask("h1", "r2", ref(1))
	f.run(20 * time.Millisecond)
	is.True(f.start("h1", "r2")) // without waiting for a report
	f.ask("h0", "r3", ref(2))
	f.run(12 * time.Second)
	is.True(!f.ticketed("r3"))
	is.Equal(len(f.faults), 0)
}

func TestScanOverColdAdaptersLeavesTheWarm(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 3)
	use := func(id core.RequestID, a core.AdapterRef) {
		f.serve(is, "h0", id, a)
		f.end("h0", id, End{OK: true})
	}
	for i := range 6 {
		use(core.RequestID(rune('a'+i)), ref(1))
		use(core.RequestID(rune('k'+i)), ref(2))
	}
	for i := range 8 {
		use(core.RequestID(rune('A'+i)), ref(10+i))
	}
	is.True(f.engines["u0"].adapters[ref(1)] && f.engines["u0"].adapters[ref(2)])
}

func TestLeavingLoaderHandsOverWhatItRemembers(t *testing.T) {
	is := is.New(t)
	f := settled(2, 1, 1)
	for i := range 3 {
		f.serve(is, "h1", core.RequestID(rune('a'+i)), ref(i))
		f.end("h1", core.RequestID(rune('a'+i)), End{OK: true})
	}
	state := f.nodes["h0"].Departing(f.clock("h0"), LoaderShard)
	f.move(LoaderShard, "h1")
	f.do("h1", f.nodes["h1"].Adopt(f.clock("h1"), f.own("h1"), LoaderShard, state))
	is.True(f.nodes["h1"].remembered(ref(0)) > 0.9)
	is.True(f.nodes["h1"].remembered(ref(1)) > 0.9)
}

func TestBusyAdapterGetsAReplicaAndNotASecond(t *testing.T) {
	is := is.New(t)
	f := settled(3, 3, 2)
	for i := range 10 { // more than one batch of 8
		f.ask("h0", core.RequestID(rune('a'+i)), ref(1))
	}
	f.run(12 * time.Second)
	for i := range 10 {
		is.True(f.ticketed(core.RequestID(rune('a' + i)))) // those that waited moved on
	}
	holders := 0
	for _, e := range f.engines {
		if e.adapters[ref(1)] {
			holders++
		}
	}
	is.Equal(holders, 2)
}

func TestNewLoaderKeepsTheOldOnesLoadsInItsBudget(t *testing.T) {
	is := is.New(t)
	f := settled(3, 1, 30)
	f.orderIn = func(core.AdapterOrder) time.Duration { return 4 * time.Second }
	for i := range 20 {
		f.ask("h1", core.RequestID(rune('a'+i)), ref(i))
	}
	f.run(time.Second)
	is.Equal(f.transit(), defaultInTransit)
	f.packIn = func(m Message) []time.Duration {
		if m.Loading != nil {
			return nil // nobody tells the new loader
		}
		return []time.Duration{0}
	}
	loads := f.pending
	for i := range 20 { // nor do their callers, who have gone
		if slices.ContainsFunc(loads, func(o pendingOrder) bool { return o.Adapter == ref(i) }) {
			f.do("h1", f.nodes["h1"].Withdraw(f.clock("h1"), f.own("h1"), core.RequestID(rune('a'+i))))
		}
	}
	f.move(LoaderShard, "h2")
	for range 20 {
		f.run(100 * time.Millisecond)
		is.True(f.transit() <= defaultInTransit)
	}
	f.run(40 * time.Second)
	is.Equal(len(f.engines["u0"].adapters), 20) // the eight of the old loader among them
}

func (f *fleet) transit() int {
	n := 0
	for _, o := range f.pending {
		if o.Load {
			n++
		}
	}
	return n
}
