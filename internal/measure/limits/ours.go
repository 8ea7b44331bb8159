package limits

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// Times of the fleet of machines.
const (
	tickEvery = 20 * time.Millisecond
	storeTrip = 4 * time.Millisecond
	maxPPM    = 100 // clocks of the measured fleet gain or lose up to this
)

// Node is one host of a fleet of limit machines.
type Node struct {
	ID      core.HostID
	Machine *limit.Machine
	Own     *lessee
	clock   Clock
	dead    bool
	paused  core.Instant
	waiting map[core.RequestID]func(bool)
}

// Fleet is a fleet of limit machines on fake links, leases and store.
type Fleet struct {
	loop     *Loop
	links    *Links
	leases   *Leases
	store    *store
	nodes    map[core.HostID]*Node
	slots    []*Node
	limits   []limit.Limit
	born     int
	config   uint64
	settings limit.Settings
	maxPPM   int64 // clocks gain or lose up to this
}

// NewFleet starts a fleet of n hosts.
func NewFleet(loop *Loop, links *Links, n int, limits []limit.Limit, s limit.Settings, ppm int64) *Fleet {
	f := &Fleet{
		loop: loop, links: links, store: newStore(), nodes: make(map[core.HostID]*Node),
		limits: limits, config: 1, settings: s, maxPPM: ppm,
	}
	var shards []core.Shard
	for _, l := range limits {
		shards = append(shards, core.Shard{Kind: core.ShardWorkspace, Name: string(l.Workspace)})
	}
	f.leases = newLeases(loop, shards)
	f.leases.Handover = f.handover
	f.slots = make([]*Node, n)
	for i := range f.slots {
		f.Start(i)
	}
	f.leases.pollAll()
	return f
}

// Start puts a new host into a slot.
func (f *Fleet) Start(slot int) *Node {
	f.born++
	id := core.HostID(fmt.Sprintf("host-%03d", f.born))
	clock := Clock{Offset: core.Instant(f.loop.Rand.Int64N(int64(time.Hour))), PPM: f.loop.Rand.Int64N(2*f.maxPPM+1) - f.maxPPM}
	s := f.settings
	s.Self = id
	n := &Node{ID: id, clock: clock, Machine: limit.New(s, core.NewRand(uint64(f.born))), waiting: make(map[core.RequestID]func(bool))}
	n.Own = f.leases.add(id, clock)
	if !f.leases.StoreDown {
		n.Own.see(f.leases.members())
	}
	n.Machine.Configure(n.now(f), f.config, f.limits)
	f.nodes[id] = n
	f.slots[slot] = n
	f.tick(n)
	return n
}

func (n *Node) now(f *Fleet) core.Instant { return n.clock.Read(f.loop.Now) }

// run runs a step at a host unless it is dead, after its pause if it has one.
func (f *Fleet) run(n *Node, step func() limit.Result) {
	if n.dead {
		return
	}
	if f.loop.Now < n.paused {
		f.loop.At(n.paused, func() { f.run(n, step) })
		return
	}
	f.carry(n, step())
}

func (f *Fleet) tick(n *Node) {
	if n.dead {
		return
	}
	f.run(n, func() limit.Result { return n.Machine.Tick(n.now(f), n.Own) })
	f.loop.After(tickEvery, func() { f.tick(n) })
}

// carry takes a result's effects out.
func (f *Fleet) carry(n *Node, r limit.Result) {
	for _, d := range r.Decisions {
		if decide := n.waiting[d.ID]; decide != nil {
			delete(n.waiting, d.ID)
			decide(d.Granted)
		}
	}
	for _, s := range r.Sends {
		f.links.Carry(n.ID, s.To, func() {
			if to := f.nodes[s.To]; to != nil {
				f.run(to, func() limit.Result { return to.Machine.HandleMessage(to.now(f), to.Own, n.ID, s.Message) })
			}
		})
	}
	for _, c := range r.Calls {
		f.callStore(n, c)
	}
}

