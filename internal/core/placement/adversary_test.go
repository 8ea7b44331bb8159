package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentiancroft/internal/core"
)

// life is one request that the adversary plays with.
type life struct {
	id      core.RequestID
	host    core.HostID
	arrives core.Instant // at the engine, once dispatched
	ends    core.Instant // at the engine
	state   int
	how     End
}

const (
	lifeAsked = iota
	lifeSent
	lifeRunning
	lifeEnded // at the engine; its host has yet to hear
	lifeOver
)

// adversary loses, doubles and delays messages, delays dispatches and orders
// up to what is allowed, kills and pauses hosts, moves shards, empties engines
// and takes the store away.
type adversary struct {
	*fleet
	t     *rapid.T
	rng   *core.Rand
	lives []*life
	calm  bool
}

func (a *adversary) upTo(d time.Duration) time.Duration { return time.Duration(a.rng.Int64N(int64(d))) }
func (a *adversary) chance(percent int) bool            { return !a.calm && a.rng.IntN(100) < percent }

func newAdversaryFrom(t *rapid.T, seed uint64) *adversary {
	a := &adversary{fleet: newFleet(3, 2, 2, 4), t: t, rng: core.NewRand(seed)}
	a.packIn = func(Message) []time.Duration {
		var copies []time.Duration
		for !a.chance(15) && len(copies) < 2 {
			d := time.Duration(0)
			if a.chance(50) {
				d = a.upTo(800 * time.Millisecond)
			}
			copies = append(copies, d)
			if !a.chance(10) {
				break
			}
		}
		return copies
	}
	a.orderIn = func(o core.AdapterOrder) time.Duration {
		if o.Load {
			return a.upTo(3 * time.Second)
		}
		return a.upTo(defaultOrderLinger)
	}
	a.answer = func(core.AdapterOrder) bool { return !a.chance(15) }
	return a
}

// play moves every request on by one step of its life.
func (a *adversary) play() {
	for _, l := range a.lives {
		n, d := a.nodes[l.host], a.out[l.id]
		switch {
		case l.state == lifeAsked && d.Refusal != nil:
			l.state = lifeOver
		case l.state == lifeAsked && d.Ticket != nil && n.up() && (a.calm || a.rng.IntN(40) == 0):
			a.dispatch(l)
		case l.state == lifeSent && a.now >= l.arrives:
			a.reach(l, d.Ticket)
		case l.state == lifeRunning && a.now >= l.ends:
			a.over(l, End{OK: true})
		case l.state == lifeEnded && n.up():
			l.state = lifeOver
			a.end(l.host, l.id, l.how)
		}
	}
}

// over ends a request at its engine; its host hears of it once it is up.
func (a *adversary) over(l *life, how End) {
	for _, e := range a.engines {
		delete(e.running, l.id)
	}
	l.state, l.how = lifeEnded, how
}

func (a *adversary) dispatch(l *life) {
	n := a.nodes[l.host]
	if !n.Valid(a.clock(l.host), l.id) {
		delete(a.out, l.id)
		a.do(l.host, n.Renew(a.clock(l.host), a.own(l.host), l.id))
		return
	}
	n.Dispatched(l.id)
	l.state = lifeSent
	l.arrives = a.now.Add(a.upTo(defaultOrderLinger - stepTime))
}

func (a *adversary) reach(l *life, t *Ticket) {
	if !a.arrive(l.id, t) {
		a.over(l, End{Missing: true})
		return
	}
	l.state = lifeRunning
	l.ends = a.now.Add(a.upTo(6 * time.Second))
}

// act does one thing to the fleet.
func (a *adversary) act() {
	switch op := a.rng.IntN(40); {
	case op < 24:
		h := a.hosts[a.rng.IntN(len(a.hosts))]
		if a.nodes[h].up() && len(a.lives) < 200 {
			l := &life{id: core.RequestID(fmt.Sprintf("r%d", len(a.lives))), host: h}
			a.lives = append(a.lives, l)
			a.ask(h, l.id, ref(a.rng.IntN(6)))
		}
	case op < 27:
		a.hears(a.hosts[a.rng.IntN(len(a.hosts))])
	case op < 29:
		a.nodes[a.hosts[a.rng.IntN(len(a.hosts))]].paused = a.rng.IntN(2) == 0
	case op < 31:
		a.leave()
	case op < 32:
		a.outage = a.rng.IntN(3) == 0
	case op < 33:
		a.emptied()
	case op == 33 && a.alive() > 2:
		a.crash(a.hosts[a.rng.IntN(len(a.hosts))])
	}
	a.succeed()
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

// emptied restarts an engine; what ran there fails at its entry host.
func (a *adversary) emptied() {
	id := core.UpstreamID(fmt.Sprintf("u%d", a.rng.IntN(2)))
	a.engines[id].restart()
	for _, l := range a.lives {
		if l.state == lifeRunning && a.out[l.id].Ticket.Upstream == id {
			a.over(l, End{Crashed: true})
		}
	}
}

// leave hands one upstream over; the state may be lost or come late.
func (a *adversary) leave() {
	s := upstreamShard(a.rng.IntN(2))
	from, to := a.owner[s], a.hosts[a.rng.IntN(len(a.hosts))]
	if a.outage || from == to || !a.nodes[from].up() || !a.nodes[to].up() || a.nodes[from].sees[s] != from {
		return
	}
	state := a.nodes[from].Departing(a.clock(from), s)
	a.give(s, to)
	a.hears(from)
	if a.chance(50) {
		a.hears(to)
	}
	if !a.chance(30) {
		a.do(to, a.nodes[to].Adopt(a.clock(to), a.own(to), s, state))
	}
}

func (a *adversary) check() {
	if len(a.faults) > 0 {
		a.t.Fatalf("at %v: %v", time.Duration(a.now), a.faults)
	}
}

func TestNoEvictionUnderAValidPinWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAdversaryFrom(t, rapid.Uint64().Draw(t, "seed"))
		a.run(9 * time.Second)
		for end := a.now.Add(40 * time.Second); a.now < end; {
			a.run(20 * time.Millisecond)
			a.play()
			if a.chance(30) {
				a.act()
			}
			a.check()
		}
		a.heal()
	})
}

// heal ends the faults and checks that nothing is stuck: within the stated
// bound every engine loads adapters that nobody has used before.
func (a *adversary) heal() {
	a.calm, a.outage = true, false
	for _, h := range a.hosts {
		a.nodes[h].paused = false
	}
	for range 2 {
		a.run(leaseFor)
		a.succeed()
		a.spread()
	}
	for range 500 {
		a.run(100 * time.Millisecond)
		a.play()
		a.check()
	}
	h := a.owner[upstreamShard(0)]
	for i := range 4 {
		id := core.RequestID(fmt.Sprintf("last%d", i))
		a.ask(h, id, ref(100+i))
		if !a.soon(h, id, 10*time.Second) {
			a.t.Fatalf("%s is stuck", id)
		}
		a.end(h, id, End{OK: true})
	}
}
