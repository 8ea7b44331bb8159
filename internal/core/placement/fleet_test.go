package placement

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "30")
	_ = flag.Set("rapid.shrinktime", "1s")
	os.Exit(m.Run())
}

// fleet is a group of placement machines with clocks of their own, fake engines
// that ignore fencing numbers, leases, and a network in between.
type fleet struct {
	now           core.Instant
	hosts         []core.HostID
	nodes         map[core.HostID]*node
	owner         map[core.Shard]core.HostID
	fence         map[core.Shard]core.Fence
	outage        bool // of the store: leases are not renewed, no shard moves
	engines       map[core.UpstreamID]*engine
	network       []packet
	pending       []pendingOrder
	orderDelay    func(core.AdapterOrder) time.Duration   // until an order reaches its engine
	messageDelays func(Message) []time.Duration           // until each copy of a message arrives
	orderAnswered func(core.AdapterOrder) (answered bool) // whether an order's result reaches its owner
	violations    []string                                // violated invariants, as seen by the engines
	decisions     map[core.RequestID]Decision
}

type node struct {
	*Machine
	clockOffset core.Instant // from fleet time
	leaseEnd    core.Instant // end of its lease, fleet time
	alive       bool
	paused      bool
	owners      map[core.Shard]core.HostID // owners of shards in its view
}

type packet struct {
	at       core.Instant
	from, to core.HostID
	msg      Message
}

type pendingOrder struct {
	at core.Instant
	by core.HostID
	core.AdapterOrder
}

type engine struct {
	incarnation int
	adapters    map[core.AdapterRef]bool
	running     map[core.RequestID]core.AdapterRef
	loads       int
	fail        int // loads to fail
}

// leaseView is one host's view of the leases.
type leaseView struct {
	f    *fleet
	self core.HostID
}

func (o leaseView) Self() core.HostID { return o.self }

func (o leaseView) Owner(s core.Shard) (core.HostID, bool) {
	h, ok := o.f.nodes[o.self].owners[s]
	return h, ok
}

func (o leaseView) Acting(_ core.Instant, s core.Shard) (core.Grant, bool) {
	n := o.f.nodes[o.self]
	if o.f.owner[s] != o.self || n.owners[s] != o.self || o.f.now >= n.leaseEnd {
		return core.Grant{}, false
	}
	return core.Grant{Fence: o.f.fence[s], Until: n.leaseEnd + n.clockOffset}, true
}

func (o leaseView) Serving(now core.Instant, s core.Shard) bool {
	_, acting := o.Acting(now, s)
	return acting || (o.f.outage && o.f.owner[s] == o.self && o.f.nodes[o.self].owners[s] == o.self)
}

func (o leaseView) Members() []core.Member {
	var out []core.Member
	for _, h := range o.f.hosts {
		if o.f.nodes[h].alive {
			out = append(out, core.Member{Host: h})
		}
	}
	return out
}

const (
	stepTime = 2 * time.Millisecond
	leaseTTL = 3 * time.Second
)

func newFleet(hosts, engines, slots, batch int) *fleet {
	f := &fleet{
		now: core.Instant(time.Hour), nodes: map[core.HostID]*node{}, owner: map[core.Shard]core.HostID{},
		fence: map[core.Shard]core.Fence{}, engines: map[core.UpstreamID]*engine{}, decisions: map[core.RequestID]Decision{},
		orderDelay:    func(core.AdapterOrder) time.Duration { return 300 * time.Millisecond },
		messageDelays: func(Message) []time.Duration { return []time.Duration{0} },
		orderAnswered: func(core.AdapterOrder) bool { return true },
	}
	d := &config.Document{}
	for i := range engines {
		id := core.UpstreamID(fmt.Sprintf("u%d", i))
		d.Upstreams = append(d.Upstreams, config.Upstream{
			ID: id, Kind: config.UpstreamEngine, Pool: "p", Address: "a", Slots: slots, Batch: batch, Domain: core.Domain(fmt.Sprint(i % 3)),
		})
		f.engines[id] = &engine{adapters: map[core.AdapterRef]bool{}, running: map[core.RequestID]core.AdapterRef{}}
	}
	for i := range hosts {
		h := core.HostID(fmt.Sprintf("h%d", i))
		f.hosts = append(f.hosts, h)
		f.nodes[h] = &node{
			Machine: New(Settings{Self: h, MaxLoadsPerSecond: 100}, core.NewRand(uint64(i))), alive: true,
			clockOffset: core.Instant(time.Duration(i) * 1000 * time.Hour), owners: map[core.Shard]core.HostID{},
		}
	}
	f.assign(LoaderShard, f.hosts[0])
	for i := range engines {
		f.assign(upstreamShard(i), f.hosts[i%hosts])
	}
	f.renew()
	f.refreshViews()
	for _, h := range f.hosts {
		f.do(h, f.nodes[h].Configure(f.clock(h), f.ownership(h), config.NewSnapshot(1, d)))
	}
	return f
}

