package adapters

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentiancroft/internal/core"
	"gentiancroft/internal/core/config"
	"gentiancroft/internal/core/placement"
)

func mapKeys[V any](m map[int]V) iter.Seq[int] { return maps.Keys(m) }

// Pacing of the simulated hosts.
const (
	tickEvery = 100 * time.Millisecond
	feedTime  = 20 * time.Millisecond // until every host has learned a residency
	lease     = time.Hour
)

// placed is a fleet of hosts that run the placement machines.
type placed struct {
	clock    clock
	engines  []*engine
	store    *store
	machines []*placement.Machine
	ids      []core.HostID
	calls    map[core.RequestID]*call
	starts   map[core.RequestID]bool
	score    *score
}

// static is an ownership in which every shard stays where it is.
type static struct {
	p    *placed
	self int
}

func (s static) Self() core.HostID { return s.p.ids[s.self] }

func (s static) Owner(x core.Shard) (core.HostID, bool) {
	if x.Kind == core.ShardLoader {
		return s.p.ids[0], true
	}
	i, err := strconv.Atoi(x.Name)
	return s.p.ids[i%len(s.p.ids)], err == nil
}

func (s static) Acting(now core.Instant, x core.Shard) (core.Grant, bool) {
	h, ok := s.Owner(x)
	return core.Grant{Fence: 1, Until: now.Add(lease)}, ok && h == s.Self()
}

func (s static) Serving(now core.Instant, x core.Shard) bool {
	_, ok := s.Acting(now, x)
	return ok
}

func (s static) Members() []core.Member {
	var out []core.Member
	for _, h := range s.p.ids {
		out = append(out, core.Member{Host: h})
	}
	return out
}

func document(d deployment, slots int) *config.Document {
	doc := &config.Document{}
	for i := range d.engines {
		doc.Upstreams = append(doc.Upstreams, config.Upstream{
			ID: core.UpstreamID(strconv.Itoa(i)), Kind: config.UpstreamEngine, Pool: "engines",
			Slots: slots, Batch: batchPlaces, Domain: core.Domain(strconv.Itoa(i % d.domains)),
		})
	}
	return doc
}

// runPlaced plays a trace through placement machines.
func runPlaced(d deployment, slots int, w *workload, seed uint64) *score {
	p := &placed{score: newScore(), calls: map[core.RequestID]*call{}, starts: map[core.RequestID]bool{}}
	p.store = &store{clock: &p.clock, rate: d.storeRate}
	for i := range d.engines {
		p.engines = append(p.engines, newEngine(&p.clock, i))
	}
	for i := range d.hosts {
		p.ids = append(p.ids, core.HostID(fmt.Sprintf("h%d", i)))
	}
	snapshot := config.NewSnapshot(1, document(d, slots))
	for i := range d.hosts {
		s := placement.Settings{Self: p.ids[i], Domain: core.Domain(strconv.Itoa(i % d.domains)), MaxLoadsPerSecond: d.storeRate}
		m := placement.New(s, core.NewRand(seed+uint64(i)))
		p.machines = append(p.machines, m)
		p.do(i, m.Configure(p.now(), p.own(i), snapshot))
		p.clock.after(tickEvery*time.Duration(i)/time.Duration(d.hosts), func() { p.tick(i) })
		p.clock.after(pollInterval*time.Duration(i)/time.Duration(d.hosts), func() { p.poll(i) })
	}
	for i := range w.calls {
		c := &w.calls[i]
		p.clock.after(c.at, func() { p.arrive(i, c) })
	}
	p.clock.after(restartAt, p.engines[restarted].restart)
	p.clock.after(halfRateAt, func() { p.store.accrue(); p.store.rate = d.storeRate / 2 })
	p.clock.after(halfRateEnd, func() { p.store.accrue(); p.store.rate = d.storeRate })
	before := 0
	p.clock.after(warmUp, func() { before = p.store.loads })
	p.clock.runUntil(runTime)
	p.score.collect(p.engines, p.store, before)
	return p.score
}

// now keeps clear of the zero instant.
func (p *placed) now() core.Instant        { return core.Instant(p.clock.now + time.Hour) }
func (p *placed) own(i int) core.Ownership { return static{p, i} }
func (p *placed) tick(i int) {
	p.do(i, p.machines[i].Tick(p.now(), p.own(i)))
	p.clock.after(tickEvery, func() { p.tick(i) })
}

func (p *placed) poll(i int) {
	for _, u := range p.machines[i].OwnedUpstreams() {
		sent := p.now()
		r := p.report(u, sent)
		p.clock.after(2*linkTime, func() { p.do(i, p.machines[i].Report(p.now(), p.own(i), r)) })
	}
	p.clock.after(pollInterval, func() { p.poll(i) })
}