// callStore carries an object call there and back; either way may fail.
func (f *Fleet) callStore(n *Node, c core.ObjectCall) {
	f.loop.After(storeTrip/2, func() {
		res := core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnavailable}
		if !f.leases.StoreDown && !n.Own.isolated {
			res = f.store.do(c)
			if f.links.Loss > 0 && f.loop.Rand.Float64() < f.links.Loss {
				res = core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnknown}
			}
		}
		f.loop.After(storeTrip/2, func() {
			f.run(n, func() limit.Result { return n.Machine.HandleObject(n.now(f), n.Own, res) })
		})
	})
}

func (f *Fleet) handover(from, to core.HostID, s core.Shard) {
	a, b := f.nodes[from], f.nodes[to]
	ws := core.WorkspaceID(s.Name)
	state := a.Machine.HandOff(a.now(f), ws)
	if state != nil {
		f.links.Carry(from, to, func() {
			f.run(b, func() limit.Result {
				b.Machine.Adopt(b.now(f), ws, state, from)
				return limit.Result{}
			})
		})
	}
}

// Lose kills a host at once.
func (f *Fleet) Lose(n *Node) {
	n.dead = true
	f.leases.remove(n.ID)
}

// Pause stops a host for a while; its clock goes on.
func (f *Fleet) Pause(n *Node, d time.Duration) {
	n.paused = f.loop.Now.Add(d)
	n.Own.asleep = true
	f.loop.At(n.paused, func() {
		if !n.dead {
			n.Own.asleep = false
		}
	})
}

// Isolate cuts a host off from the store, or connects it again.
func (f *Fleet) Isolate(n *Node, off bool) { n.Own.isolated = off }

// Configure puts new limits in force, at each host after its own delay.
func (f *Fleet) Configure(limits []limit.Limit, within time.Duration) {
	f.config++
	f.limits = limits
	version := f.config
	for _, n := range f.slots {
		f.loop.After(time.Duration(f.loop.Rand.Int64N(int64(within))), func() {
			f.run(n, func() limit.Result {
				n.Machine.Configure(n.now(f), version, limits)
				return limit.Result{}
			})
		})
	}
}

// ours is internal/core/limit as a Policy.
type ours struct {
	w *World
	f *Fleet
}

func newOurs(w *World) Policy {
	var limits []limit.Limit
	for _, t := range w.Trace.Tenants {
		limits = append(limits, t.Limit)
	}
	return &ours{w, NewFleet(w.Loop, w.Links, w.Trace.Hosts, limits, limit.Settings{}, maxPPM)}
}

func (o *ours) Reserve(slot int, a Arrival, decide func(bool)) {
	n := o.f.slots[slot]
	n.waiting[a.ID] = decide
	o.f.run(n, func() limit.Result { return n.Machine.Reserve(n.now(o.f), n.Own, a.ID, a.Workspace, a.Tokens) })
}

func (o *ours) Settle(slot int, a Arrival) {
	n := o.f.slots[slot]
	o.f.run(n, func() limit.Result { return n.Machine.Settle(n.now(o.f), n.Own, a.ID, a.Used, true) })
}

func (o *ours) Fault(f Fault) {
	switch f.Kind {
	case "lose":
		o.f.Lose(o.f.slots[o.victim(f)])
	case "replace":
		o.f.Start(f.Slot)
	case "store down":
		o.f.leases.StoreDown = true
	case "store up":
		o.f.leases.StoreDown = false
	}
}

// victim is the slot that a loss means.
func (o *ours) victim(f Fault) int {
	if f.Of == "" {
		return f.Slot
	}
	owner := o.f.leases.assigned[core.Shard{Kind: core.ShardWorkspace, Name: string(f.Of)}].host
	for i, n := range o.f.slots {
		if n.ID == owner {
			o.w.Alive[i] = false
			return i
		}
	}
	return 0
}

func (o *ours) Messages() uint64 { return o.w.Links.Sent }
