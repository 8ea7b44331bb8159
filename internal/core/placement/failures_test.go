package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiancroft/internal/core"
)

// newReconciledFleet returns a fleet whose owners may evict.
func newReconciledFleet(hosts, engines, slots int) *fleet {
	f := newFleet(hosts, engines, slots, 8)
	f.run(10 * time.Second)
	return f
}

// runRequest dispatches a request of host h on an adapter, within 3 s.
func (f *fleet) runRequest(is *is.I, h core.HostID, id core.RequestID, a core.AdapterRef) {
	is.Helper()
	f.ask(h, id, a)
	is.True(f.startWithin(h, id, 3*time.Second))
}

// startWithin dispatches a request as soon as it has a ticket, and reports
// whether that was within d.
func (f *fleet) startWithin(h core.HostID, id core.RequestID, d time.Duration) bool {
	for end := f.now.Add(d); f.now < end; f.run(10 * time.Millisecond) {
		if f.start(h, id) {
			return true
		}
	}
	return false
}

func (f *fleet) move(s core.Shard, to core.HostID) {
	f.assign(s, to)
	f.refreshViews()
}

func (f *fleet) hasTicket(id core.RequestID) bool { return f.decisions[id].Ticket != nil }

func TestNewOwnerEvictsNothingThatRunsUnderTheFormerOwnersTickets(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(3, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	f.crash("h0") // the owner, without a handoff
	f.run(leaseTTL)
	f.messageDelays = func(m Message) []time.Duration {
		if m.TicketRequest != nil && m.TicketRequest.Restated {
			return nil // no restatement arrives
		}
		return []time.Duration{0}
	}
	f.move(upstreamShard(0), "h2")
	f.move(LoaderShard, "h2")
	f.ask("h2", "r2", ref(2))
	f.run(20 * time.Second)
	is.True(!f.hasTicket("r2"))
	is.Equal(len(f.violations), 0)
	f.end("h1", "r1", TicketEnd{OK: true})
	is.True(f.startWithin("h2", "r2", 5*time.Second)) // no slot stays pinned
}

func TestTicketOfAPausedEntryHostExpires(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.ask("h1", "r1", ref(1))
	f.run(time.Second)
	is.True(f.hasTicket("r1"))
	f.nodes["h1"].paused = true // between the ticket and the dispatch
	f.ask("h0", "r2", ref(2))
	f.run(25 * time.Second)
	is.True(f.hasTicket("r2")) // the pin is cleared: the ticket of the unresponsive entry host has expired
	f.nodes["h1"].paused = false
	is.True(!f.nodes["h1"].TicketValid(f.clock("h1"), "r1")) // checked immediately before the dispatch
	f.do("h1", f.nodes["h1"].RenewTicket(f.clock("h1"), f.ownership("h1"), "r1"))
	f.run(time.Second)
	is.Equal(len(f.violations), 0)
}

func TestEvictionOfAPausedOwnerIsNotSentLate(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	f.end("h1", "r1", TicketEnd{OK: true})
	f.run(time.Second)
	var grants []core.Grant
	f.orderDelay = func(o core.AdapterOrder) time.Duration {
		grants = append(grants, o.Grant)
		return time.Millisecond
	}
	f.runRequest(is, "h1", "r2", ref(2))
	is.True(len(grants) >= 2) // the unload, then the load
	// An order sent at the last moment arrives before the lease ends, so it
	// can't conflict with a successor's ticket.
	lease := f.nodes["h0"].leaseEnd + f.nodes["h0"].clockOffset
	is.True(grants[0].Until.Add(defaultMaxOrderDelay) <= lease)
}

func TestLateEvictionOfALeavingOwnerHitsNoNewTicket(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	f.end("h1", "r1", TicketEnd{OK: true})
	f.run(time.Second)
	f.orderDelay = func(o core.AdapterOrder) time.Duration { return defaultMaxOrderDelay - stepTime }
	f.ask("h1", "r2", ref(2)) // evicts ref(1), with a slow order
	f.run(100 * time.Millisecond)
	f.nodes["h0"].HandOff(f.clock("h0"), upstreamShard(0)) // its state is lost
	f.move(upstreamShard(0), "h1")
	f.ask("h1", "r3", ref(1))
	for range 1000 {
		f.run(5 * time.Millisecond)
		f.start("h1", "r3")
	}
	is.Equal(len(f.violations), 0)
}

func TestLostReleaseIsReconciledByTheNextOutstandingList(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	f.messageDelays = func(m Message) []time.Duration {
		if m.Release != nil {
			return nil
		}
		return []time.Duration{0}
	}
	f.end("h1", "r1", TicketEnd{OK: true})
	f.ask("h0", "r2", ref(2))
	is.True(f.startWithin("h0", "r2", defaultOutstandingInterval+2*time.Second))
	is.Equal(len(f.violations), 0)
}

func TestDeadEntryHostsPinEndsWithinTheStatedBound(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	f.crash("h1")
	f.run(leaseTTL)
	f.reassignShards()
	f.ask("h0", "r2", ref(2))
	f.run(12 * time.Second)
	is.True(!f.hasTicket("r2")) // the engine still runs r1
	f.end("h1", "r1", TicketEnd{})
	is.True(f.startWithin("h0", "r2", Settings{}.StuckBound(time.Second)))
	is.Equal(len(f.violations), 0)
}

func TestFailedLoadIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 2, 2)
	for _, e := range f.engines {
		e.fail = 1
	}
	f.ask("h0", "r1", ref(1))
	is.True(f.startWithin("h0", "r1", 10*time.Second))
	is.True(f.engines["u0"].loads > 0 && f.engines["u1"].loads > 0)
}

