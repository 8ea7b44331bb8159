package limits

import (
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/limit"
)

// Policy is one way to enforce limits over the hosts of a fleet.
type Policy interface {
	// Reserve calls decide, now or later, with the decision of the slot's host.
	Reserve(slot int, a Arrival, decide func(granted bool))
	// Settle ends a granted request and returns its unused tokens.
	Settle(slot int, a Arrival)
	// Fault applies a change of the fleet.
	Fault(f Fault)
	// MessagesSent returns the number of messages between hosts so far.
	MessagesSent() uint64
}

// World is the simulated environment of a policy.
type World struct {
	Loop           *EventLoop
	Links          *Links
	Trace          Trace
	Alive          []bool // by slot
	StoreReachable bool   // reachable
}

// Delay and loss of the links.
const (
	linkDelay = 1500 * time.Microsecond
	lossRate  = 0.001
)

func newWorld(t Trace, seed uint64) *World {
	loop := &EventLoop{Rand: core.NewRand(seed)}
	w := &World{Loop: loop, Trace: t, Alive: make([]bool, t.Hosts), StoreReachable: true}
	w.Links = &Links{EventLoop: loop, OneWay: linkDelay, LossFraction: lossRate}
	for i := range w.Alive {
		w.Alive[i] = true
	}
	return w
}

// liveSlot returns the first live slot from s on: the one that a caller of s
// reaches.
func (w *World) liveSlot(s int) int {
	for range w.Alive {
		if w.Alive[s] {
			return s
		}
		s = (s + 1) % len(w.Alive)
	}
	return s
}

// Counts are the results of one workspace.
type Counts struct {
	Requests   int
	Refused    int
	Waited     int         // decided after a round trip
	UsedTokens core.Tokens // used by granted requests
}

// Outcome is the result of one policy on one trace.
type Outcome struct {
	CountsByWorkspace map[core.WorkspaceID]*Counts
	Charges           map[core.WorkspaceID][]Charge
	Messages          uint64
	Requests          int
}

// MaxOverGrant returns the maximum that any workspace got beyond its limit, in tokens.
func (o *Outcome) MaxOverGrant(t Trace) core.Tokens {
	worst := core.Tokens(0)
	for _, x := range t.Tenants {
		bounds := []Bound{{Rate: x.Limit.Rate, Burst: x.Limit.Burst}}
		worst = max(worst, MaxOverGrant(o.Charges[x.Limit.Workspace], bounds))
	}
	return worst
}

// warmUp is the time before a trace starts and messages are counted.
const warmUp = 5 * time.Second

// run runs a trace against a policy.
func run(w *World, p Policy, arrivals []Arrival) *Outcome {
	o := &Outcome{CountsByWorkspace: make(map[core.WorkspaceID]*Counts), Charges: make(map[core.WorkspaceID][]Charge)}
	for _, t := range w.Trace.Tenants {
		o.CountsByWorkspace[t.Limit.Workspace] = &Counts{}
	}
	base := core.Instant(warmUp)
	for _, f := range w.Trace.Faults {
		w.Loop.At(base.Add(time.Duration(f.At)), func() { w.applyFault(p, f) })
	}
	for _, a := range arrivals {
		w.Loop.At(base.Add(time.Duration(a.At)), func() { w.startRequest(p, o, a) })
	}
	var before uint64
	w.Loop.At(base, func() { before = p.MessagesSent() })
	w.Loop.RunUntil(base.Add(w.Trace.Duration + 20*time.Second))
	o.Messages = p.MessagesSent() - before
	return o
}

func (w *World) applyFault(p Policy, f Fault) {
	switch f.Kind {
	case "lose":
		if f.OwnerOf == "" {
			w.Alive[f.Slot] = false
		}
	case "replace":
		w.Alive[f.Slot] = true
	case "store down":
		w.StoreReachable = false
	case "store up":
		w.StoreReachable = true
	}
	p.Fault(f)
}

func (w *World) startRequest(p Policy, o *Outcome, a Arrival) {
	slot := w.liveSlot(a.Slot)
	c := o.CountsByWorkspace[a.Workspace]
	c.Requests++
	o.Requests++
	sentAt := w.Loop.Now
	p.Reserve(slot, a, func(granted bool) {
		if w.Loop.Now > sentAt {
			c.Waited++
		}
		if !granted {
			c.Refused++
			return
		}
		o.Charges[a.Workspace] = append(o.Charges[a.Workspace], Charge{a.Workspace, w.Loop.Now, a.UsedTokens})
		c.UsedTokens += a.UsedTokens
		w.Loop.After(a.Duration, func() { p.Settle(slot, a) })
	})
}

// central is the ideal: one bucket per workspace, which all hosts use without
// delay.
type central struct {
	w       *World
	buckets map[core.WorkspaceID]*limit.Single
	marks   map[core.RequestID]uint64
}

func newCentral(w *World) Policy {
	c := &central{w: w, buckets: make(map[core.WorkspaceID]*limit.Single), marks: make(map[core.RequestID]uint64)}
	for _, t := range w.Trace.Tenants {
		c.buckets[t.Limit.Workspace] = limit.NewSingle(0, t.Limit.Rate, t.Limit.Burst)
	}
	return c
}

func (c *central) Reserve(_ int, a Arrival, decide func(bool)) {
	mark, ok := c.buckets[a.Workspace].Take(c.w.Loop.Now, a.ReservedTokens)
	if ok {
		c.marks[a.ID] = mark
	}
	decide(ok)
}

func (c *central) Settle(_ int, a Arrival) {
	c.buckets[a.Workspace].Settle(c.w.Loop.Now, c.marks[a.ID], a.ReservedTokens-a.UsedTokens)
	delete(c.marks, a.ID)
}

func (c *central) Fault(Fault)          {}
func (c *central) MessagesSent() uint64 { return 0 }