func upstreamShard(i int) core.Shard {
	return core.Shard{Kind: core.ShardUpstream, Name: fmt.Sprintf("u%d", i)}
}

// assign makes h the owner of a shard; the former owner must have stopped.
func (f *fleet) assign(s core.Shard, h core.HostID) {
	f.owner[s] = h
	f.fence[s]++
}

// refreshViews updates every host's view of the owners.
func (f *fleet) refreshViews() {
	for _, h := range f.hosts {
		f.refreshView(h)
	}
}

func (f *fleet) refreshView(h core.HostID) { f.nodes[h].owners = maps.Clone(f.owner) }

func (f *fleet) renew() {
	for _, h := range f.hosts {
		if n := f.nodes[h]; n.up() && !f.outage {
			n.leaseEnd = f.now.Add(leaseTTL)
		}
	}
}

func (n *node) up() bool { return n.alive && !n.paused }

func (f *fleet) ownership(h core.HostID) core.Ownership { return leaseView{f, h} }
func (f *fleet) clock(h core.HostID) core.Instant       { return f.now + f.nodes[h].clockOffset }

// do carries out a result of host h. An order whose grant has ended is not
// sent.
func (f *fleet) do(h core.HostID, r Result) {
	for _, s := range r.Sends {
		for _, in := range f.messageDelays(s.Message) {
			f.network = append(f.network, packet{f.now.Add(stepTime + in), h, s.To, s.Message})
		}
	}
	for _, o := range r.Orders {
		if f.clock(h) < o.Grant.Until {
			f.pending = append(f.pending, pendingOrder{f.now.Add(f.orderDelay(o)), h, o})
		}
	}
	for _, p := range r.Publish {
		for _, to := range f.hosts {
			if to != h && f.nodes[to].up() {
				f.do(to, f.nodes[to].ReceiveResidency(f.clock(to), f.ownership(to), p))
			}
		}
	}
	for _, d := range r.Decisions {
		f.decisions[d.Request] = d
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(stepTime)
	due := f.network
	f.network = nil
	for _, p := range due {
		switch n := f.nodes[p.to]; {
		case f.now < p.at || n.paused:
			f.network = append(f.network, p)
		case n.alive:
			f.do(p.to, n.HandleMessage(f.clock(p.to), f.ownership(p.to), p.from, p.msg))
		}
	}
	orders := f.pending
	f.pending = nil
	for _, o := range orders {
		if f.now < o.at {
			f.pending = append(f.pending, o)
			continue
		}
		ok := f.engines[o.Upstream].order(f, o)
		if n := f.nodes[o.by]; n.up() {
			done := core.OrderDone{ID: o.ID, OK: ok, NoEffect: true}
			if !f.orderAnswered(o.AdapterOrder) {
				done.OK, done.NoEffect = false, false
			}
			f.do(o.by, n.OrderDone(f.clock(o.by), f.ownership(o.by), done))
		}
	}
}

func (f *fleet) due(every time.Duration) bool {
	return f.now%core.Instant(every) < core.Instant(stepTime)
}

// run lets time pass, with ticks and a poll of every upstream each second.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.step()
		f.renew()
		if f.due(60 * time.Millisecond) {
			for _, h := range f.hosts {
				if f.nodes[h].up() {
					f.do(h, f.nodes[h].Tick(f.clock(h), f.ownership(h)))
				}
			}
		}
		if f.due(time.Second) {
			f.poll()
		}
	}
}

