package limits

import (
	"fmt"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// Times and clocks of the fleet.
const (
	tickInterval   = 20 * time.Millisecond
	storeRoundTrip = 4 * time.Millisecond
	maxDriftPPM    = 100 // maximum clock drift of the measured fleet, parts per million
)

// Node is one host of a fleet of limit machines.
type Node struct {
	ID          core.HostID
	Machine     *limit.Machine
	Ownership   *hostLease
	clock       Clock
	dead        bool
	pausedUntil core.Instant // end of its pause
	callbacks   map[core.RequestID]func(bool)
}

// Fleet is a fleet of limit machines with fake links, leases and store.
type Fleet struct {
	loop         *EventLoop
	links        *Links
	leases       *Leases
	store        *store
	nodes        map[core.HostID]*Node
	slots        []*Node
	limits       []limit.Limit
	hostsStarted int
	config       uint64
	settings     limit.Settings
	maxDriftPPM  int64 // maximum clock drift, parts per million
}

// NewFleet starts a fleet of n hosts.
func NewFleet(loop *EventLoop, links *Links, n int, limits []limit.Limit, s limit.Settings, ppm int64) *Fleet {
	f := &Fleet{
		loop: loop, links: links, store: newStore(), nodes: make(map[core.HostID]*Node),
		limits: limits, config: 1, settings: s, maxDriftPPM: ppm,
	}
	var shards []core.Shard
	for _, l := range limits {
		shards = append(shards, core.Shard{Kind: core.ShardWorkspace, Name: string(l.Workspace)})
	}
	f.leases = newLeases(loop, shards)
	f.leases.Handoff = f.handover
	f.slots = make([]*Node, n)
	for i := range f.slots {
		f.StartHost(i)
	}
	f.leases.pollAll()
	return f
}

// StartHost puts a new host into a slot.
func (f *Fleet) StartHost(slot int) *Node {
	f.hostsStarted++
	id := core.HostID(fmt.Sprintf("host-%03d", f.hostsStarted))
	clock := Clock{Offset: core.Instant(f.loop.Rand.Int64N(int64(time.Hour))), DriftPPM: f.loop.Rand.Int64N(2*f.maxDriftPPM+1) - f.maxDriftPPM}
	s := f.settings
	s.Self = id
	n := &Node{ID: id, clock: clock, Machine: limit.New(s, core.NewRand(uint64(f.hostsStarted))), callbacks: make(map[core.RequestID]func(bool))}
	n.Ownership = f.leases.add(id, clock)
	if !f.leases.StoreDown {
		n.Ownership.setView(f.leases.members())
	}
	n.Machine.Configure(n.now(f), f.config, f.limits)
	f.nodes[id] = n
	f.slots[slot] = n
	f.tick(n)
	return n
}

func (n *Node) now(f *Fleet) core.Instant { return n.clock.Read(f.loop.Now) }

// runStep runs a runStep of a host and carries out its effects: not on a dead
// host, and after its pause on a paused one.
func (f *Fleet) runStep(n *Node, step func() limit.Result) {
	if n.dead {
		return
	}
	if f.loop.Now < n.pausedUntil {
		f.loop.At(n.pausedUntil, func() { f.runStep(n, step) })
		return
	}
	f.execute(n, step())
}

func (f *Fleet) tick(n *Node) {
	if n.dead {
		return
	}
	f.runStep(n, func() limit.Result { return n.Machine.Tick(n.now(f), n.Ownership) })
	f.loop.After(tickInterval, func() { f.tick(n) })
}

// execute carries out the effects of a result.
func (f *Fleet) execute(n *Node, r limit.Result) {
	for _, d := range r.Decisions {
		if decide := n.callbacks[d.ID]; decide != nil {
			delete(n.callbacks, d.ID)
			decide(d.Granted)
		}
	}
	for _, s := range r.Sends {
		f.links.Deliver(n.ID, s.To, func() {
			if to := f.nodes[s.To]; to != nil {
				f.runStep(to, func() limit.Result { return to.Machine.HandleMessage(to.now(f), to.Ownership, n.ID, s.Message) })
			}
		})
	}
	for _, c := range r.Calls {
		f.callStore(n, c)
	}
}

// callStore sends an object call and delivers its result. The call may not reach
// the store, or its answer may be lost.
func (f *Fleet) callStore(n *Node, c core.ObjectCall) {
	f.loop.After(storeRoundTrip/2, func() {
		res := core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnavailable}
		if !f.leases.StoreDown && !n.Ownership.isolated {
			res = f.store.do(c)
			if f.links.LossFraction > 0 && f.loop.Rand.Float64() < f.links.LossFraction {
				res = core.ObjectResult{Tag: c.Tag, Status: core.ObjectUnknown}
			}
		}
		f.loop.After(storeRoundTrip/2, func() {
			f.runStep(n, func() limit.Result { return n.Machine.HandleObject(n.now(f), n.Ownership, res) })
		})
	})
}