func (p *placed) engine(u core.UpstreamID) *engine {
	i, _ := strconv.Atoi(string(u))
	return p.engines[i]
}

func refOf(a int) core.AdapterRef {
	return core.AdapterRef{ID: core.AdapterID(strconv.Itoa(a)), Version: 1}
}

func numberOf(r core.AdapterRef) int {
	a, _ := strconv.Atoi(string(r.ID))
	return a
}

func (p *placed) report(u core.UpstreamID, sent core.Instant) core.UpstreamReport {
	e := p.engine(u)
	r := core.UpstreamReport{Upstream: u, OK: true, Incarnation: strconv.Itoa(e.incarnation), Running: len(e.batch), Sent: sent}
	for _, a := range slices.Sorted(mapKeys(e.holds)) {
		r.Adapters = append(r.Adapters, core.AdapterLoad{Adapter: refOf(a), Running: e.running[a]})
	}
	return r
}

func (p *placed) arrive(i int, c *call) {
	id := core.RequestID(strconv.Itoa(i))
	p.calls[id] = c
	p.ask(c.host, id)
}

func (p *placed) ask(host int, id core.RequestID) {
	c := p.calls[id]
	p.do(host, p.machines[host].Place(p.now(), p.own(host), placement.PlacementRequest{
		Request: id, Pool: "engines", Adapter: refOf(c.adapter), Workspace: c.workspace, Weight: 1,
		Cost: core.Tokens(meanTokens), Deadline: core.Instant(c.at + patience + time.Hour),
	}))
}

// do carries out a result of one host.
func (p *placed) do(host int, r placement.Result) {
	for _, s := range r.Sends {
		to := slices.Index(p.ids, s.To)
		p.clock.after(linkTime, func() { p.do(to, p.machines[to].HandleMessage(p.now(), p.own(to), p.ids[host], s.Message)) })
	}
	for _, o := range r.Orders {
		p.order(host, o)
	}
	for _, res := range r.Publish {
		p.published(res)
		p.clock.after(feedTime, func() {
			for i := range p.machines {
				if i != host {
					p.do(i, p.machines[i].ReceiveResidency(p.now(), p.own(i), res))
				}
			}
		})
	}
	for _, d := range r.Decisions {
		p.decided(host, d)
	}
}

// published weighs a residency as the feed carries it.
func (p *placed) published(r placement.Residency) {
	if p.clock.now < warmUp {
		return
	}
	b, err := cbor.Marshal(r)
	if err != nil {
		p.score.faults++
	}
	p.score.feed += float64(len(b)) / (runTime - warmUp).Seconds()
}

func (p *placed) order(host int, o core.AdapterOrder) {
	e, a := p.engine(o.Upstream), numberOf(o.Adapter)
	generation := e.incarnation
	done := func(ok bool) {
		p.clock.after(linkTime, func() {
			p.do(host, p.machines[host].OrderDone(p.now(), p.own(host), core.OrderDone{ID: o.ID, OK: ok, NoEffect: true}))
		})
	}
	if !o.Load {
		p.clock.after(linkTime+unloadTime, func() {
			if e.running[a] > 0 {
				p.score.faults++
			}
			delete(e.holds, a)
			done(true)
		})
		return
	}
	p.clock.after(linkTime, func() {
		p.store.load(func() {
			ok := generation == e.incarnation
			if ok {
				e.holds[a] = true
			}
			done(ok)
		})
	})
}

func (p *placed) decided(host int, d placement.Decision) {
	c := p.calls[d.Request]
	if d.Refusal != nil {
		p.score.gaveUp(c, p.clock.now)
		return
	}
	stall := p.clock.now - c.at
	e := p.engine(d.Ticket.Upstream)
	p.machines[host].RecordDispatch(d.Request)
	p.clock.after(linkTime, func() {
		ok := e.start(c.adapter, c.tokens, func(ok bool) {
			if !ok {
				p.score.cut++
			}
			p.end(host, d.Request, placement.TicketEnd{OK: ok, Crashed: !ok, TokensUsed: core.Tokens(c.tokens)})
		})
		if !ok { // the engine has restarted: not run, so asked again
			p.do(host, p.machines[host].Release(p.now(), p.own(host), d.Request, placement.TicketEnd{AdapterMissing: true}))
			p.ask(host, d.Request)
			return
		}
		p.score.served(c, p.clock.now, d.Ticket.WaitedForLoad, stall)
	})
}

func (p *placed) end(host int, id core.RequestID, e placement.TicketEnd) {
	p.clock.after(linkTime, func() {
		p.do(host, p.machines[host].Release(p.now(), p.own(host), id, e))
	})
}