func (f *fleet) poll() {
	for _, h := range f.hosts {
		if !f.nodes[h].up() {
			continue
		}
		for _, u := range f.nodes[h].OwnedUpstreams() {
			f.do(h, f.nodes[h].Report(f.clock(h), f.ownership(h), f.engines[u].report(u, f.clock(h))))
		}
	}
}

// crash ends a host for good; its shards may move once its lease has ended.
func (f *fleet) crash(h core.HostID) { f.nodes[h].alive = false }

// reassignShards moves the shards of hosts whose lease has ended to a live
// host.
func (f *fleet) reassignShards() {
	for _, s := range slices.SortedFunc(maps.Keys(f.owner), compareShards) {
		if n := f.nodes[f.owner[s]]; !f.outage && f.now >= n.leaseEnd {
			for i := range f.hosts {
				if h := f.hosts[(i+len(s.Name))%len(f.hosts)]; f.nodes[h].up() {
					f.assign(s, h)
					break
				}
			}
		}
	}
	for _, h := range f.hosts {
		for _, lost := range f.hosts {
			if f.nodes[h].up() && !f.nodes[lost].alive && f.now >= f.nodes[lost].leaseEnd {
				f.do(h, f.nodes[h].HostLost(f.clock(h), f.ownership(h), lost))
			}
		}
	}
}

func compareShards(a, b core.Shard) int { return cmp.Compare(a.Name, b.Name) }

func (e *engine) report(id core.UpstreamID, sent core.Instant) core.UpstreamReport {
	r := core.UpstreamReport{Upstream: id, OK: true, Incarnation: fmt.Sprint(e.incarnation), Running: len(e.running), Sent: sent}
	for _, a := range slices.SortedFunc(maps.Keys(e.adapters), compareRefs) {
		n := 0
		for _, on := range e.running {
			if on == a {
				n++
			}
		}
		r.Adapters = append(r.Adapters, core.AdapterLoad{Adapter: a, Running: n})
	}
	return r
}

// order carries out a load or an unload. It records an unload under a running
// request as a violation.
func (e *engine) order(f *fleet, o pendingOrder) bool {
	if o.Load {
		e.loads++
		if e.fail > 0 {
			e.fail--
			return false
		}
		e.adapters[o.Adapter] = true
		return true
	}
	for _, id := range slices.SortedFunc(maps.Keys(e.running), cmp.Compare) {
		if e.running[id] == o.Adapter {
			f.violations = append(f.violations, fmt.Sprintf("%s was evicted while %s ran on it", o.Adapter, id))
		}
	}
	delete(e.adapters, o.Adapter)
	return true
}

// restart increments the incarnation and empties the engine.
func (e *engine) restart() {
	e.incarnation++
	clear(e.adapters)
	clear(e.running)
}

func ref(i int) core.AdapterRef {
	return core.AdapterRef{ID: core.AdapterID(fmt.Sprintf("a%d", i)), Version: 1}
}

func (f *fleet) ask(h core.HostID, id core.RequestID, a core.AdapterRef) {
	f.do(h, f.nodes[h].Place(f.clock(h), f.ownership(h), PlacementRequest{
		Request: id, Pool: "p", Adapter: a, Workspace: "w", Weight: 1, Cost: 100, Deadline: f.clock(h).Add(30 * time.Second),
	}))
}

// start dispatches a request that has a valid ticket and reports whether the
// engine has the adapter loaded.
func (f *fleet) start(h core.HostID, id core.RequestID) bool {
	d := f.decisions[id]
	if d.Ticket == nil || !f.nodes[h].TicketValid(f.clock(h), id) {
		return false
	}
	f.nodes[h].RecordDispatch(id)
	return f.arrive(id, d.Ticket)
}

func (f *fleet) arrive(id core.RequestID, t *Ticket) bool {
	e := f.engines[t.Upstream]
	if e.adapters[t.Adapter] {
		e.running[id] = t.Adapter
	}
	return e.adapters[t.Adapter]
}

func (f *fleet) end(h core.HostID, id core.RequestID, e TicketEnd) {
	for _, x := range f.engines {
		delete(x.running, id)
	}
	if f.nodes[h].up() {
		f.do(h, f.nodes[h].Release(f.clock(h), f.ownership(h), id, e))
	}
}
