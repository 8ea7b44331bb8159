package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

// trackedRequest is one request that the adversary follows.
type trackedRequest struct {
	id        core.RequestID
	host      core.HostID
	arrivesAt core.Instant // at the engine, once dispatched
	endsAt    core.Instant // at the engine
	state     int
	outcome   TicketEnd
}

const (
	requestAsked = iota
	requestSent
	requestRunning
	requestEnded // at the engine; its entry host has not processed it
	requestReleased
)

// adversary injects faults: it loses, duplicates and delays messages, delays
// dispatches and orders within their bounds, crashes and pauses hosts, moves
// shards, restarts engines and makes the store unavailable.
type adversary struct {
	*fleet
	t         *rapid.T
	rng       *core.Rand
	requests  []*trackedRequest
	faultsOff bool
}

func (a *adversary) randomDelay(d time.Duration) time.Duration {
	return time.Duration(a.rng.Int64N(int64(d)))
}
func (a *adversary) chance(percent int) bool { return !a.faultsOff && a.rng.IntN(100) < percent }

func newAdversaryFrom(t *rapid.T, seed uint64) *adversary {
	a := &adversary{fleet: newFleet(3, 2, 2, 4), t: t, rng: core.NewRand(seed)}
	a.messageDelays = func(Message) []time.Duration {
		var copies []time.Duration
		for !a.chance(15) && len(copies) < 2 {
			d := time.Duration(0)
			if a.chance(50) {
				d = a.randomDelay(800 * time.Millisecond)
			}
			copies = append(copies, d)
			if !a.chance(10) {
				break
			}
		}
		return copies
	}
	a.orderDelay = func(o core.AdapterOrder) time.Duration {
		if o.Load {
			return a.randomDelay(3 * time.Second)
		}
		return a.randomDelay(defaultMaxOrderDelay)
	}
	a.orderAnswered = func(core.AdapterOrder) bool { return !a.chance(15) }
	return a
}

// advanceRequests moves every request on by one state.
func (a *adversary) advanceRequests() {
	for _, l := range a.requests {
		n, d := a.nodes[l.host], a.decisions[l.id]
		switch {
		case l.state == requestAsked && d.Refusal != nil:
			l.state = requestReleased
		case l.state == requestAsked && d.Ticket != nil && n.up() && (a.faultsOff || a.rng.IntN(40) == 0):
			a.dispatch(l)
		case l.state == requestSent && a.now >= l.arrivesAt:
			a.reachEngine(l, d.Ticket)
		case l.state == requestRunning && a.now >= l.endsAt:
			a.endAtEngine(l, TicketEnd{OK: true})
		case l.state == requestEnded && n.up():
			l.state = requestReleased
			a.end(l.host, l.id, l.outcome)
		}
	}
}

// endAtEngine ends a request at its engine; its entry host processes that when
// it is up.
func (a *adversary) endAtEngine(l *trackedRequest, how TicketEnd) {
	for _, e := range a.engines {
		delete(e.running, l.id)
	}
	l.state, l.outcome = requestEnded, how
}

func (a *adversary) dispatch(l *trackedRequest) {
	n := a.nodes[l.host]
	if !n.TicketValid(a.clock(l.host), l.id) {
		delete(a.decisions, l.id)
		a.do(l.host, n.RenewTicket(a.clock(l.host), a.ownership(l.host), l.id))
		return
	}
	n.RecordDispatch(l.id)
	l.state = requestSent
	l.arrivesAt = a.now.Add(a.randomDelay(defaultMaxOrderDelay - stepTime))
}

func (a *adversary) reachEngine(l *trackedRequest, t *Ticket) {
	if !a.arrive(l.id, t) {
		a.endAtEngine(l, TicketEnd{AdapterMissing: true})
		return
	}
	l.state = requestRunning
	l.endsAt = a.now.Add(a.randomDelay(6 * time.Second))
}