func TestLoadThatSucceedsWithoutAnAnswerIsDetected(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(1, 1, 2)
	f.orderAnswered = func(core.AdapterOrder) bool { return false } // the adapter is loaded, but the answer is lost
	f.ask("h0", "r1", ref(1))
	is.True(f.startWithin("h0", "r1", 8*time.Second))
	is.Equal(f.engines["u0"].loads, 1)
}

func TestRestartedEngineIsNotTakenToHoldAnything(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 2)
	f.runRequest(is, "h1", "r1", ref(1))
	f.engines["u0"].restart()
	is.Equal(len(f.nodes["h1"].view.loadedOn[ref(1)]), 1) // not detected yet
	f.ask("h1", "r2", ref(1))
	f.run(10 * time.Millisecond)
	is.True(!f.start("h1", "r2")) // the engine refuses a request without its adapter
	f.end("h1", "r2", TicketEnd{AdapterMissing: true})
	f.end("h1", "r1", TicketEnd{Crashed: true})
	f.runRequest(is, "h1", "r3", ref(1))
	is.Equal(f.engines["u0"].loads, 2)
}

func TestRestartIsDetectedInTheFirstReport(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 2)
	f.runRequest(is, "h1", "r1", ref(1)) // loaded within a report's lag
	f.engines["u0"].restart()
	f.poll()
	is.Equal(len(f.nodes["h1"].view.loadedOn[ref(1)]), 0)
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 2, 2)
	f.runRequest(is, "h1", "r1", ref(1))
	u := f.decisions["r1"].Ticket.Upstream
	for _, h := range f.hosts {
		f.do(h, f.nodes[h].SetLeavingUpstreams(f.clock(h), f.ownership(h), []core.UpstreamID{u}))
	}
	f.runRequest(is, "h0", "r2", ref(1))
	is.True(f.decisions["r2"].Ticket.Upstream != u)
	_, runs := f.engines[u].running["r1"]
	is.True(runs) // running requests end there
}

func TestWhatWaitsForALeavingUpstreamGoesElsewhere(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 2, 2)
	for i := range 9 { // one more than the batch
		f.ask("h0", core.RequestID(rune('a'+i)), ref(1))
	}
	f.run(time.Second)
	is.True(!f.hasTicket("i"))
	u := f.decisions["a"].Ticket.Upstream
	for _, h := range f.hosts {
		f.do(h, f.nodes[h].SetLeavingUpstreams(f.clock(h), f.ownership(h), []core.UpstreamID{u}))
	}
	f.run(time.Second)
	is.True(f.hasTicket("i"))
	is.True(f.decisions["i"].Ticket.Upstream != u)
}

