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
	os.Exit(m.Run())
}

// fleet is a few placement machines, fake engines that ignore fencing numbers,
// and a network in between, on one virtual clock.
type fleet struct {
	now     core.Instant
	hosts   []core.HostID
	nodes   map[core.HostID]*node
	owner   map[core.Shard]core.HostID
	fence   map[core.Shard]core.Fence
	engines map[core.UpstreamID]*engine
	network []packet
	pending []pendingOrder
	holdsUp func(core.AdapterOrder) time.Duration // before an order reaches its engine
	lose    func(from, to core.HostID, m Message) bool
	faults  []string
	out     map[core.RequestID]Decision
}

type node struct {
	*Machine
	alive, frozen bool
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

// ownership is one host's view of the fleet's lease state.
type ownership struct {
	f    *fleet
	self core.HostID
}

func (o ownership) Self() core.HostID { return o.self }
func (o ownership) Owner(s core.Shard) (core.HostID, bool) {
	h, ok := o.f.owner[s]
	return h, ok
}
func (o ownership) Acting(now core.Instant, s core.Shard) (core.Grant, bool) {
	if o.f.owner[s] != o.self || o.f.nodes[o.self].frozen {
		return core.Grant{}, false
	}
	return core.Grant{Fence: o.f.fence[s], Until: now.Add(10 * time.Second)}, true
}
func (o ownership) Serving(_ core.Instant, s core.Shard) bool { return o.f.owner[s] == o.self }
func (o ownership) Members() []core.Member {
	var out []core.Member
	for _, h := range o.f.hosts {
		if o.f.nodes[h].alive {
			out = append(out, core.Member{Host: h})
		}
	}
	return out
}

const linkTime = 1500 * time.Microsecond

func newFleet(hosts, engines, slots, batch int) *fleet {
	f := &fleet{
		now: core.Instant(time.Hour), nodes: map[core.HostID]*node{}, owner: map[core.Shard]core.HostID{},
		fence: map[core.Shard]core.Fence{}, engines: map[core.UpstreamID]*engine{}, out: map[core.RequestID]Decision{},
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
		f.nodes[h] = &node{Machine: New(Settings{Self: h, StoreRate: 100}, core.NewRand(uint64(i))), alive: true}
	}
	f.give(LoaderShard, f.hosts[0])
	for i := range engines {
		f.give(upstreamShard(i), f.hosts[i%hosts])
	}
	for _, h := range f.hosts {
		f.do(h, f.nodes[h].Configure(f.now, ownership{f, h}, config.NewSnapshot(1, d)))
	}
	return f
}

func upstreamShard(i int) core.Shard {
	return core.Shard{Kind: core.ShardUpstream, Name: fmt.Sprintf("u%d", i)}
}

func (f *fleet) give(s core.Shard, h core.HostID) {
	f.owner[s] = h
	f.fence[s]++
}

func (f *fleet) own(h core.HostID) core.Ownership { return ownership{f, h} }

// do carries out a result of host h.
func (f *fleet) do(h core.HostID, r Result) {
	for _, s := range r.Sends {
		if f.lose != nil && f.lose(h, s.To, s.Message) {
			continue
		}
		f.network = append(f.network, packet{f.now.Add(linkTime), h, s.To, s.Message})
	}
	for _, o := range r.Orders {
		late := 300 * time.Millisecond
		if f.holdsUp != nil {
			late = f.holdsUp(o)
		}
		f.pending = append(f.pending, pendingOrder{f.now.Add(late), h, o})
	}
	for _, p := range r.Publish {
		for _, to := range f.hosts {
			if to != h && f.nodes[to].alive {
				f.do(to, f.nodes[to].Learned(f.now, f.own(to), p))
			}
		}
	}
	for _, d := range r.Decisions {
		f.out[d.Request] = d
	}
}

// step moves the clock by one link time and delivers what is due.
func (f *fleet) step() {
	f.now = f.now.Add(linkTime)
	due := f.network
	f.network = nil
	for _, p := range due {
		if n := f.nodes[p.to]; n != nil && n.alive {
			f.do(p.to, n.Peer(f.now, f.own(p.to), p.from, p.msg))
		}
	}
	orders := f.pending
	f.pending = nil
	for _, o := range orders {
		if f.now.Before(o.at) {
			f.pending = append(f.pending, o)
			continue
		}
		ok := f.engines[o.Upstream].order(f, o)
		if f.nodes[o.by].alive {
			f.do(o.by, f.nodes[o.by].OrderDone(f.now, f.own(o.by), core.OrderDone{ID: o.ID, OK: ok, Sure: true}))
		}
	}
}

// run lets time pass, with ticks and a poll of every upstream each second.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.step()
		if f.now%core.Instant(60*time.Millisecond) < core.Instant(linkTime) {
			for _, h := range f.hosts {
				if f.nodes[h].alive {
					f.do(h, f.nodes[h].Tick(f.now, f.own(h)))
				}
			}
		}
		if f.now%core.Instant(time.Second) < core.Instant(linkTime) {
			f.poll()
		}
	}
}

func (f *fleet) poll() {
	for _, h := range f.hosts {
		if !f.nodes[h].alive {
			continue
		}
		for _, u := range f.nodes[h].Polls() {
			f.do(h, f.nodes[h].Report(f.now, f.own(h), f.engines[u].report(u, f.now)))
		}
	}
}

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

// order carries out a load or an unload. An unload under a running request is
// what must never happen.
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
			f.faults = append(f.faults, fmt.Sprintf("%s evicted under %s", o.Adapter, id))
		}
	}
	delete(e.adapters, o.Adapter)
	return true
}

func ref(i int) core.AdapterRef {
	return core.AdapterRef{ID: core.AdapterID(fmt.Sprintf("a%d", i)), Version: 1}
}

func (f *fleet) ask(h core.HostID, id core.RequestID, a core.AdapterRef) {
	f.do(h, f.nodes[h].Ask(f.now, f.own(h), Ask{
		Request: id, Pool: "p", Adapter: a, Workspace: "w", Weight: 1, Cost: 100, Deadline: f.now.Add(20 * time.Second),
	}))
}

// start dispatches a request that has a ticket, if the ticket is still valid.
func (f *fleet) start(h core.HostID, id core.RequestID) bool {
	d := f.out[id]
	if d.Ticket == nil || !f.nodes[h].Valid(f.now, id) {
		return false
	}
	e := f.engines[d.Ticket.Upstream]
	if !e.adapters[d.Ticket.Adapter] {
		return false
	}
	e.running[id] = d.Ticket.Adapter
	f.nodes[h].Dispatched(id)
	return true
}

func (f *fleet) end(h core.HostID, id core.RequestID) {
	for _, e := range f.engines {
		delete(e.running, id)
	}
	f.do(h, f.nodes[h].Release(f.now, f.own(h), id, End{OK: true, Used: 50}))
}