// injectFault starts a request, injects one fault or does nothing.
func (a *adversary) injectFault() {
	switch op := a.rng.IntN(40); {
	case op < 24:
		h := a.hosts[a.rng.IntN(len(a.hosts))]
		if a.nodes[h].up() && len(a.requests) < 200 {
			l := &trackedRequest{id: core.RequestID(fmt.Sprintf("r%d", len(a.requests))), host: h}
			a.requests = append(a.requests, l)
			a.ask(h, l.id, ref(a.rng.IntN(6)))
		}
	case op < 27:
		a.refreshView(a.hosts[a.rng.IntN(len(a.hosts))])
	case op < 29:
		a.nodes[a.hosts[a.rng.IntN(len(a.hosts))]].paused = a.rng.IntN(2) == 0
	case op < 31:
		a.handOff()
	case op < 32:
		a.outage = a.rng.IntN(3) == 0
	case op < 33:
		a.restartEngine()
	case op == 33 && a.alive() > 2:
		a.crash(a.hosts[a.rng.IntN(len(a.hosts))])
	}
	a.reassignShards()
}

func (a *adversary) alive() int {
	n := 0
	for _, h := range a.hosts {
		if a.nodes[h].alive {
			n++
		}
	}
	return n
}

// restartEngine restarts a random engine; the entry hosts see its running
// requests crash.
func (a *adversary) restartEngine() {
	id := core.UpstreamID(fmt.Sprintf("u%d", a.rng.IntN(2)))
	a.engines[id].restart()
	for _, l := range a.requests {
		if l.state == requestRunning && a.decisions[l.id].Ticket.Upstream == id {
			a.endAtEngine(l, TicketEnd{Crashed: true})
		}
	}
}

// handOff moves one upstream to another owner; the handed-off state may be
// lost.
func (a *adversary) handOff() {
	s := upstreamShard(a.rng.IntN(2))
	from, to := a.owner[s], a.hosts[a.rng.IntN(len(a.hosts))]
	if a.outage || from == to || !a.nodes[from].up() || !a.nodes[to].up() || a.nodes[from].owners[s] != from {
		return
	}
	state := a.nodes[from].HandOff(a.clock(from), s)
	a.assign(s, to)
	a.refreshView(from)
	if a.chance(50) {
		a.refreshView(to)
	}
	if !a.chance(30) {
		a.do(to, a.nodes[to].Adopt(a.clock(to), a.ownership(to), s, state))
	}
}

func (a *adversary) check() {
	if len(a.violations) > 0 {
		a.t.Fatalf("at %v: %v", time.Duration(a.now), a.violations)
	}
}

func TestNoEvictionUnderAValidPinWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversaryFrom(t, rapid.Uint64().Draw(t, "seed"))
		a.run(9 * time.Second)
		for end := a.now.Add(40 * time.Second); a.now < end; {
			a.run(20 * time.Millisecond)
			a.advanceRequests()
			if a.chance(30) {
				a.injectFault()
			}
			a.check()
		}
		a.checkRecovery()
	})
}

// checkRecovery ends the faults and checks that no slot stays pinned: after more
// than Settings.StuckBound, adapters never used before are loaded.
func (a *adversary) checkRecovery() {
	a.faultsOff, a.outage = true, false
	for _, h := range a.hosts {
		a.nodes[h].paused = false
	}
	for range 2 {
		a.run(leaseTTL)
		a.reassignShards()
		a.refreshViews()
	}
	for range 500 {
		a.run(100 * time.Millisecond)
		a.advanceRequests()
		a.check()
	}
	h := a.owner[upstreamShard(0)]
	for i := range 4 {
		id := core.RequestID(fmt.Sprintf("last%d", i))
		a.ask(h, id, ref(100+i))
		if !a.startWithin(h, id, 10*time.Second) {
			a.t.Fatalf("%s was not dispatched within 10 s", id)
		}
		a.end(h, id, TicketEnd{OK: true})
	}
}