func TestStoreOutageIssuesTicketsButDoesNotEvict(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	f.end("h1", "r1", TicketEnd{OK: true})
	f.outage = true
	f.run(2 * leaseTTL)
	f.runRequest(is, "h1", "r2", ref(1))
	f.end("h1", "r2", TicketEnd{OK: true})
	f.ask("h0", "r3", ref(2))
	f.run(5 * time.Second)
	is.True(f.engines["u0"].adapters[ref(1)])
	f.outage = false
	is.True(f.startWithin("h0", "r3", 10*time.Second))
}

func TestHandedOffPinsPreventEviction(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	f.runRequest(is, "h1", "r1", ref(1))
	state := f.nodes["h0"].HandOff(f.clock("h0"), upstreamShard(0))
	f.move(upstreamShard(0), "h1")
	f.do("h1", f.nodes["h1"].Adopt(f.clock("h1"), f.ownership("h1"), upstreamShard(0), state))
	f.ask("h1", "r2", ref(1))
	f.run(20 * time.Millisecond)
	is.True(f.start("h1", "r2")) // without waiting for a report
	f.ask("h0", "r3", ref(2))
	f.run(12 * time.Second)
	is.True(!f.hasTicket("r3"))
	is.Equal(len(f.violations), 0)
}

func TestScanOverColdAdaptersDoesNotEvictPopularOnes(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 3)
	use := func(id core.RequestID, a core.AdapterRef) {
		f.runRequest(is, "h0", id, a)
		f.end("h0", id, TicketEnd{OK: true})
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

func TestLeavingLoaderHandsOffPopularity(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(2, 1, 1)
	for i := range 3 {
		f.runRequest(is, "h1", core.RequestID(rune('a'+i)), ref(i))
		f.end("h1", core.RequestID(rune('a'+i)), TicketEnd{OK: true})
	}
	state := f.nodes["h0"].HandOff(f.clock("h0"), LoaderShard)
	f.move(LoaderShard, "h1")
	f.do("h1", f.nodes["h1"].Adopt(f.clock("h1"), f.ownership("h1"), LoaderShard, state))
	is.True(f.nodes["h1"].absentPopularity(ref(0)) > 0.9)
	is.True(f.nodes["h1"].absentPopularity(ref(1)) > 0.9)
}

func TestBusyAdapterGetsOneFurtherReplica(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(3, 3, 2)
	for i := range 10 { // more than one batch of 8
		f.ask("h0", core.RequestID(rune('a'+i)), ref(1))
	}
	f.run(12 * time.Second)
	for i := range 10 {
		is.True(f.hasTicket(core.RequestID(rune('a' + i)))) // the waiting ones moved to the replica
	}
	replicas := 0
	for _, e := range f.engines {
		if e.adapters[ref(1)] {
			replicas++
		}
	}
	is.Equal(replicas, 2)
}

func TestNewLoaderCountsTheFormerLoadersLoads(t *testing.T) {
	is := is.New(t)
	f := newReconciledFleet(3, 1, 30)
	f.orderDelay = func(core.AdapterOrder) time.Duration { return 4 * time.Second }
	for i := range 20 {
		f.ask("h1", core.RequestID(rune('a'+i)), ref(i))
	}
	f.run(time.Second)
	is.Equal(f.loadsInFlight(), defaultMaxInFlightLoads)
	f.messageDelays = func(m Message) []time.Duration {
		if m.LoadReport != nil {
			return nil // no host reports its loads to the new loader
		}
		return []time.Duration{0}
	}
	loads := f.pending
	for i := range 20 { // their callers are gone, so no load requests follow either
		if slices.ContainsFunc(loads, func(o pendingOrder) bool { return o.Adapter == ref(i) }) {
			f.do("h1", f.nodes["h1"].Cancel(f.clock("h1"), f.ownership("h1"), core.RequestID(rune('a'+i))))
		}
	}
	f.move(LoaderShard, "h2")
	for range 20 {
		f.run(100 * time.Millisecond)
		is.True(f.loadsInFlight() <= defaultMaxInFlightLoads)
	}
	f.run(40 * time.Second)
	is.Equal(len(f.engines["u0"].adapters), 20) // the former loader's eight included
}

func (f *fleet) loadsInFlight() int {
	n := 0
	for _, o := range f.pending {
		if o.Load {
			n++
		}
	}
	return n
}