// handover sends a shard's state from its old owner to the new one.
func (f *Fleet) handover(from, to core.HostID, s core.Shard) {
	a, b := f.nodes[from], f.nodes[to]
	ws := core.WorkspaceID(s.Name)
	state := a.Machine.HandOff(a.now(f), ws)
	if state != nil {
		f.links.Deliver(from, to, func() {
			f.runStep(b, func() limit.Result {
				b.Machine.Adopt(b.now(f), ws, state, from)
				return limit.Result{}
			})
		})
	}
}

// Crash crashes a host.
func (f *Fleet) Crash(n *Node) {
	n.dead = true
	f.leases.remove(n.ID)
}

// Pause stops a host's process for a time; its clock goes on.
func (f *Fleet) Pause(n *Node, d time.Duration) {
	n.pausedUntil = f.loop.Now.Add(d)
	n.Ownership.stopped = true
	f.loop.At(n.pausedUntil, func() {
		if !n.dead {
			n.Ownership.stopped = false
		}
	})
}

// Isolate cuts a host off from the store, or reconnects it.
func (f *Fleet) Isolate(n *Node, off bool) { n.Ownership.isolated = off }

// Configure distributes new limits; each host applies them after a random delay
// below within.
func (f *Fleet) Configure(limits []limit.Limit, within time.Duration) {
	f.config++
	f.limits = limits
	version := f.config
	for _, n := range f.slots {
		f.loop.After(time.Duration(f.loop.Rand.Int64N(int64(within))), func() {
			f.runStep(n, func() limit.Result {
				n.Machine.Configure(n.now(f), version, limits)
				return limit.Result{}
			})
		})
	}
}

// machinePolicy is a fleet of internal/core/limit machines as a Policy.
type machinePolicy struct {
	w *World
	f *Fleet
}

func newMachinePolicy(w *World) Policy {
	var limits []limit.Limit
	for _, t := range w.Trace.Tenants {
		limits = append(limits, t.Limit)
	}
	return &machinePolicy{w, NewFleet(w.Loop, w.Links, w.Trace.Hosts, limits, limit.Settings{}, maxDriftPPM)}
}

func (o *machinePolicy) Reserve(slot int, a Arrival, decide func(bool)) {
	n := o.f.slots[slot]
	n.callbacks[a.ID] = decide
	o.f.runStep(n, func() limit.Result {
		return n.Machine.Reserve(n.now(o.f), n.Ownership, a.ID, a.Workspace, a.ReservedTokens)
	})
}

func (o *machinePolicy) Settle(slot int, a Arrival) {
	n := o.f.slots[slot]
	o.f.runStep(n, func() limit.Result { return n.Machine.Settle(n.now(o.f), n.Ownership, a.ID, a.UsedTokens, true) })
}

func (o *machinePolicy) Fault(f Fault) {
	switch f.Kind {
	case "lose":
		o.f.Crash(o.f.slots[o.lostSlot(f)])
	case "replace":
		o.f.StartHost(f.Slot)
	case "store down":
		o.f.leases.StoreDown = true
	case "store up":
		o.f.leases.StoreDown = false
	}
}

// lostSlot returns the slot of the host that a fault loses.
func (o *machinePolicy) lostSlot(f Fault) int {
	if f.OwnerOf == "" {
		return f.Slot
	}
	owner := o.f.leases.assigned[core.Shard{Kind: core.ShardWorkspace, Name: string(f.OwnerOf)}].host
	for i, n := range o.f.slots {
		if n.ID == owner {
			o.w.Alive[i] = false
			return i
		}
	}
	return 0
}

func (o *machinePolicy) MessagesSent() uint64 { return o.w.Links.MessagesSent }
